package member

import (
	"strconv"

	"verbenadale.example/verbenadale/internal/event"
)

// maxNotes bounds the number of notes in one step.
const maxNotes = 64

// TakeNotes returns and clears the notes: on stale lists, and on changes in the state of targets
// whose capacity is in the platform's list.
func (tb *Table) TakeNotes() []event.Note {
	ns := tb.notes
	tb.notes = nil
	return ns
}

// addNote records a change in the state of a target. The fields that all such notes have follow those
// given.
func (tb *Table) addNote(t *Target, text string, fields ...event.NotePair) {
	if t.Capacity == 0 || len(tb.notes) >= maxNotes {
		return
	}
	silent := "-1"
	if t.everSeen {
		silent = strconv.FormatInt(tb.lastAdvance.Sub(t.lastSeen).Milliseconds(), 10)
	}
	fields = append([]event.NotePair{{Key: "target", Value: string(t.ID)}, {Key: "service", Value: t.Service}}, fields...)
	tb.notes = append(tb.notes, event.Note{Text: text, Fields: append(fields, []event.NotePair{
		{Key: "failsInARow", Value: strconv.Itoa(t.ConsecutiveFailures)},
		{Key: "silentMs", Value: silent},
		{Key: "listVersion", Value: strconv.FormatUint(tb.list.version, 10)},
		{Key: "listSource", Value: string(tb.list.source)},
	}...)})
}

// noteStaleList records that the store returned an older list than the one in use.
func (tb *Table) noteStaleList(version uint64) {
	if len(tb.notes) >= maxNotes {
		return
	}
	tb.notes = append(tb.notes, event.Note{Text: "stale target list ignored", Fields: []event.NotePair{
		{Key: "version", Value: strconv.FormatUint(version, 10)},
		{Key: "inUse", Value: strconv.FormatUint(tb.list.version, 10)},
		{Key: "listSource", Value: string(tb.list.source)},
	}})
}
