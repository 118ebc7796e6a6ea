package peer

import (
	"cmp"
	"time"

	metrics "github.com/rcrowley/go-metrics"

	"verbenadale.example/verbenadale/pkg/ident"
)

// Timing holds the intervals and timeouts of the links. Zero fields take their defaults.
type Timing struct {
	// TickInterval is how often the sessions are checked, KeyCheckInterval how often the key
	// files are read again.
	TickInterval, KeyCheckInterval time.Duration
	// A session within this data centre sends a ping after PingInterval without a write, and is
	// closed after SilenceTimeout without a read.
	PingInterval, SilenceTimeout time.Duration
	// RemotePingInterval and RemoteSilenceTimeout apply to sessions with other data centres.
	RemotePingInterval, RemoteSilenceTimeout time.Duration
	// IdleTimeout is the time after which an unused link to another data centre is closed.
	IdleTimeout time.Duration
	// HelloTimeout limits the time to authenticate a new connection.
	HelloTimeout time.Duration
	// BodyTimeout limits the time to receive a body, WriteTimeout the time to write one message
	// of a forwarded request.
	BodyTimeout, WriteTimeout time.Duration
	// LinkTimeout limits the time that a request waits for a session.
	LinkTimeout time.Duration
	// MaxMessageAge is the age at which a queued digest or summary is dropped.
	MaxMessageAge time.Duration
	// MinBackoff bounds the random delay after the first failed dial. The bound doubles with
	// each further failure up to MaxBackoff.
	MinBackoff, MaxBackoff time.Duration
}

// Defaults of Timing. Between data centres pings are less frequent, since a representative has
// dozens of links there.
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

// Bounds limits the resources that peers can use. Zero fields take their defaults.
type Bounds struct {
	// MaxLinks limits the known hosts, MaxSessions the open sessions.
	MaxLinks, MaxSessions int
	// MaxHandshakes limits the incoming connections that are not yet authenticated.
	MaxHandshakes int
	// MaxStreams limits the concurrent forwarded requests of one session. A request from the
	// peer is refused if the peer has that many requests here; a request to the peer is refused
	// if the requests of both directions together reach the limit.
	MaxStreams int
	// MaxQueued limits the control messages that are queued for one peer.
	MaxQueued int
	// MaxBodyBytes limits the body of a request.
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

// counters holds the metrics that show faults and traffic of the links.
type counters struct {
	// bytesIn and bytesOut count the bytes that the sessions read and wrote, including the
	// overhead of TLS.
	bytesIn, bytesOut metrics.Counter
	// digestsDropped counts digests and summaries that were not sent because the peer was slow
	// or unreachable, messagesDropped counts other control messages that were not sent.
	digestsDropped, messagesDropped metrics.Counter
	// refused counts incoming connections on which no session could be established, except those
	// beyond MaxHandshakes, and sessions whose certificate was no longer valid. rejected counts
	// received messages that are unknown or not allowed, and "run or bar" messages that this
	// host did not send because their attempt or recipient was invalid.
	refused, rejected metrics.Counter
	// full counts connections, sessions and streams beyond the bounds, silent counts sessions
	// that were closed because nothing was read.
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
