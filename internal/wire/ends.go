package wire

import (
	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/pkg/ident"
)

func fromRun(r event.TargetRun) uint64 { return uint64(r) }

func toRun(r uint64) event.TargetRun { return event.TargetRun(r) }

// RunsToEvent converts the ended targets of a forwarded request.
func (p *Open) RunsToEvent() []event.TargetRun { return convert(p.GetEndedRuns(), toRun) }

// The bits of a target end.
const (
	endCleared = 1 << iota
	endConfined
	endPart
	endCondemned
)

// endUnderShift is the position of TargetEnd.Under in the flags.
const endUnderShift = 16

// FromTargetEnds converts ends of targets to columns.
func FromTargetEnds(ends []event.TargetEnd, relay bool) *TargetEnds {
	p := &TargetEnds{Relay: relay}
	for _, e := range ends {
		p.Contents = append(p.Contents, uint64(e.Content))
		p.Runs = append(p.Runs, uint64(e.Run))
		p.AgesMs = append(p.AgesMs, millis(e.Age))
		p.RunningMs = append(p.RunningMs, millis(e.Running))
		p.AnsweredInMs = append(p.AnsweredInMs, millis(e.AnsweredIn))
		p.Flags = append(p.Flags, endFlags(e))
	}
	return p
}

func endFlags(e event.TargetEnd) uint32 {
	flags := uint32(0)
	if e.Cleared {
		flags |= endCleared
	}
	if e.Confined {
		flags |= endConfined
	}
	if e.Part {
		flags |= endPart
	}
	if e.Condemned {
		flags |= endCondemned
	}
	return flags | uint32(e.Under)<<endUnderShift
}

// ToEvent converts the columns back. It returns ErrFormat if their lengths differ.
func (p *TargetEnds) ToEvent(from ident.EntryID) (event.TargetEndsReceived, error) {
	e := event.TargetEndsReceived{From: from, Relay: p.GetRelay()}
	n := len(p.GetContents())
	if len(p.GetRuns()) != n || len(p.GetAgesMs()) != n || len(p.GetRunningMs()) != n || len(p.GetAnsweredInMs()) != n || len(p.GetFlags()) != n {
		return e, ErrFormat
	}
	for i, content := range p.GetContents() {
		flags := p.GetFlags()[i]
		e.Ends = append(e.Ends, event.TargetEnd{
			Content: ident.Content(content), Run: event.TargetRun(p.GetRuns()[i]),
			Age: duration(p.GetAgesMs()[i]), Running: duration(p.GetRunningMs()[i]),
			AnsweredIn: duration(p.GetAnsweredInMs()[i]), Cleared: flags&endCleared != 0, Confined: flags&endConfined != 0,
			Part: flags&endPart != 0, Condemned: flags&endCondemned != 0, Under: uint16(flags >> endUnderShift),
		})
	}
	return e, nil
}
