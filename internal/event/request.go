package event

import (
	"time"

	"verbenadale.example/verbenadale/pkg/codes"
	"verbenadale.example/verbenadale/pkg/ident"
	"verbenadale.example/verbenadale/pkg/value"
)

// Outcome states whether a request ran, as far as its caller can know.
type Outcome string

// The outcomes. NotRun is a guarantee; Unknown makes no statement.
const (
	Done    Outcome = "done"
	NotRun  Outcome = "notRun"
	Unknown Outcome = "unknown"
)

// Envelope accompanies a request that one entry host forwards to another.
type Envelope struct {
	// Attempt identifies the attempt of the sender. The recipient uses it to answer "run
	// or bar".
	Attempt ident.Attempt `json:"attempt"`
	// ToIncarnation is the incarnation of the recipient that the sender addressed.
	// Another incarnation refuses the request, since it can't know what the addressed
	// one did.
	ToIncarnation ident.Incarnation `json:"to"`
	From          ident.EntryID     `json:"from"`
	FromPlace     Place             `json:"fromPlace"`
	// Crossings counts how often the request has crossed between regions, including this
	// time.
	Crossings ident.Hops `json:"crossings"`
	// Visited lists the entry hosts that the request has passed through.
	Visited []ident.EntryID `json:"seen"`
	// Revision is the configuration by which the sender decided.
	Revision ident.Revision `json:"revision"`
}

// Request is the reducer's view of a request. It contains no text.
type Request struct {
	ID      ident.RequestID `json:"id"`
	Account ident.Account   `json:"account"`
	Profile ident.Profile   `json:"profile"`
	// Prompt is the estimated length of the prompt, MaxTokens the maximum number of
	// tokens to generate.
	Prompt    ident.Tokens `json:"prompt"`
	MaxTokens ident.Tokens `json:"maxTokens"`
	// LengthHint is the caller's estimate of the number of tokens to generate, zero if it
	// gives none. It is often wrong by a factor of two.
	LengthHint ident.Tokens `json:"lengthHint,omitempty"`
	// Prefix holds chained digests of the prompt's blocks, the longest prefix last, for
	// cache affinity. They are compared with the cache events of engines. Only the
	// digest that ends a long shared prefix leaves the host; see PrefixHolder.
	Prefix []uint64 `json:"prefix,omitempty"`
	// SharedBlocks is how many leading blocks of Prefix other requests probably share,
	// zero if unknown.
	SharedBlocks int `json:"shared,omitempty"`
	// Service is the service that was selected for a request of a route.
	Service string `json:"service,omitempty"`
	// Model is the model named by a request of a route.
	Model ident.Model `json:"model,omitempty"`
	// Content is the same for all repeats of the request by its caller.
	Content ident.Content `json:"content,omitempty"`
	// Parts are the parts of the prompt that other requests share, each without those
	// before it.
	Parts []ident.Content `json:"parts,omitempty"`
	// EndedRuns are the targets that have ended while they ran a forwarded request or a repeat of
	// it, as far as the host knows that forwarded it.
	EndedRuns []TargetRun `json:"endedRuns,omitempty"`
	// Origin identifies the stream that the request begins or takes up again. TakenUp means
	// that the caller has a part of it from an earlier request.
	Origin  ident.Stream `json:"origin,omitempty"`
	TakenUp bool         `json:"takenUp,omitempty"`
	// Build is the only build that may continue a forwarded stream, empty for any.
	Build ident.Build `json:"build,omitempty"`
	// Deadline is when the caller stops waiting; zero selects the deadline of the
	// profile.
	Deadline ident.Time `json:"deadline"`
	Stream   bool       `json:"stream,omitempty"`
	// AnswerBegan means that the caller of a forwarded request has received a part of
	// the answer.
	AnswerBegan bool `json:"begun,omitempty"`
	// Ticket is the caller's ticket, Key the digest of its idempotency key, Fingerprint
	// a digest of the request that detects a reused key.
	Ticket      string `json:"ticket,omitempty"`
	Key         string `json:"key,omitempty"`
	Fingerprint string `json:"print,omitempty"`
	// Envelope is set if another entry host forwarded the request.
	Envelope value.Option[Envelope] `json:"envelope"`
}

// Ask identifies a question to the reducer. The answer carries the same number.
type Ask uint64

// Result states how an attempt ended.
type Result string

// The results of attempts.
const (
	// ResultDone is a complete answer that was delivered to the caller.
	ResultDone Result = "done"
	// ResultNotRun means that the attempt provably did not run: no byte was sent, or the
	// target or peer reported so under its contract.
	ResultNotRun Result = "notRun"
	// ResultBroken is an attempt that may have run: the connection broke, the answer was
	// truncated, or the target failed midway.
	ResultBroken Result = "broken"
	// ResultFailed is a complete answer by which the target reports a failure, such as
	// status 500. The attempt ran.
	ResultFailed Result = "failed"
)

// Answer is the state of an attempt that a "run or bar" query asked about.
type Answer string

// The answers.
const (
	// Barred means that the attempt had not arrived and will never run.
	Barred Answer = "barred"
	// Running means that the attempt is running; the asking host asks again.
	Running Answer = "running"
	// Ended means that the attempt ran or may have run.
	Ended Answer = "ended"
	// Refused means that the attempt had arrived and was not run.
	Refused Answer = "refused"
	// Forgotten means that the asked host can't know, for example after a restart.
	Forgotten Answer = "forgotten"
)

// RequestArrived reports a new request at this host.
type RequestArrived struct {
	Request Request `json:"request"`
}

// AttemptSent reports that the first byte of the request is about to be written; from
// now on it may run.
type AttemptSent struct {
	Attempt ident.Attempt `json:"attempt"`
}

// StreamPaced reports the time between events of a route's stream, taken over its last
// few events.
type StreamPaced struct {
	Attempt ident.Attempt `json:"attempt"`
	Gap     time.Duration `json:"gap"`
}

// FirstToken reports that the first byte of an answer has arrived.
type FirstToken struct {
	Attempt ident.Attempt `json:"attempt"`
	// Build is that of the target.
	Build ident.Build `json:"build,omitempty"`
}

// AttemptSilent reports that an attempt has sent no data for its idle timeout. It is
// repeated while the silence lasts.
type AttemptSilent struct {
	Attempt ident.Attempt `json:"attempt"`
	// Since is when the last piece of the answer arrived, or when the attempt began if
	// none has.
	Since ident.Time `json:"since"`
	// AnswerBegan is set once a piece of the answer has arrived.
	AnswerBegan bool `json:"begun,omitempty"`
}

// AttemptEnded reports how an attempt ended.
type AttemptEnded struct {
	Attempt ident.Attempt `json:"attempt"`
	Result  Result        `json:"result"`
	// Code and Status are those of a refusal by the peer or target.
	Code   codes.ID `json:"code,omitempty"`
	Status int      `json:"status,omitempty"`
	// RetryAfter is the delay requested by the target or peer.
	RetryAfter time.Duration `json:"retryAfter,omitempty"`
	// Delivered counts the tokens that have reached the caller.
	Delivered ident.Tokens `json:"delivered,omitempty"`
	// Generated counts all tokens of the answer.
	Generated ident.Tokens `json:"generated,omitempty"`
	// Cached counts the prompt tokens that the engine found in its cache.
	Cached ident.Tokens `json:"cached,omitempty"`
	// Draining means that the target refused because it is draining.
	Draining bool `json:"draining,omitempty"`
	// Resumable means that a new attempt may continue after the delivered tokens.
	Resumable bool `json:"resumable,omitempty"`
	// Unplaced means that the caller has an event without an id after the delivered tokens, so that no
	// attempt may follow.
	Unplaced bool `json:"unplaced,omitempty"`
	// Fault is what was wrong with the answer, empty if nothing was or if none has begun.
	Fault string `json:"fault,omitempty"`
	// OutcomeStored means that the request's goroutine stored the outcome for repeats.
	OutcomeStored bool `json:"kept,omitempty"`
	// Silent means that the attempt was aborted because it sent no data.
	Silent bool `json:"silent,omitempty"`
	// Disconnected means that the target closed or reset the connection before its
	// answer was complete, TargetEnded that its process has ended.
	Disconnected bool `json:"disconnected,omitempty"`
	TargetEnded  bool `json:"targetEnded,omitempty"`
	// Unframed means that the answer had neither a length nor chunks, so that it ended with its
	// connection. ProvenWhole means that it is complete all the same: its content shows this, or its
	// target has answered a query after the end.
	Unframed    bool `json:"unframed,omitempty"`
	ProvenWhole bool `json:"provenWhole,omitempty"`
	// EndedRuns are the targets that have ended while they ran the request or a repeat of it,
	// as far as the peer knows that ran the attempt.
	EndedRuns []TargetRun `json:"endedRuns,omitempty"`
	// AnswerBuffered means that a complete answer with a failure is buffered and can be
	// delivered.
	AnswerBuffered bool `json:"held,omitempty"`
}

// CallerLeft reports that the connection of the caller, or of the host that forwarded
// its request, ended before the answer.
type CallerLeft struct {
	Request ident.RequestID `json:"request"`
	// Ending is the side that ended the connection, zero if unknown.
	Ending Ending `json:"ending"`
}

// Side is the party that ended a connection or an answer.
type Side string

// The sides.
const (
	SideCaller   Side = "caller"
	SideHost     Side = "host"
	SideTarget   Side = "target"
	SidePeer     Side = "peer"
	SideDeadline Side = "deadline"
)

// Reason is why a side ended a connection or an answer.
type Reason string

// The reasons.
const (
	// ReasonClosed means that the side closed its connection, ReasonReset that it reset
	// it.
	ReasonClosed Reason = "closed"
	ReasonReset  Reason = "reset"
	// ReasonFailed means that the connection failed in another way.
	ReasonFailed Reason = "failed"
	// ReasonWriteTimeout means that the other side accepted no data for too long.
	ReasonWriteTimeout Reason = "writeTimeout"
	// ReasonStopped means that the process ended.
	ReasonStopped Reason = "stopped"
	// ReasonSilent means that the answer sent no data for its idle timeout.
	ReasonSilent Reason = "silent"
	// ReasonDeadlineExpired means that the deadline of the request passed.
	ReasonDeadlineExpired Reason = "over"
)

// Ending is the side that ended a connection or an answer, and its reason.
type Ending struct {
	Side   Side   `json:"side,omitempty"`
	Reason Reason `json:"reason,omitempty"`
}

// KeyClaimed answers ClaimKey.
type KeyClaimed struct {
	Request ident.RequestID `json:"request"`
	Claim   Claim           `json:"claim"`
	// Owner is the record in the store if the key was already claimed.
	Owner KeyRecord `json:"owner"`
}

// Claim is the platform's answer to the claim of an idempotency key.
type Claim string

// The answers to a claim.
const (
	// ClaimWon means that this claim created the record. If the reply was lost, the
	// record was read back to confirm it.
	ClaimWon Claim = "won"
	// ClaimTaken means that the key was claimed earlier.
	ClaimTaken Claim = "taken"
	// ClaimFailed means that the state of the key is unknown: the request is not run.
	ClaimFailed Claim = "failed"
)

// KeyRecord is the stored value for the digest of an idempotency key.
type KeyRecord struct {
	Entry       ident.EntryID     `json:"entry"`
	Incarnation ident.Incarnation `json:"incarnation"`
	Request     ident.RequestID   `json:"request"`
	Fingerprint string            `json:"print"`
}

// TicketAsked asks the reducer for a ticket.
type TicketAsked struct {
	Ask     Ask           `json:"ask"`
	Account ident.Account `json:"account"`
	Profile ident.Profile `json:"profile"`
	// Secret is 128 bits of randomness in hexadecimal. It is generated outside the
	// reducer, which is deterministic and has no source of randomness.
	Secret string `json:"secret"`
}

// EntriesAsked asks which entry hosts callers should use.
type EntriesAsked struct {
	Ask     Ask           `json:"ask"`
	Account ident.Account `json:"account"`
	Profile ident.Profile `json:"profile"`
	// Seed is a random number that distributes callers over equally good hosts.
	Seed uint64 `json:"spread"`
}

// NearbyAsked asks which entry hosts a caller at a place should use.
type NearbyAsked struct {
	Ask  Ask   `json:"ask"`
	Near Place `json:"near"`
	// Host is the host name in the caller's requests, which selects the home data
	// centres of their routes.
	Host string `json:"host,omitempty"`
}

// RouteAsked asks where a request would be sent and why, without sending it.
type RouteAsked struct {
	Ask     Ask     `json:"ask"`
	Request Request `json:"request"`
}

// StatusAsked asks for the state as known to this host.
type StatusAsked struct {
	Ask Ask `json:"ask"`
}

func (RequestArrived) isEvent() {}
func (AttemptSent) isEvent()    {}
func (FirstToken) isEvent()     {}
func (StreamPaced) isEvent()    {}
func (AttemptSilent) isEvent()  {}
func (AttemptEnded) isEvent()   {}
func (CallerLeft) isEvent()     {}
func (KeyClaimed) isEvent()     {}
func (TicketAsked) isEvent()    {}
func (EntriesAsked) isEvent()   {}
func (NearbyAsked) isEvent()    {}
func (RouteAsked) isEvent()     {}
func (StatusAsked) isEvent()    {}
