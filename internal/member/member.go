// Package member holds what one entry host knows of the others and of the
// targets: who lives, who leaves, and how loaded each is.
//
// # Usage
//
//	tb := member.New(self)
//	tb.HostsRead(now, ev)
//	tb.LoadReported(now, ld)
//	for _, t := range tb.Targets() { ... }
//
// The table belongs to the reducer. It is not safe for several goroutines and
// reads no clock: each method is given the time.
package member

import (
	"slices"
	"strings"
	"time"

	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/pkg/ident"
)

// Target is a target of the own data centre as this host knows it.
type Target struct {
	event.Target
	// Load is the newest report, LoadAt when this host got it; HasLoad tells
	// whether there is one.
	Load    event.Load
	LoadAt  ident.Time
	HasLoad bool
	// Sent counts the requests that this host has sent and that have not
	// ended, SentTokens their prefill work.
	Sent       int
	SentTokens ident.Tokens
	// Fails counts failures in a row.
	Fails int
	// Leaves says that the target leaves, from the first word of it.
	Leaves bool
}

// failsToSuspect is how many failures in a row make a target suspect.
const failsToSuspect = 3

// Suspect reports whether the target does not answer.
func (t *Target) Suspect() bool { return t.Fails >= failsToSuspect }

// Table is the state.
type Table struct {
	self    event.Host
	targets []*Target
	byID    map[ident.TargetID]*Target
	version uint64
	next    ident.Time
}

// New returns an empty table.
func New(self event.Host) *Table {
	return &Table{self: self, byID: make(map[ident.TargetID]*Target)}
}

// Self returns this host.
func (tb *Table) Self() event.Host { return tb.self }

// Targets returns the targets of the own data centre by id.
func (tb *Table) Targets() []*Target { return tb.targets }

// Target returns one target of the own data centre.
func (tb *Table) Target(id ident.TargetID) (*Target, bool) {
	t, ok := tb.byID[id]
	return t, ok
}

// HostsRead takes the platform's list.
func (tb *Table) HostsRead(_ ident.Time, ev event.HostsRead) {
	if ev.Version < tb.version {
		return
	}
	tb.version = ev.Version
	for _, t := range ev.Targets {
		if t.Place.DataCentre == tb.self.Place.DataCentre {
			tb.put(t)
		}
	}
}

func (tb *Table) put(t event.Target) {
	old, ok := tb.byID[t.ID]
	if !ok {
		nt := &Target{Target: t, Leaves: t.Leaving}
		tb.byID[t.ID] = nt
		tb.targets = append(tb.targets, nt)
		slices.SortFunc(tb.targets, func(a, b *Target) int { return strings.Compare(string(a.ID), string(b.ID)) })
		return
	}
	if t.Incarnation < old.Incarnation {
		return
	}
	if t.Incarnation > old.Incarnation {
		*old = Target{Target: t, Leaves: t.Leaving, Sent: old.Sent, SentTokens: old.SentTokens}
		return
	}
	old.Target = t
	old.Leaves = old.Leaves || t.Leaving
}

// LoadReported takes a load report.
func (tb *Table) LoadReported(now ident.Time, ld event.Load) {
	t, ok := tb.byID[ld.Target]
	if !ok || ld.Incarnation < t.Incarnation {
		return
	}
	t.Fails = 0
	t.Leaves = t.Leaves || ld.Leaving
	if t.HasLoad && ld.Incarnation == t.Load.Incarnation && ld.Seq <= t.Load.Seq {
		return
	}
	t.Load = ld
	t.LoadAt = now
	t.HasLoad = true
}

// LoadFailed takes note of a report that did not come.
func (tb *Table) LoadFailed(_ ident.Time, id ident.TargetID) {
	if t, ok := tb.byID[id]; ok {
		t.Fails++
	}
}

// MarkLeaving takes the word that a target leaves.
func (tb *Table) MarkLeaving(_ ident.Time, id ident.TargetID, _ ident.Incarnation) {
	if t, ok := tb.byID[id]; ok {
		t.Leaves = true
	}
}

// Sent takes note of a request sent to a target.
func (tb *Table) Sent(id ident.TargetID, tokens, _ ident.Tokens) {
	if t, ok := tb.byID[id]; ok {
		t.Sent++
		t.SentTokens += tokens
	}
}

// Ended takes note of the end of a request at a target.
func (tb *Table) Ended(id ident.TargetID, tokens, _ ident.Tokens, _ bool) {
	if t, ok := tb.byID[id]; ok {
		t.Sent--
		t.SentTokens -= tokens
	}
}

// Period is the time between two heartbeats and between two load reports of a
// target.
const Period = time.Second

// Tick returns what is to be sent and read now.
func (tb *Table) Tick(now ident.Time, _ Own) []event.Effect {
	if now < tb.next {
		return nil
	}
	tb.next = now.Add(Period)
	effs := []event.Effect{event.ReadHosts{}}
	for _, t := range tb.targets {
		effs = append(effs, event.PollLoad{Target: t.Target})
	}
	return effs
}

// Next returns when Tick is due.
func (tb *Table) Next(_ ident.Time) ident.Time { return tb.next }
