package serve

import (
	"bufio"
	"bytes"
	"io"
	"strconv"

	"github.com/pkg/errors"

	"verbenadale.example/verbenadale/pkg/ident"
)

// copyRoutedEvents passes the events of a route's stream on, each as it came and only
// when it is whole, until the message ends.
//
// A target that breaks off may stop in the middle of an event. Passed on, the
// half would stand before the first event of whoever goes on, and the caller
// would read the two as one.
func (t *attempt) copyRoutedEvents(body io.Reader) error {
	r := &eventReader{br: bufio.NewReaderSize(body, streamBufferSize), lastID: t.delivered}
	for {
		ev, err := r.next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		t.recordProgress()
		t.recordGap()
		if err := t.deliver(ev, r.lastID); err != nil {
			return err
		}
	}
}

// eventReader cuts a stream into its events without changing a byte.
type eventReader struct {
	br *bufio.Reader
	// lastID is the id of the last event, at first that of the resume.
	lastID ident.Tokens
	buf    []byte
}

// next returns the next whole event, valid until the next call, or io.EOF where
// the message ends between two events.
func (r *eventReader) next() ([]byte, error) {
	r.buf = r.buf[:0]
	for {
		line, err := r.br.ReadSlice('\n')
		r.buf = append(r.buf, line...)
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
		case errors.Is(err, io.EOF) && len(r.buf) == 0:
			return nil, io.EOF
		case err != nil:
			return nil, errors.Wrap(errTruncated, err.Error())
		case len(bytes.TrimRight(line, "\r\n")) == 0:
			return r.buf, r.checkID()
		}
		if len(r.buf) > maxEventBytes {
			return nil, errEventTooLong
		}
	}
}

// checkID takes the id of the event. Ids grow by one: an event that comes twice
// or after a gap would give the caller a text that nobody wrote.
func (r *eventReader) checkID() error {
	for line := range bytes.Lines(r.buf) {
		val, ok := bytes.CutPrefix(line, []byte("id:"))
		if !ok {
			continue
		}
		n, err := strconv.ParseInt(string(bytes.TrimSpace(val)), 10, 64)
		if err != nil || ident.Tokens(n) != r.lastID+1 {
			return errOutOfSequence
		}
		r.lastID = ident.Tokens(n)
	}
	return nil
}
