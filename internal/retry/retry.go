// Package retry bounds how often requests are tried again.
package retry

import (
	"time"

	"verbenadale.example/verbenadale/pkg/ident"
)

// MaxTries bounds the tries of one request, the first included.
const MaxTries = 3

// Budget is the state. The zero Budget has the default share and floor.
type Budget struct{}

func (b *Budget) Arrived(now ident.Time) {}

func (b *Budget) Spend(now ident.Time) bool { return false }

// Backoff returns the pause before the n-th try, counted from 1, of a request.
func Backoff(n int, id ident.RequestID) time.Duration { return 0 }
