package proofs

import (
	"net/http"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/internal/store"
	"verbenadale.example/verbenadale/pkg/rules"
)

// A new profile and account must serve streamed answers, and an unknown key must be refused with
// its code.
func TestThinPath(t *testing.T) {
	place := event.Place{DataCentre: "uvs", Region: "uvs"}
	platform := startPlatform(t)
	eng := startEngine(t, "uvs-e1", place, "-model", "draft")
	putHosts(t, platform, store.Hosts{Targets: []event.Target{eng}})
	en := startEntry(t, platform, "uvs-1", place)
	applyItems(t, en,
		item(t, rules.KindProfile, "obituary", rules.Profile{Name: "obituary", Models: []rules.Serve{{Model: "draft"}}}),
		item(t, rules.KindAccount, "foundation", rules.Client{Name: "foundation", KeyDigest: rules.Digest("key-1")}),
	)

	const chatRequest = `{"model":"obituary","stream":true,"max_tokens":5,"messages":[{"role":"user","content":"hello"}]}`
	url := en.callers() + "/v1/chat/completions"
	var rep reply
	eventually(t, "an answer streams", func() bool {
		rep = post(t, url, "key-1", chatRequest)
		return rep.status == http.StatusOK
	})
	if diff := cmp.Diff(6, len(rep.events)); diff != "" {
		t.Errorf("events of the stream (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff("[DONE]", rep.events[len(rep.events)-1]); diff != "" {
		t.Errorf("end marker (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff("done", rep.header.Get("Verbenadale-Outcome")); diff != "" {
		t.Errorf("outcome (-want +got):\n%s", diff)
	}

	refused := post(t, url, "no-such-key", chatRequest)
	if diff := cmp.Diff(http.StatusUnauthorized, refused.status); diff != "" {
		t.Errorf("status of the refusal (-want +got):\n%s", diff)
	}
	if !strings.Contains(refused.body, "VB1001") {
		t.Errorf("refusal without its code: %s", refused.body)
	}
	out, err := verbctl(t, en, "explain", "VB1001")
	if err != nil || !strings.Contains(out, "API key") {
		t.Errorf("explain: %v\n%s", err, out)
	}
}
