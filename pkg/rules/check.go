package rules

import (
	"encoding/hex"
	"fmt"
	"regexp"

	"verbenadale.example/verbenadale/pkg/codes"
)

// Bounds of the values in profiles.
const (
	maxCrossings  = 4
	maxDeadlineMs = 3_600_000
	digestBytes   = 32
)

var nameShape = regexp.MustCompile(`^[a-z0-9][a-z0-9./-]{0,62}$`)

// Fault is one fault found in a document.
type Fault struct {
	Code codes.ID `json:"code"`
	// Path names the field, such as weights.tail.
	Path string `json:"path"`
	// Message says what to write instead.
	Message string `json:"message"`
}

// String writes the fault in one line.
func (f Fault) String() string {
	return fmt.Sprintf("%s: %s (%s)", f.Path, f.Message, f.Code)
}

// check is one declared check of profiles and accounts.
type check struct {
	code    codes.Code
	profile func(p Profile) []Fault
	client  func(c Client) []Fault
}

// checks is the table that Check goes through.
var checks = []check{
	{code: codes.ProfileName, profile: profileName, client: clientName},
	{code: codes.ProfileServes, profile: profileServes},
	{code: codes.ProfileRange, profile: profileRange, client: clientRange},
	{code: codes.ProfileDigest, client: clientDigest},
}

// Check returns every fault of the items of a change.
func Check(items []Item) []Fault {
	var faults []Fault
	for _, it := range items {
		faults = append(faults, checkItem(it)...)
	}
	return faults
}

func checkItem(it Item) []Fault {
	if it.Deletes() {
		return nil
	}
	switch it.Kind {
	case KindProfile:
		p, err := it.Profile()
		if err != nil {
			return []Fault{{Code: codes.ProfileRange.ID, Path: it.Name, Message: err.Error()}}
		}
		return checkProfile(p)
	case KindAccount:
		c, err := it.Client()
		if err != nil {
			return []Fault{{Code: codes.ProfileRange.ID, Path: it.Name, Message: err.Error()}}
		}
		return checkClient(c)
	}
	return []Fault{{
		Code: codes.ProfileName.ID, Path: it.Name,
		Message: fmt.Sprintf("the kind %q is neither profile nor account", it.Kind),
	}}
}

func checkProfile(p Profile) []Fault {
	var faults []Fault
	for _, c := range checks {
		if c.profile == nil {
			continue
		}
		faults = append(faults, stamp(c.code, c.profile(p))...)
	}
	return faults
}

func checkClient(cl Client) []Fault {
	var faults []Fault
	for _, c := range checks {
		if c.client == nil {
			continue
		}
		faults = append(faults, stamp(c.code, c.client(cl))...)
	}
	return faults
}

func stamp(code codes.Code, faults []Fault) []Fault {
	for i := range faults {
		faults[i].Code = code.ID
	}
	return faults
}

func profileName(p Profile) []Fault { return nameFault(string(p.Name)) }

func clientName(c Client) []Fault { return nameFault(string(c.Name)) }

func nameFault(name string) []Fault {
	if nameShape.MatchString(name) {
		return nil
	}
	return []Fault{{Path: "name", Message: fmt.Sprintf("%q is no name; write 1 to 63 of a-z, 0-9, dot, dash and slash", name)}}
}

func profileServes(p Profile) []Fault {
	if p.Service == "" && len(p.Models) == 0 {
		return []Fault{{Path: "models", Message: "name at least one model, or a service"}}
	}
	if p.Service != "" && len(p.Models) > 0 {
		return []Fault{{Path: "service", Message: "name either models or a service, not both"}}
	}
	return nil
}

func profileRange(p Profile) []Fault {
	var faults []Fault
	if p.MaxCrossings < 0 || p.MaxCrossings > maxCrossings {
		faults = append(faults, Fault{Path: "maxCrossings", Message: fmt.Sprintf("write 0 to %d", maxCrossings)})
	}
	if p.DeadlineMs < 0 || p.DeadlineMs > maxDeadlineMs {
		faults = append(faults, Fault{Path: "deadlineMs", Message: fmt.Sprintf("write 1 to %d, or leave it out", maxDeadlineMs)})
	}
	weights := []struct {
		path string
		v    float64
	}{
		{"weights.tail", p.Weights.Tail},
		{"weights.cost", p.Weights.Cost},
		{"weights.crossing", p.Weights.Crossing},
	}
	for _, w := range weights {
		if w.v < 0 {
			faults = append(faults, Fault{Path: w.path, Message: "write zero or more"})
		}
	}
	return faults
}

func clientRange(c Client) []Fault {
	var faults []Fault
	if c.RequestsPerMinute < 0 {
		faults = append(faults, Fault{Path: "requestsPerMinute", Message: "write zero or more; zero is no limit"})
	}
	if c.TokensPerMinute < 0 {
		faults = append(faults, Fault{Path: "tokensPerMinute", Message: "write zero or more; zero is no limit"})
	}
	return faults
}

func clientDigest(c Client) []Fault {
	b, err := hex.DecodeString(c.KeyDigest)
	if err == nil && len(b) == digestBytes {
		return nil
	}
	return []Fault{{Path: "keyDigest", Message: "write the SHA-256 digest of the key as 64 hexadecimal digits; verbctl accounts digest prints it"}}
}
