package peer

import (
	"bufio"
	"sync/atomic"
	"time"

	"github.com/hashicorp/yamux"
	"google.golang.org/protobuf/proto"

	"verbenadale.example/verbenadale/internal/wire"
)

// requestStream is the stream of one forwarded request.
type requestStream struct {
	m      *Mesh
	raw    *yamux.Stream
	reader *bufio.Reader
	// cancelled is set when no read or write may block any longer.
	cancelled atomic.Bool
}

func newRequestStream(m *Mesh, st *yamux.Stream) *requestStream {
	return &requestStream{m: m, raw: st, reader: bufio.NewReader(st)}
}

// write writes a message. The write deadline breaks the stream if the peer stops reading, which
// would otherwise block the goroutine and keep the answer in memory forever.
func (p *requestStream) write(msg proto.Message) error {
	_ = p.raw.SetWriteDeadline(time.Now().Add(p.m.cfg.Timing.WriteTimeout))
	if p.cancelled.Load() {
		p.cancelIO()
	}
	return wire.Write(p.raw, msg)
}

func (p *requestStream) read() (*wire.Part, error) {
	msg := &wire.Part{}
	if err := wire.Read(p.reader, msg, wire.MaxPart); err != nil {
		return nil, err
	}
	return msg, nil
}

func (p *requestStream) setReadTimeout(d time.Duration) {
	_ = p.raw.SetReadDeadline(time.Now().Add(d))
	if p.cancelled.Load() {
		p.cancelIO()
	}
}

// cancelIO interrupts a blocked read or write and makes all later ones fail.
func (p *requestStream) cancelIO() {
	p.cancelled.Store(true)
	_ = p.raw.SetDeadline(time.Now())
}

// splitPieces splits bytes into pieces that each fit into one message.
func splitPieces(b []byte) [][]byte {
	var ps [][]byte
	for len(b) > wire.PieceSize {
		ps = append(ps, b[:wire.PieceSize])
		b = b[wire.PieceSize:]
	}
	return append(ps, b)
}
