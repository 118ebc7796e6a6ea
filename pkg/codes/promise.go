package codes

// The promises: guarantees that also hold during failures.
var (
	PromiseResidency = Code{
		ID: "VB5001", Title: "data never leaves the place its residency rule confines it to", Since: firstVersion, Severity: Error,
		Text: "A hard filter, checked by the host that sends and again by the host that receives.",
	}
	PromiseNoLoop = Code{
		ID: "VB5002", Title: "no request circulates between regions without end", Since: firstVersion, Severity: Error,
		Text: "A request crosses at most as often as its profile says; one received from another host is served there or refused.",
	}
	PromisePartition = Code{
		ID: "VB5003", Title: "a region that is cut off keeps serving its own callers", Since: firstVersion, Severity: Error,
		Text: "Configuration and membership are held in memory and learned from peers; their age is never a reason to refuse.",
	}
	PromiseComplete = Code{
		ID: "VB5004", Title: "every caller receives the whole answer to its own request", Since: firstVersion, Severity: Error,
		Text: "Answers are matched by attempt, and an answer without its end mark is a failure.",
	}
	PromiseNotRun = Code{
		ID: "VB5005", Title: "a request said not to have run has not run", Since: firstVersion, Severity: Error,
		Text: "\"notRun\" is said only when no byte can have reached a target, or the target or peer has said so under its contract.",
	}
	PromiseOnce = Code{
		ID: "VB5006", Title: "a non-idempotent request runs at most once", Since: firstVersion, Severity: Error,
		Text: "A ticket bound to one incarnation of one host, or a record in the platform's store before the first byte is sent.",
	}
	PromiseDrainingTarget = Code{
		ID: "VB5007", Title: "a draining target receives no new work after a few seconds", Since: firstVersion, Severity: Error,
		Text: "The earliest notice wins, from whichever source, and holds for the incarnation.",
	}
	PromiseDrain = Code{
		ID: "VB5008", Title: "a planned stop cuts no request in flight", Since: firstVersion, Severity: Error,
		Text: "A host that stops refuses new work with other addresses and ends when the last request has ended.",
	}
	PromiseChange = Code{
		ID: "VB5009", Title: "an accepted change is in force everywhere within seconds and never reverts", Since: firstVersion, Severity: Error,
		Text: "Every host keeps the highest revision that it has seen and takes no lower one from anyone.",
	}
)

// Promises lists the promises.
var Promises = []Code{
	PromiseResidency, PromiseNoLoop, PromisePartition, PromiseComplete, PromiseNotRun,
	PromiseOnce, PromiseDrainingTarget, PromiseDrain, PromiseChange,
}
