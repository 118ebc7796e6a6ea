package codes

// The routing filters. A filter excludes a choice whatever its cost; no load or
// predicted time can outweigh it.
var (
	FilterKind = Code{
		ID: "VB2001", Title: "the target is of another kind than the profile asks for", Since: firstVersion, Severity: Info,
		Text: "The profile names a plain service or a model, and the target is the other, or another service.",
	}
	FilterModel = Code{
		ID: "VB2002", Title: "the target serves none of the models, versions and adapters of the profile", Since: firstVersion, Severity: Info,
		Text: "The load report of the target lists what it has loaded. A model that is being loaded counts only once it is reported.",
	}
	FilterResidency = Code{
		ID: "VB2003", Title: "the place lies outside the residency rule", Since: firstVersion, Severity: Info,
		Text: "The region of the choice is not among those that the profile, or the home of the account, allows.",
	}
	FilterHops = Code{
		ID: "VB2004", Title: "the request may not be passed on again", Since: firstVersion, Severity: Info,
		Text: "The request has crossed between regions as often as the profile allows, or came from another entry host.",
	}
	FilterDraining = Code{
		ID: "VB2005", Title: "the target is draining", Since: firstVersion, Severity: Info,
		Text: "The platform's list, the target itself or a peer said so. It holds for the whole incarnation of the target.",
	}
	FilterHealth = Code{
		ID: "VB2006", Title: "the target does not answer", Since: firstVersion, Severity: Warning,
		Text: "Requests or load reports failed in a row. A probe lets it back in.",
	}
	FilterTried = Code{
		ID: "VB2007", Title: "the target has already failed for this request", Since: firstVersion, Severity: Info,
		Text: "A retry goes elsewhere as long as there is another choice.",
	}
	FilterOffer = Code{
		ID: "VB2008", Title: "the other data centre has offered no spare capacity", Since: firstVersion, Severity: Info,
		Text: "Work goes to another data centre only on an offer that has not expired or been used up.",
	}
	FilterEvacuated = Code{
		ID: "VB2010", Title: "the data centre of the target is evacuated", Since: secondVersion, Severity: Info,
		Text: "The operator has asked that nothing more be sent there until that is taken back.",
	}
	FilterCold = Code{
		ID: "VB2011", Title: "the target is cold and has had its share of requests", Since: secondVersion, Severity: Info,
		Text: "A target that has just started takes only a few requests a second of all hosts together. One host sends them; the others wait until it is warm.",
	}
	FilterBound = Code{
		ID: "VB2012", Title: "the rest of the stream is bound to another target", Since: secondVersion, Severity: Info,
		Text: "As many targets have seen the request as its route allows. The one that turned it away last is tried again until it has room.",
	}
	FilterRate = Code{
		ID: "VB2013", Title: "the target has had the requests that it takes", Since: secondVersion, Severity: Info,
		Text: "The target names a limit on the requests a second of all hosts together. A few hosts send them; the others use other targets until it names none any more.",
	}
	FilterBuild = Code{
		ID: "VB2014", Title: "the targets run another version of the software", Since: secondVersion, Severity: Info,
		Text: "The caller has a part of the stream, which only targets of the version that began it can continue.",
	}
	FilterRest = Code{
		ID: "VB2015", Title: "the target has asked this host for rest", Since: secondVersion, Severity: Info,
		Text: "The target turned a request away and said for how long it wants none from this host. Other hosts send to it until they are asked too.",
	}
	FilterFull = Code{
		ID: "VB2009", Title: "the target has no free slot", Since: firstVersion, Severity: Info,
		Text: "The requests sent and not yet ended fill the target's slots and the queue it is allowed.",
	}
)

// Filters lists the routing filters.
var Filters = []Code{
	FilterKind, FilterModel, FilterResidency, FilterHops, FilterDraining,
	FilterHealth, FilterTried, FilterOffer, FilterFull, FilterEvacuated, FilterCold, FilterBound, FilterRate, FilterBuild, FilterRest,
}
