package peer

import (
	"cmp"
	"time"

	metrics "github.com/rcrowley/go-metrics"

	"verbenadale.example/verbenadale/pkg/ident"
)

// Timing are the waits of the links. The zero value of each stands for its
// default.
type Timing struct {
	// TickInterval is how often the sessions are looked after, KeyCheckInterval how often the key
	// files are read.
	TickInterval, KeyCheckInterval time.Duration
	// PingInterval is the longest time without a write on a session of the own data
	// centre; after SilenceTimeout without a read it is ended.
	PingInterval, SilenceTimeout time.Duration
	// RemotePingInterval and RemoteSilenceTimeout are the same towards other data centres.
	RemotePingInterval, RemoteSilenceTimeout time.Duration
	// IdleTimeout is how long a link to another data centre stays unused.
	IdleTimeout time.Duration
	// HelloTimeout bounds the time until a new connection has proved who it is.
	HelloTimeout time.Duration
	// BodyTimeout bounds the time to receive a body, WriteTimeout the time to pass on one
	// piece of an answer.
	BodyTimeout, WriteTimeout time.Duration
	// LinkTimeout is how long a request waits for a link.
	LinkTimeout time.Duration
	// MaxMessageAge is the age at which a waiting digest or summary is dropped.
	MaxMessageAge time.Duration
	// MinBackoff is the first wait after a failed dial, MaxBackoff the longest.
	MinBackoff, MaxBackoff time.Duration
}

// Defaults of the waits. Between data centres a representative has dozens of links, so that
// pings are rarer there.
const (
	defaultTickInterval         = 250 * time.Millisecond
	defaultKeyCheckInterval     = 2 * time.Second
	defaultPingInterval         = time.Second
	defaultSilenceTimeout       = 4 * time.Second
	defaultRemotePingInterval   = 5 * time.Second
	defaultRemoteSilenceTimeout = 15 * time.Second
	defaultIdleTimeout          = time.Minute
	defaultHelloTimeout         = 5 * time.Second
	defaultBodyTimeout          = 30 * time.Second
	defaultWriteTimeout         = 30 * time.Second
	defaultLinkTimeout          = time.Second
	defaultMaxMessageAge        = 2 * time.Second
	defaultMinBackoff           = 100 * time.Millisecond
	defaultMaxBackoff           = 5 * time.Second
)

func (ts *Timing) setDefaults() {
	ts.TickInterval = cmp.Or(ts.TickInterval, defaultTickInterval)
	ts.KeyCheckInterval = cmp.Or(ts.KeyCheckInterval, defaultKeyCheckInterval)
	ts.PingInterval = cmp.Or(ts.PingInterval, defaultPingInterval)
	ts.SilenceTimeout = cmp.Or(ts.SilenceTimeout, defaultSilenceTimeout)
	ts.RemotePingInterval = cmp.Or(ts.RemotePingInterval, defaultRemotePingInterval)
	ts.RemoteSilenceTimeout = cmp.Or(ts.RemoteSilenceTimeout, defaultRemoteSilenceTimeout)
	ts.IdleTimeout = cmp.Or(ts.IdleTimeout, defaultIdleTimeout)
	ts.HelloTimeout = cmp.Or(ts.HelloTimeout, defaultHelloTimeout)
	ts.BodyTimeout = cmp.Or(ts.BodyTimeout, defaultBodyTimeout)
	ts.WriteTimeout = cmp.Or(ts.WriteTimeout, defaultWriteTimeout)
	ts.LinkTimeout = cmp.Or(ts.LinkTimeout, defaultLinkTimeout)
	ts.MaxMessageAge = cmp.Or(ts.MaxMessageAge, defaultMaxMessageAge)
	ts.MinBackoff = cmp.Or(ts.MinBackoff, defaultMinBackoff)
	ts.MaxBackoff = cmp.Or(ts.MaxBackoff, defaultMaxBackoff)
}

// Bounds limit what the peers can take up. The zero value of each stands for
// its default.
type Bounds struct {
	// MaxLinks bounds the known hosts, MaxSessions those with a session.
	MaxLinks, MaxSessions int
	// MaxHandshakes bounds the connections that have not proved who they are.
	MaxHandshakes int
	// MaxStreams bounds the requests of one session in one direction.
	MaxStreams int
	// MaxQueued bounds the control messages that wait for one peer.
	MaxQueued int
	// MaxBodyBytes bounds the body of a request.
	MaxBodyBytes ident.Bytes
}

const (
	defaultMaxLinks      = 4096
	defaultMaxSessions   = 1024
	defaultMaxHandshakes = 64
	defaultMaxStreams    = 256
	defaultMaxQueued     = 32
	defaultMaxBodyBytes  = 8 << 20
)

func (bs *Bounds) setDefaults() {
	bs.MaxLinks = cmp.Or(bs.MaxLinks, defaultMaxLinks)
	bs.MaxSessions = cmp.Or(bs.MaxSessions, defaultMaxSessions)
	bs.MaxHandshakes = cmp.Or(bs.MaxHandshakes, defaultMaxHandshakes)
	bs.MaxStreams = cmp.Or(bs.MaxStreams, defaultMaxStreams)
	bs.MaxQueued = cmp.Or(bs.MaxQueued, defaultMaxQueued)
	bs.MaxBodyBytes = cmp.Or(bs.MaxBodyBytes, defaultMaxBodyBytes)
}

// counters count what an operator should see when links misbehave.
type counters struct {
	// bytesIn and bytesOut count what the sessions read and wrote, with what
	// TLS adds.
	bytesIn, bytesOut metrics.Counter
	// digestsDropped counts digests and summaries that were not sent since
	// the peer was slow or away, messagesDropped the other messages.
	digestsDropped, messagesDropped metrics.Counter
	// refused counts connections that did not prove who they are, rejected
	// the messages of a peer that spoke for another.
	refused, rejected metrics.Counter
	// full counts sessions and streams beyond the bounds, silent the sessions
	// that were ended since nothing was read.
	full, silent metrics.Counter
}

func newCounters(reg metrics.Registry) counters {
	counter := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter("peer."+name, reg) }
	return counters{
		bytesIn: counter("bytesIn"), bytesOut: counter("bytesOut"),
		digestsDropped: counter("digestsDropped"), messagesDropped: counter("messagesDropped"),
		refused: counter("refused"), rejected: counter("rejected"),
		full: counter("full"), silent: counter("silent"),
	}
}
