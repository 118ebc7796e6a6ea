package daemon

import (
	"context"

	"github.com/pkg/errors"

	"verbenadale.example/verbenadale/internal/clock"
	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/internal/peer"
	"verbenadale.example/verbenadale/pkg/ident"
)

// newMesh returns the links to the other entry hosts, not yet started.
func newMesh(cfg Config, self event.Host, svc *clock.Service, confined func(ident.Profile) bool) (*peer.Mesh, error) {
	set := cfg.Settings
	var keys *peer.Keys
	if !set.Peers.Plain {
		keys = &peer.Keys{
			CertFile: set.Peers.CertFile, KeyFile: set.Peers.KeyFile, CAFile: set.Peers.CAFile, Log: cfg.Log,
		}
		if err := keys.Open(); err != nil {
			return nil, errors.Wrap(err, "daemon: peers")
		}
	}
	return peer.New(peer.Config{
		Self: self, Clock: svc, Log: cfg.Log, Keys: keys, Confined: confined,
		Listen: set.Peers.Listen, Seeds: set.Peers.Seeds,
		Bounds: peer.Bounds{Body: set.Limits.MaxBodyBytes},
	}), nil
}

// confined reports whether the data of a profile is bound to some places. A
// profile that this host does not know is taken to be.
func (d *Daemon) confined(name ident.Profile) bool {
	p, ok := d.book.Load().Profile(name)
	return !ok || p.Confined()
}

// stopMesh ends the links, after the callers' side has ended: a request of a
// caller may still run at a peer.
func (d *Daemon) stopMesh() {
	ctx, cancel := context.WithTimeout(context.Background(), closeWait)
	defer cancel()
	d.mesh.Stop(ctx)
}
