package event

import (
	"time"

	"verbenadale.example/verbenadale/pkg/codes"
	"verbenadale.example/verbenadale/pkg/ident"
	"verbenadale.example/verbenadale/pkg/rules"
)

// Dispatch asks the request's goroutine to send the request to a target.
type Dispatch struct {
	Request ident.RequestID `json:"request"`
	Attempt ident.Attempt   `json:"attempt"`
	Target  Target          `json:"target"`
	// Serve is what the target is asked to run.
	Serve    rules.Serve `json:"serve"`
	Priority int         `json:"priority"`
	// Deadline is when the attempt must have ended.
	Deadline ident.Time `json:"deadline"`
	// ResumeAfter is the number of tokens that have reached the caller already;
	// the engine goes on after them.
	ResumeAfter ident.Tokens `json:"resume,omitempty"`
	// AtMostOnce says that the call may not be repeated.
	AtMostOnce bool `json:"once,omitempty"`
	// KeepOutcome says that the answer is to be kept for repeats.
	KeepOutcome bool `json:"keep,omitempty"`
	// CopyFrom is the target that probably caches a prefix of the prompt, which this one
	// then copies; empty for none.
	CopyFrom Holder `json:"copyFrom"`
	// Basis is what the choice was made by.
	Basis        Basis        `json:"basis"`
	IdleTimeouts IdleTimeouts `json:"idleTimeouts"`
}

// Holder is a target that holds something in its memory.
type Holder struct {
	Target ident.TargetID `json:"target,omitempty"`
	URL    string         `json:"url,omitempty"`
}

// IdleTimeouts is how long an attempt may bring nothing before AttemptSilent reports it. Zero
// is until its deadline.
type IdleTimeouts struct {
	// First bounds the time to the first byte, Gap the time between two pieces
	// of a stream.
	First time.Duration `json:"first,omitempty"`
	Gap   time.Duration `json:"gap,omitempty"`
}

// Basis is what a decision about a request was made by, for the log.
type Basis struct {
	// Profile is what the request was judged by, Revision the configuration
	// that it stands in.
	Profile  ident.Profile  `json:"profile,omitempty"`
	Revision ident.Revision `json:"revision"`
	// Attempts counts the tries of the request, this one included.
	Attempts int `json:"try"`
	// Waited is the time since the request arrived, Wait the predicted time to
	// its first token.
	Waited        time.Duration `json:"waited"`
	PredictedWait time.Duration `json:"wait"`
	// InFlight counts the requests that the target was estimated to have, LoadAge is
	// the age of its load, negative for none.
	InFlight int           `json:"busy"`
	LoadAge  time.Duration `json:"loadAge"`
	// ExpectedEvents is how many events the stream was taken to have, Pace how long one
	// takes at the targets here, PaceThere where it was passed on to; zero where that
	// is not known.
	ExpectedEvents float64       `json:"expect,omitempty"`
	EventGap       time.Duration `json:"pace,omitempty"`
	RemoteEventGap time.Duration `json:"paceThere,omitempty"`
	// ForwardedShare is which part of the work that callers bring went elsewhere, Room the tokens
	// to read a second that the data centre has room for which the request was passed
	// on to; zero where that did not decide.
	ForwardedShare    float64 `json:"part,omitempty"`
	RemotePrefillRoom float64 `json:"room,omitempty"`
	// UncachedPrompt is the part of the prompt that the target was taken to have to read.
	UncachedPrompt ident.Tokens `json:"unread,omitempty"`
	// RemainingTime is the time within which it had to start, Queued how many requests waited
	// for the same targets here, Full that only room was missing.
	RemainingTime   time.Duration `json:"left,omitempty"`
	Queued          int           `json:"queued,omitempty"`
	CapacityLimited bool          `json:"full,omitempty"`
}

// Forward asks the request's goroutine to pass the request to another entry
// host.
type Forward struct {
	Request     ident.RequestID `json:"request"`
	To          Host            `json:"to"`
	Envelope    Envelope        `json:"envelope"`
	Deadline    ident.Time      `json:"deadline"`
	ResumeAfter ident.Tokens    `json:"resume,omitempty"`
	AtMostOnce  bool            `json:"once,omitempty"`
	KeepOutcome bool            `json:"keep,omitempty"`
	// Service is the service that was picked for a request of a route.
	Service      string       `json:"service,omitempty"`
	Basis        Basis        `json:"basis"`
	IdleTimeouts IdleTimeouts `json:"idleTimeouts"`
}

// Refuse gives a request its final answer, for a request of which nothing has
// been sent to the caller yet, or cuts the stream where something has.
type Refuse struct {
	Request ident.RequestID `json:"request"`
	Code    codes.ID        `json:"code"`
	Outcome Outcome         `json:"outcome"`
	// RetryAfter is when to come back, zero where waiting does not help.
	RetryAfter time.Duration `json:"retryAfter,omitempty"`
	// Entries are the hosts to try instead, best first.
	Entries []Host `json:"entries,omitempty"`
	// Reason is one plain sentence for the answer and the log.
	Reason string `json:"reason,omitempty"`
	// Basis is what the refusal was decided by.
	Basis Basis `json:"basis"`
	// Denial says why no other attempt was made, for a request that had one.
	Denial Denial `json:"denial"`
	// Ending is which side ended an answer that may have run and does not reach its end.
	Ending Ending `json:"ending"`
}

// DenialReason names the condition that rules out another attempt.
type DenialReason string

// The reasons of a denial.
const (
	// DeniedAttempts says that as many targets have seen the request as may.
	DeniedAttempts DenialReason = "attempts"
	// DeniedBudget says that the retry budget of the service is used up.
	DeniedBudget DenialReason = "budget"
	// DeniedForwarded says that the host which forwarded the request decides.
	DeniedForwarded DenialReason = "forwarded"
	// DeniedUnsent says that too many attempts ended before anything was sent.
	DeniedUnsent DenialReason = "unsent"
	// DeniedTime says that too little time is left.
	DeniedTime DenialReason = "time"
	// DeniedCapacity says that no other target or data centre has room.
	DeniedCapacity DenialReason = "noPlace"
)

// Denial is why a request gets no other attempt and what that was judged by. The zero Denial
// denies nothing.
type Denial struct {
	Reason DenialReason `json:"reason,omitempty"`
	// Attempts is the number of attempts so far, MaxTries the most.
	Attempts    int `json:"tries,omitempty"`
	MaxAttempts int `json:"maxTries,omitempty"`
	// PredictedWait is the predicted time to the first token, Left the time to the deadline.
	PredictedWait time.Duration `json:"wait,omitempty"`
	RemainingTime time.Duration `json:"left,omitempty"`
	// Retries is the number of retries in the window of the budget, Allowed the most.
	Retries    int     `json:"spent,omitempty"`
	MaxRetries float64 `json:"allowed,omitempty"`
}

// BreakOff asks the request's goroutine to break off an attempt, which ends as if its
// target had closed the connection.
type BreakOff struct {
	Request ident.RequestID `json:"request"`
	Attempt ident.Attempt   `json:"attempt"`
	// Silence is set for an attempt that is broken off for it. Its goroutine ignores the effect
	// if a piece has come since.
	Silence Silence `json:"silence"`
}

// Silence is what is known of an attempt that brings nothing.
type Silence struct {
	// Since is when the last piece of the answer came, zero for no silence.
	Since ident.Time `json:"since,omitempty"`
	// Duration is the duration of the silence.
	Duration time.Duration `json:"lasted,omitempty"`
	// AnswerBegan says that a piece of the answer has come.
	AnswerBegan bool `json:"begun,omitempty"`
}

// KeepAttempt says, for the log, why a silent attempt is not broken off.
type KeepAttempt struct {
	Request ident.RequestID `json:"request"`
	Attempt ident.Attempt   `json:"attempt"`
	Silence Silence         `json:"silence"`
	Denial  Denial          `json:"denial"`
}

// DropLinks says that the idle connections to an address lead to a target that no
// longer runs.
type DropLinks struct {
	Target ident.TargetID `json:"target"`
	URL    string         `json:"url"`
}

// Finish says that the request is over and its answer was passed on whole.
// The goroutine sends the final chunk or status only after it.
type Finish struct {
	Request ident.RequestID `json:"request"`
	Outcome Outcome         `json:"outcome"`
}

// Replay asks the request's goroutine to answer with the kept outcome of
// another request.
type Replay struct {
	Request ident.RequestID `json:"request"`
	Of      ident.RequestID `json:"of"`
}

// ForgetOutcome drops a kept outcome.
type ForgetOutcome struct {
	Request ident.RequestID `json:"request"`
}

// Wake asks for a Tick at a time. A later Wake replaces the one before.
type Wake struct {
	At ident.Time `json:"at"`
}

// SendDigest sends a heartbeat to hosts of the own data centre.
type SendDigest struct {
	To     []Host `json:"to"`
	Digest Digest `json:"digest"`
}

// SendSummary sends a summary to one host of another data centre.
type SendSummary struct {
	To      Host    `json:"to"`
	Summary Summary `json:"summary"`
}

// SendChanges sends changes to peers.
type SendChanges struct {
	To      []Host         `json:"to"`
	Changes []rules.Change `json:"changes"`
}

// SendSnapshot sends the whole book to a peer that lacks too much.
type SendSnapshot struct {
	To   Host        `json:"to"`
	Book *rules.Book `json:"book"`
}

// AskChanges asks a peer for all after a revision.
type AskChanges struct {
	To    Host           `json:"to"`
	After ident.Revision `json:"after"`
}

// AskBar asks a peer "run or bar" about an attempt. It is answered by
// BarAnswered, or not at all; the reducer asks again.
type AskBar struct {
	To          Host              `json:"to"`
	Incarnation ident.Incarnation `json:"incarnation"`
	Attempt     ident.Attempt     `json:"attempt"`
}

// AnswerBar answers a peer's question.
type AnswerBar struct {
	To      ident.EntryID `json:"to"`
	Attempt ident.Attempt `json:"attempt"`
	Answer  Answer        `json:"answer"`
}

// ClaimKey records an idempotency key in the platform's store before the
// first send.
type ClaimKey struct {
	Request ident.RequestID `json:"request"`
	Key     string          `json:"key"`
	Record  KeyRecord       `json:"record"`
	// Deadline is when the claim must be answered.
	Deadline ident.Time `json:"deadline"`
}

// WatchChange waits for the change that follows a revision.
type WatchChange struct {
	After ident.Revision `json:"after"`
}

// StopWatch ends the watch: another host watches for the data centre.
type StopWatch struct{}

// PaceReads says how often this host reads the platform's store: all the time, or
// now and then while others of its data centre do.
type PaceReads struct {
	Active bool `json:"active"`
}

// ReadSnapshot reads the newest snapshot of the configuration.
type ReadSnapshot struct{}

// ReadHosts reads the platform's list of hosts.
type ReadHosts struct{}

// PollLoad reads the load report of a target and its cache events.
type PollLoad struct {
	Target Target `json:"target"`
	// After is the last sequence number of its cache events that was seen.
	After uint64 `json:"after"`
}

// AskMemory asks an engine how much memory it has.
type AskMemory struct {
	Target Target `json:"target"`
}

// InForceNow says that a revision is in force at this host from now on. The
// loop publishes the book for the traffic side to read.
type InForceNow struct {
	Book *rules.Book `json:"book"`
}

// TicketIssued answers TicketAsked.
type TicketIssued struct {
	Ask    Ask    `json:"ask"`
	Ticket string `json:"ticket"`
	// TTL is how long it may be redeemed.
	TTL time.Duration `json:"valid"`
	// Code is set when no ticket is given.
	Code codes.ID `json:"code,omitempty"`
	// Entries are the hosts to ask instead.
	Entries []Host `json:"entries,omitempty"`
}

// EntriesAnswered answers EntriesAsked.
type EntriesAnswered struct {
	Ask     Ask           `json:"ask"`
	Entries []Host        `json:"entries"`
	TTL     time.Duration `json:"valid"`
	Code    codes.ID      `json:"code,omitempty"`
}

// Choice is one place that a request could go to.
type Choice struct {
	Target     ident.TargetID   `json:"target,omitempty"`
	DataCentre ident.DataCentre `json:"dataCentre"`
	// RuledOut is the filter that rules it out, empty for one that remains.
	RuledOut codes.ID `json:"ruledOut,omitempty"`
	// Cost is the weighted cost in seconds of one that remains, and its parts.
	Cost     float64 `json:"cost"`
	Wait     float64 `json:"wait"`
	Prefill  float64 `json:"prefill"`
	Decode   float64 `json:"decode"`
	Price    float64 `json:"price"`
	Crossing float64 `json:"crossing"`
}

// RouteAnswered answers RouteAsked.
type RouteAnswered struct {
	Ask     Ask      `json:"ask"`
	Choices []Choice `json:"choices"`
	// Chosen is the index in Choices, -1 for none.
	Chosen int      `json:"chosen"`
	Code   codes.ID `json:"code,omitempty"`
}

// TargetStatus is one target as this host knows it.
type TargetStatus struct {
	Target   Target        `json:"target"`
	Load     Load          `json:"load"`
	LoadAge  time.Duration `json:"loadAge"`
	Sent     int           `json:"sent"`
	Suspect  bool          `json:"suspect"`
	Draining bool          `json:"draining"`
}

// CentreStatus is one data centre as this host knows it.
type CentreStatus struct {
	Place   Place          `json:"place"`
	InForce ident.Revision `json:"inForce"`
	Hosts   []Host         `json:"hosts"`
	Pools   []Pool         `json:"pools"`
	// Age is the age of its newest summary.
	Age            time.Duration `json:"age"`
	CutOff         bool          `json:"cutOff"`
	Representative ident.EntryID `json:"representative"`
	Watcher        ident.EntryID `json:"watcher,omitempty"`
}

// StatusAnswered answers StatusAsked.
type StatusAnswered struct {
	Ask      Ask            `json:"ask"`
	Self     Host           `json:"self"`
	Revision ident.Revision `json:"revision"`
	Ready    bool           `json:"ready"`
	Requests int            `json:"requests"`
	// PlatformAge is the time since the platform last answered this host or
	// the one that watches for it.
	PlatformAge time.Duration  `json:"platformAge"`
	Centres     []CentreStatus `json:"centres"`
	Targets     []TargetStatus `json:"targets"`
}

// Drained says that the last request has ended and the host may stop.
type Drained struct{}

// Note is one line for the log. It holds no text of a request.
type Note struct {
	// Code is the declared code of what happened, if any.
	Code   codes.ID   `json:"code,omitempty"`
	Text   string     `json:"text"`
	Fields []NotePair `json:"fields,omitempty"`
}

// NotePair is one key and value of a Note.
type NotePair struct {
	Key   string `json:"key"`
	Value string `json:"value"`
}

func (Dispatch) isEffect()        {}
func (Forward) isEffect()         {}
func (Refuse) isEffect()          {}
func (Finish) isEffect()          {}
func (BreakOff) isEffect()        {}
func (KeepAttempt) isEffect()     {}
func (DropLinks) isEffect()       {}
func (Replay) isEffect()          {}
func (ForgetOutcome) isEffect()   {}
func (Wake) isEffect()            {}
func (SendDigest) isEffect()      {}
func (SendSummary) isEffect()     {}
func (SendChanges) isEffect()     {}
func (SendSnapshot) isEffect()    {}
func (AskChanges) isEffect()      {}
func (AskBar) isEffect()          {}
func (AnswerBar) isEffect()       {}
func (ClaimKey) isEffect()        {}
func (WatchChange) isEffect()     {}
func (StopWatch) isEffect()       {}
func (PaceReads) isEffect()       {}
func (ReadSnapshot) isEffect()    {}
func (ReadHosts) isEffect()       {}
func (PollLoad) isEffect()        {}
func (AskMemory) isEffect()       {}
func (InForceNow) isEffect()      {}
func (TicketIssued) isEffect()    {}
func (EntriesAnswered) isEffect() {}
func (RouteAnswered) isEffect()   {}
func (StatusAnswered) isEffect()  {}
func (Drained) isEffect()         {}
func (Note) isEffect()            {}
