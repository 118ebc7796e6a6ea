package begun

import (
	"verbenadale.example/verbenadale/internal/rank"
	"verbenadale.example/verbenadale/pkg/ident"
)

// StreamOf returns the stream that a request of an account begins. It is the same in every process,
// and never zero.
func StreamOf(account ident.Account, first ident.RequestID) ident.Stream {
	return ident.Stream(max(rank.Hash(string(account), string(first)), 1))
}
