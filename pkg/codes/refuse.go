package codes

import "net/http"

// firstVersion is the version that introduced the first set of codes.
const firstVersion = "0.1.0"

// secondVersion is the version that introduced routes by host and path.
const secondVersion = "0.2.0"

// The refusals: final answers that don't come from a target.
var (
	UnknownKey = Code{
		ID: "VB1001", Title: "the API key is not known", Status: http.StatusUnauthorized, Since: firstVersion, Severity: Error,
		Text: "No account of the configuration in force has this key. Send the key as \"Authorization: Bearer KEY\"; an operator can list the accounts with verbctl.",
	}
	BadRequest = Code{
		ID: "VB1002", Title: "the request can't be read", Status: http.StatusBadRequest, Since: firstVersion, Severity: Error,
		Text: "The body is no valid JSON of the expected shape, or a header has a value out of its range. The message names the field. Nothing was sent to a target.",
	}
	TooLarge = Code{
		ID: "VB1003", Title: "the body is too large", Status: http.StatusRequestEntityTooLarge, Since: firstVersion, Severity: Error,
		Text: "The body is longer than the limit in the settings of the entry host. Nothing was sent to a target.",
	}
	UnknownProfile = Code{
		ID: "VB1004", Title: "the profile is not known", Status: http.StatusNotFound, Since: firstVersion, Severity: Error,
		Text: "No profile of this name is in force. The name comes from the header Verbenadale-Profile, else from the field model. A profile that was just created is in force everywhere within seconds.",
	}
	OutsideResidency = Code{
		ID: "VB1005", Title: "this entry host lies outside the places that the residency rule allows", Status: http.StatusMisdirectedRequest, Since: firstVersion, Severity: Error,
		Text: "The profile confines its data to regions that this entry host is not in. Nothing was sent on. Use one of the entry hosts that the answer names; send Expect: 100-continue so that the body isn't sent to a wrong host.",
	}
	TooManyHops = Code{
		ID: "VB1006", Title: "the request has been passed on as often as its profile allows", Status: http.StatusLoopDetected, Since: firstVersion, Severity: Error,
		Text: "The request came from another region, or through an outside proxy that sends it in circles, and may not be passed on again.",
	}
	NoTarget = Code{
		ID: "VB1007", Title: "no target may serve the request now", Status: http.StatusServiceUnavailable, Since: firstVersion, Severity: Error, RetryLater: true,
		Text: "Each known target was ruled out. \"verbctl route\" shows by which filter. The request was not run.",
	}
	Overloaded = Code{
		ID: "VB1008", Title: "the request can't be served before its deadline", Status: http.StatusServiceUnavailable, Since: firstVersion, Severity: Warning, RetryLater: true,
		Text: "The predicted time to serve the request is longer than the time that it has left. It was not run. Retry-After gives the time after which it would be met at today's load.",
	}
	AccountLimit = Code{
		ID: "VB1009", Title: "the account has used up its limit", Status: http.StatusTooManyRequests, Since: firstVersion, Severity: Warning, RetryLater: true,
		Text: "The account has sent more requests or tokens a minute than its limit allows at this entry host. The request was not run.",
	}
	DeadlinePast = Code{
		ID: "VB1010", Title: "the deadline had passed when the request arrived", Status: http.StatusRequestTimeout, Since: firstVersion, Severity: Error,
		Text: "Verbenadale-Deadline-Ms is zero or less, or ran out before anything was sent. The request was not run.",
	}
	BadTicket = Code{
		ID: "VB1011", Title: "the ticket is not valid or has expired", Status: http.StatusBadRequest, Since: firstVersion, Severity: Error,
		Text: "The ticket was never issued, belongs to another account or profile, or has expired unused. The request was not run. Ask for a new ticket.",
	}
	ForeignTicket = Code{
		ID: "VB1012", Title: "the ticket belongs to another entry host", Status: http.StatusMisdirectedRequest, Since: firstVersion, Severity: Error,
		Text: "Only the entry host that issued a ticket may redeem it. The answer names its address. This host has not run the request.",
	}
	Draining = Code{
		ID: "VB1013", Title: "this entry host is draining", Status: http.StatusServiceUnavailable, Since: firstVersion, Severity: Info,
		Text: "The host is about to stop and takes no new requests. The request was not run. Use one of the entry hosts that the answer names.",
	}
	StoreDown = Code{
		ID: "VB1014", Title: "the idempotency key can't be recorded", Status: http.StatusServiceUnavailable, Since: firstVersion, Severity: Warning, RetryLater: true,
		Text: "The platform's store did not confirm the record that keeps a second run away, so this request was not run. An earlier one with the same key may have run. Come back later with the same key; take a ticket, which needs no store, only if nothing was sent with this key before.",
	}
	OutcomeUnknown = Code{
		ID: "VB1015", Title: "whether the request ran is not known", Status: http.StatusBadGateway, Since: firstVersion, Severity: Error,
		Text: "The request may not be repeated, and its one attempt broke off after it had been sent. It may have run. Look in the records of the target before sending it as a new request.",
	}
	NeedsTicketOrKey = Code{
		ID: "VB1016", Title: "the profile takes no request without a ticket or an Idempotency-Key", Status: http.StatusPreconditionRequired, Since: firstVersion, Severity: Error,
		Text: "Calls of this profile may run at most once. Take a ticket from POST /v1/tickets and send it as Verbenadale-Ticket, or send an Idempotency-Key of your own.",
	}
	KeyReused = Code{
		ID: "VB1017", Title: "the idempotency key was used for another request", Status: http.StatusUnprocessableEntity, Since: firstVersion, Severity: Error,
		Text: "The key is recorded with a request of another content. This request was not run. Use a new key for a new request.",
	}
	InProgress = Code{
		ID: "VB1018", Title: "the first request with this ticket or key still runs", Status: http.StatusConflict, Since: firstVersion, Severity: Info, RetryLater: true,
		Text: "A repeat was not run. Come back for the stored outcome after the time that Retry-After gives.",
	}
	ForgedEnvelope = Code{
		ID: "VB1019", Title: "a header that only entry hosts may send came from a caller", Status: http.StatusBadRequest, Since: firstVersion, Severity: Error,
		Text: "Hops, entries seen and remaining time travel between entry hosts on authenticated connections only. The request was not run.",
	}
	TargetFailed = Code{
		ID: "VB1020", Title: "the targets that were tried failed", Status: http.StatusBadGateway, Since: firstVersion, Severity: Error, RetryLater: true,
		Text: "The request may be repeated, was tried within the retry budget, and each try failed. Part of the answer may have been sent; it is not whole.",
	}
	DeadlineExceeded = Code{
		ID: "VB1021", Title: "the deadline passed while the request ran", Status: http.StatusGatewayTimeout, Since: firstVersion, Severity: Error,
		Text: "The target had begun and did not end in time. The header Verbenadale-Outcome says whether the request may have run.",
	}
	ProfileForbidden = Code{
		ID: "VB1022", Title: "the account may not use the profile", Status: http.StatusForbidden, Since: firstVersion, Severity: Error,
		Text: "The account lists the profiles that it may use, and this one is not among them.",
	}
	NotReady = Code{
		ID: "VB1023", Title: "this entry host has no configuration yet", Status: http.StatusServiceUnavailable, Since: firstVersion, Severity: Warning, RetryLater: true,
		Text: "The host has just started and has received nothing from the platform or a peer yet. The request was not run.",
	}
	NoOutcome = Code{
		ID: "VB1024", Title: "the request ended, but its answer is no longer kept", Status: http.StatusGone, Since: firstVersion, Severity: Warning,
		Text: "A repeat of a request that ran. The stored answer was dropped to bound memory, or was too large to keep. The request is not run again.",
	}
	HostBusy = Code{
		ID: "VB1025", Title: "this entry host holds as much as its settings allow", Status: http.StatusServiceUnavailable, Since: firstVersion, Severity: Warning, RetryLater: true,
		Text: "The requests in flight or the bodies of all callers together have reached the limits in the settings of the entry host. The request was not run. Come back later or use another entry host; an operator can raise limits.maxRequests or limits.maxHeldBytes.",
	}
	UnknownPath = Code{
		ID: "VB1026", Title: "nothing is served at this path", Status: http.StatusNotFound, Since: firstVersion, Severity: Error,
		Text: "Callers use /v1/chat/completions, /v1/completions, /v1/models, /v1/entries, /v1/tickets and /v1/services/PROFILE/PATH.",
	}
	WrongMethod = Code{
		ID: "VB1027", Title: "the path doesn't take this method", Status: http.StatusMethodNotAllowed, Since: firstVersion, Severity: Error,
		Text: "Completions and tickets are asked for with POST, models and entries with GET. Plain services take GET, HEAD, POST, PUT, PATCH, DELETE and OPTIONS.",
	}
	WrongType = Code{
		ID: "VB1028", Title: "the body is of a type that is not taken", Status: http.StatusUnsupportedMediaType, Since: firstVersion, Severity: Error,
		Text: "Completions take a body of application/json. No body may be compressed. Nothing was sent to a target.",
	}
	SlowBody = Code{
		ID: "VB1029", Title: "the body did not arrive in time", Status: http.StatusRequestTimeout, Since: firstVersion, Severity: Error,
		Text: "The body took longer than limits.bodyMs in the settings of the entry host. Nothing was sent to a target.",
	}
	ForwardRefused = Code{
		ID: "VB1030", Title: "the data centre has no room for what another passed on", Status: http.StatusServiceUnavailable, Since: secondVersion, Severity: Warning, RetryLater: true,
		Text: "Another entry host passed the request on, and no target here could begin it in time; none has seen it. The host that passed it on answers its caller, or places it again if its caller has a part of the answer.",
	}
	HostStopped = Code{
		ID: "VB1031", Title: "the entry host stopped before the answer was whole", Status: http.StatusBadGateway, Since: secondVersion, Severity: Warning,
		Text: "The host was asked to stop, and its time to drain was over while the request was at a target. The request may have run. A stream that had begun was cut.",
	}
	StaleKeys = Code{
		ID: "VB1032", Title: "the entry host can't confirm that the key is still valid", Status: http.StatusServiceUnavailable, Since: secondVersion, Severity: Warning, RetryLater: true,
		Text: "Neither the platform nor a peer has confirmed the configuration of the entry host for longer than fleet.keyTTLMs, so that the key may have been removed. The request was not run. Use another entry host.",
	}
	PoisonRequest = Code{
		ID: "VB1033", Title: "targets ended while they ran the request", Status: http.StatusBadGateway, Since: secondVersion, Severity: Error,
		Text: "As many targets as may have ended while each of them ran this request, another one of the same account with the same method, path, prompt and body, or others that share a part of its prompt. It is sent to no further target for some minutes, so repeating it is of no use. It may have run. Change the request, or ask the operators of the service to find its fault; the content in the log of the entry host is the same for all of its repeats.",
	}
	StreamNotContinued = Code{
		ID: "VB1034", Title: "no target can continue the stream", Status: http.StatusServiceUnavailable, Since: secondVersion, Severity: Warning,
		Text: "The caller has a part of the stream. Targets of several versions of the software serve, or did recently, and what they write does not fit together; the version that began the stream serves no more, or it is not known which one did. Nothing of this request was run. Waiting is of no use: begin the stream anew, without Last-Event-Id and Resumes.",
	}
)

// Refusals lists the refusals.
var Refusals = []Code{
	UnknownKey, BadRequest, TooLarge, UnknownProfile, OutsideResidency, TooManyHops,
	NoTarget, Overloaded, AccountLimit, DeadlinePast, BadTicket, ForeignTicket,
	Draining, StoreDown, OutcomeUnknown, NeedsTicketOrKey, KeyReused, InProgress,
	ForgedEnvelope, TargetFailed, DeadlineExceeded, ProfileForbidden, NotReady, NoOutcome,
	HostBusy, UnknownPath, WrongMethod, WrongType, SlowBody,
	ForwardRefused, HostStopped, StaleKeys, PoisonRequest, StreamNotContinued,
}
