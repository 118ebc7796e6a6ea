package codes

// The mechanisms that place, queue, refuse and retry requests under load. Each
// can be switched off in development builds to measure its effect.
var (
	PrefixTransfer = Code{
		ID: "VB6001", Title: "engines copy cached prefixes from each other", Since: secondVersion, Severity: Info,
		Text: "Where another engine caches a prefix of a prompt, the one that gets the request copies it and prefills only the rest.",
	}
	AnnouncedHolders = Code{
		ID: "VB6002", Title: "hosts of a region announce which engines cache long prefixes", Since: secondVersion, Severity: Info,
		Text: "A heartbeat names the engines that were sent a prefix of 2,048 tokens and more, so that a prompt that shares it goes there or copies it from there.",
	}
	OrderByLength = Code{
		ID: "VB6003", Title: "engines begin prompts by what is left to prefill", Since: secondVersion, Severity: Info,
		Text: "At a peak a long prompt waits for all short ones of a more urgent profile. By length first, and by urgency among those of one length, most callers wait least.",
	}
	LateRequestsLast = Code{
		ID: "VB6004", Title: "requests that are late go behind those in time", Since: secondVersion, Severity: Info,
		Text: "In an overload a request that can't be answered within its goal any more waits behind those that can, and for a quarter of its goal at the most.",
	}
	LongIdleTimeout = Code{
		ID: "VB6005", Title: "late streams are not asked for a second time", Since: secondVersion, Severity: Info,
		Text: "Where first bytes are usually later than a goal, an answer counts as lost after 2.5 goals and not after three quarters of one.",
	}
	PromptMemory = Code{
		ID: "VB6006", Title: "long prompts leave a part of an engine's memory", Since: secondVersion, Severity: Info,
		Text: "Past 0.6 of an engine's memory a long prompt waits at its host, so that shared prefixes are not evicted.",
	}
	CallQueue = Code{
		ID: "VB6007", Title: "calls queue at their target for a part of their goal", Since: secondVersion, Severity: Info,
		Text: "Many hosts before few slots know little of each other's calls. Calls that are short beside their goal may queue at the target, so that no slot idles while callers wait.",
	}
	AnnouncedSends = Code{
		ID: "VB6008", Title: "small regions announce their use of targets four times a second", Since: secondVersion, Severity: Info,
		Text: "An engine prefills what it is sent in a few tenths of a second; a heartbeat is older than that.",
	}
	RefusalBackoff = Code{
		ID: "VB6009", Title: "a region that has turned a request away is left alone for a moment", Since: secondVersion, Severity: Info,
		Text: "Until its next summary, a region at its peak would turn away each further request that is passed on to it.",
	}
	GrowingRetryAfter = Code{
		ID: "VB6010", Title: "Retry-After grows with the duration of an overload", Since: secondVersion, Severity: Info,
		Text: "An overload that has lasted for seconds rarely ends within the next one; a caller that comes back into it is refused a second time.",
	}
	DrainAccept = Code{
		ID: "VB6011", Title: "a draining host takes what ends in time", Since: secondVersion, Severity: Info,
		Text: "Where all hosts of a region drain at once their callers know no other. Requests whose own time is over before the drain's are served.",
	}
)

// Mechanisms lists the mechanisms.
var Mechanisms = []Code{
	PrefixTransfer, AnnouncedHolders, OrderByLength, LateRequestsLast, LongIdleTimeout, PromptMemory,
	CallQueue, AnnouncedSends, RefusalBackoff, GrowingRetryAfter, DrainAccept,
}
