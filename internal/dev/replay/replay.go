// Package replay records what the reducer of a running host was given and what
// it decided, and steps a new reducer through the record again.
//
// # Usage
//
//	rec := replay.NewRecorder(file)
//	defer rec.Close()
//	cfg.Record = rec.Start
//
//	sum, err := replay.Replay(file)
//
// A record is lines of JSON: the host first, then each event followed by its
// effects. The reducer is deterministic, so the effects are the same, byte for
// byte; a difference is a fault of the reducer, or comes of another version of
// it.
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

// The errors of this layer.
var (
	// ErrRecord says that a record can't be read.
	ErrRecord = errors.New("replay: the record can't be read")
	// ErrDiffers says that the reducer decides otherwise than recorded.
	ErrDiffers = errors.New("replay: the reducer decides otherwise")
)

// Recorder writes the record of one host. The control thread alone uses it.
type Recorder struct {
	w   io.WriteCloser
	buf *bufio.Writer
	err error
}

// NewRecorder returns a recorder that writes to w and closes it.
func NewRecorder(w io.WriteCloser) *Recorder {
	return &Recorder{w: w, buf: bufio.NewWriter(w)}
}

// Close ends the record.
func (r *Recorder) Close() {
	_ = r.buf.Flush()
	_ = r.w.Close()
}

// Start writes the host and returns the function that sees each step.
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

// writeLine writes one writeLine. After an error nothing more is written, so that a
// record is cut and never has a hole.
func (r *Recorder) writeLine(b []byte, err error) {
	if r.err != nil {
		return
	}
	if err == nil {
		_, err = r.buf.Write(append(b, '\n'))
	}
	r.err = err
}

// Summary is what a replay went through.
type Summary struct {
	Host    ident.EntryID `json:"host"`
	Events  int           `json:"events"`
	Effects int           `json:"effects"`
}

// maxLineSize bounds a line of a record.
const maxLineSize = 16 << 20

// Replay steps a new reducer through a record and compares its effects.
func Replay(r io.Reader) (Summary, error) {
	sc := bufio.NewScanner(r)
	sc.Buffer(nil, maxLineSize)
	if !sc.Scan() {
		return Summary{}, errors.Wrap(ErrRecord, "it is empty")
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

// readStep reads the lines of one step. A record that was cut in the middle of a
// step ends before it.
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
		return errors.Wrapf(ErrDiffers, "event %d, %s, has %d effects, recorded were %d", sum.Events, event.TypeName(ev), len(effs), len(want))
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
