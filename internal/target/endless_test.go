package target

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"
)

// maxReadOfHead is more than a head may have, with what the buffers of a connection hold.
const maxReadOfHead = 16 << 20

// Guards against a target that sends bytes without end in place of an answer, which would fill the memory of the
// host until the deadline of the request.
func TestAnswerWithoutEndIsCutOff(t *testing.T) {
	line := strings.Repeat("x", 1<<10)
	for name, c := range map[string]struct{ begin, repeat string }{
		"one line":                {begin: "HTTP/1.1 200 OK\r\nX: ", repeat: line},
		"many lines":              {begin: "HTTP/1.1 200 OK\r\n", repeat: "X: " + line + "\r\n"},
		"status line":             {begin: "HTTP/1.1 200 ", repeat: line},
		"noise":                   {repeat: line},
		"interim answers":         {repeat: "HTTP/1.1 100 Continue\r\nX: " + line + "\r\n\r\n"},
		"blank lines":             {repeat: strings.Repeat("\r\n", 512)},
		"after an interim answer": {begin: "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\n", repeat: "X: " + line + "\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			var sent atomic.Int64
			srv := newTestServer(t, func(_ int, conn net.Conn, br *bufio.Reader) {
				if _, err := http.ReadRequest(br); err != nil {
					return
				}
				_, err := conn.Write([]byte(c.begin))
				for err == nil && sent.Load() < 4*maxReadOfHead {
					var n int
					n, err = conn.Write([]byte(c.repeat))
					sent.Add(int64(n))
				}
			})
			ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
			defer cancel()
			req, err := http.NewRequest(http.MethodGet, "http://"+srv.ln.Addr().String()+"/", nil)
			if err != nil {
				t.Fatal(err)
			}
			began := time.Now()
			res, err := newTestPool(t).Do(ctx, Exchange{Addr: srv.ln.Addr().String(), Request: req, NamedBy: namedByID})
			if err == nil {
				_ = res.Body.Close()
				t.Fatal("bytes without end were accepted as an answer")
			}
			if n := sent.Load(); n > maxReadOfHead || time.Since(began) > testTimeout/2 {
				t.Errorf("%d bytes were read in %v: %v", n, time.Since(began), err)
			}
			if errors.Is(err, ErrDisconnected) {
				t.Errorf("the target counts as disconnected: %v", err)
			}
		})
	}
}
