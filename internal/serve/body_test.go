package serve

import (
	"bytes"
	"io"
	"math/rand/v2"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/pkg/errors"

	"verbenadale.example/verbenadale/pkg/ident"
)

// Guards against bodies that are cut, exceed their limit, or are not counted while they arrive.
func TestBodyReader(t *testing.T) {
	const limit = 100_000
	for name, c := range map[string]struct {
		size   int
		length int64
		budget ident.Bytes
		want   error
	}{
		"empty":                    {0, 0, limit, nil},
		"short":                    {700, 700, limit, nil},
		"of unknown length":        {90_000, -1, 2 * limit, nil},
		"as long as allowed":       {limit, limit, 2 * limit, nil},
		"too long":                 {limit + 1, limit + 1, 2 * limit, ErrBodyTooLong},
		"too long, unknown":        {5 * limit, -1, 2 * limit, ErrBodyTooLong},
		"longer than announced":    {5 * limit, 10, 2 * limit, ErrBodyTooLong},
		"shorter than announced":   {10, limit, 2 * limit, nil},
		"more than the memory":     {90_000, 90_000, 50_000, ErrBodyMemory},
		"just within the memory":   {90_000, 90_000, 112_502, nil},
		"announced, nothing comes": {0, limit, 25_000, nil},
	} {
		t.Run(name, func(t *testing.T) {
			text := make([]byte, c.size)
			for i := range text {
				text[i] = byte(rand.IntN(256))
			}
			budget := NewBudget(c.budget)
			b := BodyReader{Budget: budget, Max: limit, Length: c.length}
			src := &countedReader{Reader: bytes.NewReader(text), budget: budget, t: t}
			err := b.Read(src)
			if !errors.Is(err, c.want) {
				t.Fatalf("got %v, want %v", err, c.want)
			}
			if err == nil && !bytes.Equal(text, b.Bytes()) {
				t.Errorf("%d of %d bytes were read, or others", len(b.Bytes()), len(text))
			}
			b.Release()
			b.Release()
			if diff := cmp.Diff(ident.Bytes(0), budget.Used()); diff != "" {
				t.Errorf("reserved at the end (-want +got):\n%s", diff)
			}
		})
	}
}

// countedReader checks that what it has given is reserved.
type countedReader struct {
	io.Reader
	budget *Budget
	t      *testing.T
	given  int
}

func (r *countedReader) Read(b []byte) (int, error) {
	n, err := r.Reader.Read(b[:min(len(b), 1000)])
	r.given += n
	if used := r.budget.Used(); used < ident.Bytes(r.given) || used > ident.Bytes(2*r.given+firstBodyBytes) {
		r.t.Errorf("%d bytes are reserved for %d", used, r.given)
	}
	return n, err
}

// Guards against an answer that is lost because bodies that are arriving take all of the memory.
func TestBodiesLeaveMemoryToAnswers(t *testing.T) {
	budget := NewBudget(100_000)
	b := BodyReader{Budget: budget, Max: 1 << 20, Length: -1}
	if err := b.Read(bytes.NewReader(make([]byte, 1<<20))); !errors.Is(err, ErrBodyMemory) {
		t.Fatalf("a body longer than the memory: %v", err)
	}
	if !budget.Reserve(20_000) {
		t.Errorf("no memory for an answer beside %d bytes of bodies", budget.Used())
	}
}
