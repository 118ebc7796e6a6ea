package rules

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"verbenadale.example/verbenadale/pkg/ident"
)

// Guards against regions of a host that depend on the order of its profiles: with a profile that is
// confined to the home regions of accounts in front, the regions of the next profile were lost or
// taken for all.
func TestHostRegionsDontDependOnOrder(t *testing.T) {
	profile := func(name string, homeOnly bool, regions ...ident.Region) Profile {
		return Profile{
			Name: ident.Profile(name), HomeOnly: homeOnly, Regions: regions,
			Route: &Route{Host: "a.example", Prefix: "/" + name + "/", Shares: []Share{{Service: "s", Weight: 1}}},
		}
	}
	home, both, west := profile("home", true), profile("both", false, "east", "west"), profile("west", false, "west")
	for name, c := range map[string]struct {
		profiles []Profile
		want     []ident.Region
	}{
		"home first":   {[]Profile{home, both, west}, []ident.Region{"west"}},
		"home between": {[]Profile{both, home, west}, []ident.Region{"west"}},
		"home last":    {[]Profile{west, both, home}, []ident.Region{"west"}},
		"home alone":   {[]Profile{home}, nil},
		"home and one": {[]Profile{west, home}, []ident.Region{"west"}},
	} {
		// Routes of a host are ordered by the length of their prefix.
		for i := range c.profiles {
			p := c.profiles[i]
			r := *p.Route
			r.Prefix = "/" + string(p.Name) + "/" + "xxxxxx"[:2*(len(c.profiles)-i)] + "/"
			p.Route = &r
			c.profiles[i] = p
		}
		b := FromStatic(1, StaticConfig{Profiles: c.profiles})
		if diff := cmp.Diff(c.want, b.HostRegions("a.example")); diff != "" {
			t.Errorf("%s (-want +got):\n%s", name, diff)
		}
	}
}
