// Package store is the client of the platform's key-value service: get,
// compare-and-swap by version, watch, leases, the list of hosts and the
// directory for clients. docs/platform.md describes the service.
//
// # Usage
//
//	cl := store.New(store.Config{URL: "http://127.9.0.1:2379", Timeout: time.Second})
//	v, err := cl.Get(ctx, "verbenadale/changes/7")
//	ver, err := cl.Put(ctx, "verbenadale/changes/8", body, store.Absent)
//
// Every call has a deadline, counts against a rate budget, and is counted and
// timed by operation and result. A write whose reply is lost may have taken
// effect: Put then returns ErrUnknown, and the caller must read the key back to
// find out.
//
// The holder of a lease checks it against the monotonic clock before each use:
//
//	l, err := cl.Grant(ctx, time.Minute)
//	if !l.Valid(now) { ... }
package store

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"
	metrics "github.com/rcrowley/go-metrics"
	"golang.org/x/time/rate"

	"verbenadale.example/verbenadale/internal/httpcl"
	"verbenadale.example/verbenadale/pkg/ident"
)

// Version increases with every write to the service. A key that was deleted and created again has
// a higher version than before, so a writer with an old version never succeeds by accident.
type Version uint64

// Absent is the version of a key without a value.
const Absent Version = 0

// Errors of this package.
var (
	// ErrAbsent means that the key has no value.
	ErrAbsent = errors.New("store: the key has no value")
	// ErrConflict means that the key has another version; nothing was written.
	ErrConflict = errors.New("store: the key has another version")
	// ErrUnknown means that a write may or may not have taken effect.
	ErrUnknown = errors.New("store: the outcome of the write is unknown")
	// ErrUnavailable means that the service did not answer and nothing was written.
	ErrUnavailable = errors.New("store: the service does not answer")
	// ErrNoChange means that a watch ended without a change.
	ErrNoChange = errors.New("store: no change")
	// ErrBudget means that the rate budget is exhausted; nothing was sent.
	ErrBudget = errors.New("store: the call budget is exhausted")
	// ErrLeaseExpired means that the lease has expired; nothing was written.
	ErrLeaseExpired = errors.New("store: the lease has expired")
	// ErrTooLarge means that the value exceeds the maximum of the service.
	ErrTooLarge = errors.New("store: the value is longer than one megabyte")
)

// wrapAs returns an error of this package with the text of the underlying error, which is not
// wrapped itself.
func wrapAs(own, below error) error { return fmt.Errorf("%w: %s", own, below.Error()) }

// MaxValue is the maximum length of a value, in bytes.
const MaxValue = 1 << 20

// maxAnswer limits an answer, with room for a value in base64 and for a list of hosts of the
// intended fleet size.
const maxAnswer = 8 << 20

// defaultTimeout is the timeout of a call if the configuration sets none.
const defaultTimeout = 1500 * time.Millisecond

// Config configures a client. Zero fields mean defaults.
type Config struct {
	URL     string
	Timeout time.Duration
	// CallsPerSecond limits the calls, with bursts of the same number; zero means no limit.
	// Claims of idempotency keys may use half of it in addition.
	CallsPerSecond float64
	// Metrics registers platform.OP.RESULT counters and platform.OP timers.
	Metrics metrics.Registry
	// Now returns the monotonic time that leases are checked against.
	Now func() ident.Time
}

// Client is a client of the platform's service. It is safe for concurrent use.
type Client struct {
	cfg         Config
	http        *http.Client
	budget      *rate.Limiter
	claimBudget *rate.Limiter
}

// New returns a client.
func New(cfg Config) *Client {
	if cfg.Timeout == 0 {
		cfg.Timeout = defaultTimeout
	}
	if cfg.Metrics == nil {
		cfg.Metrics = metrics.NewRegistry()
	}
	if cfg.Now == nil {
		cfg.Now = sinceStart(time.Now())
	}
	return &Client{
		cfg:         cfg,
		http:        &http.Client{Transport: httpcl.NewTransport(&http.Transport{MaxIdleConnsPerHost: 8})},
		budget:      limiter(cfg.CallsPerSecond),
		claimBudget: limiter(cfg.CallsPerSecond / claimDivisor),
	}
}

// claimDivisor divides CallsPerSecond for claims, which arrive at the rate of the callers'
// requests. With one common budget a burst of claims would block the watch, and configuration
// changes would not take effect.
const claimDivisor = 2

func limiter(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(int(perSecond), 1))
}

func sinceStart(start time.Time) func() ident.Time {
	return func() ident.Time { return ident.Time(time.Since(start)) }
}

// Close closes the idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// request is one call of the service.
type request struct {
	op     op
	method string
	path   string
	body   []byte
	// wait is how long the service may take in addition to the timeout of a call.
	wait time.Duration
	// failFast is set if the call fails with ErrBudget instead of waiting while the budget is
	// exhausted.
	failFast bool
}

// writes reports whether the call may change data.
func (q request) writes() bool { return q.method != http.MethodGet }

// do sends a request, decodes the answer into out unless out is nil, and records metrics.
func (c *Client) do(caller context.Context, q request, out any) error {
	ctx, cancel := context.WithTimeout(caller, q.wait+c.cfg.Timeout)
	defer cancel()
	if err := c.takeBudget(ctx, q); err != nil {
		c.meter(q.op, resultName(caller, err), 0)
		return err
	}
	start := c.cfg.Now()
	err := c.send(ctx, q, out)
	c.meter(q.op, resultName(caller, err), c.cfg.Now().Sub(start))
	return err
}

// takeBudget takes one call from the rate budget. Control calls wait for their turn until their
// deadline; a claim delays the answer to a caller and is refused immediately.
func (c *Client) takeBudget(ctx context.Context, q request) error {
	if q.failFast {
		if !c.claimBudget.Allow() {
			return ErrBudget
		}
		return nil
	}
	if err := c.budget.Wait(ctx); err != nil {
		return wrapAs(ErrBudget, err)
	}
	return nil
}

func (c *Client) send(ctx context.Context, q request, out any) error {
	req, err := http.NewRequestWithContext(ctx, q.method, c.cfg.URL+q.path, bytes.NewReader(q.body))
	if err != nil {
		return wrapAs(ErrUnavailable, err)
	}
	res, err := c.http.Do(req)
	if err != nil {
		return noAnswerError(q, err)
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return statusError(q, res.StatusCode)
	}
	if out == nil {
		return nil
	}
	if err := json.NewDecoder(io.LimitReader(res.Body, maxAnswer)).Decode(out); err != nil {
		return noAnswerError(q, err)
	}
	return nil
}

// noAnswerError returns the error of a call without an answer. A write may have reached the
// service before the connection broke, so it may have taken effect; only reading the key can show
// it. If the connection was never established, nothing was sent.
func noAnswerError(q request, err error) error {
	var op *net.OpError
	unsent := errors.As(err, &op) && op.Op == "dial"
	if unsent || !q.writes() {
		return wrapAs(ErrUnavailable, err)
	}
	return wrapAs(ErrUnknown, err)
}

func statusError(q request, status int) error {
	switch status {
	case http.StatusNotFound:
		return ErrAbsent
	case http.StatusNoContent:
		return ErrNoChange
	case http.StatusConflict:
		return ErrConflict
	case http.StatusGone:
		return ErrLeaseExpired
	case http.StatusRequestEntityTooLarge:
		return ErrTooLarge
	case http.StatusServiceUnavailable:
		// 503 means that the service has not executed the call.
		return wrapAs(ErrUnavailable, errors.New("the service refused the call"))
	}
	if q.writes() {
		return wrapAs(ErrUnknown, errors.Errorf("status %d", status))
	}
	return wrapAs(ErrUnavailable, errors.Errorf("status %d", status))
}
