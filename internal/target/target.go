// Package target is the client of the targets: model engines and plain
// services. It sends one attempt to one target and reports whether the attempt
// can have reached it. docs/targets.md describes the protocol.
//
// # Usage
//
//	cl := target.New()
//	ans, err := cl.Send(ctx, target.AttemptRequest{Target: t, Attempt: a, ...}, onSend)
//
// Send calls onSend before the first byte can reach the target. If Send fails
// without having called it, the target has not run the request; after the call,
// a failure does not show whether the target ran it.
package target

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/internal/httpcl"
	"verbenadale.example/verbenadale/internal/trace"
	"verbenadale.example/verbenadale/pkg/ident"
	"verbenadale.example/verbenadale/pkg/rules"
)

// The headers between an entry host and a target.
const (
	// HeaderAttempt names the attempt. The target echoes it, so that an answer
	// to another attempt is detected.
	HeaderAttempt = "Verbenadale-Attempt"
	// HeaderRequest is the id that an engine puts into its answer.
	HeaderRequest = "X-Request-Id"
	// HeaderResume asks an engine to continue after this number of tokens, the
	// id of the last event that was received.
	HeaderResume = "Last-Event-Id"
	// HeaderPriority is the priority, higher first.
	HeaderPriority = "Verbenadale-Priority"
	// HeaderDeadline is the remaining time in milliseconds.
	HeaderDeadline = "Verbenadale-Deadline-Ms"
	// HeaderModel, HeaderVersion and HeaderAdapter name the model that
	// an engine is to run. The body still names the profile, as the caller sent it.
	HeaderModel   = "Verbenadale-Model"
	HeaderVersion = "Verbenadale-Model-Version"
	HeaderAdapter = "Verbenadale-Adapter"
	// HeaderNotRun on an answer states that the target has not run the request
	// and never will.
	HeaderNotRun = "Verbenadale-Not-Run"
)

// The values of HeaderNotRun.
const (
	NotRunTrue = "true"
	// NotRunDraining means that the target is draining and about to stop.
	NotRunDraining = "leaving"
)

// ErrConnection is returned if the target was not reached or the connection failed.
var ErrConnection = errors.New("target: connection failed")

// ErrDisconnected is the ErrConnection of a connection that the target closed or reset.
var ErrDisconnected = fmt.Errorf("%w: closed by the target", ErrConnection)

// IsDisconnect reports whether a read or write failed because the other side has closed or reset
// the connection.
func IsDisconnect(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) ||
		errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// answerError returns the error of this package for an answer that could not be read.
func answerError(err error) error {
	if errors.Is(err, httpcl.ErrMalformed) {
		return errors.Wrap(ErrWrongAnswer, err.Error())
	}
	if IsDisconnect(err) {
		return errors.Wrap(ErrDisconnected, err.Error())
	}
	return errors.Wrap(ErrConnection, err.Error())
}

// Client sends attempts to targets.
type Client struct {
	pooled   *http.Client
	unpooled *http.Client
}

// AttemptRequest is one attempt to be sent to a target.
type AttemptRequest struct {
	Target   event.Target
	Attempt  ident.Attempt
	Request  ident.RequestID
	Serve    rules.Serve
	Method   string
	Path     string
	Header   http.Header
	Body     []byte
	Priority int
	// Resume is the number of tokens after which the answer continues; zero for a new answer.
	Resume    ident.Tokens
	Remaining time.Duration
	// AtMostOnce is set if the call must not be sent a second time.
	AtMostOnce bool
	// CopyFrom is the address of a target that probably caches a prefix of the prompt;
	// empty if there is none.
	CopyFrom string
}

// Limits of the connections to targets. dialTimeout fits targets in the same
// data centre; idle connections are kept to serve bursts at peak load.
const (
	dialTimeout      = 2 * time.Second
	idleTimeout      = 90 * time.Second
	maxIdlePerTarget = 64
	maxHeaderBytes   = 64 << 10
	connBufferBytes  = 1 << 10
)

// New returns a client with its own connection pools.
func New() *Client {
	dial := (&net.Dialer{Timeout: dialTimeout}).DialContext
	return &Client{
		pooled: &http.Client{Transport: httpcl.NewTransport(&http.Transport{
			DialContext: dial, MaxIdleConnsPerHost: maxIdlePerTarget, IdleConnTimeout: idleTimeout, DisableCompression: true,
			MaxResponseHeaderBytes: maxHeaderBytes, WriteBufferSize: connBufferBytes, ReadBufferSize: connBufferBytes,
		}), CheckRedirect: noRedirect},
		// net/http retries a request when a reused connection turns out to be
		// closed, even a POST with an Idempotency-Key. Calls that are not
		// idempotent therefore get a new connection each.
		unpooled: &http.Client{Transport: httpcl.NewTransport(&http.Transport{
			DialContext: dial, DisableKeepAlives: true, DisableCompression: true, MaxResponseHeaderBytes: maxHeaderBytes,
			WriteBufferSize: connBufferBytes, ReadBufferSize: connBufferBytes,
		}), CheckRedirect: noRedirect},
	}
}

// noRedirect returns the redirect to the caller: following it would send the
// request a second time, to an address that no routing filter has allowed.
func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Send sends an attempt and returns once the headers of the answer have
// arrived. It calls onSend before the first byte can reach the target, and fails
// with ErrConnection if the target was not reached or the connection failed, and
// with ErrWrongAnswer if what it sent is no answer.
func (c *Client) Send(ctx context.Context, a AttemptRequest, onSend func()) (*http.Response, error) {
	hook := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { onSend() }}
	ctx = httptrace.WithClientTrace(ctx, hook)
	req, err := http.NewRequestWithContext(ctx, a.Method, a.Target.URL+a.Path, bytes.NewReader(a.Body))
	if err != nil {
		return nil, errors.Wrap(ErrConnection, err.Error())
	}
	a.setHeaders(req.Header)
	trace.Inject(ctx, req.Header)
	cl := c.pooled
	if a.AtMostOnce {
		cl = c.unpooled
	}
	res, err := cl.Do(req)
	if err != nil {
		return nil, answerError(err)
	}
	return res, nil
}

// Ended reports whether the process of a target has ended: nothing listens at its address.
func (c *Client) Ended(ctx context.Context, t event.Target) bool {
	u, err := url.Parse(t.URL)
	if err != nil {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, endedTimeout)
	defer cancel()
	conn, err := new(net.Dialer).DialContext(ctx, "tcp", u.Host)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	_ = conn.Close()
	return false
}

func (a AttemptRequest) setHeaders(h http.Header) {
	for k, vs := range a.Header {
		h[k] = vs
	}
	h.Set(HeaderAttempt, a.Attempt.String())
	h.Set(HeaderRequest, string(a.Request))
	h.Set(HeaderPriority, strconv.Itoa(a.Priority))
	h.Set(HeaderDeadline, strconv.FormatInt(a.Remaining.Milliseconds(), 10))
	setNonEmpty(h, HeaderModel, string(a.Serve.Model))
	setNonEmpty(h, HeaderVersion, string(a.Serve.Version))
	setNonEmpty(h, HeaderAdapter, string(a.Serve.Adapter))
	if a.Resume > 0 {
		h.Set(HeaderResume, strconv.FormatInt(int64(a.Resume), 10))
	}
}

func setNonEmpty(h http.Header, key, val string) {
	if val != "" {
		h.Set(key, val)
	}
}

// maxRetryAfter bounds the time of a Retry-After header. Longer ones would overflow a duration.
const maxRetryAfter = 24 * time.Hour

// RetryAfter returns the longest time that the Retry-After headers of an answer name in seconds, which may be a
// fraction. It is zero if there is none. Dates are ignored: the clocks of target and host may differ.
func RetryAfter(h http.Header) time.Duration {
	longest := time.Duration(0)
	for _, text := range h.Values("Retry-After") {
		for part := range strings.SplitSeq(text, ",") {
			seconds, err := strconv.ParseFloat(strings.TrimSpace(part), 64)
			if err != nil || !(seconds > 0) {
				continue
			}
			longest = max(longest, time.Duration(min(seconds, maxRetryAfter.Seconds())*float64(time.Second)))
		}
	}
	return longest
}
