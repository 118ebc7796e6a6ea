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

// LeaseID identifies a lease of the service.
type LeaseID string

// Lease is a lease that the service has granted for a limited time. Its fencing token is higher
// than that of every lease granted before.
type Lease struct {
	ID    LeaseID
	Fence ident.Fence
	TTL   time.Duration

	// expiry is the time until which the holder may rely on the lease, in nanoseconds of its
	// monotonic clock; zero means expired.
	expiry atomic.Int64
}

// marginDivisor sets the safety margin at the end of a lease: the TTL divided by marginDivisor. The
// margin covers clocks that run at different rates and the latency of the protected operation.
const marginDivisor = 8

// Valid reports whether the holder may rely on the lease at now.
//
// A paused process that holds a lease resumes in the middle of its work without noticing the
// pause. It could continue as owner although another host has become the owner meanwhile, and both
// would give orders, each with its own fencing token. The monotonic clock advances during a pause,
// so a check right before each use detects the expiry.
func (l *Lease) Valid(now ident.Time) bool {
	return l != nil && now < ident.Time(l.expiry.Load())
}

// extend sets the expiry of a lease that was requested or renewed at requestedAt. The service
// counts the TTL from its answer, which is later, so the lease expires at the holder first.
func (l *Lease) extend(requestedAt ident.Time) {
	l.expiry.Store(int64(requestedAt.Add(l.TTL - l.TTL/marginDivisor)))
}

// grant is the answer of the service to Grant.
type grant struct {
	ID    LeaseID     `json:"id"`
	Fence ident.Fence `json:"fence"`
	TTLMs int64       `json:"ttlMs"`
}

// Grant requests a lease. After ErrUnknown the service may have granted a lease that has no
// holder; it expires by itself.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (*Lease, error) {
	requestedAt := c.cfg.Now()
	var g grant
	path := fmt.Sprintf("/v1/leases?ttlMs=%d", ttl.Milliseconds())
	if err := c.do(ctx, request{op: opGrant, method: http.MethodPost, path: path}, &g); err != nil {
		return nil, err
	}
	l := &Lease{ID: g.ID, Fence: g.Fence, TTL: time.Duration(g.TTLMs) * time.Millisecond}
	l.extend(requestedAt)
	return l, nil
}

// KeepAlive extends a lease. It returns ErrLeaseExpired for an expired lease, which can't be
// renewed.
func (c *Client) KeepAlive(ctx context.Context, l *Lease) error {
	requestedAt := c.cfg.Now()
	err := c.do(ctx, request{op: opKeepAlive, method: http.MethodPut, path: leasePath(l)}, nil)
	if errors.Is(err, ErrLeaseExpired) {
		l.expiry.Store(0)
		return err
	}
	if err != nil {
		// The lease may or may not have been extended; the previous expiry is still valid.
		return err
	}
	l.extend(requestedAt)
	return nil
}

// Revoke ends a lease and removes everything registered under it. The lease is invalid for its
// holder from then on, even if the call fails.
func (c *Client) Revoke(ctx context.Context, l *Lease) error {
	l.expiry.Store(0)
	return c.do(ctx, request{op: opRevoke, method: http.MethodDelete, path: leasePath(l)}, nil)
}

func leasePath(l *Lease) string { return "/v1/leases/" + url.PathEscape(string(l.ID)) }
