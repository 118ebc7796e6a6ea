// Package store is the client of the platform's key-value service: get,
// create or swap by version, watch, leases, the list of hosts and the
// directory for clients. docs/platform.md describes the service.
//
// # Usage
//
//	cl := store.New(store.Config{URL: "http://127.9.0.1:2379", Timeout: time.Second})
//	v, err := cl.Get(ctx, "verbenadale/changes/7")
//	ver, err := cl.Put(ctx, "verbenadale/changes/8", body, store.Absent)
//
// Every call has a deadline, takes from a rate budget and is counted and timed
// by operation and result. A call whose reply is lost may have taken effect:
// Put then returns ErrUnknown and never claims either way. The caller reads
// the key back before it believes anything.
//
// A lease is checked by its holder before each use, by the monotonic clock:
//
//	l, err := cl.Grant(ctx, time.Minute)
//	if !l.Holds(now) { ... }
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

	"verbenadale.example/verbenadale/pkg/ident"
)

// Version grows with every write to the service. A key that was deleted and
// made again has a higher version than before, so that a writer with an old
// version never succeeds by chance.
type Version uint64

// Absent is the version of a key without a value.
const Absent Version = 0

// The errors of this layer.
var (
	// ErrAbsent says that the key has no value.
	ErrAbsent = errors.New("store: the key has no value")
	// ErrConflict says that the key has another version; nothing was written.
	ErrConflict = errors.New("store: the key has another version")
	// ErrUnknown says that a write may or may not have taken effect.
	ErrUnknown = errors.New("store: the outcome of the write is not known")
	// ErrUnavailable says that the service gave no answer and nothing was written.
	ErrUnavailable = errors.New("store: the service does not answer")
	// ErrNoChange says that a watch ended without a change.
	ErrNoChange = errors.New("store: no change")
	// ErrBudget says that the rate budget is used up; nothing was sent.
	ErrBudget = errors.New("store: the call budget is used up")
	// ErrLeaseExpired says that the lease no longer stands; nothing was written.
	ErrLeaseExpired = errors.New("store: the lease has lapsed")
	// ErrTooLarge says that the value is longer than the service holds.
	ErrTooLarge = errors.New("store: the value is longer than one megabyte")
)

// wrapAs makes an error of this layer from one below, which is kept as text only.
func wrapAs(own, below error) error { return fmt.Errorf("%w: %s", own, below.Error()) }

// MaxValue is the longest value that the service holds.
const MaxValue = 1 << 20

// maxAnswer bounds an answer, with room for a value in base64 and for a list of
// hosts of the target size.
const maxAnswer = 8 << 20

// defaultTimeout bounds a call where the configuration names no timeout.
const defaultTimeout = 1500 * time.Millisecond

// Config is what a client needs. Zero fields stand for defaults.
type Config struct {
	URL     string
	Timeout time.Duration
	// CallsPerSecond bounds the calls, with bursts of as many; zero is no
	// bound. Claims of idempotency keys may use half of it in addition.
	CallsPerSecond float64
	// Metrics receives platform.OP.RESULT counters and platform.OP timers.
	Metrics metrics.Registry
	// Now reads the monotonic clock that leases are measured by.
	Now func() ident.Time
}

// Client calls the platform's service. It is safe for several goroutines.
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
		http:        &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 8}},
		budget:      limiter(cfg.CallsPerSecond),
		claimBudget: limiter(cfg.CallsPerSecond / claimDivisor),
	}
}

// claimDivisor is what the calls a second are divided by for the claims. They
// come at the rate of the callers' requests. With one common budget a burst of
// claims would hold up the watch, and a change would not come into force.
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

// Close drops the idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// request is one call of the service.
type request struct {
	op     op
	method string
	path   string
	body   []byte
	// wait is how long the service may take beyond the timeout of a call.
	wait time.Duration
	// failFast fails at once where the budget is used up, and does not wait.
	failFast bool
}

// writes reports whether the call may change something.
func (q request) writes() bool { return q.method != http.MethodGet }

// do sends a request, reads the answer into out, where out is not nil, and
// meters the call.
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

// takeBudget takes one call from the budget. Control calls wait for their turn as
// long as their deadline lets them; a claim stands between a caller and its
// answer and is refused at once.
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

// noAnswerError returns what a call without an answer means. A write may have reached the
// service before the link broke, so it may stand, and only a read of the key
// can know. A link that was never made has carried nothing.
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
		// The service says that it has not taken the call.
		return wrapAs(ErrUnavailable, errors.New("the service refused the call"))
	}
	if q.writes() {
		return wrapAs(ErrUnknown, errors.Errorf("status %d", status))
	}
	return wrapAs(ErrUnavailable, errors.Errorf("status %d", status))
}
