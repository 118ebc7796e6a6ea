package event

import (
	"time"

	"verbenadale.example/verbenadale/pkg/codes"
	"verbenadale.example/verbenadale/pkg/ident"
	"verbenadale.example/verbenadale/pkg/value"
)

// Outcome says whether a request ran, as far as its caller can know.
type Outcome string

// The outcomes. NotRun is a promise; Unknown claims nothing.
const (
	Done    Outcome = "done"
	NotRun  Outcome = "notRun"
	Unknown Outcome = "unknown"
)

// Envelope travels with a request from one entry host to another.
type Envelope struct {
	// Attempt names the sender's try. The receiver answers "run or bar" by it.
	Attempt ident.Attempt `json:"attempt"`
	// ToIncarnation is the incarnation of the receiver that the sender meant. Another
	// incarnation refuses it, since it can't know what the meant one did.
	ToIncarnation ident.Incarnation `json:"to"`
	From          ident.EntryID     `json:"from"`
	FromPlace     Place             `json:"fromPlace"`
	// Crossings counts the passages between regions so far, this included.
	Crossings ident.Hops `json:"crossings"`
	// Visited lists the entry hosts that the request has passed.
	Visited []ident.EntryID `json:"seen"`
	// Revision is the configuration that the sender decided by.
	Revision ident.Revision `json:"revision"`
}

// Request is what the reducer knows of a request. It holds no text.
type Request struct {
	ID      ident.RequestID `json:"id"`
	Account ident.Account   `json:"account"`
	Profile ident.Profile   `json:"profile"`
	// Prompt is the estimated length of the prompt, MaxTokens the most that
	// may be generated.
	Prompt    ident.Tokens `json:"prompt"`
	MaxTokens ident.Tokens `json:"maxTokens"`
	// Prefix holds chained digests of the prompt's blocks, the longest prefix
	// last, for cache affinity. They are compared with the cache events of
	// engines and never leave the host.
	Prefix []uint64 `json:"prefix,omitempty"`
	// SharedBlocks is how many blocks of Prefix other requests probably begin with
	// too, zero where that is unknown.
	SharedBlocks int `json:"shared,omitempty"`
	// Service is the service that was picked for a request of a route.
	Service string `json:"service,omitempty"`
	// Model is the model that a request of a route names.
	Model ident.Model `json:"model,omitempty"`
	// Deadline is when the caller stops waiting; zero stands for the
	// profile's.
	Deadline ident.Time `json:"deadline"`
	Stream   bool       `json:"stream,omitempty"`
	// AnswerBegan says that the caller of a forwarded request has a part of the answer.
	AnswerBegan bool `json:"begun,omitempty"`
	// Ticket is the caller's ticket, Key the digest of its idempotency key,
	// Print a digest of the request that detects a reused key.
	Ticket      string `json:"ticket,omitempty"`
	Key         string `json:"key,omitempty"`
	Fingerprint string `json:"print,omitempty"`
	// Envelope is set for a request that another entry host passed on.
	Envelope value.Option[Envelope] `json:"envelope"`
}

// Ask numbers a question to the reducer. Its answer carries the same number.
type Ask uint64

// Result says how an attempt ended.
type Result string

// The results of attempts.
const (
	// ResultDone is a whole answer, passed on to the caller.
	ResultDone Result = "done"
	// ResultNotRun is a proof that nothing ran: no byte was sent, or the
	// target or peer said so under its contract.
	ResultNotRun Result = "notRun"
	// ResultBroken is an attempt that may have run: the link broke, the
	// answer was short, or the target failed in the middle.
	ResultBroken Result = "broken"
	// ResultFailed is a whole answer of the target that says it failed, such
	// as status 500. It ran.
	ResultFailed Result = "failed"
)

// Answer says what became of an attempt that was asked about by "run or
// bar".
type Answer string

// The answers.
const (
	// Barred says that the attempt had not arrived and never will run.
	Barred Answer = "barred"
	// Running says that it runs; the asker asks again.
	Running Answer = "running"
	// Ended says that it ran or may have run.
	Ended Answer = "ended"
	// Refused says that it had arrived and was not run.
	Refused Answer = "refused"
	// Forgotten says that the asked host can't know, such as after a restart.
	Forgotten Answer = "forgotten"
)

// RequestArrived starts a request at this host.
type RequestArrived struct {
	Request Request `json:"request"`
}

// AttemptSent says that the first byte of the request was written, so that
// from now on it may run.
type AttemptSent struct {
	Attempt ident.Attempt `json:"attempt"`
}

// StreamPaced says how long a stream of a route takes from one event to the next,
// over the last few of them.
type StreamPaced struct {
	Attempt ident.Attempt `json:"attempt"`
	Gap     time.Duration `json:"gap"`
}

// FirstToken says that the first byte of an answer has come.
type FirstToken struct {
	Attempt ident.Attempt `json:"attempt"`
}

// AttemptSilent says that an attempt has brought nothing for its idle timeout. It is repeated
// while the silence goes on.
type AttemptSilent struct {
	Attempt ident.Attempt `json:"attempt"`
	// Since is when the last piece of the answer came, or the attempt began.
	Since ident.Time `json:"since"`
	// AnswerBegan says that a piece of the answer has come.
	AnswerBegan bool `json:"begun,omitempty"`
}

// AttemptEnded says how an attempt ended.
type AttemptEnded struct {
	Attempt ident.Attempt `json:"attempt"`
	Result  Result        `json:"result"`
	// Code and Status are those of a refusal of the peer or target.
	Code   codes.ID `json:"code,omitempty"`
	Status int      `json:"status,omitempty"`
	// RetryAfter is the wait that the target or peer asked for.
	RetryAfter time.Duration `json:"retryAfter,omitempty"`
	// Delivered counts tokens that have reached the caller.
	Delivered ident.Tokens `json:"delivered,omitempty"`
	// Generated counts all tokens of the answer.
	Generated ident.Tokens `json:"generated,omitempty"`
	// Cached counts prompt tokens that the engine found in its cache.
	Cached ident.Tokens `json:"cached,omitempty"`
	// Draining says that the target refused because it drains.
	Draining bool `json:"draining,omitempty"`
	// Resumable says that a new attempt may go on after the tokens delivered.
	Resumable bool `json:"resumable,omitempty"`
	// OutcomeStored says that the outcome was kept for repeats by the traffic side.
	OutcomeStored bool `json:"kept,omitempty"`
	// Silent says that the attempt was broken off for a silence.
	Silent bool `json:"silent,omitempty"`
	// AnswerBuffered says that a whole answer with a failure is buffered and can be delivered.
	AnswerBuffered bool `json:"held,omitempty"`
}

// CallerLeft says that the connection of the caller, or of the host that forwarded its request,
// has ended before the answer.
type CallerLeft struct {
	Request ident.RequestID `json:"request"`
	// Ending is which side ended it, zero where that is not known.
	Ending Ending `json:"ending"`
}

// Side is who ended a connection or an answer.
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
	// ReasonClosed says that the side closed its connection, ReasonReset that it reset it.
	ReasonClosed Reason = "closed"
	ReasonReset  Reason = "reset"
	// ReasonFailed says that the connection failed otherwise.
	ReasonFailed Reason = "failed"
	// ReasonWriteTimeout says that the other side took nothing for too long.
	ReasonWriteTimeout Reason = "writeTimeout"
	// ReasonStopped says that the process ended.
	ReasonStopped Reason = "stopped"
	// ReasonSilent says that an answer brought nothing for its idle timeout.
	ReasonSilent Reason = "silent"
	// ReasonDeadlineExpired says that the time of the request was over.
	ReasonDeadlineExpired Reason = "over"
)

// Ending is which side ended a connection or an answer, and why.
type Ending struct {
	Side   Side   `json:"side,omitempty"`
	Reason Reason `json:"reason,omitempty"`
}

// KeyClaimed answers ClaimKey.
type KeyClaimed struct {
	Request ident.RequestID `json:"request"`
	Claim   Claim           `json:"claim"`
	// Owner and Print are those on record, where the key was taken.
	Owner KeyRecord `json:"owner"`
}

// Claim is the platform's answer to the claim of an idempotency key.
type Claim string

// The answers to a claim.
const (
	// ClaimWon says that the record was made by this claim and read back if
	// the reply was lost.
	ClaimWon Claim = "won"
	// ClaimTaken says that the key was claimed before.
	ClaimTaken Claim = "taken"
	// ClaimFailed says that nothing is known: the request is not run.
	ClaimFailed Claim = "failed"
)

// KeyRecord is what the store holds under the digest of an idempotency key.
type KeyRecord struct {
	Entry       ident.EntryID     `json:"entry"`
	Incarnation ident.Incarnation `json:"incarnation"`
	Request     ident.RequestID   `json:"request"`
	Fingerprint string            `json:"print"`
}

// TicketAsked asks for a ticket.
type TicketAsked struct {
	Ask     Ask           `json:"ask"`
	Account ident.Account `json:"account"`
	Profile ident.Profile `json:"profile"`
	// Secret is 128 bits of randomness in hexadecimal, made outside the
	// reducer, which has no source of its own.
	Secret string `json:"secret"`
}

// EntriesAsked asks which entry hosts callers should use.
type EntriesAsked struct {
	Ask     Ask           `json:"ask"`
	Account ident.Account `json:"account"`
	Profile ident.Profile `json:"profile"`
	// Seed is a random number that shares callers out over equal hosts.
	Seed uint64 `json:"spread"`
}

// NearbyAsked asks which entry hosts a caller at a place should use.
type NearbyAsked struct {
	Ask  Ask   `json:"ask"`
	Near Place `json:"near"`
	// Host is the name that the caller's requests go to, by which the homes of their
	// routes are found.
	Host string `json:"host,omitempty"`
}

// RouteAsked asks where a request would go and why, without sending it.
type RouteAsked struct {
	Ask     Ask     `json:"ask"`
	Request Request `json:"request"`
}

// StatusAsked asks for the state as this host knows it.
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
