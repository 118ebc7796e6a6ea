// Package target is the client of the targets: model engines and plain
// services. It sends one attempt to one target and tells what is certain
// about it. docs/targets.md describes the protocol.
//
// # Usage
//
//	cl := target.New()
//	ans, err := cl.Send(ctx, target.Order{Target: t, Attempt: a, ...}, sent)
//
// The function sent is called before the first byte can reach the target.
// When Send fails without having called it, the request was not run; after it,
// a failure proves nothing.
package target

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/pkg/ident"
)

// The headers between an entry host and a target.
const (
	// HeaderAttempt names the attempt. A target echoes it, so that a crossed
	// answer is noticed.
	HeaderAttempt = "Verbenadale-Attempt"
	// HeaderRequest is the id that an engine gives its answer.
	HeaderRequest = "X-Request-Id"
	// HeaderResume asks an engine to go on after that many tokens, which is
	// the id of the last event that was received.
	HeaderResume = "Last-Event-Id"
	// HeaderPriority is the priority, higher first.
	HeaderPriority = "Verbenadale-Priority"
	// HeaderDeadline is the remaining time in milliseconds.
	HeaderDeadline = "Verbenadale-Deadline-Ms"
	// HeaderNotRun on an answer says that the target has not run the request
	// and never will: "true", or "leaving" where it is about to stop.
	HeaderNotRun = "Verbenadale-Not-Run"
)

// ErrLink says that the target was not reached or the link broke.
var ErrLink = errors.New("target: the link broke")

// Client sends attempts to targets.
type Client struct {
	reuse *http.Client
	fresh *http.Client
}

// Order is one attempt.
type Order struct {
	Target   event.Target
	Attempt  ident.Attempt
	Request  ident.RequestID
	Method   string
	Path     string
	Header   http.Header
	Body     []byte
	Priority int
	Resume   ident.Tokens
	Left     time.Duration
	// Once says that the call must not be sent a second time.
	Once bool
}

// dialTimeout bounds the time to connect to a target of the same data centre.
const dialTimeout = 2 * time.Second

// New returns a client.
func New() *Client {
	dial := (&net.Dialer{Timeout: dialTimeout}).DialContext
	return &Client{
		reuse: &http.Client{Transport: &http.Transport{
			DialContext: dial, MaxIdleConnsPerHost: 64, DisableCompression: true,
		}, CheckRedirect: noRedirect},
		// The library sends a request again by itself when a connection that
		// it had used before turns out to be closed, even a POST if it
		// carries an Idempotency-Key. A call that may not be repeated would
		// then run twice and nobody would be told. It never does so on a new
		// connection, so such calls get one each.
		fresh: &http.Client{Transport: &http.Transport{
			DialContext: dial, DisableKeepAlives: true, DisableCompression: true,
		}, CheckRedirect: noRedirect},
	}
}

// noRedirect returns the redirect to the caller: following it would send the
// request a second time, to a place that no filter has allowed.
func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Send sends an attempt and returns once the head of the answer has come.
func (c *Client) Send(ctx context.Context, o Order, sent func()) (*http.Response, error) {
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent() }}
	ctx = httptrace.WithClientTrace(ctx, trace)
	req, err := http.NewRequestWithContext(ctx, o.Method, o.Target.URL+o.Path, bytes.NewReader(o.Body))
	if err != nil {
		return nil, errors.Wrap(ErrLink, err.Error())
	}
	o.fill(req.Header)
	cl := c.reuse
	if o.Once {
		cl = c.fresh
	}
	res, err := cl.Do(req)
	if err != nil {
		return nil, errors.Wrap(ErrLink, err.Error())
	}
	return res, nil
}

func (o Order) fill(h http.Header) {
	for k, vs := range o.Header {
		h[k] = vs
	}
	h.Set(HeaderAttempt, o.Attempt.String())
	h.Set(HeaderRequest, string(o.Request))
	h.Set(HeaderPriority, strconv.Itoa(o.Priority))
	h.Set(HeaderDeadline, strconv.FormatInt(o.Left.Milliseconds(), 10))
	if o.Resume > 0 {
		h.Set(HeaderResume, strconv.FormatInt(int64(o.Resume), 10))
	}
}

// maxLoad bounds a load report.
const maxLoad = 64 << 10

// Load reads the load report of a target.
func (c *Client) Load(ctx context.Context, t event.Target) (event.Load, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, t.URL+"/load", nil)
	if err != nil {
		return event.Load{}, errors.Wrap(ErrLink, err.Error())
	}
	res, err := c.reuse.Do(req)
	if err != nil {
		return event.Load{}, errors.Wrap(ErrLink, err.Error())
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return event.Load{}, errors.Wrapf(ErrLink, "status %d", res.StatusCode)
	}
	var ld event.Load
	if err := json.NewDecoder(io.LimitReader(res.Body, maxLoad)).Decode(&ld); err != nil {
		return event.Load{}, errors.Wrap(ErrLink, err.Error())
	}
	return ld, nil
}
