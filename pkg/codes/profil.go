package codes

// The checks of profiles and accounts, made before a change is accepted.
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
		ID: "VB4004", Title: "the home is not a region of the profile", Since: firstVersion, Severity: Warning,
		Text: "An account with a home that a profile's regions leave out can't use that profile.",
	}
	ProfileDigest = Code{
		ID: "VB4005", Title: "the key digest is not 64 hexadecimal digits", Since: firstVersion, Severity: Error,
		Text: "Keys are held as the SHA-256 digest of the key, never as the key.",
	}
)

// Profiles is the table of the checks of profiles and accounts.
var Profiles = []Code{ProfileName, ProfileServes, ProfileRange, ProfileHome, ProfileDigest}
