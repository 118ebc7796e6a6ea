package peer

import (
	"cmp"
	"time"

	metrics "github.com/rcrowley/go-metrics"

	"verbenadale.example/verbenadale/pkg/ident"
)

// Times are the waits of the links. The zero value of each stands for its
// default.
type Times struct {
	// Tick is how often the sessions are looked after, Keys how often the key
	// files are read.
	Tick, Keys time.Duration
	// Ping is the longest time without a write on a session of the own data
	// centre; after Silence without a read it is ended.
	Ping, Silence time.Duration
	// FarPing and FarSilence are the same towards other data centres.
	FarPing, FarSilence time.Duration
	// Idle is how long a link to another data centre stays unused.
	Idle time.Duration
	// Hello bounds the time until a new connection has proved who it is.
	Hello time.Duration
	// Body bounds the time to receive a body, Part the time to pass on one
	// piece of an answer.
	Body, Part time.Duration
	// Link is how long a request waits for a link.
	Link time.Duration
	// Stale is the age at which a waiting digest or summary is dropped.
	Stale time.Duration
	// Backoff is the first wait after a failed dial, MaxBackoff the longest.
	Backoff, MaxBackoff time.Duration
}

// Defaults of the waits. Between data centres a representative has dozens of links, so that
// pings are rarer there.
const (
	defaultTick       = 250 * time.Millisecond
	defaultKeys       = 2 * time.Second
	defaultPing       = time.Second
	defaultSilence    = 4 * time.Second
	defaultFarPing    = 5 * time.Second
	defaultFarSilence = 15 * time.Second
	defaultIdle       = time.Minute
	defaultHello      = 5 * time.Second
	defaultBody       = 30 * time.Second
	defaultPart       = 30 * time.Second
	defaultLink       = time.Second
	defaultStale      = 2 * time.Second
	defaultBackoff    = 100 * time.Millisecond
	defaultMaxBackoff = 5 * time.Second
)

func (ts *Times) fill() {
	ts.Tick = cmp.Or(ts.Tick, defaultTick)
	ts.Keys = cmp.Or(ts.Keys, defaultKeys)
	ts.Ping = cmp.Or(ts.Ping, defaultPing)
	ts.Silence = cmp.Or(ts.Silence, defaultSilence)
	ts.FarPing = cmp.Or(ts.FarPing, defaultFarPing)
	ts.FarSilence = cmp.Or(ts.FarSilence, defaultFarSilence)
	ts.Idle = cmp.Or(ts.Idle, defaultIdle)
	ts.Hello = cmp.Or(ts.Hello, defaultHello)
	ts.Body = cmp.Or(ts.Body, defaultBody)
	ts.Part = cmp.Or(ts.Part, defaultPart)
	ts.Link = cmp.Or(ts.Link, defaultLink)
	ts.Stale = cmp.Or(ts.Stale, defaultStale)
	ts.Backoff = cmp.Or(ts.Backoff, defaultBackoff)
	ts.MaxBackoff = cmp.Or(ts.MaxBackoff, defaultMaxBackoff)
}

// Bounds limit what the peers can take up. The zero value of each stands for
// its default.
type Bounds struct {
	// Links bounds the known hosts, Sessions those with a session.
	Links, Sessions int
	// Handshakes bounds the connections that have not proved who they are.
	Handshakes int
	// Streams bounds the requests of one session in one direction.
	Streams int
	// Queue bounds the control messages that wait for one peer.
	Queue int
	// Body bounds the body of a request.
	Body ident.Bytes
}

const (
	defaultLinks      = 4096
	defaultSessions   = 1024
	defaultHandshakes = 64
	defaultStreams    = 256
	defaultQueue      = 32
	defaultBodyBytes  = 8 << 20
)

func (bs *Bounds) fill() {
	bs.Links = cmp.Or(bs.Links, defaultLinks)
	bs.Sessions = cmp.Or(bs.Sessions, defaultSessions)
	bs.Handshakes = cmp.Or(bs.Handshakes, defaultHandshakes)
	bs.Streams = cmp.Or(bs.Streams, defaultStreams)
	bs.Queue = cmp.Or(bs.Queue, defaultQueue)
	bs.Body = cmp.Or(bs.Body, defaultBodyBytes)
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
