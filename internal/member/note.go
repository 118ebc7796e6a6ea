package member

import (
	"strconv"

	"verbenadale.example/verbenadale/internal/event"
)

// maxNotes bounds the notes of one step.
const maxNotes = 64

// TakeNotes returns what has changed in what this host believes of the targets whose
// capacity the platform's list contains, since the last call.
func (tb *Table) TakeNotes() []event.Note {
	ns := tb.notes
	tb.notes = nil
	return ns
}

// addNote records a change of belief about a target.
func (tb *Table) addNote(t *Target, text string) {
	if t.Capacity == 0 || len(tb.notes) >= maxNotes {
		return
	}
	silent := "-1"
	if t.met {
		silent = strconv.FormatInt(tb.lastAdvance.Sub(t.lastSeen).Milliseconds(), 10)
	}
	tb.notes = append(tb.notes, event.Note{Text: text, Fields: []event.NotePair{
		{Key: "target", Value: string(t.ID)},
		{Key: "service", Value: t.Service},
		{Key: "failsInARow", Value: strconv.Itoa(t.Fails)},
		{Key: "silentMs", Value: silent},
		{Key: "listVersion", Value: strconv.FormatUint(tb.list.version, 10)},
		{Key: "listSource", Value: string(tb.list.source)},
	}})
}

// noteStaleList reports a list of the store that is older than the one in use.
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
