package proofs

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"

	"verbenadale.example/verbenadale/internal/dev/engine"
	"verbenadale.example/verbenadale/pkg/ident"
	"verbenadale.example/verbenadale/pkg/rules"
)

// Markers in request bodies: marker in those confined to uvs, unconfinedMarker in those that may
// leave it.
const (
	marker           = "Dulmaa-7f3a9c51-marker"
	unconfinedMarker = "Bataar-20b66e0d-marker"
)

// No content of a confined body may appear in a log, trace, metric, the platform or another
// region.
func TestNoWordOfABodyLeaves(t *testing.T) {
	f := startFleetWith(t, logEverything, siteOf("uvs", 2, 1, 1), siteOf("erdenet", 2, 1, 0), siteOf("khovd", 1, 0, 0))
	cp := f.captureRegions()
	f.configure(append(confinedItems(t), item(t, rules.KindProfile, "notices", rules.Profile{
		Name: "notices", Service: "publish", AtMostOnce: true, Regions: []ident.Region{"uvs"}, MaxCrossings: 1,
	}))...)
	f.sendServed(t)
	f.sendRefused(t)
	f.sendAborted(t)
	f.sendUnconfined(t, cp)

	values := f.platformValues()
	f.stopHosts(t)
	f.checkNoMarker(t, cp, values)
}

func (f *fleet) sendChat(t *testing.T, m *fleetHost, profile, text string, header map[string]string) reply {
	t.Helper()
	return postWith(t, m.callers()+"/v1/chat/completions", "key-home", chatBody(profile, text, 4), header)
}

// sendServed sends confined requests that are served.
func (f *fleet) sendServed(t *testing.T) {
	t.Helper()
	for _, m := range f.hostsIn("uvs") {
		for _, profile := range []string{"confined", "home"} {
			eventually(t, profile+" at "+string(m.id), func() bool {
				return f.sendChat(t, m, profile, marker, nil).status == http.StatusOK
			})
		}
		buffered := strings.Replace(chatBody("confined", marker, 4), `"stream":true`, `"stream":false`, 1)
		if rep := post(t, m.callers()+"/v1/chat/completions", "key-home", buffered); rep.status != http.StatusOK {
			t.Errorf("buffered answer: %d %s", rep.status, rep.body)
		}
	}
	url := f.host("uvs-1").callers() + "/v1/services/notices/" + "publish"
	body := `{"job":"` + marker + `","text":"` + marker + `"}`
	eventually(t, "a notice by key", func() bool {
		return postWith(t, url, "key-home", body, map[string]string{"Idempotency-Key": marker}).status == http.StatusOK
	})
	if rep := postWith(t, url, "key-home", body, map[string]string{"Idempotency-Key": marker}); rep.status != http.StatusOK {
		t.Errorf("repeat by key: %d %s", rep.status, rep.body)
	}
}

// sendRefused sends confined requests that are refused, for many reasons.
func (f *fleet) sendRefused(t *testing.T) {
	t.Helper()
	home := f.host("uvs-2")
	named := map[string]string{"Verbenadale-Profile": "confined"}
	for want, rep := range map[int][]reply{
		http.StatusMisdirectedRequest: {
			f.sendChat(t, f.host("erdenet-1"), "confined", marker, named), f.sendChat(t, f.host("erdenet-2"), "home", marker, nil),
		},
		http.StatusBadRequest: {
			post(t, home.callers()+"/v1/chat/completions", "key-home", `{"model":"confined","messages":[{"`+marker),
			post(t, home.callers()+"/v1/chat/completions", "key-home", `{"model":"confined","messages":"`+marker+`","max_tokens":-1}`),
			f.sendChat(t, home, "confined", marker, map[string]string{"Verbenadale-Attempt": "x"}),
		},
		http.StatusNotFound:     {f.sendChat(t, home, "confined", marker, map[string]string{"Verbenadale-Profile": "none"})},
		http.StatusUnauthorized: {post(t, home.callers()+"/v1/chat/completions", "no-key", chatBody("confined", marker, 4))},
	} {
		for _, r := range rep {
			if r.status != want {
				t.Errorf("status %d instead of %d: %s", r.status, want, r.body)
			}
		}
	}
}

// sendAborted sends confined requests to an engine that breaks each answer in a different way.
func (f *fleet) sendAborted(t *testing.T) {
	t.Helper()
	kinds := []string{engine.FaultCut, engine.FaultError, engine.FaultShort, engine.FaultCrossed}
	f.setFaultsAt(t, "uvs-e1", engine.Faults{Every: 1, Kinds: kinds})
	stream := chatBody("confined", marker, 4)
	for range len(kinds) {
		for _, body := range []string{stream, strings.Replace(stream, `"stream":true`, `"stream":false`, 1)} {
			if isComplete(t, f.host("uvs-1"), body) {
				t.Errorf("an aborted answer was received as complete")
			}
		}
	}
	f.setFaultsAt(t, "uvs-e1", engine.Faults{})
}

// isComplete reports whether the complete answer to a request was received.
func isComplete(t *testing.T, m *fleetHost, body string) bool {
	t.Helper()
	req, err := http.NewRequest(http.MethodPost, m.callers()+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer key-home")
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	defer res.Body.Close()
	_, err = io.ReadAll(res.Body)
	return err == nil && res.StatusCode == http.StatusOK
}

func (f *fleet) setFaultsAt(t *testing.T, id ident.TargetID, fs engine.Faults) {
	t.Helper()
	b, err := json.Marshal(fs)
	if err != nil {
		t.Fatal(err)
	}
	req, _ := http.NewRequest(http.MethodPut, f.url(id)+"/dev/faults", bytes.NewReader(b))
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	res.Body.Close()
}

// sendUnconfined sends a request that may leave from a region without an engine, to check that
// the capture contains bodies that cross.
func (f *fleet) sendUnconfined(t *testing.T, cp *capture) {
	t.Helper()
	eventually(t, "a request that may leave is answered", func() bool {
		return f.sendChat(t, f.host("khovd-1"), "draft", unconfinedMarker, nil).status == http.StatusOK
	})
	if !cp.has(unconfinedMarker) {
		t.Error("the capture has no content of a body that crossed")
	}
}

func (f *fleet) checkNoMarker(t *testing.T, cp *capture, values map[string]string) {
	t.Helper()
	for _, m := range f.hosts {
		out := m.output.String()
		if strings.Contains(out, marker) {
			t.Errorf("%s has printed content of a body", m.id)
		}
		if len(m.spans()) == 0 && m.place.Region == "uvs" {
			t.Errorf("%s has printed no span", m.id)
		}
		if !strings.Contains(out, "msg=request") {
			t.Errorf("%s has logged no request", m.id)
		}
	}
	if !f.host("uvs-1").logged("attempt broke")() {
		t.Error("uvs-1 has logged no aborted attempt")
	}
	keys := 0
	for key, v := range values {
		if strings.Contains(key, marker) || strings.Contains(v, marker) {
			t.Errorf("the platform stores content of a body under %s", key)
		}
		if strings.HasPrefix(key, "verbenadale/keys/") {
			keys++
		}
	}
	if keys == 0 {
		t.Error("the platform stores no record of an idempotency key")
	}
	if cp.has(marker) {
		t.Error("content of a confined body was sent to another region")
	}
	t.Logf("searched %d bytes between regions and %d values of the platform", cp.size(), len(values))
}
