// Package admin serves operators over HTTP, on an address apart from the
// callers': health, status, profiles and their changes. docs/operators.md
// describes it.
//
// # Usage
//
//	ad := admin.New(admin.Config{Loop: lp, Revs: revs, Book: book.Load, Operators: known})
//	srv := &http.Server{Handler: ad}
//
// An operator sends a token as "Authorization: Bearer TOKEN"; the settings
// hold its digest. Reading needs a token too, since the accounts and the
// places of targets are nobody else's business. Health, readiness and metrics
// need none: they name no account and are asked by probes, which would
// otherwise have to hold a token that may change profiles.
package admin

import (
	"crypto/subtle"
	"encoding/json"
	"net/http"
	"strings"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"
	metrics "github.com/rcrowley/go-metrics"
	"github.com/uptrace/bunrouter"

	"verbenadale.example/verbenadale/internal/clock"
	"verbenadale.example/verbenadale/internal/config"
	"verbenadale.example/verbenadale/internal/logs"
	"verbenadale.example/verbenadale/internal/loop"
	"verbenadale.example/verbenadale/internal/revlog"
	"verbenadale.example/verbenadale/pkg/ident"
	"verbenadale.example/verbenadale/pkg/rules"
)

// Config is what the operators' address needs.
type Config struct {
	Loop  *loop.Loop
	Clock *clock.Service
	Log   logr.Logger
	Level *logs.Level
	Revs  *revlog.Log
	// Book returns the configuration in force, nil before there is one.
	Book      func() *rules.Book
	Operators []config.Operator
	Metrics   metrics.Registry
	// Drain starts a graceful stop of the host.
	Drain func()
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
	a.router.GET("/readyz", a.ready)
	a.router.GET("/metrics", a.metrics)
	a.router.GET("/v1/status", a.requireOperator(a.status))
	a.router.GET("/v1/inForce", a.requireOperator(a.inForce))
	a.router.GET("/v1/book", a.requireOperator(a.book))
	a.router.GET("/v1/profiles", a.requireOperator(a.profiles))
	a.router.GET("/v1/accounts", a.requireOperator(a.accounts))
	a.router.POST("/v1/changes", a.requireOperator(a.change))
	a.router.GET("/v1/proposals", a.requireOperator(a.proposals))
	a.router.POST("/v1/proposals", a.requireOperator(a.propose))
	a.router.POST("/v1/proposals/:id/approve", a.requireOperator(a.approve))
	a.router.GET("/v1/history", a.requireOperator(a.history))
	a.router.POST("/v1/rollback", a.requireOperator(a.rollback))
	a.router.POST("/v1/drain", a.requireOperator(a.drain))
	a.router.POST("/v1/route", a.requireOperator(a.route))
	a.router.GET("/v1/logLevel", a.requireOperator(a.level))
	a.router.PUT("/v1/logLevel", a.requireOperator(a.setLevel))
	return a
}

// ServeHTTP serves one request.
func (a *Admin) ServeHTTP(w http.ResponseWriter, r *http.Request) { a.router.ServeHTTP(w, r) }

// health says that the process lives. A host without a configuration or with
// its platform away is healthy: a restart would mend nothing.
func (a *Admin) health(w http.ResponseWriter, _ bunrouter.Request) error {
	w.WriteHeader(http.StatusNoContent)
	return nil
}

// ready says that there is a configuration to serve by.
func (a *Admin) ready(w http.ResponseWriter, _ bunrouter.Request) error {
	if a.cfg.Book().Rev() == 0 {
		return writeFault(w, http.StatusServiceUnavailable, Fault{Message: "there is no configuration yet"})
	}
	w.WriteHeader(http.StatusNoContent)
	return nil
}

func (a *Admin) metrics(w http.ResponseWriter, r bunrouter.Request) error {
	reg := a.cfg.Metrics
	if reg == nil {
		reg = metrics.NewRegistry()
	}
	if r.URL.Query().Get("format") == "text" {
		w.Header().Set("Content-Type", "text/plain; charset=utf-8")
		metrics.WriteOnce(reg, w)
		return nil
	}
	w.Header().Set("Content-Type", "application/json")
	metrics.WriteJSONOnce(reg, w)
	return nil
}

// operatorHandler serves a request of a known operator.
type operatorHandler func(w http.ResponseWriter, r *http.Request, op ident.Operator) error

// maxBodyBytes bounds what an operator sends.
const maxBodyBytes = 1 << 20

// requireOperator lets only operators of the settings through and bounds the body.
func (a *Admin) requireOperator(next operatorHandler) bunrouter.HandlerFunc {
	return func(w http.ResponseWriter, r bunrouter.Request) error {
		op, ok := a.authenticate(r.Request)
		if !ok {
			return writeFault(w, http.StatusUnauthorized, Fault{Message: "the operator's token is not known; give it with -token or VERBCTL_TOKEN"})
		}
		r.Body = http.MaxBytesReader(w, r.Body, maxBodyBytes)
		for name, v := range r.Params().Map() {
			r.SetPathValue(name, v)
		}
		return next(w, r.Request, op)
	}
}

// authenticate finds the authenticate of a token. Every digest is compared, and each
// in the same time, so that the time of an answer reveals nothing about them.
func (a *Admin) authenticate(r *http.Request) (ident.Operator, bool) {
	token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return "", false
	}
	digest := []byte(rules.Digest(token))
	name, found := ident.Operator(""), false
	for _, op := range a.cfg.Operators {
		if subtle.ConstantTimeCompare([]byte(strings.ToLower(op.TokenDigest)), digest) == 1 {
			name, found = op.Name, true
		}
	}
	return name, found
}

// decode reads a body. Unknown fields are faults, since a misspelt field would
// silently do nothing.
func decode(r *http.Request, v any) error {
	dec := json.NewDecoder(r.Body)
	dec.DisallowUnknownFields()
	return errors.Wrap(dec.Decode(v), "admin: the body can't be read")
}

func writeJSON(w http.ResponseWriter, status int, v any) error {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	return json.NewEncoder(w).Encode(v)
}
