package admin

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/pkg/errors"

	"verbenadale.example/verbenadale/internal/revlog"
	"verbenadale.example/verbenadale/pkg/ident"
	"verbenadale.example/verbenadale/pkg/rules"
)

// FaultKind is the outcome of an operator's request, for programs.
type FaultKind string

// The kinds of faults.
const (
	KindConflict       FaultKind = "conflict"
	KindOutcomeUnknown FaultKind = "unknown"
	KindUnavailable    FaultKind = "down"
	KindNeedsApproval  FaultKind = "needsApproval"
	KindRefused        FaultKind = "refused"
	KindNotFound       FaultKind = "notFound"
	KindFaults         FaultKind = "faults"
)

// Fault is the answer to what was not done, or is not known to be done.
type Fault struct {
	Message string    `json:"message"`
	Kind    FaultKind `json:"kind,omitempty"`
	// Change is the id to send again after KindUnknown.
	Change ident.ChangeID `json:"change,omitempty"`
	// Faults lists what the checks found.
	Faults []rules.Fault `json:"faults,omitempty"`
	// Conflict holds what changed since.
	Conflict *Conflict `json:"conflict,omitempty"`
}

// Conflict is an item that has changed since the operator read it.
type Conflict struct {
	Kind rules.Kind     `json:"kind"`
	Name string         `json:"name"`
	Base ident.Revision `json:"base"`
	// ChangedBy is the change that the item has now.
	ChangedBy rules.Change `json:"by"`
	// BaseDoc and Now are the documents at the base and now. BaseDoc is absent where
	// it is too long ago to look for.
	BaseDoc    json.RawMessage `json:"was,omitempty"`
	CurrentDoc json.RawMessage `json:"now,omitempty"`
}

func writeFault(w http.ResponseWriter, status int, f Fault) error { return writeJSON(w, status, f) }

func writeBadRequest(w http.ResponseWriter, err error) error {
	return writeFault(w, http.StatusBadRequest, Fault{Message: err.Error(), Kind: KindRefused})
}

// errorOutcomes maps the errors of the log to the answers for operators.
var errorOutcomes = []struct {
	err    error
	kind   FaultKind
	status int
}{
	{revlog.ErrConflict, KindConflict, http.StatusConflict},
	{revlog.ErrUnknown, KindOutcomeUnknown, http.StatusGatewayTimeout},
	{revlog.ErrNeedsApproval, KindNeedsApproval, http.StatusForbidden},
	{revlog.ErrSameOperator, KindNeedsApproval, http.StatusForbidden},
	{revlog.ErrAbsent, KindNotFound, http.StatusNotFound},
	{revlog.ErrRefused, KindRefused, http.StatusUnprocessableEntity},
}

// writeRevlogError answers with an error of the log.
func (a *Admin) writeRevlogError(ctx context.Context, w http.ResponseWriter, id ident.ChangeID, err error) error {
	f := Fault{Message: err.Error(), Kind: KindUnavailable, Change: id}
	status := http.StatusServiceUnavailable
	for _, o := range errorOutcomes {
		if errors.Is(err, o.err) {
			f.Kind, status = o.kind, o.status
			break
		}
	}
	var conflict *rules.ConflictError
	if errors.As(err, &conflict) {
		f.Conflict = a.conflict(ctx, conflict)
	}
	return writeFault(w, status, f)
}

// maxRevisionsSearched bounds the reads for the document that an operator started from.
const maxRevisionsSearched = 64

// conflict finds the documents for a diff. What can't be read is left out: the
// conflict itself is certain.
func (a *Admin) conflict(ctx context.Context, e *rules.ConflictError) *Conflict {
	c := &Conflict{Kind: e.Kind, Name: e.Name, Base: e.Base}
	by, err := a.cfg.Revs.Read(ctx, e.Changed)
	if err != nil {
		return c
	}
	c.ChangedBy = by
	c.CurrentDoc, _ = itemDoc(by, e.Kind, e.Name)
	for rev := e.Base; rev > 0 && e.Base-rev < maxRevisionsSearched; rev-- {
		old, err := a.cfg.Revs.Read(ctx, rev)
		if err != nil {
			return c
		}
		if doc, ok := itemDoc(old, e.Kind, e.Name); ok {
			c.BaseDoc = doc
			return c
		}
	}
	return c
}

// itemDoc returns what a change made of an item.
func itemDoc(c rules.Change, kind rules.Kind, name string) (json.RawMessage, bool) {
	for _, it := range c.Items {
		if it.Kind == kind && it.Name == name {
			return it.Doc, true
		}
	}
	return nil, false
}
