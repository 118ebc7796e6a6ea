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

// rogueHost is a faulty or hostile entry host: it has a valid certificate and a link, and
// forwards requests that the reducer would not.
type rogueHost struct {
	t    *testing.T
	host event.Host
	mux  *yamux.Session
	// peer is the host at the other end; control is the stream of control messages.
	peer    event.Host
	control net.Conn
	// lastAttempt is the number of the latest attempt.
	lastAttempt uint64
}

// startRogue links a rogue host of a place to a host.
func (f *fleet) startRogue(to *fleetHost, id ident.EntryID, place event.Place) *rogueHost {
	f.t.Helper()
	rh := &rogueHost{t: f.t, host: event.Host{ID: id, Incarnation: ident.Incarnation(time.Now().UnixNano()), Place: place, PeerAddr: ports.IP() + ":1"}}
	conn, err := net.Dial("tcp", to.settings.Peers.Listen)
	if err != nil {
		f.t.Fatal(err)
	}
	if !to.settings.Peers.Plain {
		conn = tls.Client(conn, f.clientTLS(id, to.id))
	}
	cfg := yamux.DefaultConfig()
	cfg.LogOutput = io.Discard
	if rh.mux, err = yamux.Client(conn, cfg); err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(func() { _ = rh.mux.Close() })
	rh.exchangeHello()
	return rh
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

// exchangeHello sends a hello and reads that of the peer. Later messages on this stream are
// not read.
func (rh *rogueHost) exchangeHello() {
	rh.t.Helper()
	rh.control = rh.stream()
	hello := &wire.Frame{Body: &wire.Frame_Hello{Hello: &wire.Hello{Version: wire.Version, Host: wire.FromHost(rh.host)}}}
	if err := wire.Write(rh.control, hello); err != nil {
		rh.t.Fatal(err)
	}
	var f wire.Frame
	if err := wire.Read(bufio.NewReader(rh.control), &f, wire.MaxFrame); err != nil || f.GetHello() == nil {
		rh.t.Fatalf("no hello: %v %v", &f, err)
	}
	rh.peer = f.GetHello().GetHost().ToEvent()
}

func (rh *rogueHost) stream() net.Conn {
	rh.t.Helper()
	st, err := rh.mux.Open()
	if err != nil {
		rh.t.Fatal(err)
	}
	_ = st.SetDeadline(time.Now().Add(testTimeout))
	return st
}

// envelope returns a valid envelope of a request that comes directly from a caller of the
// rogue host.
func (rh *rogueHost) envelope() event.Envelope {
	rh.lastAttempt++
	return event.Envelope{
		Attempt:       ident.Attempt{Entry: rh.host.ID, Incarnation: rh.host.Incarnation, Number: rh.lastAttempt},
		ToIncarnation: rh.peer.Incarnation,
		From:          rh.host.ID, FromPlace: rh.host.Place, Crossings: 1, Visited: []ident.EntryID{rh.host.ID},
	}
}

// forwardResult is what a forwarded request led to.
type forwardResult struct {
	// BodyRequested is set if the peer asked for the body.
	BodyRequested bool
	Result        event.Result
	Code          codes.ID
}

// forward sends a request with its body, without waiting until the body is requested, and returns
// the result.
func (rh *rogueHost) forward(req event.Request, env event.Envelope, body string) forwardResult {
	rh.t.Helper()
	st := rh.stream()
	defer st.Close()
	o := wire.FromRequest(req, env, testTimeout/2)
	o.Method, o.Path, o.Stream, o.Engine = "POST", "/v1/chat/completions", true, true
	for _, p := range []*wire.Part{
		{Body: &wire.Part_Open{Open: o}},
		{Body: &wire.Part_Piece{Piece: &wire.Piece{Body: []byte(body), Last: true}}},
	} {
		if err := wire.Write(st, p); err != nil {
			rh.t.Fatal(err)
		}
	}
	in := bufio.NewReader(st)
	var ft forwardResult
	for {
		var p wire.Part
		if err := wire.Read(in, &p, wire.MaxPart); err != nil {
			rh.t.Fatal(err)
		}
		ft.BodyRequested = ft.BodyRequested || p.GetGoOn() != nil
		if e := p.GetEnd(); e != nil {
			end, err := e.ToEvent()
			if err != nil {
				rh.t.Fatal(err)
			}
			ft.Result, ft.Code = end.Result, end.Code
			return ft
		}
	}
}

// falseReporter repeatedly reports to a host, as a host of another region, that this region is
// idle.
type falseReporter struct {
	rogue   *rogueHost
	summary event.Summary
	stop    chan struct{}
	done    chan struct{}
}

// falseReportInterval is so short that false reports replace the true ones at once.
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

// reportIdle makes every host of dc consider another data centre idle, with much free capacity
// for a model.
func (f *fleet) reportIdle(dc, of ident.DataCentre, model rules.Serve) {
	f.t.Helper()
	sum := event.Summary{Place: f.hostsIn(of)[0].place, Pools: []event.Pool{
		{Serve: model, Slots: 100, Free: 100, Offer: 100, PrefillRate: 20000, DecodeRate: 1000, Price: 1},
	}}
	// A brief link to each host of the other data centre gives its current incarnation.
	for n, m := range f.hostsIn(of) {
		rh := f.startRogue(m, ident.EntryID(fmt.Sprintf("learns-%s-%d", of, n)), sum.Place)
		sum.Hosts = append(sum.Hosts, rh.peer)
		_ = rh.mux.Close()
	}
	for n, m := range f.hostsIn(dc) {
		rh := f.startRogue(m, ident.EntryID(fmt.Sprintf("feigns-%s-%d", of, n)), sum.Place)
		l := &falseReporter{rogue: rh, summary: sum, stop: make(chan struct{}), done: make(chan struct{})}
		l.summary.From, l.summary.Incarnation = rh.host.ID, rh.host.Incarnation
		go l.run()
		f.t.Cleanup(func() { close(l.stop); <-l.done })
	}
}
