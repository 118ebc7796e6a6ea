// Package admin serves operators over HTTP, on an address apart from the
// callers': health, status, profiles and their changes.
//
// # Usage
//
//	ad := admin.New(admin.Config{Loop: lp, Revs: revs, Book: book.Load, Operators: known})
//	srv := &http.Server{Handler: ad}
//
// An operator sends a token as "Authorization: Bearer TOKEN"; the settings
// hold its digest.
package admin

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"
	"github.com/uptrace/bunrouter"

	"verbenadale.example/verbenadale/internal/config"
	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/internal/logs"
	"verbenadale.example/verbenadale/internal/loop"
	"verbenadale.example/verbenadale/internal/revlog"
	"verbenadale.example/verbenadale/pkg/ident"
	"verbenadale.example/verbenadale/pkg/rules"
)

// Config is what the operators' address needs.
type Config struct {
	Loop      *loop.Loop
	Log       logr.Logger
	Level     *logs.Level
	Revs      *revlog.Log
	Book      func() *rules.Book
	Operators []config.Operator
}

// Admin is the handler for operators.
type Admin struct {
	cfg    Config
	router *bunrouter.Router
}

// New returns a handler.
func New(cfg Config) *Admin {
	a := &Admin{cfg: cfg, router: bunrouter.New()}
	a.router.GET("/healthz", a.health)
	a.router.GET("/v1/status", a.status)
	a.router.GET("/v1/book", a.book)
	a.router.POST("/v1/changes", a.change)
	return a
}

// ServeHTTP serves one request.
func (a *Admin) ServeHTTP(w http.ResponseWriter, r *http.Request) { a.router.ServeHTTP(w, r) }

func (a *Admin) health(w http.ResponseWriter, _ bunrouter.Request) error {
	w.WriteHeader(http.StatusNoContent)
	return nil
}

// askTimeout bounds a question to the control thread, and writeTimeout a
// change.
const (
	askTimeout   = 2 * time.Second
	writeTimeout = 10 * time.Second
)

func (a *Admin) status(w http.ResponseWriter, r bunrouter.Request) error {
	ctx, cancel := context.WithTimeout(r.Context(), askTimeout)
	defer cancel()
	eff, err := a.cfg.Loop.Ask(ctx, func(n event.Ask) event.Event { return event.StatusAsked{Ask: n} })
	if err != nil {
		return fail(w, http.StatusServiceUnavailable, err)
	}
	return answer(w, http.StatusOK, eff)
}

func (a *Admin) book(w http.ResponseWriter, _ bunrouter.Request) error {
	return answer(w, http.StatusOK, a.cfg.Book())
}

func (a *Admin) operator(r *http.Request) (ident.Operator, bool) {
	token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return "", false
	}
	digest := rules.Digest(token)
	for _, op := range a.cfg.Operators {
		if op.TokenDigest == digest {
			return op.Name, true
		}
	}
	return "", false
}

// Fault is the answer to a change that was not accepted.
type Fault struct {
	Message string        `json:"message"`
	Faults  []rules.Fault `json:"faults,omitempty"`
}

func (a *Admin) change(w http.ResponseWriter, r bunrouter.Request) error {
	op, ok := a.operator(r.Request)
	if !ok {
		return fail(w, http.StatusUnauthorized, errors.New("the operator's token is not known"))
	}
	var c rules.Change
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, 1<<20)).Decode(&c); err != nil {
		return fail(w, http.StatusBadRequest, err)
	}
	if faults := rules.Check(c.Items); len(faults) > 0 {
		return answer(w, http.StatusUnprocessableEntity, Fault{Message: "the change has faults", Faults: faults})
	}
	c.Operator = op
	ctx, cancel := context.WithTimeout(r.Context(), writeTimeout)
	defer cancel()
	done, err := a.cfg.Revs.Append(ctx, a.cfg.Book(), c)
	switch {
	case errors.Is(err, revlog.ErrConflict):
		return fail(w, http.StatusConflict, err)
	case errors.Is(err, revlog.ErrUnknown):
		return fail(w, http.StatusGatewayTimeout, err)
	case err != nil:
		return fail(w, http.StatusServiceUnavailable, err)
	}
	a.cfg.Log.Info("change accepted", "revision", done.Revision, "change", done.ID, "operator", op)
	return answer(w, http.StatusOK, done)
}

func fail(w http.ResponseWriter, status int, err error) error {
	return answer(w, status, Fault{Message: err.Error()})
}

func answer(w http.ResponseWriter, status int, v any) error {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	return json.NewEncoder(w).Encode(v)
}
