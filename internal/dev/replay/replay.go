// Package replay records the events that the reducer of a running host receives
// and the effects that it returns, and replays the recording through a new
// reducer.
//
// # Usage
//
//	rec := replay.NewRecorder(file)
//	defer rec.Close()
//	cfg.Record = rec.Start
//
//	sum, err := replay.Replay(file)
//
// A recording consists of lines of JSON: the host, then each event followed by its
// effects and an empty line. The reducer is deterministic, so the replayed effects
// are byte-identical; a difference indicates a bug in the reducer or a different
// version of it.
package replay

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"

	"github.com/pkg/errors"

	"verbenadale.example/verbenadale/internal/core"
	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/pkg/ident"
)

// Errors of this package.
var (
	// ErrRecord means that a recording is invalid.
	ErrRecord = errors.New("replay: invalid recording")
	// ErrDiffers means that an effect of the reducer differs from the recording.
	ErrDiffers = errors.New("replay: effects differ from the recording")
)

// Recorder writes the recording of one host. It is used by the control thread
// only.
type Recorder struct {
	w   io.WriteCloser
	buf *bufio.Writer
	err error
}

// NewRecorder returns a recorder that writes to w. Close closes w.
func NewRecorder(w io.WriteCloser) *Recorder {
	return &Recorder{w: w, buf: bufio.NewWriter(w)}
}

// Close flushes and closes the recording.
func (r *Recorder) Close() {
	_ = r.buf.Flush()
	_ = r.w.Close()
}

// Start records the host and returns the function that records each step.
func (r *Recorder) Start(self event.Host) func(now ident.Time, ev event.Event, effs []event.Effect) {
	r.writeLine(json.Marshal(self))
	return r.recordStep
}

func (r *Recorder) recordStep(now ident.Time, ev event.Event, effs []event.Effect) {
	r.writeLine(event.EncodeEvent(now, ev))
	for _, eff := range effs {
		r.writeLine(event.EncodeEffect(now, eff))
	}
	r.writeLine([]byte{}, nil)
}

// writeLine writes one line. It writes nothing after an error, so that a recording
// may be truncated but has no gaps.
func (r *Recorder) writeLine(b []byte, err error) {
	if r.err != nil {
		return
	}
	if err == nil {
		_, err = r.buf.Write(append(b, '\n'))
	}
	r.err = err
}

// Summary describes a replay.
type Summary struct {
	Host    ident.EntryID `json:"host"`
	Events  int           `json:"events"`
	Effects int           `json:"effects"`
}

// maxLineSize limits the length of a line.
const maxLineSize = 16 << 20

// Replay steps a new reducer through a recording and compares its effects with the
// recorded ones.
func Replay(r io.Reader) (Summary, error) {
	sc := bufio.NewScanner(r)
	sc.Buffer(nil, maxLineSize)
	if !sc.Scan() {
		return Summary{}, errors.Wrap(ErrRecord, "empty")
	}
	var self event.Host
	if err := json.Unmarshal(sc.Bytes(), &self); err != nil {
		return Summary{}, errors.Wrap(ErrRecord, err.Error())
	}
	red := core.New(self)
	sum := Summary{Host: self.ID}
	for {
		lines := readStep(sc)
		if len(lines) == 0 {
			return sum, errors.Wrap(sc.Err(), "replay")
		}
		if err := compare(red, lines, &sum); err != nil {
			return sum, err
		}
	}
}

// readStep reads the lines of one step. It ignores an incomplete step at the end
// of a truncated recording.
func readStep(sc *bufio.Scanner) [][]byte {
	var lines [][]byte
	for sc.Scan() {
		if len(sc.Bytes()) == 0 {
			return lines
		}
		lines = append(lines, bytes.Clone(sc.Bytes()))
	}
	return nil
}

func compare(red *core.Reducer, lines [][]byte, sum *Summary) error {
	now, ev, err := event.DecodeEvent(lines[0])
	if err != nil {
		return errors.Wrap(ErrRecord, err.Error())
	}
	effs := red.Step(now, ev)
	want := lines[1:]
	sum.Events++
	sum.Effects += len(effs)
	if len(effs) != len(want) {
		return errors.Wrapf(ErrDiffers, "event %d, %s: got %d effects, recorded %d", sum.Events, event.TypeName(ev), len(effs), len(want))
	}
	for i, eff := range effs {
		got, err := event.EncodeEffect(now, eff)
		if err != nil {
			return errors.Wrap(ErrRecord, err.Error())
		}
		if !bytes.Equal(got, want[i]) {
			return errors.Wrapf(ErrDiffers, "event %d, %s\nrecorded %s\ngot      %s", sum.Events, event.TypeName(ev), want[i], got)
		}
	}
	return nil
}
