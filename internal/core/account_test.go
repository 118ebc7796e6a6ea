package core_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"verbenadale.example/verbenadale/internal/core"
	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/pkg/codes"
	"verbenadale.example/verbenadale/pkg/ident"
	"verbenadale.example/verbenadale/pkg/rules"
	"verbenadale.example/verbenadale/pkg/value"
)

// accountHost returns a host with one target and the given account. Its route fetch is public.
func accountHost(t *testing.T, bounds core.Bounds, c rules.Client) *testHost {
	t.Helper()
	h := newTestHost(t, 1, bounds)
	public := routeProfile("fetch", rules.Idempotent, 2)
	public.Public = true
	h.step(event.SnapshotReceived{Book: rules.FromStatic(2, rules.StaticConfig{
		Profiles: []rules.Profile{public, routeProfile("publish", rules.NonIdempotent, 1)}, Clients: []rules.Client{c},
	})})
	return h
}

// ask sends a request of an account and returns the effects.
func (h *testHost) ask(account ident.Account, profile ident.Profile, prompt ident.Tokens) []event.Effect {
	h.n++
	return h.step(event.RequestArrived{Request: event.Request{
		ID: ident.RequestID(fmt.Sprint("a", h.n)), Account: account, Profile: profile, Prompt: prompt, Deadline: h.now.Add(5 * time.Second),
	}})
}

// refusalOf returns the code of the refusal among the effects, empty if there is none.
func refusalOf(effs []event.Effect) codes.ID {
	ref, _ := pick[event.Refuse](effs)
	return ref.Code
}

func checkRefusal(t *testing.T, what string, want codes.ID, effs []event.Effect) {
	t.Helper()
	if diff := cmp.Diff(want, refusalOf(effs)); diff != "" {
		t.Errorf("%s (-want +got):\n%s", what, diff)
	}
}

// Guards against a request without an account at a route that needs a key, whatever the front that
// accepted it.
func TestAnonymousRequestsOfPublicRoutesOnly(t *testing.T) {
	h := accountHost(t, core.Bounds{}, rules.Client{Name: "acme"})
	checkRefusal(t, "public", "", h.ask(rules.Anonymous, "fetch", 0))
	checkRefusal(t, "needs a key", codes.UnknownKey.ID, h.ask(rules.Anonymous, "publish", 0))
	checkRefusal(t, "unknown account", codes.UnknownKey.ID, h.ask("other", "publish", 0))
	checkRefusal(t, "known account", "", h.ask("acme", "publish", 0))
}

// Guards against keys that are accepted longer than allowed by a host that receives no changes,
// and against a host that refuses all keys although a peer confirms its configuration.
func TestKeysExpireWithoutConfirmation(t *testing.T) {
	const ttl = 5 * time.Second
	h := accountHost(t, core.Bounds{KeyTTL: ttl}, rules.Client{Name: "acme"})
	h.step(event.ListRead{})
	h.now = h.now.Add(ttl - time.Second)
	checkRefusal(t, "before the time", "", h.ask("acme", "publish", 0))
	h.now = h.now.Add(2 * time.Second)
	checkRefusal(t, "after the time", codes.StaleKeys.ID, h.ask("acme", "publish", 0))
	checkRefusal(t, "public route", "", h.ask(rules.Anonymous, "fetch", 0))
	peer := event.Host{ID: "w2", Incarnation: 1, Place: event.Place{DataCentre: "west-a", Region: "west", Reach: "west"}}
	h.step(event.DigestReceived{Digest: event.Digest{Host: peer, Seq: 1, Revision: 3, ListConfirmed: true}})
	checkRefusal(t, "a peer has a newer revision", codes.StaleKeys.ID, h.ask("acme", "publish", 0))
	h.step(event.DigestReceived{Digest: event.Digest{Host: peer, Seq: 2, Revision: 2, ListConfirmed: true, ListAge: ttl}})
	checkRefusal(t, "an old confirmation", codes.StaleKeys.ID, h.ask("acme", "publish", 0))
	h.step(event.DigestReceived{Digest: event.Digest{Host: peer, Seq: 3, Revision: 2, ListConfirmed: true, ListAge: time.Second}})
	checkRefusal(t, "confirmed by a peer", "", h.ask("acme", "publish", 0))
}

// Guards against requests that don't state their size and so pass any limit, and against credit that
// is lost when a request is refused.
func TestUnstatedAndRefusedRequestsCount(t *testing.T) {
	c := rules.Client{Name: "acme", TokensPerMinute: 60, TokenBurst: value.Some(ident.Tokens(1000)), UnstatedTokens: 400}
	h := accountHost(t, core.Bounds{}, c)
	checkRefusal(t, "first", "", h.ask("acme", "publish", 0))
	effs := h.ask("acme", "publish", 0)
	checkRefusal(t, "second", "", effs)
	checkRefusal(t, "third", codes.AccountLimit.ID, h.ask("acme", "publish", 0))
	d, _ := pick[event.Dispatch](effs)
	h.end(event.AttemptEnded{Attempt: d.Attempt, Result: event.ResultNotRun})
	checkRefusal(t, "after one was not run", "", h.ask("acme", "publish", 0))
}

// Guards against a request that runs outside the regions of its account.
func TestRegionsOfAnAccount(t *testing.T) {
	h := accountHost(t, core.Bounds{}, rules.Client{Name: "acme", Regions: []ident.Region{"east"}})
	effs := h.ask("acme", "publish", 0)
	if d, ok := pick[event.Dispatch](effs); ok {
		t.Errorf("the request is sent to %s in the west", d.Target.ID)
	}
	inside := accountHost(t, core.Bounds{}, rules.Client{Name: "acme", Regions: []ident.Region{"east", "west"}})
	checkRefusal(t, "inside", "", inside.ask("acme", "publish", 0))
}

// Guards against a caller that gets 401 for a valid key because the host to which its request is
// forwarded has an older configuration.
func TestForwardedRequestOfAnUnknownAccount(t *testing.T) {
	h := newTestHost(t, 0, core.Bounds{RetryRatio: 1, RetryFloor: 100})
	h.remoteRegion(4)
	f, ok := pick[event.Forward](h.forward("r1"))
	if !ok {
		t.Fatal("the request is not forwarded")
	}
	h.step(event.AttemptSent{Attempt: f.Envelope.Attempt})
	effs := h.end(event.AttemptEnded{Attempt: f.Envelope.Attempt, Result: event.ResultNotRun, Code: codes.UnknownKey.ID})
	if ref, ok := pick[event.Refuse](effs); ok && (ref.Code == codes.UnknownKey.ID || ref.Outcome != event.NotRun) {
		t.Errorf("the caller gets %s, outcome %s", ref.Code, ref.Outcome)
	}
}

// Guards against keys that count as confirmed by messages that lay in a socket while this host was paused: the key may
// have been taken away meanwhile.
func TestKeysAreNotConfirmedByMessagesFromBeforeAPause(t *testing.T) {
	const ttl = 5 * time.Second
	peer := event.Host{ID: "w2", Incarnation: 1, Place: event.Place{DataCentre: "west-a", Region: "west", Reach: "west"}}
	h := accountHost(t, core.Bounds{KeyTTL: ttl}, rules.Client{Name: "acme"})
	h.step(event.DigestReceived{Digest: event.Digest{Host: peer, Seq: 1, Revision: 2, ListConfirmed: true}})
	checkRefusal(t, "before the pause", "", h.ask("acme", "publish", 0))
	h.now = h.now.Add(4 * ttl)
	h.step(event.DigestReceived{Digest: event.Digest{Host: peer, Seq: 2, Revision: 2, ListConfirmed: true}})
	checkRefusal(t, "after a pause, by a message that may have been sent before it", codes.StaleKeys.ID, h.ask("acme", "publish", 0))
	h.now = h.now.Add(3 * time.Second)
	h.step(event.Tick{})
	h.now = h.now.Add(time.Second)
	h.step(event.DigestReceived{Digest: event.Digest{Host: peer, Seq: 3, Revision: 2, ListConfirmed: true}})
	checkRefusal(t, "confirmed after the pause", "", h.ask("acme", "publish", 0))
}
