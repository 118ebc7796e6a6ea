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

// maxDrainedBody is what the server may read of a refused body to keep the
// connection for the next request.
const maxDrainedBody = 16 << 10

// initialBodyCap is by how much a body's memory first grows, so that a sender that
// announces much and sends nothing holds little.
const initialBodyCap = 4 << 10

// checkBodyHeaders judges what the headers say of the body.
func (x *exchange) checkBodyHeaders() *event.Refuse {
	if x.r.ContentLength > int64(x.cfg.MaxBody) {
		return x.tooLarge()
	}
	if e := x.r.Header.Get("Content-Encoding"); e != "" && e != "identity" {
		return x.notRun(codes.WrongType, "send the body without Content-Encoding")
	}
	return nil
}

func (x *exchange) tooLarge() *event.Refuse {
	return x.notRun(codes.TooLarge, fmt.Sprintf("the limit is %d bytes", x.cfg.MaxBody))
}

// checkContentType judges the content type of a body that is to be JSON. None at all
// counts as JSON, since simple clients send none.
func (x *exchange) checkContentType() *event.Refuse {
	text := x.r.Header.Get("Content-Type")
	if text == "" {
		return nil
	}
	if t, _, err := mime.ParseMediaType(text); err != nil || t != "application/json" {
		return x.notRun(codes.WrongType, "send Content-Type: application/json")
	}
	return nil
}

// setBodyDeadline bounds the time that the body may take. Without it, senders that
// dribble would hold all requests that are allowed in flight, and callers would
// be refused by a host that does nothing. It holds also for a body that is
// refused unread, of which the server reads some to keep the connection.
func (x *exchange) setBodyDeadline() {
	if x.cfg.BodyTimeout > 0 && x.r.Body != nil && x.r.Body != http.NoBody {
		_ = x.rc.SetReadDeadline(time.Now().Add(x.cfg.BodyTimeout))
	}
}

// readBody reads the body within its limits of length, memory and time.
func (x *exchange) readBody() *event.Refuse {
	if x.r.Body == nil || x.r.Body == http.NoBody {
		return nil
	}
	x.bodyStarted = true
	for {
		if ref := x.growBody(); ref != nil {
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
			return x.bodyReadFault(err)
		}
	}
	// The deadline must not outlive the body: it would break the connection
	// off in the middle of a long answer.
	_ = x.rc.SetReadDeadline(time.Time{})
	x.bodyComplete = true
	x.cfg.Meter.In(len(x.body))
	return nil
}

// closeIfBodyUnread has the connection closed after a refusal where the body is not in
// yet. The server would otherwise read the rest before it answers, and a sender
// that is slow or waits for an answer would get the refusal late.
func (x *exchange) closeIfBodyUnread() {
	if x.bodyComplete || x.r.Body == nil || x.r.Body == http.NoBody {
		return
	}
	if n := x.r.ContentLength; x.bodyStarted || n < 0 || n > maxDrainedBody {
		x.w.Header().Set("Connection", "close")
	}
}

// growBody makes room for more of the body.
func (x *exchange) growBody() *event.Refuse {
	if len(x.body) < cap(x.body) {
		return nil
	}
	more := min(max(cap(x.body), initialBodyCap), int(x.cfg.MaxBody)+1-cap(x.body))
	if n := x.r.ContentLength; n > 0 {
		more = min(more, int(n)+1-cap(x.body))
	}
	if !x.cfg.Budget.Reserve(more) {
		return x.notRun(codes.HostBusy, "the memory for bodies is used up")
	}
	x.reserved += more
	body := make([]byte, len(x.body), cap(x.body)+more)
	copy(body, x.body)
	x.body = body
	return nil
}

func (x *exchange) bodyReadFault(err error) *event.Refuse {
	var late net.Error
	if errors.As(err, &late) && late.Timeout() {
		return x.notRun(codes.SlowBody, "")
	}
	return x.notRun(codes.BadRequest, "the body broke off")
}
