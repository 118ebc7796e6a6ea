package once

import (
	"crypto/subtle"
	"strconv"
	"strings"
	"time"

	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/pkg/codes"
	"verbenadale.example/verbenadale/pkg/ident"
)

// ticketFields are the parts of a ticket's text. The number finds the record, the
// secret proves that the ticket was issued and not guessed.
type ticketFields struct {
	entry  ident.EntryID
	inc    ident.Incarnation
	number uint64
	secret string
}

// ticketParts is the number of parts of a ticket's text, separated by slashes.
const ticketParts = 4

func (t ticketFields) String() string {
	return strings.Join([]string{
		string(t.entry), strconv.FormatUint(uint64(t.inc), 10), strconv.FormatUint(t.number, 10), t.secret,
	}, "/")
}

func parseTicket(s string) (ticketFields, bool) {
	parts := strings.Split(s, "/")
	if len(parts) != ticketParts || parts[0] == "" || parts[3] == "" {
		return ticketFields{}, false
	}
	inc, err := strconv.ParseUint(parts[1], 10, 64)
	if err != nil {
		return ticketFields{}, false
	}
	n, err := strconv.ParseUint(parts[2], 10, 64)
	if err != nil || n == 0 {
		return ticketFields{}, false
	}
	return ticketFields{entry: ident.EntryID(parts[0]), inc: ident.Incarnation(inc), number: n, secret: parts[3]}, true
}

// TicketOwner returns the entry host and incarnation that a ticket names. Any host can
// parse a ticket; only its owner can verify it.
func TicketOwner(ticket string) (ident.EntryID, ident.Incarnation, bool) {
	t, ok := parseTicket(ticket)
	return t.entry, t.inc, ok
}

// IssueTicket issues a ticket for one request of an account with a profile and returns
// its validity. The caller passes the secret, since the registry has no source of
// randomness. A non-empty code means that no ticket was issued.
func (rg *Registry) IssueTicket(
	now ident.Time, account ident.Account, profile ident.Profile, secret string,
) (string, time.Duration, codes.ID) {
	rg.advance(now)
	if secret == "" || strings.Contains(secret, "/") {
		return "", 0, codes.BadRequest.ID
	}
	if rg.unusedByAccount[account] >= rg.bounds.accountTickets {
		return "", 0, codes.AccountLimit.ID
	}
	if rg.unusedTotal >= rg.bounds.tickets || !rg.makeRoom() {
		return "", 0, codes.Overloaded.ID
	}
	rg.issued++
	rec := &record{
		ticket: rg.issued, secret: secret, account: account, profile: profile,
		expires: rg.now.Add(ticketTTL),
	}
	rg.tickets[rec.ticket] = rec
	rg.countUnused(account, 1)
	rg.add(rec, rec.expires)
	return ticketFields{entry: rg.self, inc: rg.inc, number: rec.ticket, secret: secret}.String(), ticketTTL, ""
}

// Redeem decides on a request with a ticket.
func (rg *Registry) Redeem(
	now ident.Time, ticket string, account ident.Account, profile ident.Profile, req ident.RequestID, fingerprint string,
) Verdict {
	rg.advance(now)
	t, ok := parseTicket(ticket)
	if !ok {
		return refuse(codes.BadTicket, event.NotRun)
	}
	if t.entry != rg.self || t.inc > rg.inc {
		return ownedBy(t.entry, t.inc)
	}
	if t.inc < rg.inc {
		return refuse(codes.OutcomeUnknown, event.Unknown)
	}
	rec, ok := rg.tickets[t.number]
	if !ok {
		return rg.unknownTicket(t)
	}
	if subtle.ConstantTimeCompare([]byte(rec.secret), []byte(t.secret)) == 0 ||
		rec.account != account || rec.profile != profile {
		return refuse(codes.BadTicket, event.NotRun)
	}
	return rg.redeem(rec, req, fingerprint)
}

func (rg *Registry) redeem(rec *record, req ident.RequestID, fingerprint string) Verdict {
	if rec.state != available {
		return verdictForRepeat(rec, fingerprint)
	}
	if rg.now >= rec.expires {
		return refuse(codes.BadTicket, event.NotRun)
	}
	if _, ok := rg.byRequest[req]; ok {
		return refuse(codes.InProgress, event.Unknown)
	}
	rec.print = fingerprint
	return rg.start(rec, req)
}

// unknownTicket answers for a ticket that is not in memory. A number above the floor
// can't have run, because dropping a ticket that may have run raises the floor.
func (rg *Registry) unknownTicket(t ticketFields) Verdict {
	if t.number <= rg.ticketFloor {
		return refuse(codes.OutcomeUnknown, event.Unknown)
	}
	return refuse(codes.BadTicket, event.NotRun)
}
