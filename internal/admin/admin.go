// Package admin is the HTTP API for operators: health, status, profiles and
// changes to them. It is served on an address of its own, apart from that for
// callers. docs/operators.md describes it.
//
// # Usage
//
//	ad := admin.New(admin.Config{Loop: lp, Revs: revs, Book: book.Load, Operators: operators})
//	srv := &http.Server{Handler: ad}
//
// An operator authenticates with "Authorization: Bearer TOKEN"; the settings
// hold the digest of the token. Reads need a token too, because accounts and
// the locations of targets are confidential. Health, readiness and metrics
// need none: they name no account, and the probes that request them would
// otherwise hold a token that may change profiles.
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

// Config holds the dependencies of the operators' API.
type Config struct {
	Loop  *loop.Loop
	Clock *clock.Service
	Log   logr.Logger
	Level *logs.Level
	Revs  *revlog.Log
	// Book returns the configuration in force, or nil if none has been loaded.
	Book      func() *rules.Book
	Operators []config.Operator
	Metrics   metrics.Registry
	// Drain starts a graceful stop of the host.
	Drain func()
}

// Admin is the HTTP handler of the operators' API.
type Admin struct {
	cfg    Config
	router *bunrouter.Router
}

// New returns a handler for the operators' API.
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

func (a *Admin) ServeHTTP(w http.ResponseWriter, r *http.Request) { a.router.ServeHTTP(w, r) }

// health is the liveness probe. It succeeds without a configuration and while
// the platform is unreachable, since a restart would fix neither.
func (a *Admin) health(w http.ResponseWriter, _ bunrouter.Request) error {
	w.WriteHeader(http.StatusNoContent)
	return nil
}

// ready is the readiness probe. It succeeds once a configuration is in force.
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

// operatorHandler serves a request of an authenticated operator.
type operatorHandler func(w http.ResponseWriter, r *http.Request, op ident.Operator) error

// maxBodyBytes limits the body of a request.
const maxBodyBytes = 1 << 20

// requireOperator rejects requests without the token of an operator from the
// settings, and limits the body.
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

// authenticate returns the operator whose token the request has. It compares
// every digest in constant time, so that response times reveal nothing about
// the digests.
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

// decode parses a JSON body. It rejects unknown fields, since a misspelt field
// would otherwise be ignored silently.
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
