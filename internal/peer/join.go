package peer

import (
	"encoding/binary"
	"net"
)

// frameJoiner writes the header and the body of a session frame as one. The session
// library writes them apart, and without this each would be a record of TLS
// and a packet of its own: for a token of a stream, twice the packets.
//
// It goes by the documented form of the frames: 12 bytes of header, of which
// the second is the type and the last four are the length. Only a data frame
// has a body, and one with a length is always followed by it. One goroutine
// of the library does all the writing.
type frameJoiner struct {
	net.Conn
	pending []byte
}

// The form of a frame's header.
const (
	headerSize   = 12
	typeOffset   = 1
	lengthOffset = 8
	dataFrame    = 0
)

// Write holds the header of a data frame back until its body comes.
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
