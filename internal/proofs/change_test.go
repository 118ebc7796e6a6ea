package proofs

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"verbenadale.example/verbenadale/internal/admin"
	"verbenadale.example/verbenadale/internal/dev/plat"
	"verbenadale.example/verbenadale/pkg/ident"
	"verbenadale.example/verbenadale/pkg/rules"
)

// inForceWithin is the time in which an accepted change has to be in force.
const inForceWithin = 4 * time.Second

// reading is what one host reports of the profile that the tests change.
type reading struct {
	at      time.Time
	rev     ident.Revision
	changed ident.Revision
	content int64
}

// reader polls one host for as long as the test runs.
type reader struct {
	m *member
	// life counts the processes of the host. It is changed while the reader
	// is held, so that a reading belongs to one process.
	life int
	url  string
	mu   sync.Mutex
	seen map[int][]reading
	stop chan struct{}
	done chan struct{}
}

// readEvery is the time between two readings of a host.
const readEvery = 10 * time.Millisecond

func (r *reader) run() {
	defer close(r.done)
	cl := &http.Client{Timeout: time.Second}
	for {
		select {
		case <-r.stop:
			return
		case <-time.After(readEvery):
			r.read(cl)
		}
	}
}

func (r *reader) read(cl *http.Client) {
	r.mu.Lock()
	life := r.life
	r.mu.Unlock()
	req, _ := http.NewRequest(http.MethodGet, r.url, nil)
	req.Header.Set("Authorization", "Bearer "+operatorToken)
	res, err := cl.Do(req)
	if err != nil {
		return
	}
	defer res.Body.Close()
	var list admin.ProfileList
	if json.NewDecoder(res.Body).Decode(&list) != nil || len(list.Profiles) == 0 {
		return
	}
	p := list.Profiles[0]
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.life != life {
		return
	}
	r.seen[life] = append(r.seen[life], reading{time.Now(), list.Revision, p.ChangedAt, p.Profile.DeadlineMs})
}

// restarted says that the process of the host is another from now on.
func (r *reader) restarted() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.life++
}

// since returns when the process that runs first reported a revision.
func (r *reader) since(rev ident.Revision) (time.Time, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, x := range r.seen[r.life] {
		if x.rev >= rev {
			return x.at, true
		}
	}
	return time.Time{}, false
}

// office is a fleet whose profile "notice" is changed and read.
type office struct {
	*fleet
	readers map[ident.EntryID]*reader
	// n numbers the drafts, accepted counts the changes.
	n, accepted int
	took        map[ident.DataCentre][]time.Duration
}

func openOffice(t *testing.T) *office {
	t.Helper()
	f := startFleet(t, siteOf("uvs", 2, 0, 0), siteOf("erdenet", 2, 0, 0), siteOf("khovd", 2, 0, 0))
	o := &office{fleet: f, readers: make(map[ident.EntryID]*reader), took: make(map[ident.DataCentre][]time.Duration)}
	f.configure(item(t, rules.KindProfile, "notice", notice(firstNotice)))
	o.n = firstNotice
	for _, m := range f.hosts {
		r := &reader{
			m: m, url: m.operators() + "/v1/profiles?name=notice", seen: make(map[int][]reading),
			stop: make(chan struct{}), done: make(chan struct{}),
		}
		o.readers[m.id] = r
		go r.run()
	}
	return o
}

// firstNotice numbers the content that the profile begins with.
const firstNotice = 1000

// notice is a profile whose deadline shows which change made it.
func notice(n int) rules.Profile {
	return rules.Profile{Name: "notice", Models: []rules.Serve{{Model: "draft"}}, DeadlineMs: int64(n)}
}

// verdict is the answer that an operator gets.
type verdict struct {
	status int
	change rules.Change
	fault  admin.Fault
}

// send sends a change through a host.
func (o *office) send(m *member, token string, c rules.Change) verdict {
	body, err := json.Marshal(c)
	if err != nil {
		o.t.Error(err)
		return verdict{}
	}
	req, _ := http.NewRequest(http.MethodPost, m.operators()+"/v1/changes", bytes.NewReader(body))
	req.Header.Set("Authorization", "Bearer "+token)
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return verdict{}
	}
	defer res.Body.Close()
	v := verdict{status: res.StatusCode}
	if res.StatusCode == http.StatusOK {
		_ = json.NewDecoder(res.Body).Decode(&v.change)
	} else {
		_ = json.NewDecoder(res.Body).Decode(&v.fault)
	}
	return v
}

// draft returns the next change, based on a revision.
func (o *office) draft(base ident.Revision) rules.Change {
	o.n++
	return rules.Change{
		ID: ident.ChangeID(fmt.Sprintf("change-%d", o.n)), Base: base,
		Items: []rules.Item{item(o.t, rules.KindProfile, "notice", notice(o.n))},
	}
}

// newest returns the highest revision that any host has in force.
func (o *office) newest() ident.Revision {
	var rev ident.Revision
	for _, m := range o.hosts {
		rev = max(rev, o.revision(m))
	}
	return rev
}

// change has a change accepted through a host and returns its revision and
// when it was accepted.
func (o *office) change(m *member) (ident.Revision, time.Time) {
	o.t.Helper()
	v := o.send(m, operatorToken, o.draft(o.revision(m)))
	if v.status != http.StatusOK {
		o.t.Fatalf("change through %s: %d %+v", m.id, v.status, v.fault)
	}
	o.accepted++
	return v.change.Revision, time.Now()
}

// spread waits until hosts have a revision in force and takes the time of
// each data centre: that of its last host.
func (o *office) spread(what string, rev ident.Revision, from time.Time, hosts []*member) {
	o.t.Helper()
	last := make(map[ident.DataCentre]time.Duration)
	for _, m := range hosts {
		var at time.Time
		eventually(o.t, fmt.Sprintf("%s: revision %d at %s", what, rev, m.id), func() bool {
			t, ok := o.readers[m.id].since(rev)
			at = t
			return ok
		})
		last[m.place.DataCentre] = max(last[m.place.DataCentre], at.Sub(from))
	}
	for dc, d := range last {
		o.took[dc] = append(o.took[dc], d)
		if d > inForceWithin {
			o.t.Errorf("%s: revision %d was in force in %s after %v", what, rev, dc, d)
		}
	}
}

// reported waits until a host says that a revision is in force everywhere, and
// returns how long that took.
func (o *office) reported(m *member, rev ident.Revision, from time.Time) time.Duration {
	o.t.Helper()
	req, _ := http.NewRequest(http.MethodGet, fmt.Sprintf("%s/v1/inForce?revision=%d&waitMs=%d", m.operators(), rev, waitLimit.Milliseconds()), nil)
	req.Header.Set("Authorization", "Bearer "+operatorToken)
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		o.t.Fatal(err)
	}
	defer res.Body.Close()
	var f admin.InForce
	if err := json.NewDecoder(res.Body).Decode(&f); err != nil || !f.Everywhere {
		o.t.Errorf("revision %d is not reported as in force everywhere: %+v %v", rev, f, err)
	}
	took := time.Since(from)
	if took > inForceWithin {
		o.t.Errorf("revision %d was reported as in force everywhere after %v", rev, took)
	}
	return took
}

// report logs the times in force and begins anew.
func (o *office) report(what string) {
	for _, dc := range []ident.DataCentre{"uvs", "erdenet", "khovd"} {
		ds := o.took[dc]
		if len(ds) == 0 {
			continue
		}
		slices.Sort(ds)
		o.t.Logf("%s: in force in %s over %d changes: p50 %v, max %v", what, dc, len(ds),
			ds[len(ds)/2].Round(time.Millisecond), ds[len(ds)-1].Round(time.Millisecond))
	}
	clear(o.took)
}

func (o *office) but(out ...*member) []*member {
	return slices.DeleteFunc(slices.Clone(o.hosts), func(m *member) bool { return slices.Contains(out, m) })
}

func (o *office) faults(fs plat.Faults) {
	o.t.Helper()
	b, err := json.Marshal(fs)
	if err != nil {
		o.t.Fatal(err)
	}
	req, _ := http.NewRequest(http.MethodPut, o.platform+"/dev/faults", bytes.NewReader(b))
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		o.t.Fatal(err)
	}
	res.Body.Close()
}

// check ends the readers and judges all that they have read: no process of a
// host went back, and a revision had one content wherever it was read.
func (o *office) check() {
	o.t.Helper()
	contents := make(map[ident.Revision]int64)
	n := 0
	for _, m := range o.hosts {
		r := o.readers[m.id]
		close(r.stop)
		<-r.done
		for life, xs := range r.seen {
			n += len(xs)
			o.checkLife(fmt.Sprintf("%s, process %d", m.id, life), xs, contents)
		}
	}
	o.t.Logf("%d readings of %d hosts, %d revisions", n, len(o.hosts), len(contents))
	maps.DeleteFunc(contents, func(_ ident.Revision, n int64) bool { return n == firstNotice })
	if diff := cmp.Diff(o.accepted, len(contents)); diff != "" {
		o.t.Errorf("revisions read of those accepted (-want +got):\n%s", diff)
	}
}

func (o *office) checkLife(who string, xs []reading, contents map[ident.Revision]int64) {
	o.t.Helper()
	var last reading
	for _, x := range xs {
		if x.rev < last.rev || x.changed < last.changed {
			o.t.Errorf("%s went back from %+v to %+v", who, last, x)
		}
		if old, ok := contents[x.changed]; ok && old != x.content {
			o.t.Errorf("%s: revision %d has two contents: %s", who, x.changed, cmp.Diff(old, x.content))
		}
		contents[x.changed] = x.content
		last = x
	}
}
