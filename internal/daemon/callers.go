package daemon

import (
	"crypto/tls"
	"net"
	"net/http"

	"github.com/pkg/errors"
	"golang.org/x/net/netutil"

	"verbenadale.example/verbenadale/internal/config"
	"verbenadale.example/verbenadale/internal/front"
	"verbenadale.example/verbenadale/internal/httpsv"
	"verbenadale.example/verbenadale/internal/meter"
	"verbenadale.example/verbenadale/internal/trace"
)

func newTracer(set config.Settings) (*trace.Tracer, error) {
	return trace.New(trace.Config{
		Exporter: trace.Exporter(set.Traces.Exporter), Endpoint: set.Traces.Endpoint,
		Ratio: set.Traces.Ratio, Entry: set.Entry,
	})
}

// callerServer returns the HTTP server for callers.
func (d *Daemon) callerServer() *http.Server {
	lim := d.cfg.Settings.Limits
	fr := front.New(front.Config{
		Self: d.self, Loop: d.loop, Runner: d.runner, Clock: d.clock, Log: d.cfg.Log, Book: d.book.Load,
		MaxBody: lim.MaxBodyBytes, Budget: d.budget, MaxRequests: lim.MaxRequests,
		BodyTimeout: config.Millis(lim.BodyMs), WriteTimeout: config.Millis(lim.WriteMs),
		Trace: d.trace, Meter: meter.New(d.metrics),
	})
	return &http.Server{
		Handler:           fr,
		ReadHeaderTimeout: config.Millis(lim.HeaderMs),
		IdleTimeout:       config.Millis(lim.IdleMs),
		MaxHeaderBytes:    lim.MaxHeaderBytes,
	}
}

// serveCallers listens for callers, with TLS if the settings name a
// certificate.
func (d *Daemon) serveCallers() error {
	set, srv := d.cfg.Settings.Callers, d.callerServer()
	if set.CertFile != "" {
		cert := &callerCert{certFile: set.CertFile, keyFile: set.KeyFile, log: d.cfg.Log}
		if err := cert.load(); err != nil {
			return err
		}
		srv.TLSConfig = &tls.Config{MinVersion: tls.VersionTLS12, GetCertificate: cert.get}
	}
	ln, err := net.Listen("tcp", set.Listen)
	if err != nil {
		return errors.Wrap(err, "daemon: listen for callers")
	}
	if maxConns := d.cfg.Settings.Limits.MaxConnections; maxConns > 0 {
		// Connections above the limit wait in the kernel's accept queue, where
		// they cost this process nothing.
		ln = netutil.LimitListener(ln, maxConns)
	}
	d.serve(&httpsv.Listener{Server: srv, Net: ln})
	return nil
}

// Requests returns the number of requests whose final answer is outstanding.
func (d *Daemon) Requests() int { return d.runner.Running() }
