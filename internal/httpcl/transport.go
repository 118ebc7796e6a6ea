package httpcl

import (
	"context"
	"net"
	"net/http"
)

// Transport is an http.RoundTripper that checks the heads of answers with CheckHead, and whose connections are of the type Conn.
type Transport struct {
	base *http.Transport
}

// NewTransport wraps a transport. It changes base, which must not be used directly any more.
func NewTransport(base *http.Transport) *Transport {
	d := dialer{dial: base.DialContext}
	if d.dial == nil {
		d.dial = new(net.Dialer).DialContext
		// net/http no longer negotiates HTTP/2 by itself once DialContext is set.
		base.ForceAttemptHTTP2 = true
	}
	base.DialContext = d.dialConn
	return &Transport{base: base}
}

// dialer opens connections of the type Conn.
type dialer struct {
	dial func(ctx context.Context, network, addr string) (net.Conn, error)
}

func (d dialer) dialConn(ctx context.Context, network, addr string) (net.Conn, error) {
	c, err := d.dial(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	return NewConn(c), nil
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	res, err := t.base.RoundTrip(req)
	if err != nil {
		return nil, err
	}
	if err := CheckHead(res.StatusCode, res.Header); err != nil {
		_ = res.Body.Close()
		return nil, err
	}
	return res, nil
}

// CloseIdleConnections closes the connections that serve no request.
func (t *Transport) CloseIdleConnections() { t.base.CloseIdleConnections() }
