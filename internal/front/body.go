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

// maxDrainedBody is how much of a refused body the server may read to keep the connection for the
// next request.
const maxDrainedBody = 16 << 10

// initialBodyCap is the first allocation for a body, so that a sender that announces a large body
// and sends nothing uses little memory.
const initialBodyCap = 4 << 10

// checkBodyHeaders checks what the headers state about the body.
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

// checkContentType checks the content type of a JSON body. A missing one counts as JSON, since
// simple clients send none.
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

// setBodyDeadline limits the time for reading the body. Without it, slow senders could use up
// MaxRequests, and the host would refuse callers although it has no work. The limit also applies to
// a body that is refused unread, since the server reads some of it to keep the connection.
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
	// The deadline must not outlast the body: it would break the connection in the middle of a long
	// answer.
	_ = x.rc.SetReadDeadline(time.Time{})
	x.bodyComplete = true
	x.cfg.Meter.AddBytesIn(len(x.body))
	return nil
}

// closeIfBodyUnread has the connection closed after a refusal if the body has been read in part, or
// is unread and longer than maxDrainedBody or of unknown length. The server would otherwise read the
// rest before it answers, and a sender that is slow or waits for an answer would receive the refusal
// late.
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
	size := min(max(cap(x.body), initialBodyCap), int(x.cfg.MaxBody)+1-cap(x.body))
	if n := x.r.ContentLength; n > 0 {
		size = min(size, int(n)+1-cap(x.body))
	}
	if !x.cfg.Budget.Reserve(size) {
		return x.notRun(codes.HostBusy, "the memory for bodies is used up")
	}
	x.reserved += size
	body := make([]byte, len(x.body), cap(x.body)+size)
	copy(body, x.body)
	x.body = body
	return nil
}

func (x *exchange) bodyReadFault(err error) *event.Refuse {
	var netErr net.Error
	if errors.As(err, &netErr) && netErr.Timeout() {
		return x.notRun(codes.SlowBody, "")
	}
	return x.notRun(codes.BadRequest, "the body broke off")
}
