// Package httpsv runs an HTTP server on a listener as a goroutine of its owner.
//
// # Usage
//
//	l, err := httpsv.Listen(addr, &http.Server{Handler: h})
//	t.Go(l.Run)
//
// A server that was shut down, or whose listener was closed, has not failed: Run returns nil
// for it.
package httpsv

import (
	"net"
	"net/http"
	"sync/atomic"

	"github.com/pkg/errors"
)

// ErrListen says that the address can't be listened on, ErrServe that the server
// ended by itself.
var (
	ErrListen = errors.New("httpsv: listen")
	ErrServe  = errors.New("httpsv: serve")
)

// Listener is a server with the listener that it serves.
type Listener struct {
	Server *http.Server
	Net    net.Listener

	closed atomic.Bool
}

// Close takes no more connections and leaves the open ones alone.
func (l *Listener) Close() error {
	l.closed.Store(true)
	return errors.Wrap(l.Net.Close(), "httpsv: close")
}

// Listen listens on an address.
func Listen(addr string, srv *http.Server) (*Listener, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, errors.Wrap(ErrListen, err.Error())
	}
	return &Listener{Server: srv, Net: ln}, nil
}

// Run serves until the server is shut down, with TLS where the server has a
// configuration for it.
func (l *Listener) Run() error {
	err := l.serve()
	if errors.Is(err, http.ErrServerClosed) || l.closed.Load() {
		return nil
	}
	return errors.Wrap(ErrServe, err.Error())
}

func (l *Listener) serve() error {
	if l.Server.TLSConfig == nil {
		return l.Server.Serve(l.Net)
	}
	return l.Server.ServeTLS(l.Net, "", "")
}
