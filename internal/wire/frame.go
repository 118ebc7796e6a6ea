// Package wire defines the messages between entry hosts, as length-prefixed
// protobuf, and converts them to and from the types of package event.
//
// # Usage
//
//	err := wire.Write(w, &wire.Frame{Body: &wire.Frame_Digest{Digest: wire.FromDigest(d)}})
//
//	var f wire.Frame
//	err := wire.Read(br, &f, wire.MaxFrame)
//	d := f.GetDigest().ToEvent(host)
//
// The messages contain no absolute time, except the time of a configuration
// change, which is only displayed. The clocks of two hosts may differ by any
// amount, so that a deadline by the sender's clock could lie in the recipient's
// past or far in its future; remaining times and ages mean the same on both.
// Data sent in the hello message is not repeated: a digest contains neither its
// host nor its place.
//
// The digests of a prompt's blocks are not sent: they stay on the host that read
// the prompt. The exception is the digest that ends a long shared prefix. Hosts
// of one region exchange it together with the target that caches the prefix; it
// reveals no text.
package wire

import (
	"encoding/binary"
	"io"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/pkg/ident"
)

// Version is the version of the protocol, sent in the hello.
const Version = 2

// Bounds of one message in bytes.
const (
	// MaxHello bounds the first message of a session, whose sender has not identified
	// itself yet.
	MaxHello = 4 << 10
	// MaxFrame bounds a message of the control stream. The largest is a snapshot of the
	// configuration.
	MaxFrame = 4 << 20
	// MaxPart bounds a message of the stream of a forwarded request.
	MaxPart = 128 << 10
	// PieceSize is the maximum part of a body or an answer in one message.
	PieceSize = 32 << 10
)

// The errors of this package.
var (
	// ErrLink means that bytes could not be read or written.
	ErrLink = errors.New("wire: connection failed")
	// ErrFormat means that a message can't be decoded.
	ErrFormat = errors.New("wire: malformed message")
)

// Reader is a source of messages, such as a bufio.Reader.
type Reader interface {
	io.Reader
	io.ByteReader
}

// Encode returns one message prefixed with its length.
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

// Write writes one message prefixed with its length in a single call of w, so that the
// layer below adds only one header.
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

// Read reads one message of at most maxSize bytes. The length is checked before memory
// is allocated: otherwise a sender that announces gigabytes could end the process with
// one small packet.
func Read(r Reader, m proto.Message, maxSize int64) error {
	err := protodelim.UnmarshalOptions{MaxSize: maxSize}.UnmarshalFrom(r, m)
	if err == nil {
		return nil
	}
	var large *protodelim.SizeTooLargeError
	if errors.As(err, &large) || errors.Is(err, proto.Error) {
		return errors.Wrap(ErrFormat, err.Error())
	}
	return errors.Wrap(ErrLink, err.Error())
}

// millis truncates to the milliseconds that are sent. A negative duration is sent as
// zero: no time remains after a deadline has passed.
func millis(d time.Duration) uint64 { return uint64(max(d.Milliseconds(), 0)) }

func micros(d time.Duration) uint64 { return uint64(max(d.Microseconds(), 0)) }

// maxDuration limits the durations that are read, so that sums do not overflow.
const maxDuration = 24 * time.Hour

func duration(ms uint64) time.Duration {
	if ms > uint64(maxDuration.Milliseconds()) {
		return maxDuration
	}
	return time.Duration(ms) * time.Millisecond
}

// Bounds of the numbers in messages. A number beyond its bound is a fault of the sender and counts as unknown,
// which is zero. Sums over all targets and hosts, and their percentages, stay within 64 bits.
const (
	// maxCount bounds the requests of a host, and the slots and targets of a data centre.
	maxCount = 1 << 30
	// maxTokens bounds the tokens that a host or a target has in flight.
	maxTokens = 1 << 40
	// maxMeasured bounds rates per second, and prices.
	maxMeasured = 1 << 40
	// maxRequestTime and maxEventGap bound the typical duration of a request and the time between two
	// events of a stream.
	maxRequestTime = 10 * time.Minute
	maxEventGap    = time.Minute
)

// integer is a number as it is sent.
type integer interface{ int64 | uint64 }

// count reads a number of requests, targets or slots of a data centre. A negative one, added to others,
// would make a full target look free.
func count[N integer](n N) int { return int(bounded(n, maxCount)) }

// slots reads the slots of one target.
func slots(n int64) int { return int(bounded(n, event.MaxSlots)) }

func tokens[N integer](n N) ident.Tokens { return ident.Tokens(bounded(n, maxTokens)) }

func bounded[N integer](n, most N) N {
	if n < 0 || n > most {
		return 0
	}
	return n
}

// signed reads a number that may be negative.
func signed(n, most int64) int64 {
	if n < -most || n > most {
		return 0
	}
	return n
}

// rate reads a rate or a price. NaN compares as neither less nor greater than any number, so that one NaN in
// a cost would make every choice arbitrary without an error.
func rate(f float32) float64 {
	if f >= 0 && f <= maxMeasured {
		return float64(f)
	}
	return 0
}

func shortDuration(us uint64, most time.Duration) time.Duration {
	return time.Duration(bounded(us, uint64(most.Microseconds()))) * time.Microsecond
}

// convert applies f to each element of a slice and returns nil for an empty one.
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
