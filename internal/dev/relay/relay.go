// Package relay stands in for a wide-area network: a relay before an address
// passes bytes on after a delay that depends on who sends, and can be cut.
//
// # Usage
//
//	r, err := relay.Start(relay.Config{Listen: "127.1.0.9:7070", To: "127.1.0.1:7070", Delay: delayOf, Clock: svc})
//	r.Cut("127.2.0.1", true)
//	r.SetFault(relay.Fault{Silent: relay.Out})
//	defer r.Stop()
//
// An entry host dials its peers from the IP number that it listens on, so the
// relay distinguishes senders by their IP numbers. The delay is that of each way;
// the set-up of a connection is not delayed, since links between entry hosts
// stand for long.
package relay

import (
	"bytes"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
	"gopkg.in/tomb.v2"

	"verbenadale.example/verbenadale/internal/clock"
	"verbenadale.example/verbenadale/pkg/ident"
)

// Config describes a relay.
type Config struct {
	// Listen and To are host:port.
	Listen, To string
	// Delay returns the delay of one way for a sender's IP number.
	// Nil is none.
	Delay func(sender string) time.Duration
	Clock *clock.Service
}

// Relay passes connections on.
type Relay struct {
	t   tomb.Tomb
	cfg Config
	ln  net.Listener

	mu    sync.Mutex
	cut   map[string]bool
	open  map[net.Conn]string
	fault Fault
}

// Direction names the ways between a sender and the address behind a relay.
type Direction int

// The directions: Out leads to the address behind the relay.
const (
	Out Direction = 1 << iota
	In
)

// Fault is how a relay harms what passes through it. The zero value harms
// nothing.
type Fault struct {
	// Silent holds back what goes in these directions while connections stand, as
	// a lost link does; what was held back passes once it is over.
	Silent Direction
	// Refuse ends connections that stand and takes no new ones.
	Refuse bool
	// Delay is added to that of each way.
	Delay time.Duration
}

// SetFault replaces the fault.
func (r *Relay) SetFault(f Fault) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.fault = f
	if f.Refuse {
		r.reset()
	}
}

// Reset resets all connections that stand.
func (r *Relay) Reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reset()
}

func (r *Relay) reset() {
	for c := range r.open {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		c.Close()
	}
}

func (r *Relay) faultNow() Fault {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.fault
}

// Start starts a relay.
func Start(cfg Config) (*Relay, error) {
	ln, err := net.Listen("tcp", cfg.Listen)
	if err != nil {
		return nil, errors.Wrap(err, "relay: listen")
	}
	r := &Relay{cfg: cfg, ln: ln, cut: make(map[string]bool), open: make(map[net.Conn]string)}
	r.t.Go(r.run)
	return r, nil
}

// Addr is the address that the relay listens on.
func (r *Relay) Addr() string { return r.ln.Addr().String() }

// Stop ends the relay and its connections.
func (r *Relay) Stop() {
	r.t.Kill(nil)
	r.ln.Close()
	r.mu.Lock()
	for c := range r.open {
		c.Close()
	}
	r.mu.Unlock()
	_ = r.t.Wait()
}

// Cut cuts or heals the way from one sender.
func (r *Relay) Cut(sender string, cut bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cut[sender] = cut
	for c, from := range r.open {
		if cut && from == sender {
			c.Close()
		}
	}
}

func (r *Relay) run() error {
	for {
		c, err := r.ln.Accept()
		if err != nil {
			return nil
		}
		r.join(c)
	}
}

// join connects a sender's connection with the address behind the relay.
func (r *Relay) join(in net.Conn) {
	sender, _, _ := net.SplitHostPort(in.RemoteAddr().String())
	out, err := net.Dial("tcp", r.cfg.To)
	if err != nil {
		in.Close()
		return
	}
	if !r.keep(sender, in, out) {
		in.Close()
		out.Close()
		return
	}
	var delay time.Duration
	if r.cfg.Delay != nil {
		delay = r.cfg.Delay(sender)
	}
	for _, w := range []*way{newWay(r, Out, in, out, delay), newWay(r, In, out, in, delay)} {
		r.t.Go(w.run)
		r.t.Go(w.loop)
	}
}

func (r *Relay) keep(sender string, cs ...net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.cut[sender] || r.fault.Refuse || !r.t.Alive() {
		return false
	}
	for _, c := range cs {
		r.open[c] = sender
	}
	return true
}

func (r *Relay) drop(c net.Conn) {
	c.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.open, c)
}

// Sizes of what is under way on one way.
const (
	maxPieces = 4096
	pieceSize = 16 << 10
)

// piece is what was read at once and when it is due at the other end.
type piece struct {
	due  ident.Time
	data []byte
}

// way is one direction of a connection.
type way struct {
	relay    *Relay
	dir      Direction
	from, to net.Conn
	delay    time.Duration
	pieces   chan piece
}

func newWay(r *Relay, dir Direction, from, to net.Conn, delay time.Duration) *way {
	return &way{relay: r, dir: dir, from: from, to: to, delay: delay, pieces: make(chan piece, maxPieces)}
}

// silentPoll is the time between two looks whether a silence is over.
const silentPoll = 10 * time.Millisecond

// pass waits until a piece is due and nothing holds it back.
func (w *way) pass(sub *clock.Subscription, due ident.Time) {
	svc := w.relay.cfg.Clock
	for w.relay.t.Alive() {
		f := w.relay.faultNow()
		now := svc.Now()
		switch {
		case due.Add(f.Delay) > now:
			sub.Reset(due.Add(f.Delay))
		case f.Silent&w.dir != 0:
			sub.Reset(now.Add(silentPoll))
		default:
			return
		}
		<-sub.C()
	}
}

// run reads.
func (w *way) run() error {
	defer close(w.pieces)
	buf := make([]byte, pieceSize)
	for {
		n, err := w.from.Read(buf)
		if n > 0 {
			w.pieces <- piece{due: w.relay.cfg.Clock.Now().Add(w.delay), data: bytes.Clone(buf[:n])}
		}
		if err != nil {
			return nil
		}
	}
}

// loop writes each piece when it is due. After a failed write it goes on
// taking pieces, so that the reader never waits for nobody.
func (w *way) loop() error {
	svc := w.relay.cfg.Clock
	sub := svc.At(svc.Now())
	defer sub.Close()
	defer w.relay.drop(w.to)
	for p := range w.pieces {
		w.pass(sub, p.due)
		if _, err := w.to.Write(p.data); err != nil {
			w.relay.drop(w.from)
		}
	}
	return nil
}
