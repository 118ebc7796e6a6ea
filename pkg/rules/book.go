package rules

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"verbenadale.example/verbenadale/pkg/ident"
)

// Book is the whole configuration at one revision. The zero Book is the empty
// configuration. A Book is immutable and may be shared between goroutines.
type Book struct {
	Revision ident.Revision
	profiles map[ident.Profile]Profile
	clients  map[ident.Account]Client
	byDigest map[string]ident.Account
	// changed maps each item to the revision that last changed it.
	changed map[itemKey]ident.Revision
	// lastID is the id of the change that created this revision.
	lastID ident.ChangeID
	// services, limits, open and routes are set only from a StaticConfig, not by
	// changes.
	services map[string]Service
	limits   CallerLimits
	open     bool
	routes   routeIndex
}

type itemKey struct {
	kind Kind
	name string
}

// ConflictError reports that an item has changed since the operator read it.
type ConflictError struct {
	Kind    Kind
	Name    string
	Base    ident.Revision
	Changed ident.Revision
}

// Error returns a message that names the item to read again.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("%s %s was changed in revision %d, after revision %d that the change is based on; read it again",
		e.Kind, e.Name, e.Changed, e.Base)
}

// GapError reports a change whose revision does not directly follow the book's.
type GapError struct {
	Have ident.Revision
	Got  ident.Revision
}

// Error returns a message that names both revisions.
func (e *GapError) Error() string {
	return fmt.Sprintf("revision %d does not follow revision %d", e.Got, e.Have)
}

// FromStatic returns the book of a configuration that is written as a whole.
func FromStatic(rev ident.Revision, static StaticConfig) *Book {
	b := (*Book)(nil).clone()
	b.Revision = rev
	for _, p := range static.Profiles {
		b.profiles[p.Name] = p
	}
	// If several accounts have the same key, it belongs to the first of them.
	for _, c := range slices.Backward(static.Clients) {
		b.clients[c.Name] = c
		b.addDigests(c)
	}
	for _, s := range static.Services {
		b.services[s.Name] = s
	}
	b.limits = static.Limits
	b.open = static.Open
	b.routes = indexRoutes(b.Profiles())
	return b
}

// Size returns the number of profiles.
func (b *Book) Size() int {
	if b == nil {
		return 0
	}
	return len(b.profiles)
}

// Match returns the profile whose route matches the host and path of a
// request, and whether there is one.
func (b *Book) Match(host, path string) (Profile, bool) {
	if b == nil {
		return Profile{}, false
	}
	return b.routes.find(host, path)
}

// HostRegions returns the regions in which requests to a host may be served
// whatever route they match. It returns nil if no route of the host names regions; a
// route that is confined to the home regions of accounts names none.
func (b *Book) HostRegions(host string) []ident.Region {
	if b == nil {
		return nil
	}
	var regions []ident.Region
	for _, p := range b.routes[host] {
		switch {
		case len(p.Regions) == 0:
		case regions == nil:
			regions = slices.Clone(p.Regions)
		default:
			regions = slices.DeleteFunc(regions, func(r ident.Region) bool { return !slices.Contains(p.Regions, r) })
		}
	}
	return regions
}

// Service returns the configuration of the service with the given name.
func (b *Book) Service(name string) (Service, bool) {
	if b == nil {
		return Service{}, false
	}
	s, ok := b.services[name]
	return s, ok
}

// Limits returns the limits for callers' connections.
func (b *Book) Limits() CallerLimits {
	if b == nil {
		return CallerLimits{}
	}
	return b.limits
}

// Open reports whether no request needs an API key.
func (b *Book) Open() bool { return b != nil && b.open }

// NeedsKey reports whether requests with a profile need an API key.
func (b *Book) NeedsKey(p Profile) bool { return !b.Open() && !p.Public }

// Profile returns the profile of the given name.
func (b *Book) Profile(name ident.Profile) (Profile, bool) {
	if b == nil {
		return Profile{}, false
	}
	p, ok := b.profiles[name]
	return p, ok
}

// Profiles returns all profiles, sorted by name.
func (b *Book) Profiles() []Profile {
	if b == nil {
		return nil
	}
	names := slices.Sorted(maps.Keys(b.profiles))
	ps := make([]Profile, 0, len(names))
	for _, name := range names {
		ps = append(ps, b.profiles[name])
	}
	return ps
}

// Client returns the account of the given name.
func (b *Book) Client(name ident.Account) (Client, bool) {
	if b == nil {
		return Client{}, false
	}
	if name == Anonymous {
		return Client{}, true
	}
	c, ok := b.clients[name]
	return c, ok
}

// Clients returns all accounts, sorted by name.
func (b *Book) Clients() []Client {
	if b == nil {
		return nil
	}
	names := slices.Sorted(maps.Keys(b.clients))
	cs := make([]Client, 0, len(names))
	for _, name := range names {
		cs = append(cs, b.clients[name])
	}
	return cs
}

// ClientByDigest returns the account whose key has the given digest.
func (b *Book) ClientByDigest(digest string) (Client, bool) {
	if b == nil {
		return Client{}, false
	}
	name, ok := b.byDigest[digest]
	if !ok {
		return Client{}, false
	}
	return b.Client(name)
}

// Confined reports whether the residency rule limits the regions that the data
// of an account's requests with a profile may enter. If the profile or the
// account is not known, it counts as confined.
func (b *Book) Confined(profile ident.Profile, account ident.Account) bool {
	p, okProfile := b.Profile(profile)
	c, okClient := b.Client(account)
	return !okProfile || !okClient || p.Confined(c)
}

// ChangedAt returns the revision that last changed an item, or zero if no change
// contained it.
func (b *Book) ChangedAt(kind Kind, name string) ident.Revision {
	if b == nil {
		return 0
	}
	return b.changed[itemKey{kind, name}]
}

// LastID returns the id of the change that created this revision.
func (b *Book) LastID() ident.ChangeID {
	if b == nil {
		return ""
	}
	return b.lastID
}

// Conflict returns a *ConflictError if an item of c has changed since c.Base.
func (b *Book) Conflict(c Change) error {
	for _, it := range c.Items {
		at := b.ChangedAt(it.Kind, it.Name)
		if at > c.Base {
			return &ConflictError{Kind: it.Kind, Name: it.Name, Base: c.Base, Changed: at}
		}
	}
	return nil
}

// Apply returns the book after the change c. It returns a *GapError if c does
// not have the next revision.
func (b *Book) Apply(c Change) (*Book, error) {
	have := b.Rev()
	if c.Revision != have+1 {
		return nil, &GapError{Have: have, Got: c.Revision}
	}
	next := b.clone()
	for _, it := range c.Items {
		if err := next.put(it, c.Revision); err != nil {
			return nil, err
		}
	}
	next.Revision = c.Revision
	next.lastID = c.ID
	return next, nil
}

// Rev returns the revision, or zero for a nil book.
func (b *Book) Rev() ident.Revision {
	if b == nil {
		return 0
	}
	return b.Revision
}

func (b *Book) clone() *Book {
	if b == nil {
		b = &Book{}
	}
	next := &Book{
		Revision: b.Revision,
		profiles: maps.Clone(b.profiles),
		clients:  maps.Clone(b.clients),
		byDigest: maps.Clone(b.byDigest),
		changed:  maps.Clone(b.changed),
		lastID:   b.lastID,
		services: b.services,
		limits:   b.limits,
		open:     b.open,
		routes:   b.routes,
	}
	if next.profiles == nil {
		next.profiles = make(map[ident.Profile]Profile)
	}
	if next.clients == nil {
		next.clients = make(map[ident.Account]Client)
	}
	if next.byDigest == nil {
		next.byDigest = make(map[string]ident.Account)
	}
	if next.changed == nil {
		next.changed = make(map[itemKey]ident.Revision)
	}
	if next.services == nil {
		next.services = make(map[string]Service)
	}
	if next.routes == nil {
		next.routes = make(routeIndex)
	}
	return next
}

func (b *Book) put(it Item, rev ident.Revision) error {
	b.changed[itemKey{it.Kind, it.Name}] = rev
	switch it.Kind {
	case KindProfile:
		return b.putProfile(it)
	case KindAccount:
		return b.putClient(it)
	}
	return fmt.Errorf("item %s has the unknown kind %q", it.Name, it.Kind)
}

func (b *Book) putProfile(it Item) error {
	name := ident.Profile(it.Name)
	if it.Deletes() {
		delete(b.profiles, name)
		return nil
	}
	p, err := it.Profile()
	if err != nil {
		return err
	}
	b.profiles[name] = p
	return nil
}

func (b *Book) putClient(it Item) error {
	name := ident.Account(it.Name)
	for _, digest := range b.clients[name].KeyDigests() {
		// Another item of the same change may already have moved the old key to
		// its own account.
		if b.byDigest[digest] == name {
			delete(b.byDigest, digest)
		}
	}
	if it.Deletes() {
		delete(b.clients, name)
		return nil
	}
	c, err := it.Client()
	if err != nil {
		return err
	}
	b.clients[name] = c
	b.addDigests(c)
	return nil
}

func (b *Book) addDigests(c Client) {
	for _, digest := range c.KeyDigests() {
		b.byDigest[digest] = c.Name
	}
}

// Deletes reports whether the item deletes the profile or account it names.
func (it Item) Deletes() bool {
	doc := bytes.TrimSpace(it.Doc)
	return len(doc) == 0 || string(doc) == "null"
}

// Profile decodes the document as a profile. Unknown fields are errors.
func (it Item) Profile() (Profile, error) {
	p := Profile{}
	if err := decodeStrict(it, &p); err != nil {
		return Profile{}, err
	}
	p.Name = ident.Profile(it.Name)
	return p, nil
}

// Client decodes the document as an account. Unknown fields are errors.
func (it Item) Client() (Client, error) {
	c := Client{}
	if err := decodeStrict(it, &c); err != nil {
		return Client{}, err
	}
	c.Name = ident.Account(it.Name)
	return c, nil
}

func decodeStrict(it Item, v any) error {
	dec := json.NewDecoder(bytes.NewReader(it.Doc))
	dec.DisallowUnknownFields()
	if err := dec.Decode(v); err != nil {
		return fmt.Errorf("%s %s: %w", it.Kind, it.Name, err)
	}
	return nil
}

// bookJSON is the JSON form of a Book in snapshots.
type bookJSON struct {
	Revision ident.Revision `json:"revision"`
	LastID   ident.ChangeID `json:"lastID"`
	Profiles []Profile      `json:"profiles"`
	Clients  []Client       `json:"clients"`
	Changed  []changedItem  `json:"changed"`
	Services []Service      `json:"services,omitempty"`
	Limits   *CallerLimits  `json:"limits,omitempty"`
	Open     bool           `json:"open,omitempty"`
}

type changedItem struct {
	Kind     Kind           `json:"kind"`
	Name     string         `json:"name"`
	Revision ident.Revision `json:"revision"`
}

// MarshalJSON encodes the whole book for a snapshot.
func (b *Book) MarshalJSON() ([]byte, error) {
	snap := bookJSON{
		Revision: b.Rev(),
		LastID:   b.LastID(),
		Profiles: b.Profiles(),
		Clients:  b.Clients(),
		Open:     b.Open(),
	}
	for k, rev := range b.changed {
		snap.Changed = append(snap.Changed, changedItem{k.kind, k.name, rev})
	}
	for _, name := range slices.Sorted(maps.Keys(b.services)) {
		snap.Services = append(snap.Services, b.services[name])
	}
	if b.limits != (CallerLimits{}) {
		snap.Limits = &b.limits
	}
	slices.SortFunc(snap.Changed, func(x, y changedItem) int {
		if c := bytes.Compare([]byte(x.Kind), []byte(y.Kind)); c != 0 {
			return c
		}
		return bytes.Compare([]byte(x.Name), []byte(y.Name))
	})
	return json.Marshal(snap)
}

// UnmarshalJSON decodes a snapshot.
func (b *Book) UnmarshalJSON(data []byte) error {
	var snap bookJSON
	if err := json.Unmarshal(data, &snap); err != nil {
		return err
	}
	static := StaticConfig{Profiles: snap.Profiles, Clients: snap.Clients, Services: snap.Services, Open: snap.Open}
	if snap.Limits != nil {
		static.Limits = *snap.Limits
	}
	next := FromStatic(snap.Revision, static)
	next.lastID = snap.LastID
	for _, it := range snap.Changed {
		next.changed[itemKey{it.Kind, it.Name}] = it.Revision
	}
	*b = *next
	return nil
}
