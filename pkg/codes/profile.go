package codes

// The checks of profiles and accounts, which run before a change is accepted.
var (
	ProfileName = Code{
		ID: "VB4001", Title: "the name is empty or has characters other than a-z, 0-9, dot, dash and slash", Since: firstVersion, Severity: Error,
		Text: "Names stand in headers, paths and keys of the platform's store.",
	}
	ProfileServes = Code{
		ID: "VB4002", Title: "the profile must name either models or a service", Since: firstVersion, Severity: Error,
		Text: "A profile of a model lists at least one model; a profile of a plain service names the service and no model.",
	}
	ProfileRange = Code{
		ID: "VB4003", Title: "the value is out of its range", Since: firstVersion, Severity: Error,
		Text: "Weights and limits are not negative; crossings are from 0 to 4; deadlines are from 1 ms to 1 hour.",
	}
	ProfileHome = Code{
		ID: "VB4004", Title: "the home is not a region of the profile", Since: firstVersion, Severity: Error,
		Text: "The profile is confined to the home of the account and to regions that leave the home out, so that no place remains and each request would be refused.",
	}
	ProfileDigest = Code{
		ID: "VB4005", Title: "the key digest is not 64 hexadecimal digits", Since: firstVersion, Severity: Error,
		Text: "Keys are held as the SHA-256 digest of the key, never as the key.",
	}
	ProfileShape = Code{
		ID: "VB4006", Title: "the document can't be read", Since: firstVersion, Severity: Error,
		Text: "It is no JSON of the expected shape, or has a field that is not known. Unknown fields are faults, since a misspelt residency rule would silently confine nothing.",
	}
	ProfileKind = Code{
		ID: "VB4007", Title: "the kind of the item is not known", Since: firstVersion, Severity: Error,
		Text: "An item is a profile or an account.",
	}
	ProfileTwice = Code{
		ID: "VB4008", Title: "the item stands twice in the change", Since: firstVersion, Severity: Error,
		Text: "Which of the two would be in force depended on their order. Send one.",
	}
	ProfileShared = Code{
		ID: "VB4009", Title: "another account has the same key", Since: firstVersion, Severity: Error,
		Text: "A request is counted against the account of its key, so that a key belongs to one account. Give each its own.",
	}
	ProfileNoHome = Code{
		ID: "VB4010", Title: "the profile is confined to the home, and the account has none", Since: firstVersion, Severity: Error,
		Text: "An account that lists a profile with homeOnly needs a home. Without one each of its requests would be refused.",
	}
	ProfileList = Code{
		ID: "VB4011", Title: "an entry of a list is empty or stands twice", Since: firstVersion, Severity: Error,
		Text: "Models, regions and profiles are lists of names without repeats. An empty region would match no place, an empty model no target.",
	}
	ProfileAbsent = Code{
		ID: "VB4012", Title: "the account names a profile that does not exist", Since: firstVersion, Severity: Error,
		Text: "The profile is neither in force nor part of the change. A misspelt name would leave the account without the profile it was meant to have.",
	}
)

// Profiles lists the checks of profiles and accounts.
var Profiles = []Code{
	ProfileName, ProfileServes, ProfileRange, ProfileHome, ProfileDigest, ProfileShape, ProfileKind,
	ProfileTwice, ProfileShared, ProfileNoHome, ProfileList, ProfileAbsent,
}
