package event

import (
	"time"

	"verbenadale.example/verbenadale/internal/fence"
	"verbenadale.example/verbenadale/pkg/codes"
	"verbenadale.example/verbenadale/pkg/ident"
	"verbenadale.example/verbenadale/pkg/rules"
	"verbenadale.example/verbenadale/pkg/value"
)

// Dispatch asks the request's goroutine to send the request to a target.
type Dispatch struct {
	Request ident.RequestID `json:"request"`
	Attempt ident.Attempt   `json:"attempt"`
	Target  Target          `json:"target"`
	// Serve is the model, version and adapter that the target is asked to run.
	Serve    rules.Serve `json:"serve"`
	Priority int         `json:"priority"`
	// Deadline is the time by which the attempt must have ended.
	Deadline ident.Time `json:"deadline"`
	// ResumeAfter is the number of tokens that the caller has already received; the
	// engine continues after them.
	ResumeAfter ident.Tokens `json:"resume,omitempty"`
	// AtMostOnce forbids repeating the call.
	AtMostOnce bool `json:"once,omitempty"`
	// KeepOutcome asks the goroutine to store the answer for repeats of the request.
	KeepOutcome bool `json:"keep,omitempty"`
	// CopyFrom is a target that probably caches a prefix of the prompt, from which this
	// target copies it; empty for none.
	CopyFrom Holder `json:"copyFrom"`
	// Basis holds the inputs of the routing decision.
	Basis        Basis        `json:"basis"`
	IdleTimeouts IdleTimeouts `json:"idleTimeouts"`
}

// Holder is a target that holds data, such as a cached prefix, in its memory.
type Holder struct {
	Target ident.TargetID `json:"target,omitempty"`
	URL    string         `json:"url,omitempty"`
}

// IdleTimeouts bounds how long an attempt may send no data before AttemptSilent reports
// it. Zero means until the deadline of the attempt.
type IdleTimeouts struct {
	// First bounds the time to the first byte, Gap the time between two pieces of a
	// stream.
	First time.Duration `json:"first,omitempty"`
	Gap   time.Duration `json:"gap,omitempty"`
}

// BuildSource states how a host found the build that began a stream.
type BuildSource string

// Sources of the build of a stream.
const (
	// BuildRemembered means that this host or another one remembers the stream.
	BuildRemembered BuildSource = "remembered"
	// BuildOnlyOne means that the records of builds, read after the request had arrived, have no other.
	BuildOnlyOne BuildSource = "onlyOne"
)

// Basis holds the inputs of a decision about a request of a route, for the log. It is
// zero for other requests.
type Basis struct {
	// Profile is the profile that was applied to the request, Revision the configuration
	// that defines it.
	Profile  ident.Profile  `json:"profile,omitempty"`
	Revision ident.Revision `json:"revision"`
	// Content identifies what the request asks for, Parts the parts of its prompt that other
	// requests share.
	Content ident.Content   `json:"content,omitempty"`
	Parts   []ident.Content `json:"parts,omitempty"`
	// Origin identifies the stream that the request belongs to, zero for calls. TakenUp
	// means that its caller has a part of it from an earlier request.
	Origin  ident.Stream `json:"origin,omitempty"`
	TakenUp bool         `json:"takenUp,omitempty"`
	// BuildFrom states how the build of a stream that was taken up was found, ListAge how long ago the
	// platform's list was last known to be current. Both are zero for other requests.
	BuildFrom BuildSource   `json:"buildFrom,omitempty"`
	ListAge   time.Duration `json:"listAge,omitempty"`
	// Account is the account of the request, empty if it has none.
	Account ident.Account `json:"account,omitempty"`
	// Attempts counts the attempts of the request, including this one.
	Attempts int `json:"try"`
	// RetryAge is how long ago the retry budget allowed the retry that this attempt is, negative if it
	// did not. It is zero for first attempts.
	RetryAge time.Duration `json:"retryAge,omitempty"`
	// Waited is the time since the request arrived, PredictedWait the predicted time to
	// its first token.
	Waited        time.Duration `json:"waited"`
	PredictedWait time.Duration `json:"wait"`
	// InFlight is the estimated number of requests at the target. LoadAge is the age of
	// its load report, negative if there is none.
	InFlight int           `json:"busy"`
	LoadAge  time.Duration `json:"loadAge"`
	// RateLimit is the limit that the target names on the requests a second of all hosts,
	// RateLimitAge the age of that knowledge.
	RateLimit    value.Option[float64] `json:"rateLimit"`
	RateLimitAge time.Duration         `json:"rateLimitAge,omitempty"`
	// ExpectedEvents is the expected number of events of the stream. EventGap is the
	// time between two events at the targets here, RemoteEventGap at the data centre to
	// which the request was forwarded. Zero means unknown.
	ExpectedEvents float64       `json:"expect,omitempty"`
	EventGap       time.Duration `json:"pace,omitempty"`
	RemoteEventGap time.Duration `json:"paceThere,omitempty"`
	// ForwardedShare is the share of the unshared work (see PrefillDemand) of local
	// callers that was to go to other data centres. RemotePrefillRoom is the work per
	// second, in the unit of PrefillDemand, that the data centre to which the request
	// was forwarded may take besides the unshared work of its own callers. Both are zero
	// if they did not affect the decision.
	ForwardedShare    float64 `json:"part,omitempty"`
	RemotePrefillRoom float64 `json:"room,omitempty"`
	// UncachedPrompt is the part of the prompt that the target was expected to prefill.
	UncachedPrompt ident.Tokens `json:"unread,omitempty"`
	// RemainingTime is the time within which the request had to start. Queued is the
	// number of requests that waited for the same targets here. CapacityLimited is set
	// if only a lack of capacity prevented the request from starting.
	RemainingTime   time.Duration `json:"left,omitempty"`
	Queued          int           `json:"queued,omitempty"`
	CapacityLimited bool          `json:"full,omitempty"`
}

// Forward asks the request's goroutine to forward the request to another entry host.
type Forward struct {
	Request     ident.RequestID `json:"request"`
	To          Host            `json:"to"`
	Envelope    Envelope        `json:"envelope"`
	Deadline    ident.Time      `json:"deadline"`
	ResumeAfter ident.Tokens    `json:"resume,omitempty"`
	AtMostOnce  bool            `json:"once,omitempty"`
	KeepOutcome bool            `json:"keep,omitempty"`
	// Service is the service that was selected for a request of a route.
	Service      string       `json:"service,omitempty"`
	Basis        Basis        `json:"basis"`
	IdleTimeouts IdleTimeouts `json:"idleTimeouts"`
	// Build is the only build that may continue the stream, empty for any.
	Build ident.Build `json:"build,omitempty"`
	// EndedRuns are the targets that have ended while they ran the request or a repeat of it.
	EndedRuns []TargetRun `json:"endedRuns,omitempty"`
}

// Refuse gives a request its final answer if nothing has been sent to the caller yet,
// and otherwise aborts the stream.
type Refuse struct {
	Request ident.RequestID `json:"request"`
	Code    codes.ID        `json:"code"`
	Outcome Outcome         `json:"outcome"`
	// RetryAfter is the delay after which the caller may retry, zero if waiting does not
	// help.
	RetryAfter time.Duration `json:"retryAfter,omitempty"`
	// Entries lists the hosts to try instead, best first.
	Entries []Host `json:"entries,omitempty"`
	// Reason is one plain sentence for the answer and the log.
	Reason string `json:"reason,omitempty"`
	// Basis holds the inputs of the decision to refuse.
	Basis Basis `json:"basis"`
	// Denial is the reason why a request that had an attempt gets no further one.
	Denial Denial `json:"denial"`
	// EndedRuns are the targets that have ended while they ran a forwarded request or a repeat of
	// it.
	EndedRuns []TargetRun `json:"endedRuns,omitempty"`
	// Ending is the side that ended the answer, if the request may have run and its
	// answer is incomplete.
	Ending Ending `json:"ending"`
}

// DenialReason names the condition that rules out another attempt.
type DenialReason string

// The reasons of a denial.
const (
	// DeniedAttempts means that the request has reached the maximum number of targets.
	DeniedAttempts DenialReason = "attempts"
	// DeniedBudget means that the retry budget of the service is used up.
	DeniedBudget DenialReason = "budget"
	// DeniedForwarded means that the host which forwarded the request decides on
	// retries.
	DeniedForwarded DenialReason = "forwarded"
	// DeniedUnsent means that too many attempts ended before anything was sent.
	DeniedUnsent DenialReason = "unsent"
	// DeniedTime means that too little time remains.
	DeniedTime DenialReason = "time"
	// DeniedPoison means that as many targets as may have ended while they ran the request or a
	// repeat of it.
	DeniedPoison DenialReason = "targetsEnded"
	// DeniedCapacity means that no other target or data centre has capacity.
	DeniedCapacity DenialReason = "noPlace"
	// DeniedRest means that all targets which could serve the request have asked for rest.
	DeniedRest DenialReason = "rest"
	// DeniedBuildUnknown means that it is not known which of several builds began a stream,
	// DeniedBuildGone that no target of it serves, DeniedService that the route no longer
	// uses its service.
	DeniedBuildUnknown DenialReason = "buildUnknown"
	DeniedBuildGone    DenialReason = "buildGone"
	DeniedService      DenialReason = "serviceMoved"
	// DeniedUnconfirmed means that no read of the store that began after the request had arrived, here or at a
	// peer, has shown which builds may have begun a stream.
	DeniedUnconfirmed DenialReason = "buildUnconfirmed"
)

// Denial is the reason why a request gets no further attempt, with the inputs of that
// decision. The zero Denial denies nothing.
type Denial struct {
	Reason DenialReason `json:"reason,omitempty"`
	// Attempts is the number of attempts so far, MaxAttempts their limit. For
	// DeniedUnsent, both concern only attempts that ended before anything was sent, for
	// DeniedPoison the targets that ended.
	Attempts    int `json:"tries,omitempty"`
	MaxAttempts int `json:"maxTries,omitempty"`
	// PredictedWait is the predicted time to the first token, RemainingTime the time to
	// the deadline.
	PredictedWait time.Duration `json:"wait,omitempty"`
	RemainingTime time.Duration `json:"left,omitempty"`
	// Retries is the number of retries in the window of the retry budget, MaxRetries
	// their limit.
	Retries    int     `json:"spent,omitempty"`
	MaxRetries float64 `json:"allowed,omitempty"`
}

// BreakOff asks the request's goroutine to abort an attempt. The attempt then ends as if
// its target had closed the connection.
type BreakOff struct {
	Request ident.RequestID `json:"request"`
	Attempt ident.Attempt   `json:"attempt"`
	// Poison is set if the attempt is aborted because other targets ended while they ran the
	// same content.
	Poison bool `json:"poison,omitempty"`
	// Silence is set if the attempt is aborted because it sent no data. The goroutine
	// ignores the effect if data has arrived since.
	Silence Silence `json:"silence"`
}

// Silence describes an attempt that sends no data.
type Silence struct {
	// Since is when the last piece of the answer arrived, or when the attempt began if
	// none has; zero for no silence.
	Since ident.Time `json:"since,omitempty"`
	// Duration is how long the silence has lasted.
	Duration time.Duration `json:"lasted,omitempty"`
	// AnswerBegan is set once a piece of the answer has arrived.
	AnswerBegan bool `json:"begun,omitempty"`
}

// KeepAttempt records, for the log, why a silent attempt is not aborted.
type KeepAttempt struct {
	Request ident.RequestID `json:"request"`
	Attempt ident.Attempt   `json:"attempt"`
	Silence Silence         `json:"silence"`
	Denial  Denial          `json:"denial"`
}

// DropLinks asks for the idle connections to an address to be closed, because its target
// has restarted.
type DropLinks struct {
	Target ident.TargetID `json:"target"`
	URL    string         `json:"url"`
}

// Finish ends a request whose complete answer was delivered. The goroutine sends the
// final chunk or status only after it.
type Finish struct {
	Request ident.RequestID `json:"request"`
	Outcome Outcome         `json:"outcome"`
}

// Replay asks the request's goroutine to answer with the stored outcome of another
// request.
type Replay struct {
	Request ident.RequestID `json:"request"`
	Of      ident.RequestID `json:"of"`
}

// ForgetOutcome deletes a stored outcome.
type ForgetOutcome struct {
	Request ident.RequestID `json:"request"`
}

// Wake asks for a Tick at a given time. A later Wake replaces the previous one.
type Wake struct {
	At ident.Time `json:"at"`
}

// SendDigest sends a heartbeat to hosts of this data centre.
type SendDigest struct {
	To     []Host `json:"to"`
	Digest Digest `json:"digest"`
}

// SendAdmissions announces to hosts of this data centre what this host has admitted since the
// last announcement.
type SendAdmissions struct {
	To         []Host      `json:"to"`
	Admissions []Admission `json:"admissions"`
}

// SendTargetEnds announces targets that ended while they ran a request. With Relay, the recipients
// announce them to the other hosts of their data centre.
type SendTargetEnds struct {
	To    []Host      `json:"to"`
	Ends  []TargetEnd `json:"ends"`
	Relay bool        `json:"relay,omitempty"`
}

// SendBegun announces streams and the builds that began them to their keepers. With Relay, the
// recipient announces them to the keepers of its data centre.
type SendBegun struct {
	To      Host          `json:"to"`
	Streams []BegunStream `json:"streams"`
	Relay   bool          `json:"relay,omitempty"`
}

// AskBegun asks which build began a stream. With Relay, a recipient that does not know it asks the
// keepers of its data centre.
type AskBegun struct {
	To     []Host       `json:"to"`
	Stream ident.Stream `json:"stream"`
	Relay  bool         `json:"relay,omitempty"`
	// Confirm means that a recipient that does not know it reads the records of builds before it answers.
	Confirm bool `json:"confirm,omitempty"`
}

// AnswerBegun answers AskBegun. Begun has the stream if the sender knows it.
type AnswerBegun struct {
	To     ident.EntryID `json:"to"`
	Stream ident.Stream  `json:"stream"`
	Begun  []BegunStream `json:"begun,omitempty"`
	Seen   []SeenBuild   `json:"seen,omitempty"`
	// Confirmed means that Records are those that the store had after the question arrived.
	Confirmed bool          `json:"confirmed,omitempty"`
	Records   []BuildRecord `json:"records,omitempty"`
}

// ReadBuilds reads all records of builds. BuildsRead answers it.
type ReadBuilds struct {
	Read fence.Read `json:"read"`
}

// RecordBuilds writes the record of the builds of a service, if it still has the revision that Record names.
type RecordBuilds struct {
	Record BuildRecord `json:"record"`
}

// SaveBegun saves which builds have begun streams to the platform's store. BegunSaved answers it.
type SaveBegun struct {
	Batch   uint64        `json:"batch"`
	Streams []BegunStream `json:"streams"`
}

// SendSummary sends a summary to one host of another data centre.
type SendSummary struct {
	To      Host    `json:"to"`
	Summary Summary `json:"summary"`
}

// SendChanges sends configuration changes to peers.
type SendChanges struct {
	To      []Host         `json:"to"`
	Changes []rules.Change `json:"changes"`
}

// SendSnapshot sends the complete book to a peer that lacks too many changes.
type SendSnapshot struct {
	To   Host        `json:"to"`
	Book *rules.Book `json:"book"`
}

// AskChanges asks a peer for all changes after a revision.
type AskChanges struct {
	To    Host           `json:"to"`
	After ident.Revision `json:"after"`
}

// AskBar asks a peer to report an attempt as run, or to bar it from running. The answer
// is BarAnswered; if none arrives, the reducer asks again.
type AskBar struct {
	To          Host              `json:"to"`
	Incarnation ident.Incarnation `json:"incarnation"`
	Attempt     ident.Attempt     `json:"attempt"`
}

// AnswerBar answers the "run or bar" query of a peer.
type AnswerBar struct {
	To      ident.EntryID `json:"to"`
	Attempt ident.Attempt `json:"attempt"`
	Answer  Answer        `json:"answer"`
}

// ClaimKey records an idempotency key in the platform's store before the request is
// first sent.
type ClaimKey struct {
	Request ident.RequestID `json:"request"`
	Key     string          `json:"key"`
	Record  KeyRecord       `json:"record"`
	// Deadline is the time by which the claim must be answered.
	Deadline ident.Time `json:"deadline"`
}

// WatchChange waits for the change that follows a revision.
type WatchChange struct {
	After ident.Revision `json:"after"`
}

// StopWatch ends the watch because another host watches for the data centre.
type StopWatch struct{}

// PaceReads sets how often this host reads the platform's store: continuously if Active,
// or when ReadList asks for it while other hosts of its data centre read it.
type PaceReads struct {
	Active bool `json:"active"`
}

// ReadList reads the platform's store once, because no peer has confirmed for long that this
// host's list is current.
type ReadList struct{}

// ReadSnapshot reads the newest snapshot of the configuration.
type ReadSnapshot struct{}

// ReadHosts reads the platform's list of hosts.
type ReadHosts struct{}

// PollLoad reads the load report of a target and its cache events.
type PollLoad struct {
	Target Target `json:"target"`
	// After is the sequence number of the last cache event received from the target.
	After uint64 `json:"after"`
}

// AskMemory asks an engine for the size of its memory.
type AskMemory struct {
	Target Target `json:"target"`
}

// InForceNow announces that a revision is in force at this host. The loop publishes the
// book to the goroutines that serve traffic.
type InForceNow struct {
	Book *rules.Book `json:"book"`
}

// TicketIssued answers TicketAsked.
type TicketIssued struct {
	Ask    Ask    `json:"ask"`
	Ticket string `json:"ticket"`
	// TTL is how long the ticket may be redeemed.
	TTL time.Duration `json:"valid"`
	// Code is set if no ticket is issued.
	Code codes.ID `json:"code,omitempty"`
	// Entries lists the hosts to ask instead.
	Entries []Host `json:"entries,omitempty"`
}

// EntriesAnswered answers EntriesAsked.
type EntriesAnswered struct {
	Ask     Ask           `json:"ask"`
	Entries []Host        `json:"entries"`
	TTL     time.Duration `json:"valid"`
	Code    codes.ID      `json:"code,omitempty"`
}

// Choice is one candidate for a request: a target or a data centre.
type Choice struct {
	Target     ident.TargetID   `json:"target,omitempty"`
	DataCentre ident.DataCentre `json:"dataCentre"`
	// RuledOut is the code of the filter that excludes the candidate, empty if none
	// does.
	RuledOut codes.ID `json:"ruledOut,omitempty"`
	// Cost is the weighted cost, in seconds, of a candidate that is not excluded; the
	// fields after it are its parts.
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

// TargetStatus is the state of one target as known to this host.
type TargetStatus struct {
	Target   Target        `json:"target"`
	Load     Load          `json:"load"`
	LoadAge  time.Duration `json:"loadAge"`
	InFlight int           `json:"sent"`
	Suspect  bool          `json:"suspect"`
	Draining bool          `json:"draining"`
	// RestFor is how much longer the target wants no requests from this host.
	RestFor time.Duration `json:"restFor,omitempty"`
}

// CentreStatus is the state of one data centre as known to this host.
type CentreStatus struct {
	Place   Place          `json:"place"`
	InForce ident.Revision `json:"inForce"`
	Hosts   []Host         `json:"hosts"`
	Pools   []Pool         `json:"pools"`
	// Age is the age of the newest summary of the data centre.
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
	// PlatformAge is the time since the platform last answered this host or the host
	// that watches the platform for it.
	PlatformAge time.Duration  `json:"platformAge"`
	Centres     []CentreStatus `json:"centres"`
	Targets     []TargetStatus `json:"targets"`
}

// Drained means that the last request has ended and the host may stop.
type Drained struct{}

// Note is one log line. It contains no text of a request.
type Note struct {
	// Code is the declared code of the occurrence, if it has one.
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
func (SendAdmissions) isEffect()  {}
func (SendTargetEnds) isEffect()  {}
func (SendBegun) isEffect()       {}
func (AskBegun) isEffect()        {}
func (AnswerBegun) isEffect()     {}
func (RecordBuilds) isEffect()    {}
func (ReadBuilds) isEffect()      {}
func (SaveBegun) isEffect()       {}
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
func (ReadList) isEffect()        {}
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
