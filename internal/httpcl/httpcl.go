// Package httpcl guards clients of HTTP against answers that are broken and look sound: parts of answers that end with
// their connection, and heads that are none. Servers in trouble send both.
//
// # Usage
//
// A client of net/http uses a Transport:
//
//	cl := &http.Client{Transport: httpcl.NewTransport(&http.Transport{})}
//
// A client that reads answers itself wraps its connections, and checks each head but those of interim answers:
//
//	c := httpcl.NewConn(raw)
//	res, err := http.ReadResponse(bufio.NewReader(c), req)
//	if !httpcl.IsInterim(res.StatusCode) {
//		err = httpcl.CheckHead(res.StatusCode)
//	}
package httpcl

import (
	"net/http"

	"github.com/pkg/errors"
)

// ErrHead is returned if the head of an answer is not one of HTTP.
var ErrHead = errors.New("httpcl: not the head of an answer")

// IsInterim reports whether another answer to the same request follows one with this status (RFC 9110, section 15.2). None follows
// a change of protocol, which no client of this package asks for.
func IsInterim(status int) bool {
	return status >= http.StatusContinue && status < http.StatusOK && status != http.StatusSwitchingProtocols
}

// CheckHead fails with ErrHead if a status is not that of a final answer. net/http accepts any number of three characters.
func CheckHead(status int) error {
	if status < http.StatusOK {
		return errors.Wrapf(ErrHead, "status %03d", status)
	}
	return nil
}
