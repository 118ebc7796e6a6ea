// Package front serves callers over HTTP: the chat-completions API, plain
// services, tickets, and the list of entry hosts to use. docs/callers.md
// describes it.
//
// # Usage
//
//	fr := front.New(front.Config{Self: host, Loop: lp, Runner: rn, Book: book.Load})
//	srv := &http.Server{Handler: fr}
//
// Whatever can be judged from the headers is judged before the body is read,
// so that a body whose place is elsewhere never enters this host.
package front

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/go-logr/logr"
	"github.com/uptrace/bunrouter"

	"verbenadale.example/verbenadale/internal/clock"
	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/internal/loop"
	"verbenadale.example/verbenadale/internal/serve"
	"verbenadale.example/verbenadale/pkg/codes"
	"verbenadale.example/verbenadale/pkg/ident"
	"verbenadale.example/verbenadale/pkg/rules"
)

// The headers between callers and entry hosts.
const (
	HeaderProfile  = "Verbenadale-Profile"
	HeaderTicket   = "Verbenadale-Ticket"
	HeaderDeadline = "Verbenadale-Deadline-Ms"
	HeaderRequest  = "Verbenadale-Request-Id"
	HeaderOutcome  = "Verbenadale-Outcome"
	HeaderKey      = "Idempotency-Key"
)

// Config is what the front needs.
type Config struct {
	Self   event.Host
	Loop   *loop.Loop
	Runner *serve.Runner
	Clock  *clock.Service
	Log    logr.Logger
	// Book returns the configuration in force.
	Book    func() *rules.Book
	MaxBody ident.Bytes
}

// Front is the handler for callers.
type Front struct {
	cfg    Config
	router *bunrouter.Router
}

// New returns a handler.
func New(cfg Config) *Front {
	f := &Front{cfg: cfg, router: bunrouter.New()}
	f.router.POST("/v1/chat/completions", f.complete)
	f.router.POST("/v1/completions", f.complete)
	f.router.GET("/v1/models", f.models)
	f.router.GET("/v1/entries", f.entries)
	return f
}

// ServeHTTP serves one request.
func (f *Front) ServeHTTP(w http.ResponseWriter, r *http.Request) { f.router.ServeHTTP(w, r) }

// newRequestID returns an id that no other host gives out.
func newRequestID() ident.RequestID {
	var b [16]byte
	_, _ = rand.Read(b[:])
	return ident.RequestID("req-" + hex.EncodeToString(b[:]))
}

// client finds the account by the API key.
func (f *Front) client(r *http.Request) (rules.Client, codes.Code, bool) {
	book := f.cfg.Book()
	if book == nil || book.Revision == 0 {
		return rules.Client{}, codes.NotReady, false
	}
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return rules.Client{}, codes.UnknownKey, false
	}
	c, ok := book.ClientByDigest(rules.Digest(key))
	if !ok {
		return rules.Client{}, codes.UnknownKey, false
	}
	return c, codes.Code{}, true
}

func (f *Front) models(w http.ResponseWriter, r bunrouter.Request) error {
	c, code, ok := f.client(r.Request)
	if !ok {
		refuse(w, event.Refuse{Code: code.ID, Outcome: event.NotRun})
		return nil
	}
	list := modelList{Object: "list"}
	for _, p := range f.cfg.Book().Profiles() {
		if p.Service == "" && c.May(p.Name) {
			list.Data = append(list.Data, modelEntry{ID: string(p.Name), Object: "model", OwnedBy: "verbenadale"})
		}
	}
	writeJSON(w, http.StatusOK, list)
	return nil
}

type modelList struct {
	Object string       `json:"object"`
	Data   []modelEntry `json:"data"`
}

type modelEntry struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
}

// askTimeout bounds a question to the control thread.
const askTimeout = 2 * time.Second

func (f *Front) entries(w http.ResponseWriter, r bunrouter.Request) error {
	c, code, ok := f.client(r.Request)
	if !ok {
		refuse(w, event.Refuse{Code: code.ID, Outcome: event.NotRun})
		return nil
	}
	ctx, cancel := context.WithTimeout(r.Context(), askTimeout)
	defer cancel()
	profile := ident.Profile(r.URL.Query().Get("profile"))
	eff, err := f.cfg.Loop.Ask(ctx, func(n event.Ask) event.Event {
		return event.EntriesAsked{Ask: n, Account: c.Name, Profile: profile, Spread: spread()}
	})
	if err != nil {
		refuse(w, event.Refuse{Code: codes.NotReady.ID, Outcome: event.NotRun})
		return nil
	}
	ans := eff.(event.EntriesAnswered)
	if ans.Code != "" {
		refuse(w, event.Refuse{Code: ans.Code, Outcome: event.NotRun})
		return nil
	}
	writeJSON(w, http.StatusOK, entryList{Entries: urls(ans.Entries), ValidForMs: ans.Valid.Milliseconds()})
	return nil
}

type entryList struct {
	Entries    []string `json:"entries"`
	ValidForMs int64    `json:"validForMs"`
}

func urls(hs []event.Host) []string {
	us := make([]string, 0, len(hs))
	for _, h := range hs {
		us = append(us, h.CallerURL)
	}
	return us
}

func spread() uint64 {
	var b [8]byte
	_, _ = rand.Read(b[:])
	n := uint64(0)
	for _, x := range b {
		n = n<<8 | uint64(x)
	}
	return n
}

// deadline reads the caller's deadline.
func (f *Front) deadline(r *http.Request) (ident.Time, codes.Code, bool) {
	text := r.Header.Get(HeaderDeadline)
	if text == "" {
		return 0, codes.Code{}, true
	}
	ms, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return 0, codes.BadRequest, false
	}
	if ms <= 0 {
		return 0, codes.DeadlinePast, false
	}
	return f.cfg.Clock.Now().Add(time.Duration(ms) * time.Millisecond), codes.Code{}, true
}
