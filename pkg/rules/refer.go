package rules

import (
	"encoding/hex"
	"fmt"
	"slices"
	"strings"
)

// The checks of lists and of references between documents.

func profileLists(p Profile) []Fault {
	var faults []Fault
	for i, m := range p.Models {
		path := fmt.Sprintf("models[%d]", i)
		if m.Model == "" {
			faults = append(faults, Fault{Path: path, Message: "name the model"})
		}
		if slices.Contains(p.Models[:i], m) {
			faults = append(faults, Fault{Path: path, Message: "it is listed twice; leave one out"})
		}
	}
	return append(faults, listFaults("regions", p.Regions)...)
}

func clientLists(_ *Book, c Client) []Fault {
	return append(listFaults("profiles", c.Profiles), listFaults("regions", c.Regions)...)
}

func listFaults[T ~string](path string, vs []T) []Fault {
	var faults []Fault
	for i, v := range vs {
		at := fmt.Sprintf("%s[%d]", path, i)
		if strings.TrimSpace(string(v)) == "" {
			faults = append(faults, Fault{Path: at, Message: "write a name, or leave the entry out"})
			continue
		}
		if slices.Contains(vs[:i], v) {
			faults = append(faults, Fault{Path: at, Message: fmt.Sprintf("%q is listed twice; leave one out", v)})
		}
	}
	return faults
}

func clientDigest(_ *Book, c Client) []Fault {
	faults := digestFault("keyDigest", c.KeyDigest)
	for i, digest := range c.MoreKeyDigests {
		path := moreKeysPath(i)
		faults = append(faults, digestFault(path, digest)...)
		if digest == c.KeyDigest || slices.Contains(c.MoreKeyDigests[:i], digest) {
			faults = append(faults, Fault{Path: path, Message: "the account has this key already; leave one out"})
		}
	}
	return faults
}

func moreKeysPath(i int) string { return fmt.Sprintf("moreKeyDigests[%d]", i) }

func digestFault(path, digest string) []Fault {
	b, err := hex.DecodeString(digest)
	if err == nil && len(b) == digestBytes && digest == strings.ToLower(digest) {
		return nil
	}
	return []Fault{{Path: path, Message: "write the SHA-256 digest of the key as 64 hexadecimal digits in lower case; verbctl accounts digest prints it"}}
}

func clientSharedKey(after *Book, c Client) []Fault {
	var faults []Fault
	for _, other := range after.Clients() {
		if other.Name == c.Name {
			continue
		}
		for i, digest := range c.KeyDigests() {
			if !slices.Contains(other.KeyDigests(), digest) {
				continue
			}
			path := "keyDigest"
			if digest != c.KeyDigest {
				path = moreKeysPath(i - 1)
			}
			faults = append(faults, Fault{Path: path, Message: fmt.Sprintf("account %s has the same key; give this one its own", other.Name)})
		}
	}
	return faults
}

func clientUnknownProfiles(after *Book, c Client) []Fault {
	var faults []Fault
	for i, name := range c.Profiles {
		if _, ok := after.Profile(name); !ok {
			faults = append(faults, Fault{
				Path:    fmt.Sprintf("profiles[%d]", i),
				Message: fmt.Sprintf("there is no profile %q; create it in the same change, or leave it out", name),
			})
		}
	}
	return faults
}

func clientMissingHome(after *Book, c Client) []Fault {
	for _, name := range c.Profiles {
		if p, ok := after.Profile(name); ok && p.HomeOnly && c.Home == "" {
			return []Fault{{Path: "home", Message: fmt.Sprintf("write a region; profile %s is confined to the home of the account", name)}}
		}
	}
	return nil
}

func clientHomeOutside(after *Book, c Client) []Fault {
	for _, name := range c.Profiles {
		p, ok := after.Profile(name)
		if !ok || !p.HomeOnly || c.Home == "" || p.Allows(c, c.Home) {
			continue
		}
		if !c.inRegions(c.Home) {
			return []Fault{{Path: "home", Message: fmt.Sprintf("%s is not among the regions of the account; add it there, or write another home", c.Home)}}
		}
		return []Fault{{Path: "home", Message: fmt.Sprintf("%s is not a region of profile %s, which is confined to the home; add it there, or write another home", c.Home, name)}}
	}
	return nil
}
