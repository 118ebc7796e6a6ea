package daemon

import (
	"context"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"

	"verbenadale.example/verbenadale/internal/clock"
	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/internal/peer"
	"verbenadale.example/verbenadale/internal/serve"
	"verbenadale.example/verbenadale/pkg/ident"
)

// newMesh returns the links to the other entry hosts without starting them.
func newMesh(cfg Config, self event.Host, svc *clock.Service, confined func(ident.Profile, ident.Account) bool, budget *serve.Budget) (*peer.Mesh, error) {
	set := cfg.Settings
	var keys *peer.Keys
	if !set.Peers.Plain {
		keys = &peer.Keys{
			CertFile: set.Peers.CertFile, KeyFile: set.Peers.KeyFile, CAFile: set.Peers.CAFile, Log: cfg.Log,
		}
		if err := keys.Load(); err != nil {
			return nil, errors.Wrap(err, "daemon: peers")
		}
	}
	return peer.New(peer.Config{
		Self: self, Clock: svc, Log: cfg.Log, Keys: keys, Confined: confined,
		Listen: set.Peers.Listen, Seeds: set.Peers.Seeds, Budget: budget,
		Bounds: peer.Bounds{MaxBodyBytes: set.Limits.MaxBodyBytes},
	}), nil
}

// confined reports whether residency rules confine the data of an account's
// requests with a profile.
func (d *Daemon) confined(p ident.Profile, a ident.Account) bool {
	return d.book.Load().Confined(p, a)
}

// forward forwards a request to another entry host and counts it in
// peers.crossings if that host is in another region.
func (d *Daemon) forward(ctx context.Context, p serve.ForwardedRequest, sent func(), out serve.Relay) event.AttemptEnded {
	if p.Forward.To.Place.Region != d.self.Place.Region {
		metrics.GetOrRegisterCounter(crossingsMetric, d.metrics).Inc(1)
	}
	return d.mesh.Forward(ctx, p, sent, out)
}

// crossingsMetric is the counter of attempts forwarded to hosts in other regions.
const crossingsMetric = "peers.crossings"
