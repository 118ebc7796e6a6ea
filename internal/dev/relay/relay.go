// Package relay simulates a wide-area network: a TCP relay that forwards bytes to
// an address after a delay that depends on the sender. It can simulate partitions
// and other faults.
//
// # Usage
//
//	r, err := relay.Start(relay.Config{Listen: "127.1.0.9:7070", To: "127.1.0.1:7070", Delay: delayOf, Clock: svc})
//	r.SetPartitioned("127.2.0.1", true)
//	r.SetFault(relay.Fault{Stall: relay.Outbound})
//	defer r.Stop()
//
// An entry host dials its peers from the IP address that it listens on, so the
// relay identifies senders by their IP addresses. The delay applies in each
// direction. Connection set-up is not delayed, since links between entry hosts are
// long-lived.
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
	// Listen and To are addresses of the form host:port.
	Listen, To string
	// Delay returns the one-way delay for a sender's IP address. Nil means no delay.
	Delay func(sender string) time.Duration
	Clock *clock.Service
}

// Relay forwards connections.
type Relay struct {
	t   tomb.Tomb
	cfg Config
	ln  net.Listener

	mu          sync.Mutex
	partitioned map[string]bool
	conns       map[net.Conn]string
	fault       Fault
	// senderFaults are the faults of single senders.
	senderFaults map[string]Fault
}

// Direction is a set of directions between a sender and the address behind a
// relay.
type Direction int

// Outbound is the direction to the address behind the relay, Inbound the opposite one.
const (
	Outbound Direction = 1 << iota
	Inbound
)

// Fault is a set of simulated network faults. The zero value means none.
type Fault struct {
	// Stall holds back the data of these directions while connections stay open, as a
	// lost link does. The data is delivered once the fault is removed.
	Stall Direction
	// Refuse closes open connections and rejects new ones.
	Refuse bool
	// Delay is added to the delay of each direction.
	Delay time.Duration
}

// SetFault replaces the fault.
func (r *Relay) SetFault(f Fault) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.fault = f
	if f.Refuse {
		r.resetConns()
	}
}

// Reset resets all open connections.
func (r *Relay) Reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.resetConns()
}

// SetSenderFault replaces the fault of one sender, which adds to that of all.
func (r *Relay) SetSenderFault(sender string, f Fault) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.senderFaults[sender] = f
	for c, from := range r.conns {
		if f.Refuse && from == sender {
			resetConn(c)
		}
	}
}

func (r *Relay) resetConns() {
	for c := range r.conns {
		resetConn(c)
	}
}

func resetConn(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	c.Close()
}

// currentFault returns the fault of the connections of a sender.
func (r *Relay) currentFault(sender string) Fault {
	r.mu.Lock()
	defer r.mu.Unlock()
	f := r.senderFaults[sender]
	return Fault{Stall: r.fault.Stall | f.Stall, Refuse: r.fault.Refuse || f.Refuse, Delay: r.fault.Delay + f.Delay}
}

// Start starts a relay.
func Start(cfg Config) (*Relay, error) {
	ln, err := net.Listen("tcp", cfg.Listen)
	if err != nil {
		return nil, errors.Wrap(err, "relay: listen")
	}
	r := &Relay{cfg: cfg, ln: ln, partitioned: make(map[string]bool), conns: make(map[net.Conn]string), senderFaults: make(map[string]Fault)}
	r.t.Go(r.run)
	return r, nil
}

// Addr returns the address that the relay listens on.
func (r *Relay) Addr() string { return r.ln.Addr().String() }

// Stop stops the relay and closes its connections.
func (r *Relay) Stop() {
	r.t.Kill(nil)
	r.ln.Close()
	r.mu.Lock()
	for c := range r.conns {
		c.Close()
	}
	r.mu.Unlock()
	_ = r.t.Wait()
}

// SetPartitioned starts or ends a partition between one sender and the address
// behind the relay.
func (r *Relay) SetPartitioned(sender string, partitioned bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.partitioned[sender] = partitioned
	for c, from := range r.conns {
		if partitioned && from == sender {
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
		r.connect(c)
	}
}

// connect forwards a sender's connection to the address behind the relay.
func (r *Relay) connect(in net.Conn) {
	sender, _, _ := net.SplitHostPort(in.RemoteAddr().String())
	out, err := net.Dial("tcp", r.cfg.To)
	if err != nil {
		in.Close()
		return
	}
	if !r.track(sender, in, out) {
		in.Close()
		out.Close()
		return
	}
	var delay time.Duration
	if r.cfg.Delay != nil {
		delay = r.cfg.Delay(sender)
	}
	for _, p := range []*pipe{newPipe(r, sender, Outbound, in, out, delay), newPipe(r, sender, Inbound, out, in, delay)} {
		r.t.Go(p.readLoop)
		r.t.Go(p.writeLoop)
	}
}

func (r *Relay) track(sender string, cs ...net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.partitioned[sender] || r.fault.Refuse || r.senderFaults[sender].Refuse || !r.t.Alive() {
		return false
	}
	for _, c := range cs {
		r.conns[c] = sender
	}
	return true
}

func (r *Relay) closeConn(c net.Conn) {
	c.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.conns, c)
}

// Limits of the data in transit in one direction; chunkSize is in bytes.
const (
	maxQueuedChunks = 4096
	chunkSize       = 16 << 10
)

// chunk is the data of one read and its due time at the other end.
type chunk struct {
	due  ident.Time
	data []byte
}

// pipe is one direction of a connection.
type pipe struct {
	relay    *Relay
	sender   string
	dir      Direction
	from, to net.Conn
	delay    time.Duration
	chunks   chan chunk
}

func newPipe(r *Relay, sender string, dir Direction, from, to net.Conn, delay time.Duration) *pipe {
	return &pipe{relay: r, sender: sender, dir: dir, from: from, to: to, delay: delay, chunks: make(chan chunk, maxQueuedChunks)}
}

// stallPollInterval is the interval at which a stalled pipe checks whether the
// fault was removed.
const stallPollInterval = 10 * time.Millisecond

// waitUntilDue waits until the due time and the delay of the fault have passed and
// the direction is not stalled, or until the relay stops.
func (p *pipe) waitUntilDue(sub *clock.Subscription, due ident.Time) {
	svc := p.relay.cfg.Clock
	for p.relay.t.Alive() {
		f := p.relay.currentFault(p.sender)
		now := svc.Now()
		switch {
		case due.Add(f.Delay) > now:
			sub.Reset(due.Add(f.Delay))
		case f.Stall&p.dir != 0:
			sub.Reset(now.Add(stallPollInterval))
		default:
			return
		}
		<-sub.C()
	}
}

// readLoop reads chunks and queues them with their due times.
func (p *pipe) readLoop() error {
	defer close(p.chunks)
	buf := make([]byte, chunkSize)
	for {
		n, err := p.from.Read(buf)
		if n > 0 {
			p.chunks <- chunk{due: p.relay.cfg.Clock.Now().Add(p.delay), data: bytes.Clone(buf[:n])}
		}
		if err != nil {
			return nil
		}
	}
}

// writeLoop writes each chunk when it is due. After a failed write it continues to
// drain the queue, so that the reader does not block forever.
func (p *pipe) writeLoop() error {
	svc := p.relay.cfg.Clock
	sub := svc.At(svc.Now())
	defer sub.Close()
	defer p.relay.closeConn(p.to)
	for c := range p.chunks {
		p.waitUntilDue(sub, c.due)
		if _, err := p.to.Write(c.data); err != nil {
			p.relay.closeConn(p.from)
		}
	}
	return nil
}
