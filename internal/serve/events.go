package serve

import (
	"bufio"
	"bytes"
	"io"
	"iter"
	"strconv"

	"github.com/pkg/errors"

	"verbenadale.example/verbenadale/pkg/ident"
)

// copyRoutedEvents relays the events of a routed stream until the message ends, each event only
// once it is complete.
//
// A target that fails may stop in the middle of an event. If the partial event were relayed, the
// caller would read it and the first event of the next attempt as one.
func (a *attempt) copyRoutedEvents(body io.Reader) error {
	r := &eventReader{br: bufio.NewReaderSize(body, streamBufferSize), lastID: a.delivered}
	for {
		ev, err := r.next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		a.recordProgress()
		a.recordGap(r.lastID)
		if err := a.deliverEvent(ev, r.lastID); err != nil {
			return err
		}
	}
}

// deliverEvent delivers an event of a routed stream. id is its id, or that of the last event that has one.
//
// An event with data and without an id is relayed as it arrives. Until the next id it is not known where
// the stream would have to go on, so that no other attempt may follow.
func (a *attempt) deliverEvent(ev []byte, id ident.Tokens) error {
	if a.continues && !a.placed {
		ev = bytes.TrimPrefix(ev, byteOrderMark)
	}
	step := id - a.delivered
	if step <= 0 && hasData(ev) {
		if a.delivered > 0 && !a.placed {
			return errOutOfSequence
		}
		a.unplaced.Store(true)
	}
	if step > 0 {
		if a.continues && !a.placed && step > 1 && !a.hasLargeSteps {
			// An event is missing between what two targets have sent.
			return errOutOfSequence
		}
		a.placed = true
		a.unplaced.Store(false)
		a.hasLargeSteps = a.hasLargeSteps || step > 1
	}
	return a.deliver(ev, id)
}

// eventReader splits a stream into its events without changing a byte. An event ends with an empty
// line. Lines end with CR, LF or CRLF.
type eventReader struct {
	br *bufio.Reader
	// lastID is the id of the last event; at first, the one after which the stream is resumed.
	lastID ident.Tokens
	buf    []byte
	// begun is set once the event that is being read has a line, inLine while a line of it has bytes
	// and has not ended.
	begun, inLine bool
	// afterCR is set if the last byte was a CR: an LF that follows belongs to it.
	afterCR bool
}

// next returns the next complete event, which is valid until the following call, or io.EOF if the
// message ends between two events.
func (r *eventReader) next() ([]byte, error) {
	r.buf, r.begun = r.buf[:0], false
	for {
		_, err := r.br.Peek(1)
		switch {
		case errors.Is(err, io.EOF) && len(r.buf) == 0:
			return nil, io.EOF
		case errors.Is(err, io.EOF) && !r.begun && !r.inLine:
			// The LF of the CRLF that ended the last event.
			return r.buf, nil
		case err != nil:
			return nil, errors.Wrap(errTruncated, err.Error())
		}
		part, _ := r.br.Peek(r.br.Buffered())
		n, ended := r.scan(part)
		r.buf = append(r.buf, part[:n]...)
		_, _ = r.br.Discard(n)
		if len(r.buf) > maxEventBytes {
			return nil, errEventTooLong
		}
		if ended {
			return r.buf, r.checkID()
		}
	}
}

// scan returns how many of the following bytes belong to the event, and whether it ends with them.
func (r *eventReader) scan(part []byte) (n int, ended bool) {
	if r.afterCR && part[0] == '\n' {
		n++
	}
	for n < len(part) && !ended {
		length := lineLength(part[n:])
		r.inLine = r.inLine || length > 0
		n += length
		if n < len(part) {
			n += endLength(part[n:])
			ended = !r.inLine
			r.begun, r.inLine = true, false
		}
	}
	r.afterCR = part[n-1] == '\r'
	return n, ended
}

// lineLength returns the number of bytes before the end of the line, all if the line does not end.
func lineLength(b []byte) int {
	n := len(b)
	if i := bytes.IndexByte(b, '\n'); i >= 0 {
		n = i
	}
	if i := bytes.IndexByte(b[:n], '\r'); i >= 0 {
		n = i
	}
	return n
}

// endLength returns the number of bytes of the line end with which b begins.
func endLength(b []byte) int {
	if len(b) > 1 && b[0] == '\r' && b[1] == '\n' {
		return 2
	}
	return 1
}

// lines returns the lines of an event without their ends.
func lines(ev []byte) iter.Seq[[]byte] {
	return func(yield func([]byte) bool) {
		for len(ev) > 0 {
			n := lineLength(ev)
			if !yield(ev[:n]) || n == len(ev) {
				return
			}
			ev = ev[n+endLength(ev[n:]):]
		}
	}
}

// byteOrderMark may begin a stream.
var byteOrderMark = []byte("\xef\xbb\xbf")

// hasData reports whether an event has data. One without, such as a comment, is nothing to the program
// that receives the stream.
func hasData(ev []byte) bool {
	for line := range lines(bytes.TrimPrefix(ev, byteOrderMark)) {
		if name, _, _ := bytes.Cut(line, []byte(":")); string(name) == "data" {
			return true
		}
	}
	return false
}

// checkID checks the id of the event that has been read. Ids must increase: a repeated event would corrupt
// the text that the caller receives. An empty id is none.
func (r *eventReader) checkID() error {
	for line := range lines(bytes.TrimPrefix(r.buf, byteOrderMark)) {
		val, ok := bytes.CutPrefix(line, []byte("id:"))
		if !ok || len(bytes.TrimSpace(val)) == 0 {
			continue
		}
		n, err := strconv.ParseInt(string(bytes.TrimSpace(val)), 10, 64)
		if err != nil || ident.Tokens(n) <= r.lastID {
			return errOutOfSequence
		}
		r.lastID = ident.Tokens(n)
	}
	return nil
}
