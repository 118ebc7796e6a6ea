package proofs

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/pkg/codes"
	"verbenadale.example/verbenadale/pkg/ident"
	"verbenadale.example/verbenadale/pkg/rules"
)

// confinedItems are a profile that names its regions, and one that goes by the
// home of the account, with an account whose home is uvs.
func confinedItems(t *testing.T) []rules.Item {
	t.Helper()
	weights := rules.Weights{Tail: 1, Cost: 0.1, Crossing: 0.2}
	models := []rules.Serve{{Model: "draft"}}
	return []rules.Item{
		item(t, rules.KindProfile, "confined", rules.Profile{
			Name: "confined", Models: models, Regions: []ident.Region{"uvs"}, MaxCrossings: 1, Weights: weights,
		}),
		item(t, rules.KindProfile, "home", rules.Profile{
			Name: "home", Models: models, HomeOnly: true, MaxCrossings: 1, Weights: weights,
		}),
		item(t, rules.KindAccount, "family", rules.Client{Name: "family", KeyDigest: rules.Digest("key-home"), Home: "uvs"}),
	}
}

// interim is the answer to a request whose sender waits to be asked for the
// body, and whether it was asked.
type interim struct {
	Asked   bool
	Status  int
	Code    codes.ID
	Outcome event.Outcome
	Entries []string
}

// waitAsked sends the head of a request with Expect: 100-continue, and the
// body only when it is asked for.
func waitAsked(t *testing.T, m *member, profile, body string) interim {
	t.Helper()
	conn, err := net.Dial("tcp", m.set.Callers.Listen)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(waitLimit))
	fmt.Fprintf(conn, "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer key-home\r\n"+
		"Content-Type: application/json\r\nVerbenadale-Profile: %s\r\nExpect: 100-continue\r\nContent-Length: %d\r\n\r\n", profile, len(body))
	br := bufio.NewReader(conn)
	var in interim
	for {
		res, err := http.ReadResponse(br, nil)
		if err != nil {
			t.Fatal(err)
		}
		if res.StatusCode == http.StatusContinue {
			in.Asked = true
			fmt.Fprint(conn, body)
			continue
		}
		b, _ := io.ReadAll(res.Body)
		res.Body.Close()
		in.Status = res.StatusCode
		in.fill(b)
		return in
	}
}

func (in *interim) fill(b []byte) {
	var r refusalBody
	if json.Unmarshal(b, &r) == nil {
		in.Code, in.Outcome, in.Entries = r.Error.Code, r.Error.Outcome, r.Error.Entries
	}
}

func refusalOf(rep reply) refusalBody {
	var r refusalBody
	_ = json.Unmarshal([]byte(rep.body), &r)
	return r
}

// Data that must stay in one region is sent to another under pressure.
func TestResidency(t *testing.T) {
	f := startFleet(t,
		site{place: placeOf("uvs"), entries: 2, engines: 1, engineArgs: []string{"-slots", "4", "-tokenTime", "10ms"}},
		siteOf("erdenet", 2, 1, 0))
	f.configure(confinedItems(t)...)
	for _, m := range f.hosts {
		profile := map[ident.DataCentre]string{"uvs": "confined", "erdenet": "draft"}[m.place.DataCentre]
		eventually(t, "an answer at "+string(m.id), func() bool {
			return post(t, m.callers()+"/v1/chat/completions", "key-home", chatBody(profile, "hello", 2)).status == http.StatusOK
		})
	}
	t.Run("wrong entry host", f.wrongEntry)
	t.Run("forged headers", f.forgedHeaders)
	t.Run("forged envelope", f.forgedEnvelope)
	t.Run("overload", f.overload)
}

func placeOf(name string) event.Place {
	return event.Place{DataCentre: ident.DataCentre(name), Region: ident.Region(name)}
}

// A caller asks a host in the wrong region. It learns the right ones before
// it has sent a byte of the body; the right one asks for the body.
func (f *fleet) wrongEntry(t *testing.T) {
	right := []string{f.host("uvs-1").callers(), f.host("uvs-2").callers()}
	for _, profile := range []string{"confined", "home"} {
		body := chatBody(profile, "a notice", 2)
		eventually(t, "all the right hosts are named", func() bool {
			return len(waitAsked(t, f.host("erdenet-1"), profile, body).Entries) == len(right)
		})
		for _, m := range f.at("erdenet") {
			got := waitAsked(t, m, profile, body)
			want := interim{Status: http.StatusMisdirectedRequest, Code: codes.OutsideResidency.ID, Outcome: event.NotRun, Entries: right}
			if diff := cmp.Diff(want, got, sorted); diff != "" {
				t.Errorf("%s at %s (-want +got):\n%s", profile, m.id, diff)
			}
		}
		got := waitAsked(t, f.host("uvs-1"), profile, body)
		if diff := cmp.Diff(interim{Asked: true, Status: http.StatusOK}, got); diff != "" {
			t.Errorf("%s at uvs-1 (-want +got):\n%s", profile, diff)
		}
	}
}

// A caller sends the headers by which hosts and targets talk, as if its
// request had been let in or had crossed already.
func (f *fleet) forgedHeaders(t *testing.T) {
	for _, h := range []string{"Verbenadale-Hops", "Verbenadale-Crossings", "Verbenadale-Attempt", "Verbenadale-Region", "Verbenadale-Outcome"} {
		for _, m := range f.hosts {
			rep := postWith(t, m.callers()+"/v1/chat/completions", "key-home", chatBody("confined", "x", 2), map[string]string{h: "0"})
			if diff := cmp.Diff(codes.ForgedEnvelope.ID, refusalOf(rep).Error.Code); diff != "" {
				t.Errorf("%s at %s (-want +got):\n%s", h, m.id, diff)
			}
		}
	}
}

// A host with a valid certificate passes confined requests on to a region that
// they may not enter, with their bodies unasked. The receiver goes by its own
// configuration. What is not confined is let in, so that the refusals are not
// those of a link that does not work.
func (f *fleet) forgedEnvelope(t *testing.T) {
	g := f.forge(f.host("erdenet-1"), "stray-1", placeOf("uvs"))
	body := chatBody("confined", "x", 2)
	refused := fate{Result: event.ResultNotRun, Code: codes.OutsideResidency.ID}
	for _, profile := range []ident.Profile{"confined", "home"} {
		got := g.pass(event.Request{ID: "req-forged", Account: "family", Profile: profile}, g.envelope(), body)
		if diff := cmp.Diff(refused, got); diff != "" {
			t.Errorf("%s (-want +got):\n%s", profile, diff)
		}
	}
	env := g.envelope()
	env.Crossings, env.Visited, env.Revision = 0, nil, 1<<40
	got := g.pass(event.Request{ID: "req-forged", Account: "family", Profile: "confined"}, env, body)
	if diff := cmp.Diff(refused, got); diff != "" {
		t.Errorf("with another envelope (-want +got):\n%s", diff)
	}
	env.Attempt.Entry = "uvs-1"
	got = g.pass(event.Request{ID: "req-forged", Account: "family", Profile: "draft"}, env, body)
	if diff := cmp.Diff(fate{Result: event.ResultNotRun, Code: codes.ForgedEnvelope.ID}, got); diff != "" {
		t.Errorf("under another host's name (-want +got):\n%s", diff)
	}
	got = g.pass(event.Request{ID: "req-open", Account: "family", Profile: "draft", MaxTokens: 2}, g.envelope(), chatBody("draft", "x", 2))
	if diff := cmp.Diff(fate{Wanted: true, Result: event.ResultDone}, got); diff != "" {
		t.Errorf("not confined (-want +got):\n%s", diff)
	}
	if n := f.engineLedger("erdenet-e1").Requests["req-forged"]; n != 0 {
		t.Errorf("an engine outside got %d forged requests", n)
	}
}

// minCrossed is how many requests that may leave must have left before the
// test believes that the confined ones could have.
const minCrossed = 5

// The home region has more work than it can do and believes that the other has
// room for all of it, so that whatever may leave does. Confined requests wait
// or are refused.
func (f *fleet) overload(t *testing.T) {
	f.feign("uvs", "erdenet", rules.Serve{Model: "draft"})
	var confined []ident.RequestID
	before := len(f.engineLedger("erdenet-e1").Requests)
	crossed := func() int {
		away := f.engineLedger("erdenet-e1").Requests
		for _, id := range confined {
			if away[string(id)] > 0 {
				t.Fatalf("the confined request %s ran outside", id)
			}
		}
		return len(away) - before
	}
	for wave := 0; crossed() < minCrossed; wave++ {
		if wave == 10 {
			t.Fatalf("after %d waves only %d requests that may leave have left", wave, crossed())
		}
		confined = append(confined, f.wave(t)...)
	}
	crossed()
	if len(confined) == 0 {
		t.Error("no confined request ran")
	}
}

// wave sends many requests at once and returns the ids of those that are
// confined. Each has run whole or not at all.
func (f *fleet) wave(t *testing.T) []ident.RequestID {
	t.Helper()
	var mu sync.Mutex
	var ids []ident.RequestID
	var wg sync.WaitGroup
	for n := range 48 {
		profile := []string{"confined", "home", "draft"}[n%3]
		m := f.at("uvs")[n/3%2]
		wg.Go(func() {
			rep := post(t, m.callers()+"/v1/chat/completions", "key-home", chatBody(profile, "load", 30))
			if rep.status != http.StatusOK && refusalOf(rep).Error.Outcome != event.NotRun {
				t.Errorf("%s at %s: %d %s", profile, m.id, rep.status, rep.body)
			}
			if profile != "draft" {
				mu.Lock()
				defer mu.Unlock()
				ids = append(ids, ident.RequestID(rep.header.Get("Verbenadale-Request-Id")))
			}
		})
	}
	wg.Wait()
	return ids
}

// sorted compares lists of text in any order.
var sorted = cmp.Transformer("sorted", func(in []string) string {
	return strings.Join(slices.Sorted(slices.Values(in)), " ")
})
