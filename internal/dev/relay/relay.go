// Package relay stands in for a wide-area network: a relay before an address
// passes bytes on after a delay that depends on who sends, and can be cut.
//
// # Usage
//
//	r, err := relay.Start(relay.Config{Listen: "127.1.0.9:7070", To: "127.1.0.1:7070", Delay: delayOf, Clock: svc})
//	r.Cut("127.2.0.1", true)
//	defer r.Stop()
//
// An entry host dials its peers from the IP number that it listens on, so the
// relay tells senders apart by their IP numbers. The delay is that of each way;
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
	Delay func(sender string) time.Duration
	Clock *clock.Service
}

// Relay passes connections on.
type Relay struct {
	t   tomb.Tomb
	cfg Config
	ln  net.Listener

	mu   sync.Mutex
	cut  map[string]bool
	open map[net.Conn]string
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
	delay := r.cfg.Delay(sender)
	for _, w := range []*way{newWay(r, in, out, delay), newWay(r, out, in, delay)} {
		r.t.Go(w.run)
		r.t.Go(w.loop)
	}
}

func (r *Relay) keep(sender string, cs ...net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.cut[sender] || !r.t.Alive() {
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
	from, to net.Conn
	delay    time.Duration
	pieces   chan piece
}

func newWay(r *Relay, from, to net.Conn, delay time.Duration) *way {
	return &way{relay: r, from: from, to: to, delay: delay, pieces: make(chan piece, maxPieces)}
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
		if p.due > svc.Now() {
			sub.Reset(p.due)
			<-sub.C()
		}
		if _, err := w.to.Write(p.data); err != nil {
			w.relay.drop(w.from)
		}
	}
	return nil
}
