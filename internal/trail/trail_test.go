package trail

import (
	"bytes"
	"regexp"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sebdah/goldie/v2"

	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/internal/logs"
	"verbenadale.example/verbenadale/pkg/codes"
	"verbenadale.example/verbenadale/pkg/ident"
	"verbenadale.example/verbenadale/pkg/rules"
	"verbenadale.example/verbenadale/pkg/value"
)

var timestamp = regexp.MustCompile(`time=\S+ `)

func newAttempt(n uint64) ident.Attempt { return ident.Attempt{Entry: "e", Incarnation: 1, Number: n} }

// The log lines must match the ones that docs/OPERATIONS.md explains.
func TestLines(t *testing.T) {
	var out bytes.Buffer
	tr := New(logs.New(&out, logs.NewLevel(0)), metrics.NewRegistry())
	at := ident.Time(time.Second)
	basis := event.Basis{Account: "acme", Profile: "draft", Revision: 7, Attempts: 1, Waited: 3 * time.Millisecond, PredictedWait: 40 * time.Millisecond, Content: 0xfeed, InFlight: 2, LoadAge: 9 * time.Millisecond, ExpectedEvents: 48, EventGap: 120 * time.Millisecond, RemoteEventGap: 30 * time.Millisecond, ForwardedShare: 0.254, RemotePrefillRoom: 64000}
	tr.Record(at, event.Tick{}, []event.Effect{
		event.InForceNow{Book: rules.FromStatic(7, rules.StaticConfig{})},
		event.Dispatch{Request: "a.1", Attempt: newAttempt(1), Target: event.Target{ID: "t", Service: "writers", Build: "v1.1"}, CopyFrom: event.Holder{Target: "u"}, Basis: basis},
		event.Forward{Request: "b.2", To: event.Host{ID: "h", Place: event.Place{Region: "east"}}, Envelope: event.Envelope{Attempt: newAttempt(2)}, Service: "writers", Basis: basis},
		event.Refuse{Request: "c.3", Code: codes.NoTarget.ID, Outcome: event.NotRun, RetryAfter: time.Second, Basis: basis},
		event.Refuse{Request: "d.4", Code: codes.TargetFailed.ID, Outcome: event.Unknown, Basis: basis, Denial: event.Denial{Reason: event.DeniedBudget, Attempts: 1, MaxAttempts: 2, Retries: 3, MaxRetries: 3.25}, Ending: event.Ending{Side: event.SideTarget, Reason: event.ReasonClosed}},
	})
	shared := basis
	shared.Parts = []ident.Content{0xaaaa, 0xbbbb}
	tr.Record(at, event.Tick{}, []event.Effect{
		event.Dispatch{Request: "a.6", Attempt: newAttempt(6), Target: event.Target{ID: "t", Service: "writers"}, Basis: shared},
		event.Refuse{Request: "a.6", Code: codes.PoisonRequest.ID, Outcome: event.Unknown, Basis: shared},
	})
	tr.Record(at, event.AttemptEnded{Attempt: newAttempt(6), Result: event.ResultBroken, Disconnected: true, TargetEnded: true}, nil)
	tr.Record(at, event.AttemptEnded{Attempt: newAttempt(6), Result: event.ResultNotRun, Status: 503, RetryAfter: 2500 * time.Millisecond}, nil)
	tr.Record(at, event.AttemptEnded{Attempt: newAttempt(6), Result: event.ResultDone, Status: 200, Unframed: true, ProvenWhole: true}, nil)
	tr.Record(at, event.AttemptEnded{Attempt: newAttempt(6), Result: event.ResultBroken, Status: 200, Unframed: true, Disconnected: true}, nil)
	tr.Record(at, event.AttemptEnded{Attempt: newAttempt(6), Result: event.ResultBroken, Status: 200, Fault: "truncated", Unplaced: true}, nil)
	takenUp := basis
	takenUp.Origin, takenUp.TakenUp, takenUp.BuildFrom, takenUp.ListAge = 0xabc, true, event.BuildOnlyOne, 1500*time.Millisecond
	tr.Record(at, event.Tick{}, []event.Effect{
		event.Dispatch{Request: "a.8", Attempt: newAttempt(8), Target: event.Target{ID: "t", Service: "writers", Build: "v1.1"}, ResumeAfter: 4, Basis: takenUp},
		event.Forward{Request: "a.8", To: event.Host{ID: "h", Place: event.Place{Region: "east"}}, Envelope: event.Envelope{Attempt: newAttempt(10)}, Service: "writers", Build: "v1.1", Basis: takenUp},
	})
	limited := basis
	limited.RateLimit, limited.RateLimitAge = value.Some(1.5), 250*time.Millisecond
	tr.Record(at, event.Tick{}, []event.Effect{
		event.Dispatch{Request: "a.9", Attempt: newAttempt(9), Target: event.Target{ID: "t", Service: "writers"}, Basis: limited},
	})
	silence := event.Silence{Since: 1, Duration: 2 * time.Second, AnswerBegan: true}
	tr.Record(at, event.Tick{}, []event.Effect{
		event.BreakOff{Request: "e.5", Attempt: newAttempt(5)},
		event.BreakOff{Request: "e.5", Attempt: newAttempt(6), Silence: silence},
		event.KeepAttempt{Request: "e.6", Attempt: newAttempt(7), Silence: silence, Denial: event.Denial{Reason: event.DeniedTime, Attempts: 1, PredictedWait: 854 * time.Millisecond, RemainingTime: 677 * time.Millisecond}},
	})
	tr.Record(at.Add(50*time.Millisecond), event.FirstToken{Attempt: newAttempt(1)}, nil)
	tr.Record(at.Add(90*time.Millisecond), event.AttemptEnded{Attempt: newAttempt(1), Result: event.ResultDone, Status: 200, Delivered: 5}, []event.Effect{event.Finish{Request: "a.1", Outcome: event.Done}})
	tr.Record(at.Add(95*time.Millisecond), event.AttemptEnded{Attempt: newAttempt(2), Result: event.ResultBroken, Disconnected: true, TargetEnded: true}, nil)
	tr.Record(at.Add(99*time.Millisecond), event.CallerLeft{Request: "b.2", Ending: event.Ending{Side: event.SideHost, Reason: event.ReasonStopped}}, nil)
	goldie.New(t).Assert(t, "lines", timestamp.ReplaceAll(out.Bytes(), nil))
}

// A flood of requests must not write lines without limit. Omitted lines must be counted, and
// refusals must be omitted last.
func TestLinesAreBounded(t *testing.T) {
	var out bytes.Buffer
	tr := New(logs.New(&out, logs.NewLevel(0)), metrics.NewRegistry())
	at := ident.Time(time.Second)
	for n := range 5000 {
		tr.Record(at, event.Tick{}, []event.Effect{event.Dispatch{Request: "a", Attempt: newAttempt(uint64(n))}})
	}
	tr.Record(at, event.Tick{}, []event.Effect{event.Refuse{Request: "r", Code: codes.NoTarget.ID}})
	if n := bytes.Count(out.Bytes(), []byte("\n")); n != maxRoutineLines+1 {
		t.Errorf("%d lines in a second", n)
	}
	if !bytes.Contains(out.Bytes(), []byte("request=r")) {
		t.Error("the refusal was omitted")
	}
	tr.Record(at.Add(time.Second), event.Tick{}, nil)
	if !bytes.Contains(out.Bytes(), []byte(`"decision lines left out" lines=4700`)) {
		t.Error("the number of omitted lines is not logged")
	}
}
