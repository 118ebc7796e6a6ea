package serve

import (
	"bufio"
	"bytes"
	"io"
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
		a.recordGap()
		if err := a.deliver(ev, r.lastID); err != nil {
			return err
		}
	}
}

// eventReader splits a stream into its events without changing a byte.
type eventReader struct {
	br *bufio.Reader
	// lastID is the id of the last event; at first, the number of tokens from which the stream is
	// resumed.
	lastID ident.Tokens
	buf    []byte
}

// next returns the next complete event, which is valid until the following call, or io.EOF if the
// message ends between two events.
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

// checkID checks the id of the event that has been read. Ids must increase by one: a repeated or
// missing event would corrupt the text that the caller receives.
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
