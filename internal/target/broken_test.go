package target

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/pkg/ident"
)

// invalidStatuses are statuses of three characters that no final answer has.
var invalidStatuses = []string{"000", "001", "042", "099", "+20", "-00", "101"}

// framed returns an answer to the request "0" and to a query, with a status, further fields and a body.
func framed(status, fields, body string) string {
	return fmt.Sprintf("HTTP/1.1 %s X\r\nId: 0\r\n%sContent-Length: %d\r\n\r\n%s", status, fields, len(body), body)
}

// textServer answers each request with the same bytes and closes its connection.
func textServer(t *testing.T, text string) (addr string) {
	t.Helper()
	return newTestServer(t, func(_ int, c net.Conn, br *bufio.Reader) {
		if _, ok := readRequest(br); ok {
			_, _ = io.WriteString(c, text)
		}
	}).ln.Addr().String()
}

// answersOf sends requests to a target with each of the clients of this package, and returns their results.
func answersOf(t *testing.T, addr string) map[string]error {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	errs := make(map[string]error)
	p := newTestPool(t)
	_, errs["pool"] = call(ctx, p, addr, "0", "body")
	req, err := http.NewRequest(http.MethodGet, "http://"+addr+"/", nil)
	if err != nil {
		t.Fatal(err)
	}
	res, err := p.Do(ctx, Exchange{Addr: addr, Request: req, NamedBy: func(http.Header) ident.RequestID { return "" }})
	if errs["query"] = err; err == nil {
		_ = res.Body.Close()
	}
	cl := New()
	for name, once := range map[string]bool{"client": false, "client, once": true} {
		res, err := cl.Send(ctx, testRequest("http://"+addr, once), func() {})
		if errs[name] = err; err == nil {
			_ = res.Body.Close()
		}
	}
	_, errs["report"] = cl.Load(ctx, event.Target{ID: "t", URL: "http://" + addr})
	return errs
}

// rejected are the results of answersOf for an answer that is none.
var rejected = map[string]error{
	"pool": ErrWrongAnswer, "query": ErrWrongAnswer, "client": ErrWrongAnswer, "client, once": ErrWrongAnswer, "report": ErrBadReport,
}

// Guards against taking an answer whose status is none for an interim one, and its body for the answer.
func TestStatusThatIsNoneIsNoAnswer(t *testing.T) {
	for _, status := range invalidStatuses {
		for name, body := range map[string]string{"empty": "", "json": "{}", "an answer": framed("200", "", "{}"), "many answers": strings.Repeat(framed("200", "", "{}"), 3)} {
			got := answersOf(t, textServer(t, framed(status, "", body)))
			if diff := cmp.Diff(rejected, got, cmpopts.EquateErrors()); diff != "" {
				t.Errorf("%s, %s (-want +got):\n%s", status, name, diff)
			}
		}
	}
}

// Guards against rejecting the answer behind an interim one.
func TestAnswersBehindInterimOnes(t *testing.T) {
	for _, status := range []string{"100", "102", "103", "199"} {
		got := answersOf(t, textServer(t, "HTTP/1.1 "+status+" X\r\nLink: x\r\n\r\n"+framed("200", "", "{}")))
		for name, err := range got {
			if err != nil {
				t.Errorf("%s, %s: %v", status, name, err)
			}
		}
	}
}
