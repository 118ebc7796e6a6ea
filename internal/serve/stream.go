package serve

import (
	"bufio"
	"bytes"
	"io"
	"strconv"

	"github.com/pkg/errors"

	"verbenadale.example/verbenadale/pkg/ident"
)

// Faults in a stream.
var (
	errEventTooLong  = errors.New("serve: stream event is too long")
	errOutOfSequence = errors.New("serve: stream event is out of sequence")
	errNotContinued  = errors.New("serve: answer does not continue the stream")
)

// Sizes and markers of server-sent events.
const (
	streamBufferSize = 1 << 10
	maxEventBytes    = 256 << 10
	doneMarker       = "[DONE]"
)

// engineStream reads one stream of server-sent events of an engine. An event that adds a token has
// an id: the number of tokens of the answer up to and including this one.
type engineStream struct {
	br *bufio.Reader
	// quotedID is the quoted request id, which the data of each event must contain.
	quotedID []byte
	// lastID is the id of the last event; at first, the number of tokens from which the stream is
	// resumed.
	lastID ident.Tokens
	// skipOpening is set if the caller has the events up to lastID from an earlier attempt and this
	// one has not produced a token yet.
	skipOpening bool
	// ev is the event being read, pending the events without a token that precede it. They are
	// relayed with the next token or at the end marker: if they were relayed at once, a stream that
	// breaks after them and is resumed would repeat them.
	ev, pending []byte
}

// eventInfo is the parsed content of one event.
type eventInfo struct {
	id          ident.Tokens
	hasID       bool
	hasData     bool
	isEndMarker bool
}

// next returns the bytes to relay, up to and including the next token. At the end marker it returns
// the pending events and io.EOF.
func (s *engineStream) next() ([]byte, error) {
	for {
		f, err := s.readEvent()
		if err != nil {
			return nil, err
		}
		switch {
		case f.isEndMarker:
			return s.pending, io.EOF
		case !f.hasData:
			continue
		case !f.hasID:
			if len(s.pending)+len(s.ev) > maxEventBytes {
				return nil, errEventTooLong
			}
			s.pending = append(s.pending, s.ev...)
			continue
		case f.id != s.lastID+1:
			return nil, errOutOfSequence
		}
		return s.takeToken(f), nil
	}
}

// takeToken returns the event of a token together with the pending events before it. The opening
// events of a resumed stream are dropped, since the caller already has them.
func (s *engineStream) takeToken(f eventInfo) []byte {
	s.lastID = f.id
	out := s.ev
	if len(s.pending) > 0 && !s.skipOpening {
		s.pending = append(s.pending, s.ev...)
		out = s.pending
	}
	s.pending = s.pending[:0:0]
	s.skipOpening = false
	return out
}

// readEvent reads one event into s.ev in the form that callers receive: lines end with LF, and
// comments are left out.
func (s *engineStream) readEvent() (eventInfo, error) {
	var f eventInfo
	s.ev = s.ev[:0]
	for {
		text, err := s.readLine()
		if err != nil {
			return eventInfo{}, err
		}
		if len(text) == 0 && len(s.ev) == 0 {
			continue
		}
		if len(text) > 0 && text[0] == ':' {
			continue
		}
		if len(s.ev)+len(text) > maxEventBytes {
			return eventInfo{}, errEventTooLong
		}
		s.ev = append(append(s.ev, text...), '\n')
		if len(text) == 0 {
			return f, nil
		}
		if err := s.parseField(&f, text); err != nil || f.isEndMarker {
			return f, err
		}
	}
}

// parseField parses one line of an event.
func (s *engineStream) parseField(f *eventInfo, text []byte) error {
	name, val, _ := bytes.Cut(text, []byte(":"))
	val = bytes.TrimPrefix(val, []byte(" "))
	switch string(name) {
	case "id":
		n, err := strconv.ParseInt(string(val), 10, 64)
		if err != nil {
			return errOutOfSequence
		}
		f.id = ident.Tokens(n)
		f.hasID = true
	case "data":
		f.hasData = true
		f.isEndMarker = string(val) == doneMarker
		if !f.isEndMarker && !bytes.Contains(val, s.quotedID) {
			return errWrongRequest
		}
	}
	return nil
}

// readLine returns the next line without its line ending, valid until the following call. A line
// longer than the buffer is assembled up to maxEventBytes.
func (s *engineStream) readLine() ([]byte, error) {
	part, err := s.br.ReadSlice('\n')
	if err == nil {
		return bytes.TrimRight(part, "\r\n"), nil
	}
	if !errors.Is(err, bufio.ErrBufferFull) {
		return nil, errors.Wrap(errTruncated, err.Error())
	}
	long := bytes.Clone(part)
	for errors.Is(err, bufio.ErrBufferFull) {
		part, err = s.br.ReadSlice('\n')
		if len(long)+len(part) > maxEventBytes {
			return nil, errEventTooLong
		}
		long = append(long, part...)
	}
	if err != nil {
		return nil, errors.Wrap(errTruncated, err.Error())
	}
	return bytes.TrimRight(long, "\r\n"), nil
}
