package peer

import (
	"bufio"
	"sync/atomic"
	"time"

	"github.com/hashicorp/yamux"
	"google.golang.org/protobuf/proto"

	"verbenadale.example/verbenadale/internal/wire"
)

// part is the stream of one forwarded request.
type part struct {
	m  *Mesh
	st *yamux.Stream
	in *bufio.Reader
	// expired says that no read or write may wait any longer.
	expired atomic.Bool
}

func newPart(m *Mesh, st *yamux.Stream) *part {
	return &part{m: m, st: st, in: bufio.NewReader(st)}
}

// write writes a message. A peer that does not read for long breaks the
// stream, since it would hold this side's goroutine and answer for ever.
func (p *part) write(msg proto.Message) error {
	_ = p.st.SetWriteDeadline(time.Now().Add(p.m.cfg.Times.Part))
	if p.expired.Load() {
		p.expire()
	}
	return wire.Write(p.st, msg)
}

func (p *part) read() (*wire.Part, error) {
	msg := &wire.Part{}
	if err := wire.Read(p.in, msg, wire.MaxPart); err != nil {
		return nil, err
	}
	return msg, nil
}

func (p *part) readWithin(d time.Duration) {
	_ = p.st.SetReadDeadline(time.Now().Add(d))
	if p.expired.Load() {
		p.expire()
	}
}

// expire breaks off a read or write that waits, and all later ones.
func (p *part) expire() {
	p.expired.Store(true)
	_ = p.st.SetDeadline(time.Now())
}

// pieces cuts a long text into what goes into one message.
func pieces(b []byte) [][]byte {
	var ps [][]byte
	for len(b) > wire.PieceSize {
		ps = append(ps, b[:wire.PieceSize])
		b = b[wire.PieceSize:]
	}
	return append(ps, b)
}
