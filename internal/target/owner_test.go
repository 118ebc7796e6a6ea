package target

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/pkg/errors"

	"verbenadale.example/verbenadale/pkg/ident"
)

// exchange sends a request and returns its answer with the body read.
func exchange(t *testing.T, p *Pool, addr, method, id string) (*http.Response, string, error) {
	t.Helper()
	req := &http.Request{Method: method, URL: &url.URL{Opaque: "/x", Host: addr}, Host: "h", Header: http.Header{}}
	if id != "" {
		req.Header.Set("Id", id)
	}
	if method == http.MethodPost {
		req.Body, req.ContentLength = io.NopCloser(strings.NewReader("body")), 4
	}
	res, err := p.Do(t.Context(), Exchange{Addr: addr, Request: req, ID: ident.RequestID(id), NamedBy: namedByID})
	if err != nil {
		return nil, "", err
	}
	defer res.Body.Close()
	text, err := io.ReadAll(res.Body)
	return res, string(text), err
}

// Guards against reusing a connection on which further answers may be due.
func TestConnectionsAreReusedOnlyAfterNamedAnswers(t *testing.T) {
	type message struct{ id, answer string }
	named := func(id string) string {
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 2\r\n\r\nok", id)
	}
	const unnamed = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 2\r\n\r\nno"
	for name, c := range map[string]struct {
		messages []message
		// want are the connections on which the messages arrive, wrong those whose answer is not returned.
		want, wrong []int
	}{
		"named":                        {[]message{{"a", named("a")}, {"b", named("b")}, {"c", named("c")}}, []int{1, 1, 1}, nil},
		"interim before it":            {[]message{{"a", "HTTP/1.1 103 Early Hints\r\n\r\n" + named("a")}, {"b", named("b")}}, []int{1, 1}, nil},
		"queries":                      {[]message{{"a", named("a")}, {"", unnamed}, {"b", named("b")}, {"", unnamed}, {"", unnamed}}, []int{1, 1, 2, 2, 3}, nil},
		"query after an extra answer":  {[]message{{"a", named("a")}, {"", named("a") + unnamed}, {"b", named("b")}}, []int{1, 1, 2}, nil},
		"request after an extra one":   {[]message{{"a", named("a")}, {"b", named("a") + named("b")}, {"c", named("c")}}, []int{1, 1, 2}, nil},
		"failure without an id":        {[]message{{"a", named("a")}, {"b", unnamed}, {"c", named("c")}}, []int{1, 1, 2}, []int{1}},
		"success without an id":        {[]message{{"a", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"}, {"b", named("b")}}, []int{1, 2}, []int{0}},
		"no content":                   {[]message{{"a", "HTTP/1.1 204 No Content\r\nId: a\r\n\r\n"}, {"b", named("b")}}, []int{1, 1}, nil},
		"no content, of another":       {[]message{{"a", "HTTP/1.1 304 Not Modified\r\nId: z\r\n\r\n" + named("a")}, {"b", named("b")}}, []int{1, 2}, nil},
		"two extra answers":            {[]message{{"a", named("z") + named("z") + named("a")}, {"b", named("b")}}, []int{1, 2}, []int{0}},
		"the same request again":       {[]message{{"a", named("a")}, {"a", named("a")}, {"b", named("b")}}, []int{1, 2, 2}, nil},
		"the same request after other": {[]message{{"a", named("a")}, {"b", named("b")}, {"a", named("a")}}, []int{1, 1, 1}, nil},
	} {
		t.Run(name, func(t *testing.T) {
			var mu sync.Mutex
			var got []int
			srv := newTestServer(t, func(n int, conn net.Conn, br *bufio.Reader) {
				for {
					if _, ok := readRequest(br); !ok {
						return
					}
					mu.Lock()
					answer := c.messages[len(got)].answer
					got = append(got, n)
					mu.Unlock()
					if _, err := io.WriteString(conn, answer); err != nil {
						return
					}
				}
			})
			p := newTestPool(t)
			var wrong []int
			for i, m := range c.messages {
				_, _, err := exchange(t, p, srv.ln.Addr().String(), http.MethodPost, m.id)
				if errors.Is(err, ErrWrongAnswer) {
					wrong = append(wrong, i)
				} else if err != nil {
					t.Fatal(err)
				}
			}
			if diff := cmp.Diff(c.want, got); diff != "" {
				t.Errorf("connections (-want +got):\n%s", diff)
			}
			if diff := cmp.Diff(c.wrong, wrong); diff != "" {
				t.Errorf("answers that were not accepted (-want +got):\n%s", diff)
			}
		})
	}
}

// troubledTarget answers requests, and sends some answers again: at once, or before the next answer.
type troubledTarget struct {
	mu  sync.Mutex
	rnd *rand.Rand
	// queries counts the queries that were answered.
	queries int
}

// draw returns whether an answer is sent again at once and whether later.
func (k *troubledTarget) draw() (again, late bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.rnd.IntN(6) == 0, k.rnd.IntN(4) == 0
}

// answer returns the answer to a request. Its body and its header Of are the id, for a query its number.
func (k *troubledTarget) answer(r *http.Request) string {
	k.mu.Lock()
	defer k.mu.Unlock()
	id := r.Header.Get("Id")
	of, name := id, "Id: "+id+"\r\n"
	if id == "" {
		k.queries++
		of, name = fmt.Sprint("query ", k.queries), ""
	}
	head := fmt.Sprintf("%sOf: %s\r\n", name, of)
	switch status := []int{200, 200, 200, 204, 304, 503}[k.rnd.IntN(6)]; {
	case status == 204 || status == 304:
		return fmt.Sprintf("HTTP/1.1 %d x\r\n%s\r\n", status, head)
	case r.Method == http.MethodHead:
		return fmt.Sprintf("HTTP/1.1 %d x\r\n%sContent-Length: %d\r\n\r\n", status, head, len(of))
	case k.rnd.IntN(3) == 0:
		return fmt.Sprintf("HTTP/1.1 %d x\r\n%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", status, head, len(of), of)
	default:
		return fmt.Sprintf("HTTP/1.1 %d x\r\n%sContent-Length: %d\r\n\r\n%s", status, head, len(of), of)
	}
}

func (k *troubledTarget) serve(_ int, c net.Conn, br *bufio.Reader) {
	extra := ""
	for {
		r, ok := readRequest(br)
		if !ok {
			return
		}
		text := k.answer(r)
		again, late := k.draw()
		out := extra + text
		extra = ""
		if late {
			extra = text
		}
		if again {
			out += text
		}
		if _, err := io.WriteString(c, out); err != nil {
			return
		}
	}
}

// Guards against returning an answer to another request, whatever a target sends beside its answers.
func TestAnswersBelongToTheirRequests(t *testing.T) {
	for seed := range uint64(8) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			k := &troubledTarget{rnd: rand.New(rand.NewPCG(seed, seed))}
			srv := newTestServer(t, k.serve)
			p := newTestPool(t)
			rnd := rand.New(rand.NewPCG(seed, 1))
			answered := 0
			for n := range 400 {
				id := fmt.Sprint("request ", n)
				want := id
				if rnd.IntN(4) == 0 {
					id = ""
					k.mu.Lock()
					want = fmt.Sprint("query ", k.queries+1)
					k.mu.Unlock()
				}
				method := []string{http.MethodGet, http.MethodPost, http.MethodHead}[rnd.IntN(3)]
				if id == "" {
					method = http.MethodGet
				}
				res, text, err := exchange(t, p, srv.ln.Addr().String(), method, id)
				if err != nil {
					continue
				}
				answered++
				if got := res.Header.Get("Of"); got != want || text != "" && text != want {
					t.Fatalf("%s %q got the answer to %q with the body %q", method, want, got, text)
				}
				time.Sleep(time.Duration(rnd.IntN(2)) * time.Millisecond)
			}
			if answered < 300 {
				t.Errorf("%d of 400 messages were answered", answered)
			}
		})
	}
}
