// Package trail writes a log line for each decision that affects a request or changes the state
// of the host.
//
// # Usage
//
//	tr := trail.New(log, registry)
//	lp := loop.New(loop.Config{Record: tr.Record, ...})
//
// The lines are made from the events and effects of the reducer itself, so a line states
// exactly what was decided. Each line about a request has the request's ID under "request". The
// number of lines per second is limited: lines beyond the limit are counted and omitted,
// routine lines before refusals and failures.
package trail

import (
	"math"
	"strings"
	"time"

	"github.com/go-logr/logr"
	"github.com/rcrowley/go-metrics"

	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/internal/meter"
	"verbenadale.example/verbenadale/pkg/codes"
	"verbenadale.example/verbenadale/pkg/ident"
)

// Limits of the log.
const (
	// maxRoutineLines is the number of lines of any kind in one second from which on routine
	// lines are omitted.
	maxRoutineLines = 300
	// maxLines is the number of lines in one second from which on all lines are omitted.
	maxLines = 900
	// maxTracked limits the tracked attempts. When it is reached, all of them are forgotten.
	maxTracked = 1 << 14
)

// Trail writes the lines. Its methods must be called from the control goroutine.
type Trail struct {
	log logr.Logger
	reg metrics.Registry

	currentSecond int64
	written       int
	omitted       int

	attempts    map[ident.Attempt]*attempt
	placedAfter metrics.Histogram
	firstByte   metrics.Histogram
}

// attempt is the state of an attempt in flight.
type attempt struct {
	request ident.RequestID
	content ident.Content
	parts   []ident.Content
	// target is the target, or the entry host to which the request was forwarded.
	target ident.TargetID
	sentAt ident.Time
	// firstByteAt is when the first byte of the answer was received, zero before.
	firstByteAt ident.Time
}

// New returns a Trail that logs to log and registers its metrics in reg.
func New(log logr.Logger, reg metrics.Registry) *Trail {
	return &Trail{
		log: log, reg: reg, attempts: make(map[ident.Attempt]*attempt),
		placedAfter: meter.Histogram(reg, "requests.placedAfterMicros"),
		firstByte:   meter.Histogram(reg, "attempts.firstByteMicros"),
	}
}

// Record logs an event and its effects.
func (tr *Trail) Record(now ident.Time, ev event.Event, effs []event.Effect) {
	tr.startSecond(now)
	switch e := ev.(type) {
	case event.FirstToken:
		tr.firstToken(now, e)
	case event.AttemptEnded:
		tr.attemptEnded(now, e)
	case event.CallerLeft:
		tr.count("answers.unfinished." + sideName(e.Ending))
		tr.logRoutine("caller left", "request", e.Request, "endedBy", sideName(e.Ending), "reason", e.Ending.Reason)
	case event.LoadFailed:
		tr.logImportant("target did not answer a probe", "target", e.Target)
	}
	for _, eff := range effs {
		tr.effect(now, eff)
	}
}

func (tr *Trail) effect(now ident.Time, eff event.Effect) {
	switch e := eff.(type) {
	case event.Dispatch:
		tr.track(e.Attempt, attempt{request: e.Request, content: e.Basis.Content, parts: e.Basis.Parts, target: e.Target.ID, sentAt: now})
		tr.placedAfter.Update(e.Basis.Waited.Microseconds())
		tr.count("requests.sent." + e.Target.Service)
		kv := []any{
			"request", e.Request, "attempt", e.Attempt.Number, "target", e.Target.ID,
			"service", e.Target.Service, "profile", e.Basis.Profile, "try", e.Basis.Attempts, "revision", e.Basis.Revision, "waitedMs", millis(e.Basis.Waited),
			"leftMs", millis(e.Basis.RemainingTime), "predictedMs", millis(e.Basis.PredictedWait), "busy", e.Basis.InFlight, "loadAgeMs", millis(e.Basis.LoadAge),
			"expectEvents", int(e.Basis.ExpectedEvents), "paceMs", millis(e.Basis.EventGap), "resume", e.ResumeAfter,
			"unread", e.Basis.UncachedPrompt, "level", e.Priority, "copyFrom", e.CopyFrom.Target, "content", e.Basis.Content,
			"build", e.Target.Build,
		}
		kv = append(kv, partFields(e.Basis.Parts)...)
		kv = append(kv, streamFields(e.Basis)...)
		tr.logSend(append(kv, tr.repeat(e.Basis, "requests.repeated."+e.Target.Service)...), e.Basis)
	case event.Forward:
		tr.track(e.Envelope.Attempt, attempt{request: e.Request, content: e.Basis.Content, parts: e.Basis.Parts, target: ident.TargetID(e.To.ID), sentAt: now})
		tr.count("requests.passedOn")
		kv := []any{
			"request", e.Request, "attempt", e.Envelope.Attempt.Number, "to", e.To.ID,
			"region", e.To.Place.Region, "service", e.Service, "profile", e.Basis.Profile, "try", e.Basis.Attempts, "revision", e.Basis.Revision,
			"waitedMs", millis(e.Basis.Waited), "predictedMs", millis(e.Basis.PredictedWait),
			"expectEvents", int(e.Basis.ExpectedEvents), "paceMs", millis(e.Basis.EventGap), "paceThereMs", millis(e.Basis.RemoteEventGap), "resume", e.ResumeAfter,
			"part", roundHundredths(e.Basis.ForwardedShare), "roomThere", int(e.Basis.RemotePrefillRoom), "build", e.Build,
		}
		kv = append(kv, streamFields(e.Basis)...)
		tr.logRoutine("passed on", append(kv, tr.repeat(e.Basis, "requests.repeatsPassedOn")...)...)
	case event.Refuse:
		c, _ := codes.Find(e.Code)
		tr.count("requests.refused." + string(e.Code))
		kv := []any{
			"request", e.Request, "code", e.Code, "title", c.Title, "outcome", e.Outcome, "account", e.Basis.Account, "profile", e.Basis.Profile, "try", e.Basis.Attempts,
			"revision", e.Basis.Revision, "waitedMs", millis(e.Basis.Waited), "leftMs", millis(e.Basis.RemainingTime),
			"predictedMs", millis(e.Basis.PredictedWait), "queued", e.Basis.Queued, "full", e.Basis.CapacityLimited, "paceMs", millis(e.Basis.EventGap),
			"retryAfterMs", millis(e.RetryAfter), "content", e.Basis.Content,
		}
		kv = append(kv, partFields(e.Basis.Parts)...)
		kv = append(kv, streamFields(e.Basis)...)
		kv = append(kv, denialFields(e.Denial)...)
		if e.Ending.Side != "" {
			tr.count("answers.unfinished." + sideName(e.Ending))
			kv = append(kv, "endedBy", e.Ending.Side, "reason", e.Ending.Reason)
		}
		tr.logImportant("refused", kv...)
	case event.BreakOff:
		tr.attemptAborted(e)
	case event.KeepAttempt:
		tr.count("attempts.silentKept." + string(e.Denial.Reason))
		kv := append(silenceFields(e.Request, e.Attempt, e.Silence), denialFields(e.Denial)...)
		tr.logImportant("attempt is silent and is kept", kv...)
	case event.Finish:
		tr.count("requests.finished")
		tr.logRoutine("answered", "request", e.Request, "outcome", e.Outcome)
	case event.InForceNow:
		tr.logImportant("configuration in force", "revision", e.Book.Revision, "routes", len(e.Book.Profiles()))
	}
}

// logSend writes a line about a send. Those to targets that name a limit are not omitted as others are,
// since each of them counts against it.
func (tr *Trail) logSend(kv []any, b event.Basis) {
	limit, ok := b.RateLimit.Get()
	if !ok {
		tr.logRoutine("sent to a target", kv...)
		return
	}
	tr.count("requests.sentWithinLimit")
	tr.logImportant("sent to a target", append(kv, "limit", limit, "limitAgeMs", millis(b.RateLimitAge))...)
}

// maxLoggedParts limits the parts of one prompt in a line.
const maxLoggedParts = 8

// partFields returns the log field of the parts of a prompt that other requests share, none if it has none.
func partFields(parts []ident.Content) []any {
	if len(parts) == 0 {
		return nil
	}
	texts := make([]string, 0, maxLoggedParts)
	for _, p := range parts[:min(len(parts), maxLoggedParts)] {
		texts = append(texts, p.String())
	}
	return []any{"parts", strings.Join(texts, ",")}
}

// streamFields returns the log fields of the stream that a request belongs to, none for calls.
func streamFields(b event.Basis) []any {
	if b.Origin == 0 {
		return nil
	}
	kv := []any{"stream", b.Origin, "takenUp", b.TakenUp}
	if b.BuildFrom != "" {
		kv = append(kv, "buildFrom", b.BuildFrom, "listAgeMs", millis(b.ListAge))
	}
	return kv
}

// repeat counts an attempt beyond the first under a name and returns its log field, none for a first attempt.
func (tr *Trail) repeat(b event.Basis, counter string) []any {
	if b.Attempts <= 1 {
		return nil
	}
	tr.count(counter)
	if b.RetryAge < 0 {
		return []any{"retryAgeMs", -1}
	}
	return []any{"retryAgeMs", millis(b.RetryAge)}
}

// denialFields returns the log fields of a denial, none if nothing was denied.
func denialFields(d event.Denial) []any {
	if d.Reason == "" {
		return nil
	}
	kv := []any{"denied", d.Reason, "tries", d.Attempts, "maxTries", d.MaxAttempts, "retriesSpent", d.Retries, "retriesAllowed", roundHundredths(d.MaxRetries)}
	if d.Reason == event.DeniedTime || d.Reason == event.DeniedRest {
		kv = append(kv, "nextMs", millis(d.PredictedWait), "deadlineMs", millis(d.RemainingTime))
	}
	return kv
}

func (tr *Trail) attemptAborted(e event.BreakOff) {
	if e.Poison {
		tr.count("attempts.poisonBrokenOff")
		tr.logImportant("attempt is broken off, its request ended other targets", "request", e.Request, "attempt", e.Attempt.Number)
		return
	}
	if e.Silence.Since == 0 {
		tr.count("attempts.targetRestarted")
		tr.logImportant("attempt is broken off, its target has started anew", "request", e.Request, "attempt", e.Attempt.Number)
		return
	}
	tr.count("attempts.silentBrokenOff")
	tr.logImportant("attempt is silent and is broken off", silenceFields(e.Request, e.Attempt, e.Silence)...)
}

func silenceFields(req ident.RequestID, a ident.Attempt, s event.Silence) []any {
	return []any{"request", req, "attempt", a.Number, "silentMs", millis(s.Duration), "begun", s.AnswerBegan}
}

func (tr *Trail) firstToken(now ident.Time, e event.FirstToken) {
	if a, ok := tr.attempts[e.Attempt]; ok {
		a.firstByteAt = now
		tr.firstByte.Update(now.Sub(a.sentAt).Microseconds())
	}
}

func (tr *Trail) attemptEnded(now ident.Time, e event.AttemptEnded) {
	a, ok := tr.attempts[e.Attempt]
	if !ok {
		a = &attempt{sentAt: now}
	}
	delete(tr.attempts, e.Attempt)
	kv := []any{
		"request", a.request, "attempt", e.Attempt.Number, "target", a.target, "result", e.Result, "status", e.Status,
		"code", e.Code, "events", e.Delivered, "firstMs", firstMillis(a), "tookMs", millis(now.Sub(a.sentAt)),
	}
	if e.Unframed {
		tr.count("attempts.unframed")
		if !e.ProvenWhole {
			tr.count("attempts.unframedUnproven")
		}
		kv = append(kv, "unframed", true, "provenWhole", e.ProvenWhole)
	}
	if e.Result == event.ResultDone {
		tr.logRoutine("attempt ended", kv...)
		return
	}
	tr.count("attempts." + string(e.Result))
	if e.Fault != "" {
		kv = append(kv, "fault", e.Fault)
	}
	if e.Unplaced {
		kv = append(kv, "unplaced", true)
	}
	if e.Disconnected {
		tr.count("attempts.disconnected")
	}
	if e.TargetEnded {
		tr.count("attempts.targetEnded")
	}
	if e.RetryAfter > 0 {
		kv = append(kv, "retryAfterMs", millis(e.RetryAfter))
	}
	kv = append(kv, "draining", e.Draining, "resumable", e.Resumable, "disconnected", e.Disconnected, "targetEnded", e.TargetEnded, "content", a.content)
	tr.logImportant("attempt ended", append(kv, partFields(a.parts)...)...)
}

// sideName returns the side of an ending, "unknown" if there is none.
func sideName(e event.Ending) string {
	if e.Side == "" {
		return "unknown"
	}
	return string(e.Side)
}

// firstMillis returns the time to the first byte in milliseconds, -1 if none was received.
func firstMillis(a *attempt) int64 {
	if a.firstByteAt == 0 {
		return -1
	}
	return millis(a.firstByteAt.Sub(a.sentAt))
}

func (tr *Trail) track(id ident.Attempt, a attempt) {
	if len(tr.attempts) >= maxTracked {
		clear(tr.attempts)
	}
	tr.attempts[id] = &a
}

func (tr *Trail) count(name string) { metrics.GetOrRegisterCounter(name, tr.reg).Inc(1) }

// startSecond starts a new second if the last one is over, and logs how many lines that one
// omitted.
func (tr *Trail) startSecond(now ident.Time) {
	second := int64(now) / int64(time.Second)
	if second == tr.currentSecond {
		return
	}
	if tr.omitted > 0 {
		tr.log.Info("decision lines left out", "lines", tr.omitted)
		metrics.GetOrRegisterCounter("logs.linesLeftOut", tr.reg).Inc(int64(tr.omitted))
	}
	tr.currentSecond, tr.written, tr.omitted = second, 0, 0
}

// logRoutine writes a line that is among the first to be omitted when there are too many.
func (tr *Trail) logRoutine(msg string, kv ...any) { tr.logLimited(maxRoutineLines, msg, kv) }

func (tr *Trail) logImportant(msg string, kv ...any) { tr.logLimited(maxLines, msg, kv) }

func (tr *Trail) logLimited(limit int, msg string, kv []any) {
	if tr.written >= limit {
		tr.omitted++
		return
	}
	tr.written++
	tr.log.Info(msg, kv...)
}

// LogNote writes a note of the reducer as one line.
func LogNote(log logr.Logger, e event.Note) {
	kv := make([]any, 0, 2*len(e.Fields))
	for _, p := range e.Fields {
		kv = append(kv, p.Key, p.Value)
	}
	log.Info(e.Text, kv...)
}

// roundHundredths rounds to two decimals; the logged fractions are not known more precisely.
func roundHundredths(x float64) float64 { return math.Round(x*100) / 100 }

func millis(d time.Duration) int64 { return d.Milliseconds() }
