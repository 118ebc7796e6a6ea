// Package admit holds requests while no target is free.
package admit

import (
	"time"

	"verbenadale.example/verbenadale/pkg/ident"
)

// Config bounds the queue. Zero fields stand for the defaults.
type Config struct {
	// Most is the most requests that wait.
	Most int
	// HomeShare is the share of places served that home-bound requests may
	// take while others wait.
	HomeShare float64
}

// Item is one request that waits.
type Item struct {
	ID       ident.RequestID
	Account  ident.Account
	Home     bool
	Priority int
	Deadline ident.Time
	Work     time.Duration
}

// Queue is the state.
type Queue struct{}

func New(cfg Config) *Queue { return &Queue{} }

func (q *Queue) Push(now ident.Time, it Item, wait time.Duration) (ok bool, shed []ident.RequestID, retryAfter time.Duration) {
	return false, nil, 0
}
func (q *Queue) Pop(now ident.Time) (Item, bool)                                { return Item{}, false }
func (q *Queue) Remove(id ident.RequestID) bool                                 { return false }
func (q *Queue) Shed(now ident.Time, wait time.Duration) []ident.RequestID      { return nil }
func (q *Queue) Next() ident.Time                                               { return 0 }
func (q *Queue) Len() int                                                       { return 0 }
func (q *Queue) RetryAfter(now ident.Time, wait time.Duration) time.Duration    { return 0 }
