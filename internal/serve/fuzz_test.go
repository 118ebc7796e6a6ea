package serve

import (
	"bufio"
	"bytes"
	"io"
	"strings"
	"testing"

	"github.com/pkg/errors"

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
