package httpcl

import (
	"net"
	"net/http"
)

// Transport is an http.RoundTripper that fails with ErrHead if CheckHead does, and whose bodies end with io.EOF only if no failure
// of the connection has cut them.
type Transport struct {
	base *http.Transport
}

// NewTransport returns a transport that uses another one, which it changes and which must not be used otherwise.
func NewTransport(base *http.Transport) *Transport {
	dial := dialFunc(base.DialContext)
	if dial == nil {
		dial = new(net.Dialer).DialContext
		// net/http no longer negotiates HTTP/2 by itself once DialContext is set.
		base.ForceAttemptHTTP2 = true
	}
	base.DialContext = dial.guarded
	return &Transport{base: base}
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
