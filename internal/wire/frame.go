// Package wire is the form in which entry hosts talk to each other: protobuf
// messages, each behind its length, and their mapping to the types of package
// event.
//
// # Usage
//
//	err := wire.Write(w, &wire.Frame{Body: &wire.Frame_Digest{Digest: wire.FromDigest(d)}})
//
//	var f wire.Frame
//	err := wire.Read(br, &f, wire.MaxFrame)
//	d := f.GetDigest().ToEvent(host)
//
// The messages hold no absolute time. The clocks of two hosts may differ by
// any amount, so that a deadline by the sender's clock could lie in the
// receiver's past or far in its future; remaining times and ages mean the
// same on both. What a hello has said once is not said again: a digest names
// neither its host nor its place.
//
// The digests of a prompt's blocks have no field here: they stay on the host
// that read the prompt, but for the one that ends a long shared prefix.
// Hosts of one region exchange it with the target that caches it; no text follows
// from it.
package wire

import (
	"encoding/binary"
	"io"
	"math"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"
)

// Version is the version of the protocol, sent in the hello.
const Version = 2

// Bounds of one message in bytes.
const (
	// MaxHello bounds the first message of a session, which comes from a
	// sender that has not yet said who it is.
	MaxHello = 4 << 10
	// MaxFrame bounds a message of the control stream. The largest is a
	// snapshot of the configuration.
	MaxFrame = 4 << 20
	// MaxPart bounds a message of the stream of a forwarded request.
	MaxPart = 128 << 10
	// PieceSize is how much of a body or an answer goes into one message.
	PieceSize = 32 << 10
)

// The errors of this package.
var (
	// ErrLink says that the bytes did not come or could not be written.
	ErrLink = errors.New("wire: the link broke")
	// ErrFormat says that a message can't be understood.
	ErrFormat = errors.New("wire: the message is malformed")
)

// Reader is what messages are read from, such as a bufio.Reader.
type Reader interface {
	io.Reader
	io.ByteReader
}

// Encode returns one message behind its length.
func Encode(m proto.Message) ([]byte, error) {
	n := proto.Size(m)
	b := make([]byte, 0, n+binary.MaxVarintLen64)
	b = protowire.AppendVarint(b, uint64(n))
	b, err := proto.MarshalOptions{UseCachedSize: true}.MarshalAppend(b, m)
	if err != nil {
		return nil, errors.Wrap(ErrFormat, err.Error())
	}
	return b, nil
}

// Write writes one message behind its length, in one call of w, so that it
// costs one header of the layer below.
func Write(w io.Writer, m proto.Message) error {
	b, err := Encode(m)
	if err != nil {
		return err
	}
	if _, err := w.Write(b); err != nil {
		return errors.Wrap(ErrLink, err.Error())
	}
	return nil
}

// Read reads one message of at most the given number of bytes. The length is
// checked before memory is allocated for it: a sender that announces gigabytes
// would otherwise end the process with one small packet.
func Read(r Reader, m proto.Message, most int64) error {
	err := protodelim.UnmarshalOptions{MaxSize: most}.UnmarshalFrom(r, m)
	if err == nil {
		return nil
	}
	var large *protodelim.SizeTooLargeError
	if errors.As(err, &large) || errors.Is(err, proto.Error) {
		return errors.Wrap(ErrFormat, err.Error())
	}
	return errors.Wrap(ErrLink, err.Error())
}

// millis rounds to the milliseconds that travel. A negative duration travels
// as zero: a deadline that has passed has no time left.
func millis(d time.Duration) uint64 { return uint64(max(d.Milliseconds(), 0)) }

// maxDuration bounds the durations that are read, so that no sum overflows.
const maxDuration = 24 * time.Hour

func duration(ms uint64) time.Duration {
	if ms > uint64(maxDuration.Milliseconds()) {
		return maxDuration
	}
	return time.Duration(ms) * time.Millisecond
}

// nonNegative reads a number of things, which can't be negative: added up with
// others it would make a full target look free.
func nonNegative(n int64) int64 { return max(n, 0) }

// finiteOrZero reads a rate or a price. Not-a-finiteOrZero compares as neither less nor
// more than any other, so that one of it in a cost would make each choice
// arbitrary without an error anywhere; it counts as not known.
func finiteOrZero(f float32) float64 {
	if f >= 0 && f <= math.MaxFloat32 {
		return float64(f)
	}
	return 0
}

// convert maps each element of a slice and keeps nil for an empty one.
func convert[A, B any](as []A, f func(A) B) []B {
	if len(as) == 0 {
		return nil
	}
	bs := make([]B, 0, len(as))
	for _, a := range as {
		bs = append(bs, f(a))
	}
	return bs
}
