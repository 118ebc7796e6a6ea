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

// init fixes the seed, so that every run gives the same result. A seed on the command
// line overrides it.
func init() {
	_ = flag.Set("rapid.seed", "20261202")
	_ = flag.Set("rapid.nofailfile", "true")
	_ = flag.Set("rapid.steps", "120")
	_ = flag.Set("rapid.checks", "500")
}

// job is the reference state of one ticket or key, kept without limit.
type job struct {
	ticket  string
	key     string
	expires ident.Time
	// expiredUnused records that Expire has run since the ticket expired unused.
	expiredUnused bool
	host          int
	inc           ident.Incarnation
	print         string
	active        ident.RequestID
	ran           bool
	outcome       event.Outcome
	answerKept    bool
	endedAt       ident.Time
	ranAs         ident.RequestID
}

// operation is a request that was allowed to run, or a claim that waits for its answer.
type operation struct {
	job  *job
	host int
	req  ident.RequestID
	rec  event.KeyRecord
}

// simulation consists of two hosts, the store and the full history of requests.
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
	// exact is set when nothing is dropped early, so that the answer for a ticket is
	// known exactly.
	exact bool
}

func newSimulation(b *bounds) *simulation {
	sim := &simulation{bounds: b, store: make(map[string]event.KeyRecord), exact: b == nil}
	for i := range sim.hosts {
		sim.restart(i)
	}
	for _, k := range []string{"k1", "k2", "k3"} {
		sim.jobs = append(sim.jobs, &job{key: k})
	}
	return sim
}

func (sim *simulation) restart(i int) {
	sim.inc++
	sim.hosts[i] = New(ident.EntryID(fmt.Sprint("host", i)), sim.inc)
	if sim.bounds != nil {
		sim.hosts[i].bounds = *sim.bounds
	}
	for _, j := range sim.jobs {
		if j.active != "" && j.host == i {
			j.ran, j.outcome, j.answerKept, j.active, j.endedAt = true, event.Unknown, false, "", sim.now
		}
	}
}

// applyVerdict checks a verdict against the reference state and executes it.
func (sim *simulation) applyVerdict(t *rapid.T, s operation, fingerprint string, v Verdict) {
	j := s.job
	switch {
	case v.Action == Run:
		if j.ran || j.active != "" {
			t.Fatalf("%s%s runs a second time", j.ticket, j.key)
		}
		j.active, j.host, j.print, j.ranAs = s.req, s.host, fingerprint, s.req
		sim.runs = append(sim.runs, s)
	case v.Action == Claim:
		s.rec = v.Record
		sim.claims = append(sim.claims, s)
	case v.Action == Replay && (!j.answerKept || v.ReplayOf != j.ranAs):
		t.Fatalf("replay of %q, whose answer is not stored", v.ReplayOf)
	case v.Code == codes.StoreDown.ID || v.Code == codes.Overloaded.ID:
		// For a key unknown to this host, "not run" refers to this request and not to
		// an earlier one at another host.
		if slices.ContainsFunc(sim.runs, func(o operation) bool { return o.req == s.req }) || (j.active != "" && j.host == s.host) {
			t.Fatalf("%s is reported as not run: %+v", s.req, v)
		}
	case v.Outcome == event.NotRun && fingerprint == j.print && (j.ran || j.active != ""):
		t.Fatalf("%s%s is reported as not run: %+v", j.ticket, j.key, v)
	}
}

// wantTicket is the naive answer for a genuine ticket at the host that issued it.
func (sim *simulation) wantTicket(j *job, fingerprint string) Verdict {
	age := sim.now.Sub(j.endedAt)
	switch {
	case sim.hosts[sim.owner(j)].inc != j.inc:
		return refuse(codes.OutcomeUnknown, event.Unknown)
	case j.active == "" && !j.ran && j.expiredUnused && sim.belowFloor(j):
		return refuse(codes.OutcomeUnknown, event.Unknown)
	case j.active == "" && !j.ran && sim.now >= j.expires:
		return refuse(codes.BadTicket, event.NotRun)
	case j.active == "" && !j.ran:
		return Verdict{Action: Run}
	case j.ran && age >= recordTTL:
		return refuse(codes.OutcomeUnknown, event.Unknown)
	case fingerprint != j.print:
		return refuse(codes.KeyReused, event.NotRun)
	case j.active != "":
		return refuse(codes.InProgress, event.Unknown)
	case j.outcome == event.Unknown:
		return refuse(codes.OutcomeUnknown, event.Unknown)
	case j.answerKept && age < answerTTL:
		return Verdict{Action: Replay, ReplayOf: j.ranAs, Outcome: event.Done}
	}
	return refuse(codes.NoOutcome, event.Done)
}

// belowFloor reports whether a later ticket has run and been dropped, so that the host
// can't distinguish the two.
func (sim *simulation) belowFloor(j *job) bool {
	t, _ := parseTicket(j.ticket)
	return slices.ContainsFunc(sim.jobs, func(o *job) bool {
		ot, ok := parseTicket(o.ticket)
		return ok && ot.entry == t.entry && ot.inc == t.inc && ot.number > t.number &&
			o.ran && sim.now.Sub(o.endedAt) >= recordTTL
	})
}

func (sim *simulation) owner(j *job) int {
	entry, _, _ := TicketOwner(j.ticket)
	return int(entry[len(entry)-1] - '0')
}

func (sim *simulation) issue(t *rapid.T) {
	i := rapid.IntRange(0, 1).Draw(t, "host")
	text, valid, code := sim.hosts[i].IssueTicket(sim.now, "acme", "book", "s3cret")
	if code == "" {
		sim.jobs = append(sim.jobs, &job{ticket: text, expires: sim.now.Add(valid), inc: sim.hosts[i].inc})
	}
}

func (sim *simulation) request(t *rapid.T) {
	j := rapid.SampledFrom(sim.jobs).Draw(t, "job")
	i := rapid.IntRange(0, 1).Draw(t, "host")
	fingerprint := rapid.SampledFrom([]string{"p", "p", "p", "q"}).Draw(t, "print")
	sim.requestCount++
	s := operation{job: j, host: i, req: ident.RequestID(fmt.Sprint("r", sim.requestCount))}
	if j.key != "" {
		sim.applyVerdict(t, s, fingerprint, sim.hosts[i].UseKey(sim.now, j.key, fingerprint, s.req))
		return
	}
	if i == sim.owner(j) && sim.exact {
		want := sim.wantTicket(j, fingerprint)
		got := sim.hosts[i].Redeem(sim.now, j.ticket, "acme", "book", s.req, fingerprint)
		if diff := cmp.Diff(want, got); diff != "" {
			t.Fatalf("ticket %+v (-naive +got):\n%s", *j, diff)
		}
		sim.applyVerdict(t, s, fingerprint, got)
		return
	}
	sim.applyVerdict(t, s, fingerprint, sim.hosts[i].Redeem(sim.now, j.ticket, "acme", "book", s.req, fingerprint))
}

func (sim *simulation) write(s operation) {
	if _, ok := sim.store[s.job.key]; !ok {
		sim.store[s.job.key] = s.rec
	}
}

// answer makes the store answer a claim, lose the reply or the write, or write late.
// The claim stays in the list, so that its answer may arrive again.
func (sim *simulation) answer(t *rapid.T) {
	if len(sim.claims) == 0 {
		return
	}
	s := rapid.SampledFrom(sim.claims).Draw(t, "claim")
	claim, rec := event.ClaimFailed, event.KeyRecord{}
	switch rapid.IntRange(0, 4).Draw(t, "fate") {
	case 0, 1, 2:
		sim.write(s)
		rec = sim.store[s.job.key]
		if claim = event.ClaimTaken; rec == s.rec && rapid.Bool().Draw(t, "won") {
			claim = event.ClaimWon
		}
	case 3:
		sim.lateWrites = append(sim.lateWrites, s)
	}
	sim.applyVerdict(t, s, s.rec.Fingerprint, sim.hosts[s.host].ClaimAnswered(sim.now, s.req, claim, rec))
}

func (sim *simulation) applyLateWrite(t *rapid.T) {
	if len(sim.lateWrites) > 0 {
		sim.write(rapid.SampledFrom(sim.lateWrites).Draw(t, "late"))
	}
}

func (sim *simulation) end(t *rapid.T) {
	if len(sim.runs) == 0 {
		return
	}
	s := rapid.SampledFrom(sim.runs).Draw(t, "run")
	o := rapid.SampledFrom([]event.Outcome{event.Done, event.NotRun, event.Unknown}).Draw(t, "outcome")
	kept := rapid.Bool().Draw(t, "kept")
	if j := s.job; j.active == s.req {
		j.active = ""
		if o != event.NotRun {
			j.ran, j.outcome, j.answerKept, j.endedAt = true, o, kept && o == event.Done, sim.now
		}
	}
	sim.hosts[s.host].Ended(sim.now, s.req, o, kept)
}

func (sim *simulation) advance(t *rapid.T) {
	by := rapid.SampledFrom([]time.Duration{time.Second, time.Minute, answerTTL, ticketTTL, 2 * recordTTL})
	sim.now = sim.now.Add(by.Draw(t, "by"))
	for _, j := range sim.jobs {
		j.expiredUnused = j.active == "" && !j.ran && sim.now >= j.expires
	}
	for _, rg := range sim.hosts {
		for _, req := range rg.Expire(sim.now) {
			for _, j := range sim.jobs {
				if j.ranAs == req {
					j.answerKept = false
				}
			}
		}
		if rg.Next() <= sim.now {
			t.Fatalf("Expire left records that were due")
		}
		if len(rg.queue) > rg.bounds.records {
			t.Fatalf("%d records, more than the bound", len(rg.queue))
		}
	}
}

func (sim *simulation) check(t *rapid.T) {
	t.Repeat(map[string]func(*rapid.T){
		"issue": sim.issue, "request": sim.request, "again": sim.request, "answer": sim.answer, "reply": sim.answer,
		"land": sim.applyLateWrite, "end": sim.end, "finish": sim.end, "pass": sim.advance,
		"restart": func(t *rapid.T) {
			if rapid.IntRange(0, 3).Draw(t, "restart") == 0 {
				sim.restart(rapid.IntRange(0, 1).Draw(t, "host"))
			}
		},
	})
}

// Guards against late, duplicate and reordered messages that make a request run twice,
// or report a request as not run that ran.
func TestRunsAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { newSimulation(nil).check(t) })
}

// Guards against a record dropped for lack of memory counting as a request that was
// never made.
func TestRunsAtMostOnceWhenFull(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		newSimulation(&bounds{records: 2, tickets: 2, accountTickets: 2}).check(t)
	})
}
