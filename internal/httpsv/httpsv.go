// Package httpsv runs an HTTP server on a listener as a goroutine of its owner.
//
// # Usage
//
//	l, err := httpsv.Listen(addr, &http.Server{Handler: h})
//	t.Go(l.Run)
//
// Run returns nil if the server was shut down or its listener was closed.
package httpsv

import (
	"net"
	"net/http"
	"sync/atomic"

	"github.com/pkg/errors"
)

// ErrListen is returned if the server cannot listen on its address, ErrServe if it
// stopped without being shut down.
var (
	ErrListen = errors.New("httpsv: listen")
	ErrServe  = errors.New("httpsv: serve")
)

// Listener is an HTTP server with the network listener that it serves.
type Listener struct {
	Server *http.Server
	Net    net.Listener

	closed atomic.Bool
}

// Close stops accepting connections and leaves the open ones as they are.
func (l *Listener) Close() error {
	l.closed.Store(true)
	return errors.Wrap(l.Net.Close(), "httpsv: close")
}

// Listen listens on a TCP address. It fails with ErrListen.
func Listen(addr string, srv *http.Server) (*Listener, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, errors.Wrap(ErrListen, err.Error())
	}
	return &Listener{Server: srv, Net: ln}, nil
}

// Run serves until the server is shut down, with TLS if the server has a
// TLS configuration.
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
