package front

import (
	"fmt"
	"io"
	"mime"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/pkg/codes"
	"verbenadale.example/verbenadale/pkg/ident"
)

// smallBody is what the server may read of a refused body to keep the
// connection for the next request.
const smallBody = 16 << 10

// bodyStep is by how much a body's memory first grows, so that a sender that
// announces much and sends nothing holds little.
const bodyStep = 4 << 10

// checkLength judges what the headers say of the body.
func (x *exchange) checkLength() *event.Refuse {
	if x.r.ContentLength > int64(x.cfg.MaxBody) {
		return x.tooLarge()
	}
	if e := x.r.Header.Get("Content-Encoding"); e != "" && e != "identity" {
		return x.not(codes.WrongType, "send the body without Content-Encoding")
	}
	return nil
}

func (x *exchange) tooLarge() *event.Refuse {
	return x.not(codes.TooLarge, fmt.Sprintf("the limit is %d bytes", x.cfg.MaxBody))
}

// checkJSON judges the content type of a body that is to be JSON. None at all
// counts as JSON, since simple clients send none.
func (x *exchange) checkJSON() *event.Refuse {
	text := x.r.Header.Get("Content-Type")
	if text == "" {
		return nil
	}
	if t, _, err := mime.ParseMediaType(text); err != nil || t != "application/json" {
		return x.not(codes.WrongType, "send Content-Type: application/json")
	}
	return nil
}

// limitBody bounds the time that the body may take. Without it, senders that
// dribble would hold all requests that are allowed in flight, and callers would
// be refused by a host that does nothing. It holds also for a body that is
// refused unread, of which the server reads some to keep the connection.
func (x *exchange) limitBody() {
	if x.cfg.BodyTime > 0 && x.r.Body != nil && x.r.Body != http.NoBody {
		_ = x.rc.SetReadDeadline(time.Now().Add(x.cfg.BodyTime))
	}
}

// read reads the body within its limits of length, memory and time.
func (x *exchange) read() *event.Refuse {
	if x.r.Body == nil || x.r.Body == http.NoBody {
		return nil
	}
	x.reading = true
	for {
		if ref := x.grow(); ref != nil {
			return ref
		}
		n, err := x.r.Body.Read(x.body[len(x.body):cap(x.body)])
		x.body = x.body[:len(x.body)+n]
		if ident.Bytes(len(x.body)) > x.cfg.MaxBody {
			return x.tooLarge()
		}
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return x.broken(err)
		}
	}
	// The deadline must not outlive the body: it would break the connection
	// off in the middle of a long answer.
	_ = x.rc.SetReadDeadline(time.Time{})
	x.whole = true
	x.cfg.Meter.AddBytesIn(len(x.body))
	return nil
}

// hangUp has the connection closed after a refusal where the body is not in
// yet. The server would otherwise read the rest before it answers, and a sender
// that is slow or waits for an answer would get the refusal late.
func (x *exchange) hangUp() {
	if x.whole || x.r.Body == nil || x.r.Body == http.NoBody {
		return
	}
	if n := x.r.ContentLength; x.reading || n < 0 || n > smallBody {
		x.w.Header().Set("Connection", "close")
	}
}

// grow makes room for more of the body.
func (x *exchange) grow() *event.Refuse {
	if len(x.body) < cap(x.body) {
		return nil
	}
	more := min(max(cap(x.body), bodyStep), int(x.cfg.MaxBody)+1-cap(x.body))
	if n := x.r.ContentLength; n > 0 {
		more = min(more, int(n)+1-cap(x.body))
	}
	if !x.cfg.Budget.Take(more) {
		return x.not(codes.HostBusy, "the memory for bodies is used up")
	}
	x.taken += more
	body := make([]byte, len(x.body), cap(x.body)+more)
	copy(body, x.body)
	x.body = body
	return nil
}

func (x *exchange) broken(err error) *event.Refuse {
	var late net.Error
	if errors.As(err, &late) && late.Timeout() {
		return x.not(codes.SlowBody, "")
	}
	return x.not(codes.BadRequest, "the body broke off")
}
