package once

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/pkg/codes"
	"verbenadale.example/verbenadale/pkg/ident"
)

// Guards against a claim whose write is reported as failed but takes effect late: the
// key of a request that never ran must not be blocked.
func TestLateClaimWriteIsRecognised(t *testing.T) {
	rg := New("a", 5)
	rg.usedKeyDropped = true // the usual state after an hour, when records have expired
	first := rg.UseKey(0, "k", "p", "r1")
	got := []Verdict{
		rg.ClaimAnswered(0, "r1", event.ClaimFailed, event.KeyRecord{}),
		rg.UseKey(1, "k", "p", "r2"),
		rg.ClaimAnswered(1, "r2", event.ClaimTaken, first.Record),
	}
	want := []Verdict{
		refuse(codes.StoreDown, event.NotRun),
		{Action: Claim, Record: event.KeyRecord{Entry: "a", Incarnation: 5, Request: "r1", Fingerprint: "p"}},
		{Action: Run},
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("(-want +got):\n%s", diff)
	}
}

// Guards against running a request again, or reporting it as not run, when its key is
// on record for another host or incarnation.
func TestKeyTaken(t *testing.T) {
	for name, tc := range map[string]struct {
		rec  event.KeyRecord
		want Verdict
	}{
		"other host":          {event.KeyRecord{Entry: "b", Incarnation: 3, Request: "x", Fingerprint: "p"}, ownedBy("b", 3)},
		"later incarnation":   {event.KeyRecord{Entry: "a", Incarnation: 6, Request: "x", Fingerprint: "p"}, ownedBy("a", 6)},
		"earlier incarnation": {event.KeyRecord{Entry: "a", Incarnation: 4, Request: "x", Fingerprint: "p"}, refuse(codes.OutcomeUnknown, event.Unknown)},
		"other content":       {event.KeyRecord{Entry: "b", Incarnation: 3, Request: "x", Fingerprint: "q"}, refuse(codes.KeyReused, event.NotRun)},
	} {
		rg := New("a", 5)
		rg.UseKey(0, "k", "p", "r1")
		got := []Verdict{rg.ClaimAnswered(0, "r1", event.ClaimTaken, tc.rec), rg.UseKey(1, "k", "p", "r2")}
		if diff := cmp.Diff([]Verdict{tc.want, tc.want}, got); diff != "" {
			t.Errorf("%s (-want +got):\n%s", name, diff)
		}
	}
}

// Guards against a ticket being redeemed with a guessed secret, by another account, at
// another host or after it has expired.
func TestRedeemRefused(t *testing.T) {
	const text = "a/5/1/s3cret"
	late := ident.Time(0).Add(ticketTTL)
	for name, tc := range map[string]struct {
		now     ident.Time
		ticket  string
		account ident.Account
		profile ident.Profile
		want    Verdict
	}{
		"no ticket":           {0, "nonsense", "acme", "book", refuse(codes.BadTicket, event.NotRun)},
		"never issued":        {0, "a/5/2/s3cret", "acme", "book", refuse(codes.BadTicket, event.NotRun)},
		"wrong secret":        {0, "a/5/1/guessed", "acme", "book", refuse(codes.BadTicket, event.NotRun)},
		"other account":       {0, text, "other", "book", refuse(codes.BadTicket, event.NotRun)},
		"other profile":       {0, text, "acme", "other", refuse(codes.BadTicket, event.NotRun)},
		"other host":          {0, "b/3/1/s3cret", "acme", "book", ownedBy("b", 3)},
		"later incarnation":   {0, "a/6/1/s3cret", "acme", "book", ownedBy("a", 6)},
		"earlier incarnation": {0, "a/4/1/s3cret", "acme", "book", refuse(codes.OutcomeUnknown, event.Unknown)},
		"expired":             {late, text, "acme", "book", refuse(codes.BadTicket, event.NotRun)},
	} {
		rg := New("a", 5)
		if got, _, _ := rg.IssueTicket(0, "acme", "book", "s3cret"); got != text {
			t.Fatalf("issued %s, want %s", got, text)
		}
		if diff := cmp.Diff(tc.want, rg.Redeem(tc.now, tc.ticket, tc.account, tc.profile, "r1", "p")); diff != "" {
			t.Errorf("%s (-want +got):\n%s", name, diff)
		}
	}
}
