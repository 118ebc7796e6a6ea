package wire

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/pkg/errors"

	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/pkg/ident"
)

// Guards against streams that are bound to another build because of how they travel.
func TestBegunStreamsRoundTrip(t *testing.T) {
	v1, v2 := event.ServiceBuild{Service: "writers", Build: "v1"}, event.ServiceBuild{Service: "writers", Build: "v2"}
	streams := []event.BegunStream{
		{Stream: 1, ServiceBuild: v1, TTL: time.Second}, {Stream: 2, ServiceBuild: v2, TTL: time.Minute, Ambiguous: true}, {Stream: 3, ServiceBuild: v1, TTL: 5 * time.Millisecond},
	}
	got, err := FromBegun(streams, true).ToEvent()
	if diff := cmp.Diff(streams, got); diff != "" || err != nil {
		t.Errorf("streams, %v (-want +got):\n%s", err, diff)
	}
	ans := event.AnswerBegun{
		Stream: 2, Begun: streams[1:2], Seen: []event.SeenBuild{{ServiceBuild: v1, Age: time.Second}, {ServiceBuild: v2}}, Confirmed: true,
		Records: []event.BuildRecord{{Service: "writers", Builds: []ident.Build{"v1", "v2"}, Revision: 7}},
	}
	want := event.BegunAnswered{From: "e1", Stream: 2, Begun: ans.Begun, Seen: ans.Seen, Confirmed: true, Records: ans.Records}
	gotAns, err := FromBegunAnswer(ans).ToEvent("e1")
	if diff := cmp.Diff(want, gotAns); diff != "" || err != nil {
		t.Errorf("answer, %v (-want +got):\n%s", err, diff)
	}
}

// Guards against a host that ends because of columns of another length, or of an index that names no build.
func TestMalformedBegunStreamsAreRejected(t *testing.T) {
	build := []*ServiceBuild{{Service: "writers", Build: "v1"}}
	for name, p := range map[string]*BegunStreams{
		"no index":       {Streams: []uint64{1}, TtlsMs: []uint64{1}, Ambiguous: []bool{false}, Builds: build},
		"no TTL":         {Streams: []uint64{1}, Indexes: []uint32{0}, Ambiguous: []bool{false}, Builds: build},
		"no flag":        {Streams: []uint64{1}, Indexes: []uint32{0}, TtlsMs: []uint64{1}, Builds: build},
		"no build":       {Streams: []uint64{1}, Indexes: []uint32{0}, TtlsMs: []uint64{1}, Ambiguous: []bool{false}},
		"index too high": {Streams: []uint64{1}, Indexes: []uint32{1 << 31}, TtlsMs: []uint64{1}, Ambiguous: []bool{false}, Builds: build},
	} {
		if _, err := p.ToEvent(); !errors.Is(err, ErrFormat) {
			t.Errorf("%s: %v", name, err)
		}
	}
	if _, err := (&BegunAnswer{Seen: build}).ToEvent("e1"); !errors.Is(err, ErrFormat) {
		t.Errorf("no age: %v", err)
	}
}
