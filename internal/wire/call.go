package wire

import (
	"net/http"
	"slices"
	"time"

	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/pkg/codes"
	"verbenadale.example/verbenadale/pkg/ident"
)

// FromEnvelope converts an envelope. It leaves out the sender and its place, which the
// session already knows.
func FromEnvelope(e event.Envelope) *Envelope {
	return &Envelope{
		Attempt: fromAttempt(e.Attempt), To: uint64(e.ToIncarnation), Crossings: uint32(e.Crossings),
		Seen: convert(e.Visited, func(id ident.EntryID) string { return string(id) }), Revision: uint64(e.Revision),
	}
}

// ToEvent converts an envelope received from an authenticated host.
func (p *Envelope) ToEvent(from event.Host) event.Envelope {
	return event.Envelope{
		Attempt: toAttempt(p.GetAttempt()), ToIncarnation: ident.Incarnation(p.GetTo()),
		From: from.ID, FromPlace: from.Place, Crossings: ident.Hops(p.GetCrossings()),
		Visited:  convert(p.GetSeen(), func(id string) ident.EntryID { return ident.EntryID(id) }),
		Revision: ident.Revision(p.GetRevision()),
	}
}

func fromAttempt(a ident.Attempt) *Attempt {
	return &Attempt{Entry: string(a.Entry), Incarnation: uint64(a.Incarnation), Number: a.Number}
}

func toAttempt(p *Attempt) ident.Attempt {
	return ident.Attempt{
		Entry: ident.EntryID(p.GetEntry()), Incarnation: ident.Incarnation(p.GetIncarnation()), Number: p.GetNumber(),
	}
}

// FromHeader converts a header, sorted by name.
func FromHeader(h http.Header) []*Field {
	fs := make([]*Field, 0, len(h))
	for k, vs := range h {
		fs = append(fs, &Field{Name: k, Values: vs})
	}
	slices.SortFunc(fs, func(x, y *Field) int {
		if x.Name < y.Name {
			return -1
		}
		return 1
	})
	return fs
}

// ToHeader converts fields back to a header.
func ToHeader(fs []*Field) http.Header {
	h := make(http.Header, len(fs))
	for _, f := range fs {
		for _, v := range f.GetValues() {
			h.Add(f.GetName(), v)
		}
	}
	return h
}

// FromRequest converts a request with its remaining time. The ticket and the idempotency
// key are left out: the host that accepted the call is responsible for them.
func FromRequest(r event.Request, env event.Envelope, remaining time.Duration) *Open {
	return &Open{
		Envelope: FromEnvelope(env), Request: string(r.ID), Account: string(r.Account),
		Profile: string(r.Profile), Prompt: int64(r.Prompt), MaxTokens: int64(r.MaxTokens),
		Stream: r.Stream, LeftMs: millis(remaining), Service: r.Service, Content: uint64(r.Content),
		EndedRuns: convert(r.EndedRuns, fromRun), Origin: uint64(r.Origin), TakenUp: r.TakenUp,
		Build: string(r.Build),
	}
}

// TimeLeft returns the remaining time of the request.
func (p *Open) TimeLeft() time.Duration { return duration(p.GetLeftMs()) }

var results = enumOf([]event.Result{
	"", event.ResultDone, event.ResultNotRun, event.ResultBroken, event.ResultFailed,
})

// FromEnd converts the end of an attempt, with the number of bytes of its answer.
func FromEnd(e event.AttemptEnded, bytes uint64) *End {
	return &End{
		Result: Result(results.number(e.Result)), Code: string(e.Code), Status: uint32(e.Status),
		RetryAfterMs: millis(e.RetryAfter), Generated: int64(e.Generated), Cached: int64(e.Cached),
		Draining: e.Draining, Resumable: e.Resumable, Bytes: bytes, Disconnected: e.Disconnected,
		EndedRuns: convert(e.EndedRuns, fromRun),
	}
}

// ToEvent converts the end of an attempt back.
func (p *End) ToEvent() (event.AttemptEnded, error) {
	res, err := results.value(int32(p.GetResult()))
	if err != nil {
		return event.AttemptEnded{}, err
	}
	return event.AttemptEnded{
		Result: res, Code: codes.ID(p.GetCode()), Status: int(p.GetStatus()),
		RetryAfter: duration(p.GetRetryAfterMs()), Generated: tokens(p.GetGenerated()),
		Cached: tokens(p.GetCached()), Draining: p.GetDraining(), Resumable: p.GetResumable(),
		Disconnected: p.GetDisconnected(), EndedRuns: convert(p.GetEndedRuns(), toRun),
	}, nil
}
