package front

import (
	"fmt"
	"mime"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/internal/serve"
	"verbenadale.example/verbenadale/pkg/codes"
)

// maxDrainedBody is how much of a refused body the server may read to keep the connection for the
// next request.
const maxDrainedBody = 16 << 10

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
	x.body = serve.BodyReader{Budget: x.cfg.Budget, Max: x.cfg.MaxBody, Length: x.r.ContentLength}
	err := x.body.Read(x.r.Body)
	switch {
	case errors.Is(err, serve.ErrBodyTooLong):
		return x.tooLarge()
	case errors.Is(err, serve.ErrBodyMemory):
		return x.notRun(codes.HostBusy, "the memory for bodies is used up")
	case err != nil:
		return x.bodyReadFault(err)
	}
	// The deadline must not outlast the body: it would break the connection in the middle of a long
	// answer.
	_ = x.rc.SetReadDeadline(time.Time{})
	x.bodyComplete = true
	x.cfg.Meter.AddBytesIn(len(x.body.Bytes()))
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

func (x *exchange) bodyReadFault(err error) *event.Refuse {
	var netErr net.Error
	if errors.As(err, &netErr) && netErr.Timeout() {
		return x.notRun(codes.SlowBody, "")
	}
	return x.notRun(codes.BadRequest, "the body broke off")
}
