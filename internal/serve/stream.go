package serve

import (
	"bufio"
	"bytes"
	"io"
	"strconv"

	"github.com/pkg/errors"

	"verbenadale.example/verbenadale/pkg/ident"
)

// Faults of a stream.
var (
	errLongEvent = errors.New("serve: an event of the stream is too long")
	errGap       = errors.New("serve: the stream does not go on where it stopped")
)

// Sizes and marks of server-sent events.
const (
	streamBuffer = 1 << 10
	maxEvent     = 256 << 10
	endMark      = "[DONE]"
)

// sse reads one stream of server-sent events of an engine. Every event that
// adds a token carries, as its id, the number of tokens up to its end.
type sse struct {
	br *bufio.Reader
	// own must stand in the data of each event.
	own []byte
	// upto is the id of the last event, at first that of the resume.
	upto ident.Tokens
	// resumed says that the caller has had the events up to upto from an
	// earlier attempt, and none of this one has come yet.
	resumed bool
	// ev is the event that is being read, pending those read that add no
	// token. They wait for the next token or the end mark: given on at once,
	// they would reach the caller twice when the stream breaks off after
	// them and is resumed.
	ev, pending []byte
}

// frame is what one event says.
type frame struct {
	id    ident.Tokens
	hasID bool
	data  bool
	end   bool
}

// next returns the bytes to give on, up to and with the next token. It
// returns io.EOF after the end mark, with what stood before it.
func (s *sse) next() ([]byte, error) {
	for {
		f, err := s.read()
		if err != nil {
			return nil, err
		}
		switch {
		case f.end:
			return s.pending, io.EOF
		case !f.data:
			continue
		case !f.hasID:
			if len(s.pending)+len(s.ev) > maxEvent {
				return nil, errLongEvent
			}
			s.pending = append(s.pending, s.ev...)
			continue
		case f.id != s.upto+1:
			return nil, errGap
		}
		return s.token(f), nil
	}
}

// token returns the event of a token with those that waited before it. Of a
// resumed stream the opening ones are dropped, which the caller has had.
func (s *sse) token(f frame) []byte {
	s.upto = f.id
	out := s.ev
	if len(s.pending) > 0 && !s.resumed {
		s.pending = append(s.pending, s.ev...)
		out = s.pending
	}
	s.pending = s.pending[:0:0]
	s.resumed = false
	return out
}

// read reads one event into s.ev, in the form that goes to callers: lines end
// with LF, and comments are left out.
func (s *sse) read() (frame, error) {
	var f frame
	s.ev = s.ev[:0]
	for {
		text, err := s.line()
		if err != nil {
			return frame{}, err
		}
		if len(text) == 0 && len(s.ev) == 0 {
			continue
		}
		if len(text) > 0 && text[0] == ':' {
			continue
		}
		if len(s.ev)+len(text) > maxEvent {
			return frame{}, errLongEvent
		}
		s.ev = append(append(s.ev, text...), '\n')
		if len(text) == 0 {
			return f, nil
		}
		if err := s.field(&f, text); err != nil || f.end {
			return f, err
		}
	}
}

// field parses one line of an event.
func (s *sse) field(f *frame, text []byte) error {
	name, val, _ := bytes.Cut(text, []byte(":"))
	val = bytes.TrimPrefix(val, []byte(" "))
	switch string(name) {
	case "id":
		n, err := strconv.ParseInt(string(val), 10, 64)
		if err != nil {
			return errGap
		}
		f.id = ident.Tokens(n)
		f.hasID = true
	case "data":
		f.data = true
		f.end = string(val) == endMark
		if !f.end && !bytes.Contains(val, s.own) {
			return errCrossed
		}
	}
	return nil
}

// line returns the next line without its end, valid until the next call. A
// line longer than the buffer is put together up to maxEvent.
func (s *sse) line() ([]byte, error) {
	part, err := s.br.ReadSlice('\n')
	if err == nil {
		return bytes.TrimRight(part, "\r\n"), nil
	}
	if !errors.Is(err, bufio.ErrBufferFull) {
		return nil, errors.Wrap(errShort, err.Error())
	}
	long := bytes.Clone(part)
	for errors.Is(err, bufio.ErrBufferFull) {
		part, err = s.br.ReadSlice('\n')
		if len(long)+len(part) > maxEvent {
			return nil, errLongEvent
		}
		long = append(long, part...)
	}
	if err != nil {
		return nil, errors.Wrap(errShort, err.Error())
	}
	return bytes.TrimRight(long, "\r\n"), nil
}
