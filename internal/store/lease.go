package store

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"verbenadale.example/verbenadale/pkg/ident"
)

// LeaseID names a lease of the service.
type LeaseID string

// Lease is a promise of the service, for a time. Its fencing number is higher
// than that of every lease granted before.
type Lease struct {
	ID    LeaseID
	Fence ident.Fence
	TTL   time.Duration

	// expiry is the end of the lease as the holder may rely on it, in
	// nanoseconds of the holder's monotonic clock; zero is lapsed.
	expiry atomic.Int64
}

// marginDivisor is the part of its time that a holder gives up at the end, for
// clocks that run at unequal speeds and for the way of the use itself.
const marginDivisor = 8

// Valid reports whether the lease may be relied on at now.
//
// A holder that is paused wakes in the middle of its work and knows nothing of
// the pause: it would go on as the owner while another one is. It is noticed
// as an order under two fencing numbers at once. The monotonic clock goes on
// during a pause, so a check right before each use sees that time has run out.
func (l *Lease) Valid(now ident.Time) bool {
	return l != nil && now < ident.Time(l.expiry.Load())
}

// extend moves the end to that of a grant which was asked for at asked. The
// service counts from a later moment, when it answered, so the holder's end
// comes first.
func (l *Lease) extend(asked ident.Time) {
	l.expiry.Store(int64(asked.Add(l.TTL - l.TTL/marginDivisor)))
}

// grant is the service's answer to a grant.
type grant struct {
	ID    LeaseID     `json:"id"`
	Fence ident.Fence `json:"fence"`
	TTLMs int64       `json:"ttlMs"`
}

// Grant asks for a lease. After ErrUnknown a lease may stand that nobody
// holds; it lapses by itself.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (*Lease, error) {
	asked := c.cfg.Now()
	var g grant
	path := fmt.Sprintf("/v1/leases?ttlMs=%d", ttl.Milliseconds())
	if err := c.do(ctx, request{op: opGrant, method: http.MethodPost, path: path}, &g); err != nil {
		return nil, err
	}
	l := &Lease{ID: g.ID, Fence: g.Fence, TTL: time.Duration(g.TTLMs) * time.Millisecond}
	l.extend(asked)
	return l, nil
}

// KeepAlive extends a lease. A lapsed one stays lapsed: ErrLapsed.
func (c *Client) KeepAlive(ctx context.Context, l *Lease) error {
	asked := c.cfg.Now()
	err := c.do(ctx, request{op: opKeepAlive, method: http.MethodPut, path: leasePath(l)}, nil)
	if errors.Is(err, ErrLeaseExpired) {
		l.expiry.Store(0)
		return err
	}
	if err != nil {
		// Whether it was extended is not known; the old end still holds.
		return err
	}
	l.extend(asked)
	return nil
}

// Revoke ends a lease and all that stands under it. The holder relies on it
// no more, whatever becomes of the call.
func (c *Client) Revoke(ctx context.Context, l *Lease) error {
	l.expiry.Store(0)
	return c.do(ctx, request{op: opRevoke, method: http.MethodDelete, path: leasePath(l)}, nil)
}

func leasePath(l *Lease) string { return "/v1/leases/" + url.PathEscape(string(l.ID)) }
