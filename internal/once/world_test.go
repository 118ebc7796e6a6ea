package once

import (
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/pkg/codes"
	"verbenadale.example/verbenadale/pkg/ident"
)

// init fixes the seed, so that the verdict is the same on every run. A seed on
// the command line goes before it.
func init() {
	_ = flag.Set("rapid.seed", "20261202")
	_ = flag.Set("rapid.nofailfile", "true")
	_ = flag.Set("rapid.steps", "120")
	_ = flag.Set("rapid.checks", "500")
}

// job is the truth about one ticket or key, kept for ever.
type job struct {
	ticket  string
	key     string
	expires ident.Time
	// expiredUnused says that Expire has run since the ticket expired unused.
	expiredUnused bool
	host          int
	inc           ident.Incarnation
	fingerprint   string
	active        ident.RequestID
	ran           bool
	outcome       event.Outcome
	kept          bool
	endedAt       ident.Time
	ranAs         ident.RequestID
}

// operation is a request that was allowed to run, or a claim on its way.
type operation struct {
	job  *job
	host int
	req  ident.RequestID
	rec  event.KeyRecord
}

// simulation is two hosts, the store and everything that has ever happened.
type simulation struct {
	now          ident.Time
	inc          ident.Incarnation
	bounds       *bounds
	hosts        [2]*Registry
	jobs         []*job
	store        map[string]event.KeyRecord
	runs         []operation
	claims       []operation
	lateWrites   []operation
	requestCount int
	// exact says that nothing is dropped early, so that the answer for a
	// ticket is known exactly.
	exact bool
}

func newSimulation(b *bounds) *simulation {
	w := &simulation{bounds: b, store: make(map[string]event.KeyRecord), exact: b == nil}
	for i := range w.hosts {
		w.restart(i)
	}
	for _, k := range []string{"k1", "k2", "k3"} {
		w.jobs = append(w.jobs, &job{key: k})
	}
	return w
}

func (w *simulation) restart(i int) {
	w.inc++
	w.hosts[i] = New(ident.EntryID(fmt.Sprint("host", i)), w.inc)
	if w.bounds != nil {
		w.hosts[i].bounds = *w.bounds
	}
	for _, j := range w.jobs {
		if j.active != "" && j.host == i {
			j.ran, j.outcome, j.kept, j.active, j.endedAt = true, event.Unknown, false, "", w.now
		}
	}
}

// applyVerdict checks a verdict against the truth and carries it out.
func (w *simulation) applyVerdict(t *rapid.T, s operation, fprint string, v Verdict) {
	j := s.job
	switch {
	case v.Action == Run:
		if j.ran || j.active != "" {
			t.Fatalf("%s%s runs a second time", j.ticket, j.key)
		}
		j.active, j.host, j.fingerprint, j.ranAs = s.req, s.host, fprint, s.req
		w.runs = append(w.runs, s)
	case v.Action == Claim:
		s.rec = v.Record
		w.claims = append(w.claims, s)
	case v.Action == Replay && (!j.kept || v.ReplayOf != j.ranAs):
		t.Fatalf("replay of %q, whose answer is not kept", v.ReplayOf)
	case v.Code == codes.StoreDown.ID || v.Code == codes.Overloaded.ID:
		// Of a key that this host knows nothing of, "not run" is said of
		// this request and not of an earlier one at another host.
		if slices.ContainsFunc(w.runs, func(o operation) bool { return o.req == s.req }) || (j.active != "" && j.host == s.host) {
			t.Fatalf("%s is said not to have run: %+v", s.req, v)
		}
	case v.Outcome == event.NotRun && fprint == j.fingerprint && (j.ran || j.active != ""):
		t.Fatalf("%s%s is said not to have run: %+v", j.ticket, j.key, v)
	}
}

// wantTicket is the naive answer for a genuine ticket at its own host.
func (w *simulation) wantTicket(j *job, fprint string) Verdict {
	age := w.now.Sub(j.endedAt)
	switch {
	case w.hosts[w.owner(j)].inc != j.inc:
		return refuse(codes.OutcomeUnknown, event.Unknown)
	case j.active == "" && !j.ran && j.expiredUnused && w.belowFloor(j):
		return refuse(codes.OutcomeUnknown, event.Unknown)
	case j.active == "" && !j.ran && w.now >= j.expires:
		return refuse(codes.BadTicket, event.NotRun)
	case j.active == "" && !j.ran:
		return Verdict{Action: Run}
	case j.ran && age >= recordTTL:
		return refuse(codes.OutcomeUnknown, event.Unknown)
	case fprint != j.fingerprint:
		return refuse(codes.KeyReused, event.NotRun)
	case j.active != "":
		return refuse(codes.InProgress, event.Unknown)
	case j.outcome == event.Unknown:
		return refuse(codes.OutcomeUnknown, event.Unknown)
	case j.kept && age < answerTTL:
		return Verdict{Action: Replay, ReplayOf: j.ranAs, Outcome: event.Done}
	}
	return refuse(codes.NoOutcome, event.Done)
}

// belowFloor reports whether a later ticket has run and been forgotten, so that
// the host can't distinguish the two.
func (w *simulation) belowFloor(j *job) bool {
	t, _ := parseTicket(j.ticket)
	return slices.ContainsFunc(w.jobs, func(o *job) bool {
		ot, ok := parseTicket(o.ticket)
		return ok && ot.entry == t.entry && ot.inc == t.inc && ot.number > t.number &&
			o.ran && w.now.Sub(o.endedAt) >= recordTTL
	})
}

func (w *simulation) owner(j *job) int {
	entry, _, _ := TicketOwner(j.ticket)
	return int(entry[len(entry)-1] - '0')
}

func (w *simulation) issue(t *rapid.T) {
	i := rapid.IntRange(0, 1).Draw(t, "host")
	text, valid, code := w.hosts[i].IssueTicket(w.now, "acme", "book", "s3cret")
	if code == "" {
		w.jobs = append(w.jobs, &job{ticket: text, expires: w.now.Add(valid), inc: w.hosts[i].inc})
	}
}

func (w *simulation) request(t *rapid.T) {
	j := rapid.SampledFrom(w.jobs).Draw(t, "job")
	i := rapid.IntRange(0, 1).Draw(t, "host")
	fprint := rapid.SampledFrom([]string{"p", "p", "p", "q"}).Draw(t, "print")
	w.requestCount++
	s := operation{job: j, host: i, req: ident.RequestID(fmt.Sprint("r", w.requestCount))}
	if j.key != "" {
		w.applyVerdict(t, s, fprint, w.hosts[i].UseKey(w.now, j.key, fprint, s.req))
		return
	}
	if i == w.owner(j) && w.exact {
		want := w.wantTicket(j, fprint)
		got := w.hosts[i].Redeem(w.now, j.ticket, "acme", "book", s.req, fprint)
		if diff := cmp.Diff(want, got); diff != "" {
			t.Fatalf("ticket %+v (-naive +got):\n%s", *j, diff)
		}
		w.applyVerdict(t, s, fprint, got)
		return
	}
	w.applyVerdict(t, s, fprint, w.hosts[i].Redeem(w.now, j.ticket, "acme", "book", s.req, fprint))
}

func (w *simulation) write(s operation) {
	if _, ok := w.store[s.job.key]; !ok {
		w.store[s.job.key] = s.rec
	}
}

// answer lets the store answer a claim, lose the reply or the write, or write
// late. The claim stays in the list, so that its answer may come again.
func (w *simulation) answer(t *rapid.T) {
	if len(w.claims) == 0 {
		return
	}
	s := rapid.SampledFrom(w.claims).Draw(t, "claim")
	claim, rec := event.ClaimFailed, event.KeyRecord{}
	switch rapid.IntRange(0, 4).Draw(t, "fate") {
	case 0, 1, 2:
		w.write(s)
		rec = w.store[s.job.key]
		if claim = event.ClaimTaken; rec == s.rec && rapid.Bool().Draw(t, "won") {
			claim = event.ClaimWon
		}
	case 3:
		w.lateWrites = append(w.lateWrites, s)
	}
	w.applyVerdict(t, s, s.rec.Print, w.hosts[s.host].ClaimAnswered(w.now, s.req, claim, rec))
}

func (w *simulation) landLateWrite(t *rapid.T) {
	if len(w.lateWrites) > 0 {
		w.write(rapid.SampledFrom(w.lateWrites).Draw(t, "late"))
	}
}

func (w *simulation) end(t *rapid.T) {
	if len(w.runs) == 0 {
		return
	}
	s := rapid.SampledFrom(w.runs).Draw(t, "run")
	o := rapid.SampledFrom([]event.Outcome{event.Done, event.NotRun, event.Unknown}).Draw(t, "outcome")
	kept := rapid.Bool().Draw(t, "kept")
	if j := s.job; j.active == s.req {
		j.active = ""
		if o != event.NotRun {
			j.ran, j.outcome, j.kept, j.endedAt = true, o, kept && o == event.Done, w.now
		}
	}
	w.hosts[s.host].Ended(w.now, s.req, o, kept)
}

func (w *simulation) advance(t *rapid.T) {
	by := rapid.SampledFrom([]time.Duration{time.Second, time.Minute, answerTTL, ticketTTL, 2 * recordTTL})
	w.now = w.now.Add(by.Draw(t, "by"))
	for _, j := range w.jobs {
		j.expiredUnused = j.active == "" && !j.ran && w.now >= j.expires
	}
	for _, rg := range w.hosts {
		for _, req := range rg.Expire(w.now) {
			for _, j := range w.jobs {
				if j.ranAs == req {
					j.kept = false
				}
			}
		}
		if rg.Next() <= w.now {
			t.Fatalf("Expire left work that was due")
		}
		if len(rg.queue) > rg.bounds.records {
			t.Fatalf("%d records, more than the bound", len(rg.queue))
		}
	}
}

func (w *simulation) check(t *rapid.T) {
	t.Repeat(map[string]func(*rapid.T){
		"issue": w.issue, "request": w.request, "again": w.request, "answer": w.answer, "reply": w.answer,
		"land": w.landLateWrite, "end": w.end, "finish": w.end, "pass": w.advance,
		"restart": func(t *rapid.T) {
			if rapid.IntRange(0, 3).Draw(t, "restart") == 0 {
				w.restart(rapid.IntRange(0, 1).Draw(t, "host"))
			}
		},
	})
}

// Late, doubled and crossed messages make a request run twice, or report one as not run that ran.
func TestRunsAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { newSimulation(nil).check(t) })
}

// A record dropped for want of memory counts as a request that was never made.
func TestRunsAtMostOnceWhenFull(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		newSimulation(&bounds{records: 2, tickets: 2, accountTickets: 2}).check(t)
	})
}
