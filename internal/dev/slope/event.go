package slope

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"verbenadale.example/verbenadale/internal/dev/engine"
	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/internal/target"
	"verbenadale.example/verbenadale/pkg/ident"
	"verbenadale.example/verbenadale/pkg/rules"
)

// Shock is what a fleet does when something large goes and comes back.
type Shock struct {
	Name  string `json:"name"`
	Fleet int    `json:"fleet"`
	// SteadyCalls and PeakCalls are calls to the platform in a second, before
	// and at most after the return. PeakBytes is the most that one host sent
	// in a second after it.
	SteadyCalls float64 `json:"steadyCalls"`
	PeakCalls   int     `json:"peakCalls"`
	PeakBytes   int     `json:"peakBytes"`
	// Recovered is how long after the return every host had the newest
	// configuration, and Refused how many requests were refused from the
	// start of the shock on, of all.
	Recovered time.Duration `json:"recovered"`
	Refused   int           `json:"refused"`
	Requests  int           `json:"requests"`
}

// Spans of a shock.
const (
	shockSpan   = time.Minute
	watchedSpan = 30 * time.Second
)

// Shocks runs a fleet of a size through an outage of the platform, the restart
// of all hosts of a data centre, and the cut of a region.
func Shocks(cfg Config) []Shock {
	kinds := []struct {
		name   string
		strike func(r *run)
		heal   func(r *run)
	}{
		{"platform away for a minute", (*run).dropPlatform, (*run).healPlatform},
		{"all hosts of a data centre restarted at once", func(*run) {}, (*run).restartCentre},
		{"a region cut off for a minute", (*run).cutRegion, (*run).healLinks},
	}
	var out []Shock
	for _, k := range kinds {
		r := newRun(cfg)
		r.Run(warmUp)
		r.count()
		r.load(watchedSpan)
		sh := Shock{Name: k.name, Fleet: len(r.Hosts), SteadyCalls: float64(r.allCalls()) / watchedSpan.Seconds()}
		r.Answers = nil
		k.strike(r)
		r.load(shockSpan)
		r.Change(r.account(0))
		k.heal(r)
		r.watch(&sh)
		out = append(out, sh)
	}
	return out
}

// watch follows the fleet second by second after the return.
func (r *run) watch(sh *Shock) {
	back := r.Now
	newest := r.revision()
	for range int(watchedSpan / time.Second) {
		r.nextSecond()
		r.load(time.Second)
		sh.PeakCalls = max(sh.PeakCalls, r.allCalls())
		for _, n := range r.bytes {
			sh.PeakBytes = max(sh.PeakBytes, n)
		}
		if sh.Recovered == 0 && r.allAt(newest) {
			sh.Recovered = r.Now.Sub(back)
		}
	}
	for _, a := range r.Answers {
		sh.Requests++
		if a.Outcome != event.Done {
			sh.Refused++
		}
	}
}

// nextSecond begins a second without dropping the answers.
func (r *run) nextSecond() {
	clear(r.bytes)
	clear(r.calls)
}

func (r *run) allCalls() int {
	n := 0
	for _, k := range r.calls {
		n += k
	}
	return n
}

func (r *run) revision() ident.Revision {
	top := ident.Revision(0)
	for rev := range r.changed {
		top = max(top, rev)
	}
	return top
}

func (r *run) allAt(rev ident.Revision) bool {
	for _, h := range r.Hosts {
		if h.Revision < rev {
			return false
		}
	}
	return true
}

func (r *run) dropPlatform() { r.PlatformDown = func(event.Host) bool { return true } }
func (r *run) healPlatform() { r.PlatformDown = func(event.Host) bool { return false } }

func (r *run) restartCentre() {
	dc := r.Hosts[0].Place.DataCentre
	for _, h := range r.Hosts {
		if h.Place.DataCentre == dc {
			r.Restart(h.ID)
		}
	}
}

func (r *run) cutRegion() {
	gone := r.Hosts[0].Place.Region
	r.Delay = func(from, to event.Host) (time.Duration, bool) {
		d, _ := delay(from, to)
		return d, (from.Place.Region == gone) != (to.Place.Region == gone)
	}
}

func (r *run) healLinks() { r.Delay = delay }

// PollCost is the bytes on the wire of reading one load report and the cache
// events since the last, by which way they go, with 40 bytes of TCP and IP for
// each packet each way.
type PollCost struct{ Sent, Received int }

// Poll measures what reading one load report and no cache events costs.
func Poll() (PollCost, error) {
	eng := engine.New(engine.Config{ID: "centre-0-engine-1", Incarnation: 1_700_000_000_000_000_000, Serves: []rules.Serve{{Model: "draft"}}, Slots: 32, TokenTime: 10 * time.Millisecond, PrefillRate: 20000})
	defer eng.Stop()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return PollCost{}, err
	}
	cl := &counter{Listener: ln}
	srv := &httpServer{http: &http.Server{Handler: eng, ReadHeaderTimeout: time.Second}, ln: cl}
	go srv.run()
	defer srv.http.Close()
	tg := event.Target{ID: "centre-0-engine-1", Kind: event.Engine, URL: fmt.Sprintf("http://%s", ln.Addr())}
	const polls = 10
	tc := target.New()
	for range polls {
		if _, err := tc.Load(context.Background(), tg); err != nil {
			return PollCost{}, err
		}
		if _, err := tc.Cache(context.Background(), tg, 1_000_000); err != nil {
			return PollCost{}, err
		}
	}
	return PollCost{Sent: int(cl.read.Load())/polls + 2*packet, Received: int(cl.written.Load())/polls + 2*packet}, nil
}

// packet is what TCP and IP add to a packet.
const packet = 40

type httpServer struct {
	http *http.Server
	ln   net.Listener
}

func (s *httpServer) run() { _ = s.http.Serve(s.ln) }

// counter counts the bytes of the connections that it accepts.
type counter struct {
	net.Listener
	read, written atomic.Int64
}

// Accept waits for a connection.
func (c *counter) Accept() (net.Conn, error) {
	conn, err := c.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countedConn{Conn: conn, of: c}, nil
}

type countedConn struct {
	net.Conn
	of *counter
}

func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.of.read.Add(int64(n))
	return n, err
}

func (c *countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.of.written.Add(int64(n))
	return n, err
}
