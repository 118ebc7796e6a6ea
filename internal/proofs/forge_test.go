package proofs

import (
	"bufio"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"io"
	"net"
	"os"
	"testing"
	"time"

	"github.com/hashicorp/yamux"

	"verbenadale.example/verbenadale/internal/dev/ports"
	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/internal/wire"
	"verbenadale.example/verbenadale/pkg/codes"
	"verbenadale.example/verbenadale/pkg/ident"
	"verbenadale.example/verbenadale/pkg/rules"
)

// rogueHost is an entry host gone wrong: it has a valid certificate and a link,
// and passes on what no reducer would.
type rogueHost struct {
	t    *testing.T
	host event.Host
	mux  *yamux.Session
	// peer is the host at the other end, ctl the stream of control messages.
	peer    event.Host
	control net.Conn
	n       uint64
}

// startRogue links a forger of a place to a host.
func (f *fleet) startRogue(to *fleetHost, id ident.EntryID, place event.Place) *rogueHost {
	f.t.Helper()
	g := &rogueHost{t: f.t, host: event.Host{ID: id, Incarnation: ident.Incarnation(time.Now().UnixNano()), Place: place, PeerAddr: ports.IP() + ":1"}}
	conn, err := net.Dial("tcp", to.settings.Peers.Listen)
	if err != nil {
		f.t.Fatal(err)
	}
	if !to.settings.Peers.Plain {
		conn = tls.Client(conn, f.clientTLS(id, to.id))
	}
	cfg := yamux.DefaultConfig()
	cfg.LogOutput = io.Discard
	if g.mux, err = yamux.Client(conn, cfg); err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(func() { _ = g.mux.Close() })
	g.exchangeHello()
	return g
}

func (f *fleet) clientTLS(id, to ident.EntryID) *tls.Config {
	f.t.Helper()
	files, err := f.ca.Issue(f.t.TempDir(), string(id))
	if err != nil {
		f.t.Fatal(err)
	}
	cert, err := tls.LoadX509KeyPair(files.Cert, files.Key)
	if err != nil {
		f.t.Fatal(err)
	}
	ca, err := os.ReadFile(files.CA)
	if err != nil {
		f.t.Fatal(err)
	}
	pool := x509.NewCertPool()
	pool.AppendCertsFromPEM(ca)
	return &tls.Config{MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{cert}, RootCAs: pool, ServerName: string(to)}
}

// exchangeHello says who the forger is and learns of the host. What else the
// host says on this stream is left unread.
func (g *rogueHost) exchangeHello() {
	g.t.Helper()
	g.control = g.stream()
	hello := &wire.Frame{Body: &wire.Frame_Hello{Hello: &wire.Hello{Version: wire.Version, Host: wire.FromHost(g.host)}}}
	if err := wire.Write(g.control, hello); err != nil {
		g.t.Fatal(err)
	}
	var f wire.Frame
	if err := wire.Read(bufio.NewReader(g.control), &f, wire.MaxFrame); err != nil || f.GetHello() == nil {
		g.t.Fatalf("no hello: %v %v", &f, err)
	}
	g.peer = f.GetHello().GetHost().ToEvent()
}

func (g *rogueHost) stream() net.Conn {
	g.t.Helper()
	st, err := g.mux.Open()
	if err != nil {
		g.t.Fatal(err)
	}
	_ = st.SetDeadline(time.Now().Add(testTimeout))
	return st
}

// envelope returns an honest envelope of a request that comes straight from a
// caller of the forger.
func (g *rogueHost) envelope() event.Envelope {
	g.n++
	return event.Envelope{
		Attempt:       ident.Attempt{Entry: g.host.ID, Incarnation: g.host.Incarnation, Number: g.n},
		ToIncarnation: g.peer.Incarnation,
		From:          g.host.ID, FromPlace: g.host.Place, Crossings: 1, Visited: []ident.EntryID{g.host.ID},
	}
}

// forwardResult is what became of a request that was passed on.
type forwardResult struct {
	// BodyRequested says that the host asked for the body.
	BodyRequested bool
	Result        event.Result
	Code          codes.ID
}

// forward passes a request on, with its body unasked, and returns its fate.
func (g *rogueHost) forward(req event.Request, env event.Envelope, body string) forwardResult {
	g.t.Helper()
	st := g.stream()
	defer st.Close()
	o := wire.FromRequest(req, env, testTimeout/2)
	o.Method, o.Path, o.Stream, o.Engine = "POST", "/v1/chat/completions", true, true
	for _, p := range []*wire.Part{
		{Body: &wire.Part_Open{Open: o}},
		{Body: &wire.Part_Piece{Piece: &wire.Piece{Body: []byte(body), Last: true}}},
	} {
		if err := wire.Write(st, p); err != nil {
			g.t.Fatal(err)
		}
	}
	in := bufio.NewReader(st)
	var ft forwardResult
	for {
		var p wire.Part
		if err := wire.Read(in, &p, wire.MaxPart); err != nil {
			g.t.Fatal(err)
		}
		ft.BodyRequested = ft.BodyRequested || p.GetGoOn() != nil
		if e := p.GetEnd(); e != nil {
			end, err := e.ToEvent()
			if err != nil {
				g.t.Fatal(err)
			}
			ft.Result, ft.Code = end.Result, end.Code
			return ft
		}
	}
}

// falseReporter reports to a host again and again, in the name of another region, that the
// region is idle.
type falseReporter struct {
	rogue   *rogueHost
	summary event.Summary
	stop    chan struct{}
	done    chan struct{}
}

// falseReportInterval is so short that the truth does not get through.
const falseReportInterval = 20 * time.Millisecond

func (l *falseReporter) run() {
	defer close(l.done)
	for {
		l.summary.Seq++
		frame := &wire.Frame{Body: &wire.Frame_Summary{Summary: wire.FromSummary(l.summary)}}
		_ = l.rogue.control.SetWriteDeadline(time.Now().Add(testTimeout))
		if wire.Write(l.rogue.control, frame) != nil {
			return
		}
		select {
		case <-l.stop:
			return
		case <-time.After(falseReportInterval):
		}
	}
}

// reportIdle has every host of one data centre believe that another has much room
// for a model.
func (f *fleet) reportIdle(dc, of ident.DataCentre, model rules.Serve) {
	f.t.Helper()
	sum := event.Summary{Place: f.hostsIn(of)[0].place, Pools: []event.Pool{
		{Serve: model, Slots: 100, Free: 100, Offer: 100, PrefillRate: 20000, DecodeRate: 1000, Price: 1},
	}}
	for n, m := range f.hostsIn(of) {
		g := f.startRogue(m, ident.EntryID(fmt.Sprintf("learns-%s-%d", of, n)), sum.Place)
		sum.Hosts = append(sum.Hosts, g.peer)
		_ = g.mux.Close()
	}
	for n, m := range f.hostsIn(dc) {
		g := f.startRogue(m, ident.EntryID(fmt.Sprintf("feigns-%s-%d", of, n)), sum.Place)
		l := &falseReporter{rogue: g, summary: sum, stop: make(chan struct{}), done: make(chan struct{})}
		l.summary.From, l.summary.Incarnation = g.host.ID, g.host.Incarnation
		go l.run()
		f.t.Cleanup(func() { close(l.stop); <-l.done })
	}
}
