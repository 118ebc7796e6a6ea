package member

import (
	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/pkg/ident"
)

// Tick returns what is to be sent and read now. It is cheap when nothing is
// due, so that the reducer may call it at each step.
func (tb *Table) Tick(now ident.Time, own Own) []event.Effect {
	tb.Advance(now)
	tb.own = own
	regular := now >= tb.beat.due
	if !regular && !tb.urgent() && now < tb.list.nextRead {
		return nil
	}
	var effs []event.Effect
	if regular {
		tb.beat.due = now.Add(Period)
		tb.reap(now)
		tb.dutyRead(now)
		tb.supposeRates()
		tb.countPools(now)
	}
	effs = append(effs, tb.coldProbes()...)
	effs = append(effs, tb.readHosts(now)...)
	effs = append(effs, tb.beats(now, regular)...)
	if regular || tb.beat.asks {
		effs = append(effs, tb.summaries(now)...)
	}
	if regular {
		effs = append(effs, tb.polls(now)...)
		effs = append(effs, tb.askMemory(now)...)
	}
	return effs
}

func (tb *Table) urgent() bool {
	return tb.beat.words || tb.beat.peers || tb.beat.asks || len(tb.probe) > 0
}

func (tb *Table) reap(now ident.Time) {
	tb.reapPeers(now)
	tb.reapTargets(now)
	tb.settleGone(now)
	tb.reapWords(now)
}

// Next returns when Tick is due.
func (tb *Table) Next(now ident.Time) ident.Time {
	if tb.urgent() {
		return now
	}
	return min(tb.beat.due, tb.list.nextRead)
}
