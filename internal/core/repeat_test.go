package core_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/pkg/codes"
	"verbenadale.example/verbenadale/pkg/ident"
)

// Guards against a repeat at another host being answered with NotRun while the first request
// runs.
func TestRepeatAtAnotherHostIsUnknown(t *testing.T) {
	w := newWorld(t.Fatalf)
	w.send("uvs-0", "publish", "notice", "", "key-1", 10*time.Second)
	w.Run(time.Second)
	repeat := w.send("uvs-1", "publish", "notice", "", "key-1", 10*time.Second)
	w.Run(time.Second)
	ans, ok := w.answerTo(repeat)
	if !ok {
		t.Fatal("no answer to the repeat")
	}
	ref, ok := ans.Effect.(event.Refuse)
	if !ok {
		t.Fatalf("the repeat was answered with %+v", ans)
	}
	var hosts []ident.EntryID
	for _, h := range ref.Entries {
		hosts = append(hosts, h.ID)
	}
	want := event.Refuse{Request: repeat, Code: codes.ForeignTicket.ID, Outcome: event.Unknown}
	ref.Entries = nil
	if diff := cmp.Diff(want, ref); diff != "" {
		t.Errorf("answer to the repeat (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff([]ident.EntryID{"uvs-0"}, hosts); diff != "" {
		t.Errorf("hosts named in the refusal (-want +got):\n%s", diff)
	}
}
