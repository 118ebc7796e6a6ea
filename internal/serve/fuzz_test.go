package serve

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"github.com/pkg/errors"

	"verbenadale.example/verbenadale/internal/wire"
	"verbenadale.example/verbenadale/pkg/ident"
)

// Checks that, whatever an engine sends, the tokens relayed to the caller are contiguous from the
// first one, and that an answer counts as complete only with its end marker.
func FuzzStream(f *testing.F) {
	f.Add([]byte(tokens(1, 3)+doneEvent), int64(0))
	f.Add([]byte(tokens(3, 5)+doneEvent), int64(2))
	f.Add([]byte(strings.ReplaceAll(tokens(1, 2), "\n", "\r\n")+": c\n\n"+doneEvent), int64(0))
	f.Add([]byte("id: x\ndata: 1\n\n"), int64(0))
	f.Fuzz(func(t *testing.T, text []byte, resume int64) {
		s := &engineStream{
			br: bufio.NewReaderSize(bytes.NewReader(text), streamBufferSize), quotedID: []byte(testID),
			lastID: ident.Tokens(resume), skipOpening: resume > 0,
		}
		last := s.lastID
		for {
			out, err := s.next()
			if errors.Is(err, io.EOF) {
				if !bytes.Contains(text, []byte(doneMarker)) {
					t.Errorf("stream without end marker reported as complete: %q", text)
				}
				return
			}
			if err != nil {
				return
			}
			if s.lastID != last+1 {
				t.Errorf("token %d after %d", s.lastID, last)
			}
			if !bytes.Contains(out, []byte(testID)) || len(out) > 3*maxEventBytes {
				t.Errorf("event of another request: %q", out)
			}
			last = s.lastID
		}
	})
}

// pieceReader returns the bytes of a text in reads of random length, and then an error.
type pieceReader struct {
	text string
	rnd  *rand.Rand
	err  error
}

func (r *pieceReader) Read(b []byte) (int, error) {
	if r.text == "" {
		return 0, r.err
	}
	n := copy(b[:1+r.rnd.IntN(len(b))], r.text)
	r.text = r.text[n:]
	return n, nil
}

// eventEnds returns where the events of a text end, by a reading of single bytes. An event that ends with CRLF may also
// end before the LF.
func eventEnds(text string) (ends []int) {
	empty := true
	for i := 0; i < len(text); i++ {
		switch text[i] {
		case '\r', '\n':
			isCRLF := text[i] == '\r' && strings.HasPrefix(text[i+1:], "\n")
			if empty {
				ends = append(ends, i+1)
			}
			if isCRLF {
				i++
			}
			if empty && isCRLF {
				ends = append(ends, i+1)
			}
			empty = true
		default:
			empty = false
		}
	}
	return ends
}

// checkEvents reads a text that ends in the middle, and checks that whole events were returned up to there.
func checkEvents(t *testing.T, text string, end, bufferSize int, seed uint64) {
	t.Helper()
	sent := text[:end]
	r := &eventReader{br: bufio.NewReaderSize(&pieceReader{text: sent, rnd: rand.New(rand.NewPCG(seed, seed)), err: io.ErrUnexpectedEOF}, bufferSize)}
	got := ""
	ends := append([]int{0}, eventEnds(text)...)
	for {
		ev, err := r.next()
		if errors.Is(err, errOutOfSequence) || errors.Is(err, errEventTooLong) {
			return
		}
		if err != nil {
			break
		}
		got += string(ev)
		if !strings.HasPrefix(sent, got) || !slices.Contains(ends, len(got)) {
			t.Fatalf("the first %d bytes of %q are returned as whole events, buffer %d, seed %d", len(got), sent, bufferSize, seed)
		}
	}
	last := 0
	for _, n := range ends {
		if n <= end {
			last = n
		}
	}
	// The LF of a last CRLF may be missing.
	if got != sent[:last] && got+"\n" != sent[:last] {
		t.Fatalf("%d of the %d bytes of whole events in %q are returned, buffer %d, seed %d", len(got), last, sent, bufferSize, seed)
	}
}

// Checks that a routed stream is split between whole events, however it is cut into reads and buffers, whichever
// line ends it has and wherever it breaks.
func FuzzRoutedEvents(f *testing.F) {
	f.Add("id: 1\ndata: a\n\nid: 2\ndata: b\ndata: c\n\n", 30, uint8(0), uint64(1))
	f.Add("id: 1\r\ndata: a\r\n\r\nid: 2\r\ndata: b\r\n\r\n", 25, uint8(3), uint64(2))
	f.Add("id: 1\rdata: a\r\rid: 2\r\r", 20, uint8(1), uint64(3))
	f.Add("\n\r\n\r\rdata\n\r\n\n", 9, uint8(2), uint64(4))
	f.Add(": ping\n\nid: 1\ndata: "+strings.Repeat("x", 40)+"\ndata: y\n\n", 60, uint8(24), uint64(5))
	f.Fuzz(func(t *testing.T, text string, end int, buffer uint8, seed uint64) {
		if end < 0 || end > len(text) {
			end = len(text)
		}
		checkEvents(t, text, end, 16+int(buffer), seed)
	})
}

// Guards against an event that is passed on in part because a line of it fills a buffer.
func TestEventsWithLongLinesAreNotCut(t *testing.T) {
	for name, end := range map[string]string{"LF": "\n", "CRLF": "\r\n", "CR": "\r"} {
		for _, size := range []int{16, streamBufferSize, wire.PieceSize} {
			t.Run(fmt.Sprint(name, ", buffer of ", size), func(t *testing.T) {
				for _, length := range []int{size - 2, size - 1, size, size + 1, size + 2, 2*size - 1, 2 * size, 2*size + 1, 3 * size} {
					line := "data: " + strings.Repeat("x", max(length-len("data: "), 0)) + end
					head := "id: 1" + end
					text := head + line + line + end + "id: 2" + end + line + end
					for _, at := range []int{len(head), len(head + line), len(head + line + line), len(text) - len(end), len(text)} {
						for seed := range uint64(2) {
							checkEvents(t, text, at, min(size, streamBufferSize), seed)
						}
					}
				}
			})
		}
	}
}
