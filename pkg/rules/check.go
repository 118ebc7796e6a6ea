package rules

import (
	"fmt"
	"math"
	"regexp"

	"verbenadale.example/verbenadale/pkg/codes"
)

// Bounds on the values in documents.
const (
	maxCrossings  = 4
	maxDeadlineMs = 3_600_000
	maxPriority   = 100
	digestBytes   = 32
)

var nameShape = regexp.MustCompile(`^[a-z0-9][a-z0-9./-]{0,62}$`)

// Fault is an error found in a document.
type Fault struct {
	Code codes.ID `json:"code"`
	// Item names the profile or account, such as "profile obituary".
	Item string `json:"item"`
	// Path names the field, such as weights.tail.
	Path string `json:"path"`
	// Message states what is wrong, or what to write instead.
	Message string `json:"message"`
}

// String returns the fault as one line of text.
func (f Fault) String() string {
	return fmt.Sprintf("%s: %s: %s (%s)", f.Item, f.Path, f.Message, f.Code)
}

// check is a validation of profiles, accounts or both. after is the
// configuration as it would be after the change. The functions leave Fault.Code
// and Fault.Item unset.
type check struct {
	code    codes.Code
	profile func(p Profile) []Fault
	client  func(after *Book, c Client) []Fault
}

// checks lists the checks that Check runs on each item.
var checks = []check{
	{code: codes.ProfileName, profile: profileName, client: clientName},
	{code: codes.ProfileServes, profile: profileModelsOrService},
	{code: codes.ProfileRange, profile: profileRange, client: clientRange},
	{code: codes.ProfileList, profile: profileLists, client: clientLists},
	{code: codes.ProfileDigest, client: clientDigest},
	{code: codes.ProfileShared, client: clientSharedKey},
	{code: codes.ProfileAbsent, client: clientUnknownProfiles},
	{code: codes.ProfileNoHome, client: clientMissingHome},
	{code: codes.ProfileHome, client: clientHomeOutside},
}

// Check returns every fault in the items of a change to the empty
// configuration.
func Check(items []Item) []Fault { return CheckWith(nil, items) }

// CheckWith returns every fault in the items of a change to the given
// configuration, and those that the change causes in other accounts.
func CheckWith(book *Book, items []Item) []Fault {
	faults := duplicateItems(items)
	after := book.withItems(items)
	for _, it := range items {
		faults = append(faults, withItem(it, checkItem(after, it))...)
	}
	return append(faults, checkUnchangedAccounts(after, items)...)
}

// withItems returns the configuration after the items that can be decoded.
func (b *Book) withItems(items []Item) *Book {
	next := b.clone()
	for _, it := range items {
		// checkItem reports items that can't be decoded.
		_ = next.put(it, next.Revision+1)
	}
	return next
}

// checkUnchangedAccounts checks the accounts that are not part of the change,
// because a changed or deleted profile can make them invalid.
func checkUnchangedAccounts(after *Book, items []Item) []Fault {
	changed := make(map[itemKey]bool, len(items))
	profiles := false
	for _, it := range items {
		changed[itemKey{it.Kind, it.Name}] = true
		profiles = profiles || it.Kind == KindProfile
	}
	if !profiles {
		return nil
	}
	var faults []Fault
	for _, c := range after.Clients() {
		if changed[itemKey{KindAccount, string(c.Name)}] {
			continue
		}
		it := Item{Kind: KindAccount, Name: string(c.Name)}
		for _, ck := range []check{
			{code: codes.ProfileAbsent, client: clientUnknownProfiles},
			{code: codes.ProfileNoHome, client: clientMissingHome},
			{code: codes.ProfileHome, client: clientHomeOutside},
		} {
			faults = append(faults, withItem(it, withCode(ck.code, ck.client(after, c)))...)
		}
	}
	return faults
}

func duplicateItems(items []Item) []Fault {
	var faults []Fault
	seen := make(map[itemKey]bool, len(items))
	for _, it := range items {
		key := itemKey{it.Kind, it.Name}
		if seen[key] {
			faults = append(faults, withItem(it, []Fault{{Code: codes.ProfileTwice.ID, Path: "name", Message: "it is listed twice in the change; send it once"}})...)
		}
		seen[key] = true
	}
	return faults
}

func withItem(it Item, faults []Fault) []Fault {
	for i := range faults {
		faults[i].Item = string(it.Kind) + " " + it.Name
	}
	return faults
}

func checkItem(after *Book, it Item) []Fault {
	switch it.Kind {
	case KindProfile:
		if it.Deletes() {
			return nil
		}
		p, err := it.Profile()
		if err != nil {
			return shapeFault(err)
		}
		return checkProfile(p)
	case KindAccount:
		if it.Deletes() {
			return nil
		}
		c, err := it.Client()
		if err != nil {
			return shapeFault(err)
		}
		return checkClient(after, c)
	}
	return []Fault{{
		Code: codes.ProfileKind.ID, Path: "kind",
		Message: fmt.Sprintf("the kind %q is not known; write profile or account", it.Kind),
	}}
}

func shapeFault(err error) []Fault {
	return []Fault{{Code: codes.ProfileShape.ID, Path: "doc", Message: err.Error()}}
}

func checkProfile(p Profile) []Fault {
	var faults []Fault
	for _, c := range checks {
		if c.profile != nil {
			faults = append(faults, withCode(c.code, c.profile(p))...)
		}
	}
	return faults
}

func checkClient(after *Book, cl Client) []Fault {
	var faults []Fault
	for _, c := range checks {
		if c.client != nil {
			faults = append(faults, withCode(c.code, c.client(after, cl))...)
		}
	}
	return faults
}

func withCode(code codes.Code, faults []Fault) []Fault {
	for i := range faults {
		faults[i].Code = code.ID
	}
	return faults
}

func profileName(p Profile) []Fault { return nameFault("name", string(p.Name)) }

func clientName(_ *Book, c Client) []Fault { return nameFault("name", string(c.Name)) }

func nameFault(path, name string) []Fault {
	if nameShape.MatchString(name) {
		return nil
	}
	return []Fault{{Path: path, Message: fmt.Sprintf("%q is no name; write 1 to 63 of a-z, 0-9, dot, dash and slash, and begin with a letter or digit", name)}}
}

func profileModelsOrService(p Profile) []Fault {
	if p.Service == "" && len(p.Models) == 0 {
		return []Fault{{Path: "models", Message: "name at least one model, or a service"}}
	}
	if p.Service != "" && len(p.Models) > 0 {
		return []Fault{{Path: "service", Message: "name either models or a service, not both"}}
	}
	return nil
}

// boundedNumber is a value with its bounds and the message for a value outside
// them.
type boundedNumber struct {
	path     string
	v        float64
	minValue float64
	maxValue float64
	message  string
}

// outOfRange returns a fault for each number outside its bounds. NaN is outside
// any bounds.
func outOfRange(ns []boundedNumber) []Fault {
	var faults []Fault
	for _, n := range ns {
		if n.v >= n.minValue && n.v <= n.maxValue {
			continue
		}
		faults = append(faults, Fault{Path: n.path, Message: n.message})
	}
	return faults
}

func profileRange(p Profile) []Fault {
	const weight = "write zero or more"
	return outOfRange([]boundedNumber{
		{"maxCrossings", float64(p.MaxCrossings), 0, maxCrossings, fmt.Sprintf("write 0 to %d", maxCrossings)},
		{"deadlineMs", float64(p.DeadlineMs), 0, maxDeadlineMs, fmt.Sprintf("write 1 to %d, or leave it out", maxDeadlineMs)},
		{"priority", float64(p.Priority), -maxPriority, maxPriority, fmt.Sprintf("write %d to %d", -maxPriority, maxPriority)},
		{"weights.tail", p.Weights.Tail, 0, math.MaxFloat64, weight},
		{"weights.cost", p.Weights.Cost, 0, math.MaxFloat64, weight},
		{"weights.crossing", p.Weights.Crossing, 0, math.MaxFloat64, weight},
	})
}

func clientRange(_ *Book, c Client) []Fault {
	const limit = "write zero or more; zero is no limit"
	return outOfRange([]boundedNumber{
		{"requestsPerMinute", float64(c.RequestsPerMinute), 0, math.MaxFloat64, limit},
		{"tokensPerMinute", float64(c.TokensPerMinute), 0, math.MaxFloat64, limit},
		{"requestBurst", float64(c.RequestBurst.Or(0)), 0, math.MaxInt64, "write zero or more, or leave it out"},
		{"tokenBurst", float64(c.TokenBurst.Or(0)), 0, math.MaxInt64, "write zero or more, or leave it out"},
		{"unstatedTokens", float64(c.UnstatedTokens), 0, math.MaxInt64, "write zero or more; zero is an estimate"},
		{"priority", float64(c.Priority.Or(0)), -maxPriority, maxPriority, fmt.Sprintf("write %d to %d, or leave it out", -maxPriority, maxPriority)},
	})
}
