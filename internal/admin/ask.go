package admin

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/pkg/ident"
)

const (
	// askTimeout limits one query to the control thread.
	askTimeout = 2 * time.Second
	// inForcePollInterval is the time between two queries while a request
	// waits for a revision, and maxInForceWait the longest such wait.
	inForcePollInterval = 100 * time.Millisecond
	maxInForceWait      = 30 * time.Second
)

func (a *Admin) ask(ctx context.Context, question func(n event.Ask) event.Event) (event.Effect, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	eff, err := a.cfg.Loop.Ask(ctx, question)
	return eff, errors.Wrap(err, "admin: the host does not answer")
}

func (a *Admin) askStatus(ctx context.Context) (event.StatusAnswered, error) {
	eff, err := a.ask(ctx, func(n event.Ask) event.Event { return event.StatusAsked{Ask: n} })
	if err != nil {
		return event.StatusAnswered{}, err
	}
	st, ok := eff.(event.StatusAnswered)
	if !ok {
		return event.StatusAnswered{}, errors.Errorf("admin: status was answered by %s", event.TypeName(eff))
	}
	return st, nil
}

func writeUnavailable(w http.ResponseWriter, err error) error {
	return writeFault(w, http.StatusServiceUnavailable, Fault{Message: err.Error(), Kind: KindUnavailable})
}

func (a *Admin) status(w http.ResponseWriter, r *http.Request, _ ident.Operator) error {
	st, err := a.askStatus(r.Context())
	if err != nil {
		return writeUnavailable(w, err)
	}
	return writeJSON(w, http.StatusOK, st)
}

// InForce reports which data centres have a revision in force, as far as the
// queried host knows.
type InForce struct {
	Revision ident.Revision `json:"revision"`
	// Everywhere is set if every known data centre has the revision in force,
	// and at least one is known.
	Everywhere bool            `json:"everywhere"`
	Centres    []CentreInForce `json:"centres"`
}

// CentreInForce reports whether a data centre has the revision in force.
// LowestRevision is the lowest that any of its live hosts has in force.
type CentreInForce struct {
	DataCentre     ident.DataCentre `json:"dataCentre"`
	Region         ident.Region     `json:"region"`
	LowestRevision ident.Revision   `json:"lowest"`
	InForce        bool             `json:"inForce"`
	// Age is the age of the newest summary from the data centre.
	Age         time.Duration `json:"age"`
	Unreachable bool          `json:"cutOff,omitempty"`
}

// inForce returns as soon as the revision is in force everywhere, and at the
// latest after the query parameter waitMs (milliseconds, 0 by default).
func (a *Admin) inForce(w http.ResponseWriter, r *http.Request, _ ident.Operator) error {
	q := r.URL.Query()
	rev, err := strconv.ParseUint(q.Get("revision"), 10, 64)
	if err != nil {
		return writeBadRequest(w, errors.Errorf("revision=%q is no revision", q.Get("revision")))
	}
	ms, _ := strconv.ParseInt(q.Get("waitMs"), 10, 64)
	ctx, cancel := context.WithTimeout(r.Context(), min(max(0, time.Duration(ms)*time.Millisecond), maxInForceWait))
	defer cancel()
	ticks := a.cfg.Clock.Every(inForcePollInterval)
	defer ticks.Close()
	for {
		st, err := a.askStatus(r.Context())
		if err != nil {
			return writeUnavailable(w, err)
		}
		f := inForceAt(ident.Revision(rev), st)
		if f.Everywhere {
			return writeJSON(w, http.StatusOK, f)
		}
		select {
		case <-ticks.C():
		case <-ctx.Done():
			return writeJSON(w, http.StatusOK, f)
		}
	}
}

func inForceAt(rev ident.Revision, st event.StatusAnswered) InForce {
	f := InForce{Revision: rev, Everywhere: len(st.Centres) > 0}
	for _, c := range st.Centres {
		inForce := c.InForce >= rev
		f.Everywhere = f.Everywhere && inForce
		f.Centres = append(f.Centres, CentreInForce{
			DataCentre: c.Place.DataCentre, Region: c.Place.Region, LowestRevision: c.InForce,
			InForce: inForce, Age: c.Age, Unreachable: c.CutOff,
		})
	}
	return f
}

// drain starts a graceful stop of this host. It responds immediately; the
// process exits once its last request has ended or the time to drain is over.
func (a *Admin) drain(w http.ResponseWriter, _ *http.Request, op ident.Operator) error {
	a.cfg.Log.Info("drain asked", "operator", op)
	a.cfg.Drain()
	w.WriteHeader(http.StatusAccepted)
	return nil
}

// route returns the routing decision for a request without sending it.
func (a *Admin) route(w http.ResponseWriter, r *http.Request, _ ident.Operator) error {
	var req event.Request
	if err := decode(r, &req); err != nil {
		return writeBadRequest(w, err)
	}
	eff, err := a.ask(r.Context(), func(n event.Ask) event.Event { return event.RouteAsked{Ask: n, Request: req} })
	if err != nil {
		return writeUnavailable(w, err)
	}
	return writeJSON(w, http.StatusOK, eff)
}

// Level is the verbosity of the log.
type Level struct {
	Level int `json:"level"`
}

// maxLevel is the highest verbosity that any log line uses.
const maxLevel = 4

func (a *Admin) level(w http.ResponseWriter, _ *http.Request, _ ident.Operator) error {
	return writeJSON(w, http.StatusOK, Level{Level: a.cfg.Level.Get()})
}

func (a *Admin) setLevel(w http.ResponseWriter, r *http.Request, op ident.Operator) error {
	var l Level
	if err := decode(r, &l); err != nil {
		return writeBadRequest(w, err)
	}
	if l.Level < 0 || l.Level > maxLevel {
		return writeBadRequest(w, errors.Errorf("level %d is out of range; write 0 to %d", l.Level, maxLevel))
	}
	a.cfg.Level.Set(l.Level)
	a.cfg.Log.Info("log level changed", "level", l.Level, "operator", op)
	return writeJSON(w, http.StatusOK, l)
}
