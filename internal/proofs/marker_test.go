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

// The markers stand in the bodies of requests: one in those that are confined
// to uvs, one in those that may leave it.
const (
	marker     = "Dulmaa-7f3a9c51-marker"
	openMarker = "Bataar-20b66e0d-marker"
)

// A word of a confined body shows up in a log, trace, metric or another region.
func TestNoWordOfABodyLeaves(t *testing.T) {
	f := startTuned(t, verbose, siteOf("uvs", 2, 1, 1), siteOf("erdenet", 2, 1, 0), siteOf("khovd", 1, 0, 0))
	tp := f.tapeRegions()
	f.configure(append(confinedItems(t), item(t, rules.KindProfile, "notices", rules.Profile{
		Name: "notices", Service: "publish", AtMostOnce: true, Regions: []ident.Region{"uvs"}, MaxCrossings: 1,
	}))...)
	f.answered(t)
	f.refused(t)
	f.brokenOff(t)
	f.mayLeave(t, tp)

	values := f.values()
	f.stopHosts(t)
	f.search(t, tp, values)
}

func (f *fleet) chat(t *testing.T, m *member, profile, text string, header map[string]string) reply {
	t.Helper()
	return postWith(t, m.callers()+"/v1/chat/completions", "key-home", chatBody(profile, text, 4), header)
}

// answered sends confined requests that run.
func (f *fleet) answered(t *testing.T) {
	t.Helper()
	for _, m := range f.at("uvs") {
		for _, profile := range []string{"confined", "home"} {
			eventually(t, profile+" at "+string(m.id), func() bool {
				return f.chat(t, m, profile, marker, nil).status == http.StatusOK
			})
		}
		whole := strings.Replace(chatBody("confined", marker, 4), `"stream":true`, `"stream":false`, 1)
		if rep := post(t, m.callers()+"/v1/chat/completions", "key-home", whole); rep.status != http.StatusOK {
			t.Errorf("whole answer: %d %s", rep.status, rep.body)
		}
	}
	url := f.host("uvs-1").callers() + "/v1/services/notices/" + "publish"
	body := `{"job":"` + marker + `","text":"` + marker + `"}`
	eventually(t, "a notice by key", func() bool {
		return postWith(t, url, "key-home", body, map[string]string{"Idempotency-Key": marker}).status == http.StatusOK
	})
	if rep := postWith(t, url, "key-home", body, map[string]string{"Idempotency-Key": marker}); rep.status != http.StatusOK {
		t.Errorf("the repeat by key: %d %s", rep.status, rep.body)
	}
}

// refused sends confined requests that do not run, for many reasons.
func (f *fleet) refused(t *testing.T) {
	t.Helper()
	home := f.host("uvs-2")
	named := map[string]string{"Verbenadale-Profile": "confined"}
	for want, rep := range map[int][]reply{
		http.StatusMisdirectedRequest: {
			f.chat(t, f.host("erdenet-1"), "confined", marker, named), f.chat(t, f.host("erdenet-2"), "home", marker, nil),
		},
		http.StatusBadRequest: {
			post(t, home.callers()+"/v1/chat/completions", "key-home", `{"model":"confined","messages":[{"`+marker),
			post(t, home.callers()+"/v1/chat/completions", "key-home", `{"model":"confined","messages":"`+marker+`","max_tokens":-1}`),
			f.chat(t, home, "confined", marker, map[string]string{"Verbenadale-Attempt": "x"}),
		},
		http.StatusNotFound:     {f.chat(t, home, "confined", marker, map[string]string{"Verbenadale-Profile": "none"})},
		http.StatusUnauthorized: {post(t, home.callers()+"/v1/chat/completions", "no-key", chatBody("confined", marker, 4))},
	} {
		for _, r := range rep {
			if r.status != want {
				t.Errorf("status %d in place of %d: %s", r.status, want, r.body)
			}
		}
	}
}

// brokenOff sends confined requests to an engine that breaks each answer in
// another way.
func (f *fleet) brokenOff(t *testing.T) {
	t.Helper()
	kinds := []string{engine.FaultCut, engine.FaultError, engine.FaultShort, engine.FaultCrossed}
	f.engineFaults(t, "uvs-e1", engine.Faults{Every: 1, Kinds: kinds})
	stream := chatBody("confined", marker, 4)
	for range len(kinds) {
		for _, body := range []string{stream, strings.Replace(stream, `"stream":true`, `"stream":false`, 1)} {
			if finished(t, f.host("uvs-1"), body) {
				t.Errorf("an answer that broke off was given as whole")
			}
		}
	}
	f.engineFaults(t, "uvs-e1", engine.Faults{})
}

// finished reports whether the answer to a request came whole.
func finished(t *testing.T, m *member, body string) bool {
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

func (f *fleet) engineFaults(t *testing.T, id ident.TargetID, fs engine.Faults) {
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

// mayLeave sends requests that may leave, from a region without an engine, so
// that the tape is known to see a body that crosses.
func (f *fleet) mayLeave(t *testing.T, tp *tape) {
	t.Helper()
	eventually(t, "a request that may leave is answered", func() bool {
		return f.chat(t, f.host("khovd-1"), "draft", openMarker, nil).status == http.StatusOK
	})
	if !tp.has(openMarker) {
		t.Error("the tape has nothing of a body that crossed")
	}
}

func (f *fleet) search(t *testing.T, tp *tape, values map[string]string) {
	t.Helper()
	for _, m := range f.hosts {
		out := m.out.String()
		if strings.Contains(out, marker) {
			t.Errorf("%s has printed a word of a body", m.id)
		}
		if len(m.spans()) == 0 && m.place.Region == "uvs" {
			t.Errorf("%s has printed no span", m.id)
		}
		if !strings.Contains(out, "msg=request") {
			t.Errorf("%s has logged no request", m.id)
		}
	}
	if !f.host("uvs-1").says("attempt broke")() {
		t.Error("uvs-1 has logged no attempt that broke off")
	}
	keys := 0
	for key, v := range values {
		if strings.Contains(key, marker) || strings.Contains(v, marker) {
			t.Errorf("the platform keeps a word of a body under %s", key)
		}
		if strings.HasPrefix(key, "verbenadale/keys/") {
			keys++
		}
	}
	if keys == 0 {
		t.Error("the platform keeps no record of an idempotency key")
	}
	if tp.has(marker) {
		t.Error("a word of a confined body has crossed to another region")
	}
	t.Logf("searched %d bytes between regions and %d values of the platform", tp.size(), len(values))
}
