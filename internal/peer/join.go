package peer

import (
	"encoding/binary"
	"net"
)

// joiner writes the header and the body of a session frame as one. The session
// library writes them apart, and without this each would be a record of TLS
// and a packet of its own: for a token of a stream, twice the packets.
//
// It goes by the documented form of the frames: 12 bytes of header, of which
// the second is the type and the last four are the length. Only a data frame
// has a body, and one with a length is always followed by it. One goroutine
// of the library does all the writing.
type joiner struct {
	net.Conn
	held []byte
}

// The form of a frame's header.
const (
	headerSize = 12
	typeAt     = 1
	lengthAt   = 8
	typeData   = 0
)

// Write holds the header of a data frame back until its body comes.
func (j *joiner) Write(b []byte) (int, error) {
	if len(j.held) == 0 && hasBody(b) {
		j.held = append(j.held, b...)
		return len(b), nil
	}
	if len(j.held) == 0 {
		return j.Conn.Write(b)
	}
	j.held = append(j.held, b...)
	_, err := j.Conn.Write(j.held)
	j.held = j.held[:0]
	if err != nil {
		return 0, err
	}
	return len(b), nil
}

func hasBody(header []byte) bool {
	return len(header) == headerSize && header[typeAt] == typeData &&
		binary.BigEndian.Uint32(header[lengthAt:]) > 0
}
