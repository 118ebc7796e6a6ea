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

// confinedItems returns a profile confined to listed regions, one confined to the home region of
// the account, and an account whose home is uvs.
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

// expectResult is the answer to a request with Expect: 100-continue. BodyRequested is set if the
// host asked for the body.
type expectResult struct {
	BodyRequested bool
	Status        int
	Code          codes.ID
	Outcome       event.Outcome
	Entries       []string
}

// sendWithExpect sends the head of a request with Expect: 100-continue, and the body only if the
// host asks for it.
func sendWithExpect(t *testing.T, m *fleetHost, profile, body string) expectResult {
	t.Helper()
	conn, err := net.Dial("tcp", m.settings.Callers.Listen)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(testTimeout))
	fmt.Fprintf(conn, "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer key-home\r\n"+
		"Content-Type: application/json\r\nVerbenadale-Profile: %s\r\nExpect: 100-continue\r\nContent-Length: %d\r\n\r\n", profile, len(body))
	br := bufio.NewReader(conn)
	var got expectResult
	for {
		res, err := http.ReadResponse(br, nil)
		if err != nil {
			t.Fatal(err)
		}
		if res.StatusCode == http.StatusContinue {
			got.BodyRequested = true
			fmt.Fprint(conn, body)
			continue
		}
		b, _ := io.ReadAll(res.Body)
		res.Body.Close()
		got.Status = res.StatusCode
		got.fill(b)
		return got
	}
}

func (got *expectResult) fill(b []byte) {
	var r refusalBody
	if json.Unmarshal(b, &r) == nil {
		got.Code, got.Outcome, got.Entries = r.Error.Code, r.Error.Outcome, r.Error.Entries
	}
}

func refusalOf(rep reply) refusalBody {
	var r refusalBody
	_ = json.Unmarshal([]byte(rep.body), &r)
	return r
}

// Data that must stay in one region must not be sent to another, also under load.
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
	t.Run("wrong entry host", f.testWrongEntry)
	t.Run("forged headers", f.testForgedHeaders)
	t.Run("forged envelope", f.testForgedEnvelope)
	t.Run("overload", f.testOverload)
}

func placeOf(name string) event.Place {
	return event.Place{DataCentre: ident.DataCentre(name), Region: ident.Region(name)}
}

// A caller sends a confined request to a host in the wrong region. The host must name the right
// hosts without asking for the body; a right host asks for it.
func (f *fleet) testWrongEntry(t *testing.T) {
	right := []string{f.host("uvs-1").callers(), f.host("uvs-2").callers()}
	for _, profile := range []string{"confined", "home"} {
		body := chatBody(profile, "a notice", 2)
		eventually(t, "all the right hosts are named", func() bool {
			return len(sendWithExpect(t, f.host("erdenet-1"), profile, body).Entries) == len(right)
		})
		for _, m := range f.hostsIn("erdenet") {
			got := sendWithExpect(t, m, profile, body)
			want := expectResult{Status: http.StatusMisdirectedRequest, Code: codes.OutsideResidency.ID, Outcome: event.NotRun, Entries: right}
			if diff := cmp.Diff(want, got, sorted); diff != "" {
				t.Errorf("%s at %s (-want +got):\n%s", profile, m.id, diff)
			}
		}
		got := sendWithExpect(t, f.host("uvs-1"), profile, body)
		if diff := cmp.Diff(expectResult{BodyRequested: true, Status: http.StatusOK}, got); diff != "" {
			t.Errorf("%s at uvs-1 (-want +got):\n%s", profile, diff)
		}
	}
}

// A caller sets the internal headers of hosts and targets, as if its request had been admitted or
// forwarded before.
func (f *fleet) testForgedHeaders(t *testing.T) {
	for _, h := range []string{"Verbenadale-Hops", "Verbenadale-Crossings", "Verbenadale-Attempt", "Verbenadale-Region", "Verbenadale-Outcome"} {
		for _, m := range f.hosts {
			rep := postWith(t, m.callers()+"/v1/chat/completions", "key-home", chatBody("confined", "x", 2), map[string]string{h: "0"})
			if diff := cmp.Diff(codes.ForgedEnvelope.ID, refusalOf(rep).Error.Code); diff != "" {
				t.Errorf("%s at %s (-want +got):\n%s", h, m.id, diff)
			}
		}
	}
}

// A host with a valid certificate forwards confined requests to a region that they may not enter, and
// sends their bodies without being asked. The recipient must decide by its own configuration. An
// unconfined request is accepted, which shows that the link works.
func (f *fleet) testForgedEnvelope(t *testing.T) {
	rh := f.startRogue(f.host("erdenet-1"), "stray-1", placeOf("uvs"))
	body := chatBody("confined", "x", 2)
	refused := forwardResult{Result: event.ResultNotRun, Code: codes.OutsideResidency.ID}
	for _, profile := range []ident.Profile{"confined", "home"} {
		got := rh.forward(event.Request{ID: "req-forged", Account: "family", Profile: profile}, rh.envelope(), body)
		if diff := cmp.Diff(refused, got); diff != "" {
			t.Errorf("%s (-want +got):\n%s", profile, diff)
		}
	}
	env := rh.envelope()
	env.Crossings, env.Visited, env.Revision = 0, nil, 1<<40
	got := rh.forward(event.Request{ID: "req-forged", Account: "family", Profile: "confined"}, env, body)
	if diff := cmp.Diff(refused, got); diff != "" {
		t.Errorf("with another envelope (-want +got):\n%s", diff)
	}
	env.Attempt.Entry = "uvs-1"
	got = rh.forward(event.Request{ID: "req-forged", Account: "family", Profile: "draft"}, env, body)
	if diff := cmp.Diff(forwardResult{Result: event.ResultNotRun, Code: codes.ForgedEnvelope.ID}, got); diff != "" {
		t.Errorf("with the id of another host (-want +got):\n%s", diff)
	}
	got = rh.forward(event.Request{ID: "req-open", Account: "family", Profile: "draft", MaxTokens: 2}, rh.envelope(), chatBody("draft", "x", 2))
	if diff := cmp.Diff(forwardResult{BodyRequested: true, Result: event.ResultDone}, got); diff != "" {
		t.Errorf("not confined (-want +got):\n%s", diff)
	}
	if n := f.engineLedger("erdenet-e1").Requests["req-forged"]; n != 0 {
		t.Errorf("an engine outside the region got %d forged requests", n)
	}
}

// minCrossed is how many unconfined requests must leave the region, to show that confined ones
// could have.
const minCrossed = 5

// The home region is overloaded and considers the other one idle, so that every request that may
// leave does. Confined requests must wait or be refused.
func (f *fleet) testOverload(t *testing.T) {
	f.reportIdle("uvs", "erdenet", rules.Serve{Model: "draft"})
	var confined []ident.RequestID
	before := len(f.engineLedger("erdenet-e1").Requests)
	// crossed counts the requests that ran in the other region, and fails the test if one of them was
	// confined.
	crossed := func() int {
		ran := f.engineLedger("erdenet-e1").Requests
		for _, id := range confined {
			if ran[string(id)] > 0 {
				t.Fatalf("the confined request %s ran outside its region", id)
			}
		}
		return len(ran) - before
	}
	for burst := 0; crossed() < minCrossed; burst++ {
		if burst == 10 {
			t.Fatalf("after %d bursts only %d unconfined requests ran in the other region", burst, crossed())
		}
		confined = append(confined, f.sendMixedBurst(t)...)
	}
	crossed()
	if len(confined) == 0 {
		t.Error("no confined request was sent")
	}
}

// sendMixedBurst sends many requests at once, confined and unconfined, and returns the ids of the
// confined ones. Each must either be done or be reported as not run.
func (f *fleet) sendMixedBurst(t *testing.T) []ident.RequestID {
	t.Helper()
	var mu sync.Mutex
	var ids []ident.RequestID
	var wg sync.WaitGroup
	for n := range 48 {
		profile := []string{"confined", "home", "draft"}[n%3]
		m := f.hostsIn("uvs")[n/3%2]
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

// sorted compares lists of strings in any order.
var sorted = cmp.Transformer("sorted", func(in []string) string {
	return strings.Join(slices.Sorted(slices.Values(in)), " ")
})
