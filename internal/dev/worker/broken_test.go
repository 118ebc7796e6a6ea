package worker

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http/httptest"
	"strings"
	"syscall"
	"testing"
	"time"
)

// Guards against a stand-in that no longer sends the answers that its faults name.
func TestBrokenAnswersAreSent(t *testing.T) {
	for _, events := range []int{0, 3} {
		part := "a part"
		if events > 0 {
			part = EventText(1)
		}
		for f, want := range map[Fault]string{ResetUpload: "\r\n\r\n" + part, InvalidStatus: "HTTP/1.1 000\r\n", BlankName: "\r\nTransfer-Encoding : chunked\r\n"} {
			k := New(Config{ID: "w", Events: events})
			k.InjectFault(f, 1)
			srv := httptest.NewServer(k)
			defer srv.Close()
			c, err := net.Dial("tcp", srv.Listener.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer c.Close()
			_ = c.SetDeadline(time.Now().Add(10 * time.Second))
			fmt.Fprint(c, "POST /x/ HTTP/1.1\r\nHost: h\r\nVerbenadale-Request-Id: r\r\nContent-Length: 1000000\r\n\r\nthe rest is never sent")
			text, err := io.ReadAll(c)
			if reset := errors.Is(err, syscall.ECONNRESET); !strings.Contains(string(text), want) || f == ResetUpload && !reset {
				t.Errorf("%s with %d events: %q, %v", f, events, text, err)
			}
			if got := k.RunsByRequest()["r"]; got != 1 {
				t.Errorf("%s with %d events counts as %d runs", f, events, got)
			}
		}
	}
}
