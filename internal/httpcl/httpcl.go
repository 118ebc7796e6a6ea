// Package httpcl guards clients of HTTP against answers that are broken and look sound: parts of answers that end with
// their connection. Servers in trouble send such answers.
//
// # Usage
//
// A client of net/http uses a Transport, a client that reads answers itself wraps its connections:
//
//	cl := &http.Client{Transport: httpcl.NewTransport(&http.Transport{})}
//	c := httpcl.NewConn(raw)
package httpcl
