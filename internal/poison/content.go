package poison

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"verbenadale.example/verbenadale/internal/rank"
	"verbenadale.example/verbenadale/pkg/ident"
)

// ContentOf returns the content of a request of an account: its body and the other parts that
// determine what a target does with it, such as method and path. Boundaries between the parts are
// significant. It is the same in every process.
func ContentOf(account ident.Account, body []byte, parts ...string) ident.Content {
	h := xxhash.New()
	write := func(part string) {
		var n [8]byte
		binary.BigEndian.PutUint64(n[:], uint64(len(part)))
		_, _ = h.Write(n[:])
		_, _ = h.WriteString(part)
	}
	write(string(account))
	for _, part := range parts {
		write(part)
	}
	_, _ = h.Write(body)
	return ident.Content(h.Sum64())
}

// PartOf returns the content of the part of a prompt with an id. It does not depend on the request
// that has the part, and is the same in every process.
func PartOf(id string) ident.Content { return ident.Content(rank.Hash("part", id)) }
