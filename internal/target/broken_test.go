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

// invalidStatuses are statuses of three characters that net/http accepts and that no final answer has.
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
	res, err := p.Do(ctx, Exchange{Addr: addr, Request: req, NamedBy: func(http.Header) ident.RequestID { return "" }, NewConn: true})
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

// rejected are the results of answersOf for a malformed answer.
var rejected = map[string]error{
	"pool": ErrWrongAnswer, "query": ErrWrongAnswer, "client": ErrWrongAnswer, "client, once": ErrWrongAnswer, "report": ErrBadReport,
}

// Guards against taking an answer with an invalid status for an interim one, and its body for the answer.
func TestInvalidStatusIsRejected(t *testing.T) {
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

// brokenFields are lines of heads with an invalid name.
var brokenFields = []string{
	"X-A : b", "X A: b", "X-A  : b", "Content-Length : 4", "Transfer-Encoding : chunked", "Content-Encoding : gzip",
	HeaderNotRun + " : true", "Id : 0", "X\tA: b", "X-A\t: b", "X\x00A: b", "X\x07A: b", "X\x7fA: b", "X\rA: b", ": b", "X\xc3\xa4: b", "X(A): b",
	"X-A", "\x0bX: b",
}

// Guards against accepting an answer with an invalid field name.
func TestInvalidFieldNameIsRejected(t *testing.T) {
	for _, line := range brokenFields {
		for name, text := range map[string]string{
			"a length": framed("200", line+"\r\n", "{}"),
			"unframed": "HTTP/1.1 200 X\r\nId: 0\r\n" + line + "\r\n\r\n2\r\n{}\r\n0\r\n\r\n",
			"failure":  framed("404", line+"\r\n", "{}"),
			"interim":  "HTTP/1.1 103 X\r\n\r\n" + framed("200", line+"\r\n", "{}"),
		} {
			for client, err := range answersOf(t, textServer(t, text)) {
				if err == nil {
					t.Errorf("%q, %s: the %s takes it", line, name, client)
				}
			}
		}
	}
}

// Guards against taking for broken an answer with a folded or padded value, and against passing on a field of an interim answer or
// of a trailer.
func TestFieldsOfSoundAnswers(t *testing.T) {
	for name, text := range map[string]string{
		"folded":             framed("200", "X-A: b\r\n c\r\n", "{}"),
		"padded":             framed("200", "X-A: \t b \t\r\n", "{}"),
		"no value":           framed("200", "X-A:\r\n", "{}"),
		"odd name":           framed("200", "!#$%&'*+-.^_`|~: b\r\n", "{}"),
		"blanks in interim":  "HTTP/1.1 103 X\r\nX A: b\r\nX-B : b\r\n\r\n" + framed("200", "", "{}"),
		"blanks in trailers": "HTTP/1.1 200 X\r\nId: 0\r\nTransfer-Encoding: chunked\r\nTrailer: X-B\r\n\r\n2\r\n{}\r\n0\r\nX A: b\r\nX-B : b\r\n\r\n",
	} {
		addr := textServer(t, text)
		for client, err := range answersOf(t, addr) {
			if err != nil {
				t.Errorf("%s: the %s fails: %v", name, client, err)
			}
		}
		req, err := http.NewRequest(http.MethodGet, "http://"+addr+"/", nil)
		if err != nil {
			t.Fatal(err)
		}
		res, err := newTestPool(t).Do(t.Context(), Exchange{Addr: addr, Request: req, ID: "0", NamedBy: namedByID})
		if err != nil {
			t.Fatal(err)
		}
		body, err := io.ReadAll(res.Body)
		if diff := cmp.Diff("{}", string(body)); diff != "" || err != nil {
			t.Errorf("%s: %v, body (-want +got):\n%s", name, err, diff)
		}
		for _, field := range []string{"X A", "X-B ", "X-B"} {
			if vs := res.Header[field]; len(vs) > 0 {
				t.Errorf("%s: the answer has a field %q", name, field)
			}
		}
	}
}
