package serve

import (
	"io"
	"net/http"

	"github.com/pkg/errors"

	"verbenadale.example/verbenadale/pkg/ident"
)

// Errors of a BodyReader.
var (
	// ErrBodyTooLong means that a body is longer than the limit.
	ErrBodyTooLong = errors.New("serve: the body is too long")
	// ErrBodyMemory means that the memory for bodies is used up.
	ErrBodyMemory = errors.New("serve: the memory for bodies is used up")
)

const (
	// firstBodyBytes is the most that is reserved for a body before any of it has arrived, so that a sender that
	// announces a long body and sends nothing uses little memory.
	firstBodyBytes = 16 << 10
	// bodyGrowth is the part by which a body of a known length grows beyond what has arrived. One of an unknown
	// length doubles.
	bodyGrowth = 0.25
)

// BodyReader reads the body of a request into memory. What arrives is reserved before it is read: the bodies that are
// still arriving at a host count against its budget like those that it has.
//
//	b := serve.BodyReader{Budget: budget, Max: maxBytes, Length: r.ContentLength}
//	defer b.Release()
//	err := b.Read(r.Body)
type BodyReader struct {
	// Budget may be nil, for no limit.
	Budget *Budget
	// Max is the limit of the length in bytes, Length the announced length, or less than 1 if it is unknown.
	Max    ident.Bytes
	Length int64

	body     []byte
	reserved int
}

// Read reads a body to its end. It fails with ErrBodyTooLong, with ErrBodyMemory, or with the error of src.
func (b *BodyReader) Read(src io.Reader) error {
	if src == nil || src == http.NoBody {
		return nil
	}
	for {
		if err := b.grow(); err != nil {
			return err
		}
		n, err := src.Read(b.body[len(b.body):cap(b.body)])
		b.body = b.body[:len(b.body)+n]
		switch {
		case ident.Bytes(len(b.body)) > b.Max:
			return ErrBodyTooLong
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return err
		}
	}
}

// Bytes returns what has been read.
func (b *BodyReader) Bytes() []byte { return b.body }

// Release returns the memory of the body to the budget.
func (b *BodyReader) Release() {
	b.Budget.Release(b.reserved)
	b.reserved = 0
}

// grow makes room for more of the body. One byte more than the length is needed to read the end.
func (b *BodyReader) grow() error {
	if len(b.body) < cap(b.body) {
		return nil
	}
	size, most := max(cap(b.body), firstBodyBytes), int(b.Max)+1
	if b.Length > 0 {
		size, most = max(int(bodyGrowth*float64(cap(b.body))), firstBodyBytes), min(most, int(b.Length)+1)
	}
	// A body that is longer than announced is read on, so that its reader finds out.
	size = max(min(size, most-cap(b.body)), 1)
	if !b.Budget.ReserveBody(size) {
		return ErrBodyMemory
	}
	b.reserved += size
	body := make([]byte, len(b.body), cap(b.body)+size)
	copy(body, b.body)
	b.body = body
	return nil
}
