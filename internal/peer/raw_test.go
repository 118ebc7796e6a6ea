package peer

import (
	"bufio"
	"io"
	"net"
	"testing"

	"github.com/hashicorp/yamux"

	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/internal/wire"
)

// rawPeer is the remote end of a session, controlled by the test.
type rawPeer struct {
	mux     *yamux.Session
	control net.Conn
	reader  *bufio.Reader
}

// connect opens a session with a node over a connection and exchanges hellos.
func connect(t *testing.T, conn net.Conn, h event.Host) (*rawPeer, error) {
	t.Helper()
	t.Cleanup(func() { _ = conn.Close() })
	cfg := yamux.DefaultConfig()
	cfg.EnableKeepAlive = false
	cfg.LogOutput = io.Discard
	mux, err := yamux.Client(conn, cfg)
	if err != nil {
		return nil, err
	}
	ctl, err := mux.Open()
	if err != nil {
		return nil, err
	}
	p := &rawPeer{mux: mux, control: ctl, reader: bufio.NewReader(ctl)}
	hello := &wire.Hello{Version: wire.Version, Host: wire.FromHost(h)}
	if err := wire.Write(ctl, &wire.Frame{Body: &wire.Frame_Hello{Hello: hello}}); err != nil {
		return nil, err
	}
	return p, wire.Read(p.reader, &wire.Frame{}, wire.MaxFrame)
}

func dialNode(t *testing.T, n *testNode) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", n.Addr())
	if err != nil {
		t.Fatal(err)
	}
	return conn
}

func mustConnect(t *testing.T, n *testNode, h event.Host) *rawPeer {
	t.Helper()
	p, err := connect(t, dialNode(t, n), h)
	if err != nil {
		t.Fatal(err)
	}
	return p
}
