package peer

import (
	"encoding/binary"
	"net"
)

// frameJoiner combines the header and the body of a yamux frame into one write. The yamux
// library writes them separately, so that each would become a TLS record and a packet of its
// own: twice the packets for each token of a stream.
//
// It relies on the documented frame format: the header has 12 bytes, its second byte is the
// type and its last four bytes are the length. Only data frames have a body, and one with a
// nonzero length is always followed by its body. A single goroutine of the library does all
// writes.
type frameJoiner struct {
	net.Conn
	pending []byte
}

// Size and offsets of a yamux frame header in bytes, and the type of data frames.
const (
	headerSize   = 12
	typeOffset   = 1
	lengthOffset = 8
	dataFrame    = 0
)

// Write buffers the header of a data frame until its body follows.
func (j *frameJoiner) Write(b []byte) (int, error) {
	if len(j.pending) == 0 && precedesBody(b) {
		j.pending = append(j.pending, b...)
		return len(b), nil
	}
	if len(j.pending) == 0 {
		return j.Conn.Write(b)
	}
	j.pending = append(j.pending, b...)
	_, err := j.Conn.Write(j.pending)
	j.pending = j.pending[:0]
	if err != nil {
		return 0, err
	}
	return len(b), nil
}

func precedesBody(header []byte) bool {
	return len(header) == headerSize && header[typeOffset] == dataFrame &&
		binary.BigEndian.Uint32(header[lengthOffset:]) > 0
}
