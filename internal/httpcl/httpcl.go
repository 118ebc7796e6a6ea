// Package httpcl makes clients of HTTP reject broken answers that net/http accepts: parts of answers whose connection was
// reset, and malformed heads. Servers in trouble send both.
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
//		err = httpcl.CheckHead(res.StatusCode, res.Header)
//	}
package httpcl

import (
	"net/http"

	"github.com/pkg/errors"
	"golang.org/x/net/http/httpguts"
)

// ErrMalformed is returned if the head of an answer is malformed.
var ErrMalformed = errors.New("httpcl: malformed answer")

// IsInterim reports whether another answer to the same request follows one with this status (RFC 9110, section 15.2). None follows
// a change of protocol, which no client of this package asks for.
func IsInterim(status int) bool {
	return status >= http.StatusContinue && status < http.StatusOK && status != http.StatusSwitchingProtocols
}

// CheckHead fails with ErrMalformed if a status is not that of a final answer, or if the name of a field is no token (RFC 9110,
// section 5.1). net/http accepts any number of three characters as a status. It also accepts blanks in a name and then ignores what
// the field means, such as the framing of the body.
func CheckHead(status int, h http.Header) error {
	if status < http.StatusOK {
		return errors.Wrapf(ErrMalformed, "status %03d", status)
	}
	for name := range h {
		if !httpguts.ValidHeaderFieldName(name) {
			return errors.Wrapf(ErrMalformed, "field name %.40q", name)
		}
	}
	return nil
}
