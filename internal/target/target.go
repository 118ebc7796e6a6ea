// Package target is the client of the targets: model engines and plain
// services. It sends one attempt to one target and reports what is certain
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
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/internal/trace"
	"verbenadale.example/verbenadale/pkg/ident"
	"verbenadale.example/verbenadale/pkg/rules"
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
	// HeaderModel, HeaderVersion and HeaderAdapter name what an engine is
	// asked to run. The body names the profile, as the caller wrote it.
	HeaderModel   = "Verbenadale-Model"
	HeaderVersion = "Verbenadale-Model-Version"
	HeaderAdapter = "Verbenadale-Adapter"
	// HeaderNotRun on an answer says that the target has not run the request
	// and never will.
	HeaderNotRun = "Verbenadale-Not-Run"
)

// The values of HeaderNotRun.
const (
	NotRunTrue = "true"
	// NotRunDraining says that the target is about to stop.
	NotRunDraining = "leaving"
)

// ErrConnection says that the target was not reached or the link broke.
var ErrConnection = errors.New("target: the link broke")

// Client sends attempts to targets.
type Client struct {
	pooled   *http.Client
	unpooled *http.Client
}

// AttemptRequest is one attempt.
type AttemptRequest struct {
	Target    event.Target
	Attempt   ident.Attempt
	Request   ident.RequestID
	Serve     rules.Serve
	Method    string
	Path      string
	Header    http.Header
	Body      []byte
	Priority  int
	Resume    ident.Tokens
	Remaining time.Duration
	// AtMostOnce says that the call must not be sent a second time.
	AtMostOnce bool
	// CopyFrom is the address of a target that probably caches a prefix of the prompt,
	// empty for none.
	CopyFrom string
}

// Bounds of the connections to targets. The time to connect is that within a
// data centre; idle connections are kept for the bursts of a peak.
const (
	dialTimeout      = 2 * time.Second
	idleTimeout      = 90 * time.Second
	maxIdlePerTarget = 64
	maxHeaderBytes   = 64 << 10
	connBufferBytes  = 1 << 10
)

// New returns a client.
func New() *Client {
	dial := (&net.Dialer{Timeout: dialTimeout}).DialContext
	return &Client{
		pooled: &http.Client{Transport: &http.Transport{
			DialContext: dial, MaxIdleConnsPerHost: maxIdlePerTarget, IdleConnTimeout: idleTimeout, DisableCompression: true,
			MaxResponseHeaderBytes: maxHeaderBytes, WriteBufferSize: connBufferBytes, ReadBufferSize: connBufferBytes,
		}, CheckRedirect: noRedirect},
		// The library repeats a request by itself when a reused connection turns out
		// to be closed, even a POST with an Idempotency-Key. Calls that are not
		// idempotent therefore get a new connection each.
		unpooled: &http.Client{Transport: &http.Transport{
			DialContext: dial, DisableKeepAlives: true, DisableCompression: true, MaxResponseHeaderBytes: maxHeaderBytes,
			WriteBufferSize: connBufferBytes, ReadBufferSize: connBufferBytes,
		}, CheckRedirect: noRedirect},
	}
}

// noRedirect returns the redirect to the caller: following it would send the
// request a second time, to a place that no filter has allowed.
func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Send sends an attempt and returns once the head of the answer has come.
func (c *Client) Send(ctx context.Context, o AttemptRequest, sent func()) (*http.Response, error) {
	hook := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent() }}
	ctx = httptrace.WithClientTrace(ctx, hook)
	req, err := http.NewRequestWithContext(ctx, o.Method, o.Target.URL+o.Path, bytes.NewReader(o.Body))
	if err != nil {
		return nil, errors.Wrap(ErrConnection, err.Error())
	}
	o.setHeaders(req.Header)
	trace.Inject(ctx, req.Header)
	cl := c.pooled
	if o.AtMostOnce {
		cl = c.unpooled
	}
	res, err := cl.Do(req)
	if err != nil {
		return nil, errors.Wrap(ErrConnection, err.Error())
	}
	return res, nil
}

func (o AttemptRequest) setHeaders(h http.Header) {
	for k, vs := range o.Header {
		h[k] = vs
	}
	h.Set(HeaderAttempt, o.Attempt.String())
	h.Set(HeaderRequest, string(o.Request))
	h.Set(HeaderPriority, strconv.Itoa(o.Priority))
	h.Set(HeaderDeadline, strconv.FormatInt(o.Remaining.Milliseconds(), 10))
	setNonEmpty(h, HeaderModel, string(o.Serve.Model))
	setNonEmpty(h, HeaderVersion, string(o.Serve.Version))
	setNonEmpty(h, HeaderAdapter, string(o.Serve.Adapter))
	if o.Resume > 0 {
		h.Set(HeaderResume, strconv.FormatInt(int64(o.Resume), 10))
	}
}

func setNonEmpty(h http.Header, key, val string) {
	if val != "" {
		h.Set(key, val)
	}
}
