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

// Disruption is the behaviour of a fleet when something large fails and comes back.
type Disruption struct {
	Name  string `json:"name"`
	Fleet int    `json:"fleet"`
	// SteadyCalls and PeakCalls are calls to the platform per second: the mean before the
	// disruption and the maximum after its end. PeakBytes is the maximum that one host sent in a
	// second after its end.
	SteadyCalls float64 `json:"steadyCalls"`
	PeakCalls   int     `json:"peakCalls"`
	PeakBytes   int     `json:"peakBytes"`
	// Recovered is how long after the end of the disruption every host had the newest
	// configuration of those that generateLoad had written by then; zero means that this did not
	// happen while the fleet was observed. Refused
	// is the number of requests, of all Requests since the disruption began, that did not end
	// with Done.
	Recovered time.Duration `json:"recovered"`
	Refused   int           `json:"refused"`
	Requests  int           `json:"requests"`
}

// Duration of a disruption and of the observation before it and after it.
const (
	disruptionTime  = time.Minute
	observationTime = 30 * time.Second
)

// Disruptions runs a fleet through an outage of the platform, the restart of all hosts of a data
// centre, and the partition of a region.
func Disruptions(cfg Config) []Disruption {
	kinds := []struct {
		name  string
		begin func(r *run)
		end   func(r *run)
	}{
		{"platform away for a minute", (*run).disconnectPlatform, (*run).reconnectPlatform},
		{"all hosts of a data centre restarted at once", func(*run) {}, (*run).restartCentre},
		{"a region cut off for a minute", (*run).partitionRegion, (*run).healLinks},
	}
	var out []Disruption
	for _, k := range kinds {
		r := newRun(cfg)
		r.Run(warmUp)
		r.resetCounters()
		r.generateLoad(observationTime)
		d := Disruption{Name: k.name, Fleet: len(r.Hosts), SteadyCalls: float64(r.totalCalls()) / observationTime.Seconds()}
		r.Answers = nil
		k.begin(r)
		r.generateLoad(disruptionTime)
		r.changeAccount(0)
		k.end(r)
		r.observe(&d)
		out = append(out, d)
	}
	return out
}

// observe records the behaviour of the fleet second by second after the end of a disruption.
func (r *run) observe(d *Disruption) {
	ended := r.Now
	newest := r.newestRevision()
	for range int(observationTime / time.Second) {
		r.resetSecond()
		r.generateLoad(time.Second)
		d.PeakCalls = max(d.PeakCalls, r.totalCalls())
		for _, n := range r.bytes {
			d.PeakBytes = max(d.PeakBytes, n)
		}
		if d.Recovered == 0 && r.allHostsAt(newest) {
			d.Recovered = r.Now.Sub(ended)
		}
	}
	for _, a := range r.Answers {
		d.Requests++
		if a.Outcome != event.Done {
			d.Refused++
		}
	}
}

// resetSecond clears the counters that observe reads every second. It keeps the answers.
func (r *run) resetSecond() {
	clear(r.bytes)
	clear(r.calls)
}

func (r *run) totalCalls() int {
	n := 0
	for _, k := range r.calls {
		n += k
	}
	return n
}

func (r *run) newestRevision() ident.Revision {
	newest := ident.Revision(0)
	for rev := range r.changedAt {
		newest = max(newest, rev)
	}
	return newest
}

func (r *run) allHostsAt(rev ident.Revision) bool {
	for _, h := range r.Hosts {
		if h.Revision < rev {
			return false
		}
	}
	return true
}

func (r *run) disconnectPlatform() { r.PlatformDown = func(event.Host) bool { return true } }
func (r *run) reconnectPlatform()  { r.PlatformDown = func(event.Host) bool { return false } }

func (r *run) restartCentre() {
	dc := r.Hosts[0].Place.DataCentre
	for _, h := range r.Hosts {
		if h.Place.DataCentre == dc {
			r.Restart(h.ID)
		}
	}
}

func (r *run) partitionRegion() {
	partitioned := r.Hosts[0].Place.Region
	r.Delay = func(from, to event.Host) (time.Duration, bool) {
		d, _ := delay(from, to)
		return d, (from.Place.Region == partitioned) != (to.Place.Region == partitioned)
	}
}

func (r *run) healLinks() { r.Delay = delay }

// PollCost is the number of bytes on the wire, by direction, of reading one load report and the
// cache events since the last one, with 40 bytes of TCP and IP headers for each packet in each
// direction.
type PollCost struct{ Sent, Received int }

// Poll measures the cost of reading one load report and no cache events.
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
	return PollCost{Sent: int(cl.read.Load())/polls + 2*packetOverhead, Received: int(cl.written.Load())/polls + 2*packetOverhead}, nil
}

// packetOverhead is the size of the TCP and IP headers of a packet, in bytes.
const packetOverhead = 40

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
	return &countedConn{Conn: conn, counter: c}, nil
}

type countedConn struct {
	net.Conn
	counter *counter
}

func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.counter.read.Add(int64(n))
	return n, err
}

func (c *countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.counter.written.Add(int64(n))
	return n, err
}
