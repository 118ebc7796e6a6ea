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

// maxInForceDelay bounds the time until an accepted change is in force.
const maxInForceDelay = 4 * time.Second

// reading is one host's report on the profile that the tests change.
type reading struct {
	at         time.Time
	rev        ident.Revision
	profileRev ident.Revision
	deadlineMs int64
}

// reader polls one host until the test ends.
type reader struct {
	host *fleetHost
	// incarnation counts the processes of the host. It changes only under the lock, so that
	// each reading belongs to one process.
	incarnation int
	url         string
	mu          sync.Mutex
	readings    map[int][]reading
	stop        chan struct{}
	done        chan struct{}
}

// readInterval is the time between two readings of a host.
const readInterval = 10 * time.Millisecond

func (r *reader) run() {
	defer close(r.done)
	cl := &http.Client{Timeout: time.Second}
	for {
		select {
		case <-r.stop:
			return
		case <-time.After(readInterval):
			r.read(cl)
		}
	}
}

func (r *reader) read(cl *http.Client) {
	r.mu.Lock()
	incarnation := r.incarnation
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
	if r.incarnation != incarnation {
		return
	}
	r.readings[incarnation] = append(r.readings[incarnation], reading{time.Now(), list.Revision, p.ChangedAt, p.Profile.DeadlineMs})
}

// nextIncarnation assigns further readings to a new process of the host.
func (r *reader) nextIncarnation() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.incarnation++
}

// firstAt returns when the current process first reported revision rev or a later one.
func (r *reader) firstAt(rev ident.Revision) (time.Time, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, x := range r.readings[r.incarnation] {
		if x.rev >= rev {
			return x.at, true
		}
	}
	return time.Time{}, false
}

// changeFleet is a fleet whose profile "notice" is changed by the test and read from each host.
type changeFleet struct {
	*fleet
	readers map[ident.EntryID]*reader
	// drafts is the number of the latest draft, which is also the deadline that the draft sets.
	// accepted counts the accepted changes. delays holds the in-force delays by data centre.
	drafts, accepted int
	delays           map[ident.DataCentre][]time.Duration
}

func startChangeFleet(t *testing.T) *changeFleet {
	t.Helper()
	f := startFleet(t, siteOf("uvs", 2, 0, 0), siteOf("erdenet", 2, 0, 0), siteOf("khovd", 2, 0, 0))
	o := &changeFleet{fleet: f, readers: make(map[ident.EntryID]*reader), delays: make(map[ident.DataCentre][]time.Duration)}
	f.configure(item(t, rules.KindProfile, "notice", noticeProfile(firstDeadline)))
	o.drafts = firstDeadline
	for _, m := range f.hosts {
		r := &reader{
			host: m, url: m.operators() + "/v1/profiles?name=notice", readings: make(map[int][]reading),
			stop: make(chan struct{}), done: make(chan struct{}),
		}
		o.readers[m.id] = r
		go r.run()
	}
	return o
}

// firstDeadline is the deadline in ms of the first version of the profile.
const firstDeadline = 1000

// noticeProfile returns a profile whose deadline identifies the change that wrote it.
func noticeProfile(n int) rules.Profile {
	return rules.Profile{Name: "notice", Models: []rules.Serve{{Model: "draft"}}, DeadlineMs: int64(n)}
}

// changeResult is the answer to an operator's change.
type changeResult struct {
	status int
	change rules.Change
	fault  admin.Fault
}

// send sends a change through a host.
func (o *changeFleet) send(m *fleetHost, token string, c rules.Change) changeResult {
	body, err := json.Marshal(c)
	if err != nil {
		o.t.Error(err)
		return changeResult{}
	}
	req, _ := http.NewRequest(http.MethodPost, m.operators()+"/v1/changes", bytes.NewReader(body))
	req.Header.Set("Authorization", "Bearer "+token)
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return changeResult{}
	}
	defer res.Body.Close()
	v := changeResult{status: res.StatusCode}
	if res.StatusCode == http.StatusOK {
		_ = json.NewDecoder(res.Body).Decode(&v.change)
	} else {
		_ = json.NewDecoder(res.Body).Decode(&v.fault)
	}
	return v
}

// draft returns the next change, based on a revision.
func (o *changeFleet) draft(base ident.Revision) rules.Change {
	o.drafts++
	return rules.Change{
		ID: ident.ChangeID(fmt.Sprintf("change-%d", o.drafts)), Base: base,
		Items: []rules.Item{item(o.t, rules.KindProfile, "notice", noticeProfile(o.drafts))},
	}
}

// newestRevision returns the highest revision in force on any host.
func (o *changeFleet) newestRevision() ident.Revision {
	var rev ident.Revision
	for _, m := range o.hosts {
		rev = max(rev, o.revision(m))
	}
	return rev
}

// change makes a change through a host and returns its revision and when it was accepted.
func (o *changeFleet) change(m *fleetHost) (ident.Revision, time.Time) {
	o.t.Helper()
	v := o.send(m, operatorToken, o.draft(o.revision(m)))
	if v.status != http.StatusOK {
		o.t.Fatalf("change through %s: %d %+v", m.id, v.status, v.fault)
	}
	o.accepted++
	return v.change.Revision, time.Now()
}

// waitInForce waits until hosts have a revision in force, and records for each data centre the
// delay of its last host.
func (o *changeFleet) waitInForce(what string, rev ident.Revision, from time.Time, hosts []*fleetHost) {
	o.t.Helper()
	last := make(map[ident.DataCentre]time.Duration)
	for _, m := range hosts {
		var at time.Time
		eventually(o.t, fmt.Sprintf("%s: revision %d at %s", what, rev, m.id), func() bool {
			t, ok := o.readers[m.id].firstAt(rev)
			at = t
			return ok
		})
		last[m.place.DataCentre] = max(last[m.place.DataCentre], at.Sub(from))
	}
	for dc, d := range last {
		o.delays[dc] = append(o.delays[dc], d)
		if d > maxInForceDelay {
			o.t.Errorf("%s: revision %d was in force in %s after %v", what, rev, dc, d)
		}
	}
}

// waitReported waits until a host reports that a revision is in force everywhere, and returns
// the delay.
func (o *changeFleet) waitReported(m *fleetHost, rev ident.Revision, from time.Time) time.Duration {
	o.t.Helper()
	req, _ := http.NewRequest(http.MethodGet, fmt.Sprintf("%s/v1/inForce?revision=%d&waitMs=%d", m.operators(), rev, testTimeout.Milliseconds()), nil)
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
	if took > maxInForceDelay {
		o.t.Errorf("revision %d was reported as in force everywhere after %v", rev, took)
	}
	return took
}

// logDelays logs the recorded delays and clears them.
func (o *changeFleet) logDelays(what string) {
	for _, dc := range []ident.DataCentre{"uvs", "erdenet", "khovd"} {
		ds := o.delays[dc]
		if len(ds) == 0 {
			continue
		}
		slices.Sort(ds)
		o.t.Logf("%s: in force in %s over %d changes: p50 %v, max %v", what, dc, len(ds),
			ds[len(ds)/2].Round(time.Millisecond), ds[len(ds)-1].Round(time.Millisecond))
	}
	clear(o.delays)
}

func (o *changeFleet) hostsExcept(excluded ...*fleetHost) []*fleetHost {
	return slices.DeleteFunc(slices.Clone(o.hosts), func(m *fleetHost) bool { return slices.Contains(excluded, m) })
}

func (o *changeFleet) setPlatformFaults(fs plat.Faults) {
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

// checkReadings stops the readers and checks all readings: no process went back to an older
// revision, and each revision had the same content on every host.
func (o *changeFleet) checkReadings() {
	o.t.Helper()
	contents := make(map[ident.Revision]int64)
	n := 0
	for _, m := range o.hosts {
		r := o.readers[m.id]
		close(r.stop)
		<-r.done
		for incarnation, xs := range r.readings {
			n += len(xs)
			o.checkIncarnation(fmt.Sprintf("%s, process %d", m.id, incarnation), xs, contents)
		}
	}
	o.t.Logf("%d readings of %d hosts, %d revisions", n, len(o.hosts), len(contents))
	maps.DeleteFunc(contents, func(_ ident.Revision, n int64) bool { return n == firstDeadline })
	if diff := cmp.Diff(o.accepted, len(contents)); diff != "" {
		o.t.Errorf("accepted changes and revisions read (-want +got):\n%s", diff)
	}
}

func (o *changeFleet) checkIncarnation(who string, xs []reading, contents map[ident.Revision]int64) {
	o.t.Helper()
	var last reading
	for _, x := range xs {
		if x.rev < last.rev || x.profileRev < last.profileRev {
			o.t.Errorf("%s reverted from %+v to %+v", who, last, x)
		}
		if old, ok := contents[x.profileRev]; ok && old != x.deadlineMs {
			o.t.Errorf("%s: revision %d has different contents: %s", who, x.profileRev, cmp.Diff(old, x.deadlineMs))
		}
		contents[x.profileRev] = x.deadlineMs
		last = x
	}
}
