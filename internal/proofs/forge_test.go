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

// forger is an entry host gone wrong: it has a valid certificate and a link,
// and passes on what no reducer would.
type forger struct {
	t    *testing.T
	host event.Host
	mux  *yamux.Session
	// to is the host at the other end, ctl the stream of control messages.
	to  event.Host
	ctl net.Conn
	n   uint64
}

// forge links a forger of a place to a host.
func (f *fleet) forge(to *member, id ident.EntryID, place event.Place) *forger {
	f.t.Helper()
	g := &forger{t: f.t, host: event.Host{ID: id, Incarnation: ident.Incarnation(time.Now().UnixNano()), Place: place, PeerAddr: ports.IP() + ":1"}}
	conn, err := net.Dial("tcp", to.set.Peers.Listen)
	if err != nil {
		f.t.Fatal(err)
	}
	if !to.set.Peers.Plain {
		conn = tls.Client(conn, f.keysOf(id, to.id))
	}
	cfg := yamux.DefaultConfig()
	cfg.LogOutput = io.Discard
	if g.mux, err = yamux.Client(conn, cfg); err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(func() { _ = g.mux.Close() })
	g.greet()
	return g
}

func (f *fleet) keysOf(id, to ident.EntryID) *tls.Config {
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

// greet says who the forger is and learns of the host. What else the
// host says on this stream is left unread.
func (g *forger) greet() {
	g.t.Helper()
	g.ctl = g.stream()
	hello := &wire.Frame{Body: &wire.Frame_Hello{Hello: &wire.Hello{Version: wire.Version, Host: wire.FromHost(g.host)}}}
	if err := wire.Write(g.ctl, hello); err != nil {
		g.t.Fatal(err)
	}
	var f wire.Frame
	if err := wire.Read(bufio.NewReader(g.ctl), &f, wire.MaxFrame); err != nil || f.GetHello() == nil {
		g.t.Fatalf("no hello: %v %v", &f, err)
	}
	g.to = f.GetHello().GetHost().ToEvent()
}

func (g *forger) stream() net.Conn {
	g.t.Helper()
	st, err := g.mux.Open()
	if err != nil {
		g.t.Fatal(err)
	}
	_ = st.SetDeadline(time.Now().Add(waitLimit))
	return st
}

// envelope returns an honest envelope of a request that comes straight from a
// caller of the forger.
func (g *forger) envelope() event.Envelope {
	g.n++
	return event.Envelope{
		Attempt:       ident.Attempt{Entry: g.host.ID, Incarnation: g.host.Incarnation, Number: g.n},
		ToIncarnation: g.to.Incarnation,
		From:          g.host.ID, FromPlace: g.host.Place, Crossings: 1, Visited: []ident.EntryID{g.host.ID},
	}
}

// fate is what became of a request that was passed on.
type fate struct {
	// Wanted says that the host asked for the body.
	Wanted bool
	Result event.Result
	Code   codes.ID
}

// pass passes a request on, with its body unasked, and returns its fate.
func (g *forger) pass(req event.Request, env event.Envelope, body string) fate {
	g.t.Helper()
	st := g.stream()
	defer st.Close()
	o := wire.FromRequest(req, env, waitLimit/2)
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
	var ft fate
	for {
		var p wire.Part
		if err := wire.Read(in, &p, wire.MaxPart); err != nil {
			g.t.Fatal(err)
		}
		ft.Wanted = ft.Wanted || p.GetGoOn() != nil
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

// liar reports to a host again and again, in the name of another region, that the
// region is idle.
type liar struct {
	g    *forger
	sum  event.Summary
	stop chan struct{}
	done chan struct{}
}

// lieEvery is so short that the truth does not get through.
const lieEvery = 20 * time.Millisecond

func (l *liar) run() {
	defer close(l.done)
	for {
		l.sum.Seq++
		frame := &wire.Frame{Body: &wire.Frame_Summary{Summary: wire.FromSummary(l.sum)}}
		_ = l.g.ctl.SetWriteDeadline(time.Now().Add(waitLimit))
		if wire.Write(l.g.ctl, frame) != nil {
			return
		}
		select {
		case <-l.stop:
			return
		case <-time.After(lieEvery):
		}
	}
}

// feign has every host of one data centre believe that another has much room
// for a model.
func (f *fleet) feign(dc, of ident.DataCentre, model rules.Serve) {
	f.t.Helper()
	sum := event.Summary{Place: f.at(of)[0].place, Pools: []event.Pool{
		{Serve: model, Slots: 100, Free: 100, Offer: 100, PrefillRate: 20000, DecodeRate: 1000, Price: 1},
	}}
	for n, m := range f.at(of) {
		g := f.forge(m, ident.EntryID(fmt.Sprintf("learns-%s-%d", of, n)), sum.Place)
		sum.Hosts = append(sum.Hosts, g.to)
		_ = g.mux.Close()
	}
	for n, m := range f.at(dc) {
		g := f.forge(m, ident.EntryID(fmt.Sprintf("feigns-%s-%d", of, n)), sum.Place)
		l := &liar{g: g, sum: sum, stop: make(chan struct{}), done: make(chan struct{})}
		l.sum.From, l.sum.Incarnation = g.host.ID, g.host.Incarnation
		go l.run()
		f.t.Cleanup(func() { close(l.stop); <-l.done })
	}
}
