package store_test

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"verbenadale.example/verbenadale/internal/store"
)

// newRawClient returns a client of a service that answers each call with the same bytes and then ends the connection.
func newRawClient(t *testing.T, text string, end func(c *net.TCPConn)) *store.Client {
	t.Helper()
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		c, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer c.Close()
		_, _ = io.WriteString(c, text)
		end(c.(*net.TCPConn))
	}))
	cl := store.New(store.Config{URL: srv.URL})
	t.Cleanup(srv.Close)
	t.Cleanup(cl.Close)
	return cl
}

// Guards against believing a malformed answer.
func TestMalformedAnswerIsNotBelieved(t *testing.T) {
	const length = "Connection: close\r\nContent-Length: 13\r\n\r\n"
	for _, head := range []string{
		"HTTP/1.1 000\r\n" + length, "HTTP/1.1 042 X\r\n" + length, "HTTP/1.1 200 OK\r\nX A: b\r\n" + length, "HTTP/1.1 200 OK\r\nX-A : b\r\n" + length,
		"HTTP/1.1 200 OK\r\nContent-Length : 13\r\n\r\n", "HTTP/1.1 404 Not Found\r\nX A: b\r\n" + length, "HTTP/1.1 200 OK\r\nX\x07A: b\r\n" + length,
	} {
		cl := newRawClient(t, head+`{"version":9}`, func(*net.TCPConn) {})
		_, err := cl.Put(t.Context(), "k", []byte("a"), store.Absent)
		wantErr(t, head+"put", store.ErrUnknown, err)
		wantErr(t, head+"delete", store.ErrUnknown, cl.Delete(t.Context(), "k", 9))
		_, err = cl.Get(t.Context(), "k")
		wantErr(t, head+"get", store.ErrUnavailable, err)
	}
}

// Guards against believing a part of an answer whose connection was reset while the call was still being written.
func TestAnswerResetDuringAWriteIsNotBelieved(t *testing.T) {
	for _, part := range []string{"", `{"version":`} {
		cl := newRawClient(t, "HTTP/1.1 200 OK\r\n\r\n"+part, func(c *net.TCPConn) {
			time.Sleep(5 * time.Millisecond)
			_ = c.SetLinger(0)
		})
		for range 10 {
			_, err := cl.Put(t.Context(), "k", make([]byte, store.MaxValue), store.Absent)
			wantErr(t, part, store.ErrUnknown, err)
		}
	}
}
