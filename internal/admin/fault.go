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

// FaultKind is the machine-readable reason of a Fault.
type FaultKind string

// The fault kinds.
const (
	KindConflict       FaultKind = "conflict"
	KindOutcomeUnknown FaultKind = "unknown"
	KindUnavailable    FaultKind = "down"
	KindNeedsApproval  FaultKind = "needsApproval"
	KindRefused        FaultKind = "refused"
	KindNotFound       FaultKind = "notFound"
	KindFaults         FaultKind = "faults"
)

// Fault is the response to a request that failed or whose outcome is unknown.
type Fault struct {
	Message string    `json:"message"`
	Kind    FaultKind `json:"kind,omitempty"`
	// Change is the id with which to retry after KindOutcomeUnknown.
	Change ident.ChangeID `json:"change,omitempty"`
	// Faults lists the errors that validation of the change found.
	Faults []rules.Fault `json:"faults,omitempty"`
	// Conflict describes the change that this one conflicts with.
	Conflict *Conflict `json:"conflict,omitempty"`
}

// Conflict describes an item that has changed since the operator read it.
type Conflict struct {
	Kind rules.Kind     `json:"kind"`
	Name string         `json:"name"`
	Base ident.Revision `json:"base"`
	// ChangedBy is the change that last modified the item.
	ChangedBy rules.Change `json:"by"`
	// BaseDoc is the document at the base, CurrentDoc that of ChangedBy.
	// BaseDoc is absent if it was not found in the last maxRevisionsSearched
	// revisions up to the base. Either is absent if it could not be read.
	BaseDoc    json.RawMessage `json:"was,omitempty"`
	CurrentDoc json.RawMessage `json:"now,omitempty"`
}

func writeFault(w http.ResponseWriter, status int, f Fault) error { return writeJSON(w, status, f) }

func writeBadRequest(w http.ResponseWriter, err error) error {
	return writeFault(w, http.StatusBadRequest, Fault{Message: err.Error(), Kind: KindRefused})
}

// errorOutcomes maps errors of the revision log to fault kinds and HTTP statuses.
var errorOutcomes = []struct {
	err    error
	kind   FaultKind
	status int
}{
	{revlog.ErrConflict, KindConflict, http.StatusConflict},
	{revlog.ErrUnknown, KindOutcomeUnknown, http.StatusGatewayTimeout},
	{revlog.ErrNeedsApproval, KindNeedsApproval, http.StatusForbidden},
	{revlog.ErrSameOperator, KindNeedsApproval, http.StatusForbidden},
	{revlog.ErrNotFound, KindNotFound, http.StatusNotFound},
	{revlog.ErrRefused, KindRefused, http.StatusUnprocessableEntity},
}

// writeRevlogError writes an error of the revision log as a Fault. Errors that
// errorOutcomes does not list become KindUnavailable.
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

// maxRevisionsSearched limits the reads that look for the document at the base
// of a conflicting change.
const maxRevisionsSearched = 64

// conflict reads the documents for a diff. Documents that can't be read are
// left out: the conflict is known without them.
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

// itemDoc returns the document that a change gave an item, and whether the
// change contains the item.
func itemDoc(c rules.Change, kind rules.Kind, name string) (json.RawMessage, bool) {
	for _, it := range c.Items {
		if it.Kind == kind && it.Name == name {
			return it.Doc, true
		}
	}
	return nil, false
}
