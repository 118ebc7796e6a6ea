package store

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"time"
)

// Value is the value of a key with its version.
type Value struct {
	Version Version `json:"version"`
	Body    []byte  `json:"body"`
}

// Get reads a key. It returns ErrAbsent if the key has no value.
func (c *Client) Get(ctx context.Context, key string) (Value, error) {
	return c.read(ctx, request{op: opGet, method: http.MethodGet, path: kvPath(key)})
}

// Watch waits until the key has a version above after. It returns ErrNoChange after wait. A
// waiting watch counts as one call.
func (c *Client) Watch(ctx context.Context, key string, after Version, wait time.Duration) (Value, error) {
	path := kvPath(key) + fmt.Sprintf("?after=%d&waitMs=%d", after, wait.Milliseconds())
	return c.read(ctx, request{op: opWatch, method: http.MethodGet, path: path, wait: wait})
}

// Put writes a key if its version is expect, and returns the new version. Absent means that the
// key must have no value.
func (c *Client) Put(ctx context.Context, key string, body []byte, expect Version) (Version, error) {
	return c.put(ctx, request{op: opPut, method: http.MethodPut, path: expectPath(key, expect), body: body})
}

// PutWithLease is Put of a key that is deleted when the lease expires. It returns ErrLeaseExpired
// if the lease has already expired.
func (c *Client) PutWithLease(ctx context.Context, l *Lease, key string, body []byte, expect Version) (Version, error) {
	path := expectPath(key, expect) + "&lease=" + url.QueryEscape(string(l.ID))
	return c.put(ctx, request{op: opPut, method: http.MethodPut, path: path, body: body})
}

// Delete deletes a key if its version is expect.
func (c *Client) Delete(ctx context.Context, key string, expect Version) error {
	return c.do(ctx, request{op: opDelete, method: http.MethodDelete, path: expectPath(key, expect)}, nil)
}

func (c *Client) read(ctx context.Context, q request) (Value, error) {
	var v Value
	err := c.do(ctx, q, &v)
	return v, err
}

func (c *Client) put(ctx context.Context, q request) (Version, error) {
	if len(q.body) > MaxValue {
		c.meter(q.op, resultName(ctx, ErrTooLarge), 0)
		return Absent, ErrTooLarge
	}
	var v Value
	err := c.do(ctx, q, &v)
	return v.Version, err
}

func kvPath(key string) string { return "/v1/kv/" + url.PathEscape(key) }

func expectPath(key string, expect Version) string {
	return fmt.Sprintf("%s?expect=%d", kvPath(key), expect)
}
