package codes

// The settings checks, for the settings file of an entry host.
var (
	SettingUnknown = Code{
		ID: "VB3001", Title: "the field is not known", Since: firstVersion, Severity: Error,
		Text: "Unknown fields are faults, since a misspelt field would silently keep its default.",
	}
)

// Settings is the table of the settings checks.
var Settings = []Code{SettingUnknown}
