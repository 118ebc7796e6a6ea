package codes

// The checks of the settings file of an entry host.
var (
	SettingUnknown = Code{
		ID: "VB3001", Title: "the field is not known", Since: firstVersion, Severity: Error,
		Text: "Unknown fields are faults, since a misspelt field would silently keep its default.",
	}
	SettingSyntax = Code{
		ID: "VB3002", Title: "the file is not JSON with comments", Since: firstVersion, Severity: Error,
		Text: "Comments and commas after the last element are allowed; all else is JSON. Nothing else is checked until the file can be read.",
	}
	SettingType = Code{
		ID: "VB3003", Title: "the value is of another type", Since: firstVersion, Severity: Error,
		Text: "Each field takes an object, a list, a string, a number, a whole number, or true and false.",
	}
	SettingTwice = Code{
		ID: "VB3004", Title: "the field stands twice", Since: firstVersion, Severity: Error,
		Text: "Which of the two would hold is not plain to a reader, so neither does.",
	}
	SettingMissing = Code{
		ID: "VB3005", Title: "the field is missing", Since: firstVersion, Severity: Error,
		Text: "The field has no default that could be right for every host.",
	}
	SettingName = Code{
		ID: "VB3006", Title: "the name has another shape than names have", Since: firstVersion, Severity: Error,
		Text: "Names stand in headers, metrics and logs: 1 to 63 of a-z, 0-9, dot and dash, with a letter or digit first.",
	}
	SettingAddress = Code{
		ID: "VB3007", Title: "the address is not an IP number with a port", Since: firstVersion, Severity: Error,
		Text: "Hosts are named by IP numbers, since a name could resolve differently on each start and during a partition not at all.",
	}
	SettingURL = Code{
		ID: "VB3008", Title: "the URL is not of http or https with a host", Since: firstVersion, Severity: Error,
		Text: "A base URL has a scheme, a host and no query.",
	}
	SettingFile = Code{
		ID: "VB3009", Title: "the file can't be read", Since: firstVersion, Severity: Error,
		Text: "Keys and certificates must be there and readable before the host starts.",
	}
	SettingTLS = Code{
		ID: "VB3010", Title: "the TLS fields don't go together", Since: firstVersion, Severity: Error,
		Text: "Towards callers certFile and keyFile go together. Towards peers certFile, keyFile and caFile do, or plain stands alone for development.",
	}
	SettingDigest = Code{
		ID: "VB3011", Title: "the digest is not 64 hexadecimal digits", Since: firstVersion, Severity: Error,
		Text: "Tokens are held as the SHA-256 digest of the token, never as the token.",
	}
	SettingRange = Code{
		ID: "VB3012", Title: "the number is out of its range", Since: firstVersion, Severity: Error,
		Text: "Each number has a range in which the host can work.",
	}
	SettingBound = Code{
		ID: "VB3015", Title: "the platform's bound can't be used", Since: firstVersion, Severity: Warning,
		Text: "The platform fills in the bounds of the field group fleet, alike on all hosts. A host that refused to start for one of them would leave its data centre without any host, so it starts with the value that the message names. Limits then allow no more than the platform does; the grace period and the shortest lease take their defaults.",
	}
	SettingChoice = Code{
		ID: "VB3013", Title: "the value is none of those to choose from", Since: firstVersion, Severity: Error,
		Text: "The field takes one of a few words.",
	}
	SettingClash = Code{
		ID: "VB3014", Title: "two fields that must differ are the same", Since: firstVersion, Severity: Error,
		Text: "Each listener needs an address of its own, and each operator and seed a name of its own.",
	}
)

// Settings lists the settings checks.
var Settings = []Code{
	SettingUnknown, SettingSyntax, SettingType, SettingTwice, SettingMissing, SettingName, SettingAddress,
	SettingURL, SettingFile, SettingTLS, SettingDigest, SettingRange, SettingChoice, SettingClash, SettingBound,
}
