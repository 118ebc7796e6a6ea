// Package store is the client of the platform's key-value service: get,
// create or swap by version, watch, leases, the list of hosts and the
// directory for clients.
//
// # Usage
//
//	cl := store.New(store.Config{URL: "http://127.9.0.1:2379", Timeout: time.Second})
//	v, err := cl.Get(ctx, "verbenadale/changes/7")
//	ver, err := cl.Put(ctx, "verbenadale/changes/8", body, store.Absent)
//
// Every call has a deadline and takes from a rate budget. A call whose reply
// is lost may have taken effect: Put then returns ErrUnknown and never claims
// either way.
package store

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/time/rate"

	"verbenadale.example/verbenadale/internal/event"
)

// Version counts the writes to a key from 1. Absent stands for no value.
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
	// ErrDown says that the service gave no answer; a read has no effect.
	ErrDown = errors.New("store: the service does not answer")
	// ErrIdle says that a watch ended without a change.
	ErrIdle = errors.New("store: no change")
	// ErrBudget says that the rate budget is used up; nothing was sent.
	ErrBudget = errors.New("store: the call budget is used up")
	// ErrLapsed says that the lease no longer stands.
	ErrLapsed = errors.New("store: the lease has lapsed")
)

// Value is a value and its version.
type Value struct {
	Version Version `json:"version"`
	Body    []byte  `json:"body"`
}

// Hosts is the platform's list of hosts.
type Hosts struct {
	Version uint64         `json:"version"`
	Hosts   []event.Host   `json:"hosts"`
	Targets []event.Target `json:"targets"`
}

// Config is what a client needs.
type Config struct {
	URL            string
	Timeout        time.Duration
	CallsPerSecond float64
	// Count, where set, is told of each call by name.
	Count func(op string, err error)
}

// Client calls the platform's service. It is safe for several goroutines.
type Client struct {
	cfg    Config
	http   *http.Client
	budget *rate.Limiter
}

// New returns a client.
func New(cfg Config) *Client {
	if cfg.Count == nil {
		cfg.Count = func(string, error) {}
	}
	burst := max(int(cfg.CallsPerSecond), 1)
	return &Client{
		cfg:    cfg,
		http:   &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 8}},
		budget: rate.NewLimiter(rate.Limit(cfg.CallsPerSecond), burst),
	}
}

// Get reads a key.
func (c *Client) Get(ctx context.Context, key string) (Value, error) {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.Timeout)
	defer cancel()
	v, err := c.read(ctx, kvPath(key))
	c.cfg.Count("get", err)
	return v, err
}

// Watch waits until the key has a version above after, or until wait is over
// (ErrIdle). A waiting watch counts as one call.
func (c *Client) Watch(ctx context.Context, key string, after Version, wait time.Duration) (Value, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+c.cfg.Timeout)
	defer cancel()
	q := fmt.Sprintf("?after=%d&waitMs=%d", after, wait.Milliseconds())
	v, err := c.read(ctx, kvPath(key)+q)
	c.cfg.Count("watch", err)
	return v, err
}

// Put writes a key that has the version expect, Absent for one without a
// value, and returns the new version.
func (c *Client) Put(ctx context.Context, key string, body []byte, expect Version) (Version, error) {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.Timeout)
	defer cancel()
	ver, err := c.put(ctx, key, body, expect)
	c.cfg.Count("put", err)
	return ver, err
}

// Hosts reads the list of hosts.
func (c *Client) Hosts(ctx context.Context) (Hosts, error) {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.Timeout)
	defer cancel()
	var hs Hosts
	err := c.readJSON(ctx, "/v1/hosts", &hs)
	c.cfg.Count("hosts", err)
	return hs, err
}

func kvPath(key string) string { return "/v1/kv/" + url.PathEscape(key) }

func (c *Client) read(ctx context.Context, path string) (Value, error) {
	var v Value
	err := c.readJSON(ctx, path, &v)
	return v, err
}

func (c *Client) readJSON(ctx context.Context, path string, v any) error {
	res, err := c.call(ctx, http.MethodGet, path, nil)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	switch res.StatusCode {
	case http.StatusOK:
		if err := json.NewDecoder(res.Body).Decode(v); err != nil {
			return errors.Wrap(ErrDown, err.Error())
		}
		return nil
	case http.StatusNotFound:
		return ErrAbsent
	case http.StatusNoContent:
		return ErrIdle
	}
	return errors.Wrapf(ErrDown, "status %d", res.StatusCode)
}

func (c *Client) put(ctx context.Context, key string, body []byte, expect Version) (Version, error) {
	path := kvPath(key) + "?expect=" + strconv.FormatUint(uint64(expect), 10)
	res, err := c.call(ctx, http.MethodPut, path, body)
	if errors.Is(err, ErrBudget) {
		return 0, err
	}
	if err != nil {
		// The request may have reached the service before the link broke, so
		// the write may stand. Only a read of the key can tell.
		return 0, errors.Wrap(ErrUnknown, err.Error())
	}
	defer res.Body.Close()
	switch res.StatusCode {
	case http.StatusOK:
		var v Value
		if err := json.NewDecoder(res.Body).Decode(&v); err != nil {
			return 0, errors.Wrap(ErrUnknown, err.Error())
		}
		return v.Version, nil
	case http.StatusConflict:
		return 0, ErrConflict
	case http.StatusServiceUnavailable:
		// The service says that it has not taken the write.
		return 0, errors.Wrap(ErrDown, "the service refused the write")
	}
	return 0, errors.Wrapf(ErrUnknown, "status %d", res.StatusCode)
}

func (c *Client) call(ctx context.Context, method, path string, body []byte) (*http.Response, error) {
	if !c.budget.Allow() {
		return nil, ErrBudget
	}
	req, err := http.NewRequestWithContext(ctx, method, c.cfg.URL+path, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(ErrDown, err.Error())
	}
	res, err := c.http.Do(req)
	if err != nil {
		return nil, errors.Wrap(ErrDown, err.Error())
	}
	return res, nil
}
