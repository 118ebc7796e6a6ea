package admin

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"verbenadale.example/verbenadale/internal/revlog"
	"verbenadale.example/verbenadale/pkg/ident"
	"verbenadale.example/verbenadale/pkg/rules"
)

// storeTimeout limits one operation on the revision log, with all its calls to
// the platform.
const storeTimeout = 10 * time.Second

// ProfileInfo is a profile and the revision that last changed it.
type ProfileInfo struct {
	Profile   rules.Profile  `json:"profile"`
	ChangedAt ident.Revision `json:"changed"`
}

// ProfileList is the response to a request for profiles.
type ProfileList struct {
	Revision ident.Revision `json:"revision"`
	Profiles []ProfileInfo  `json:"profiles"`
}

// AccountInfo is an account and the revision that last changed it.
type AccountInfo struct {
	Account   rules.Client   `json:"account"`
	ChangedAt ident.Revision `json:"changed"`
}

// AccountList is the response to a request for accounts.
type AccountList struct {
	Revision ident.Revision `json:"revision"`
	Accounts []AccountInfo  `json:"accounts"`
}

func (a *Admin) book(w http.ResponseWriter, _ *http.Request, _ ident.Operator) error {
	return writeJSON(w, http.StatusOK, a.cfg.Book())
}

// profiles lists the profiles in force, or only the one that the query
// parameter name selects.
func (a *Admin) profiles(w http.ResponseWriter, r *http.Request, _ ident.Operator) error {
	b := a.cfg.Book()
	name := r.URL.Query().Get("name")
	list := ProfileList{Revision: b.Rev(), Profiles: []ProfileInfo{}}
	for _, p := range b.Profiles() {
		if name == "" || name == string(p.Name) {
			list.Profiles = append(list.Profiles, ProfileInfo{Profile: p, ChangedAt: b.ChangedAt(rules.KindProfile, string(p.Name))})
		}
	}
	return writeJSON(w, http.StatusOK, list)
}

// accounts lists the accounts in force, or only the one that the query
// parameter name selects.
func (a *Admin) accounts(w http.ResponseWriter, r *http.Request, _ ident.Operator) error {
	b := a.cfg.Book()
	name := r.URL.Query().Get("name")
	list := AccountList{Revision: b.Rev(), Accounts: []AccountInfo{}}
	for _, c := range b.Clients() {
		if name == "" || name == string(c.Name) {
			list.Accounts = append(list.Accounts, AccountInfo{Account: c, ChangedAt: b.ChangedAt(rules.KindAccount, string(c.Name))})
		}
	}
	return writeJSON(w, http.StatusOK, list)
}

// change appends a change to the revision log. If the change needs a second
// operator, it responds with KindNeedsApproval; the client then proposes the
// change instead.
func (a *Admin) change(w http.ResponseWriter, r *http.Request, op ident.Operator) error {
	var c rules.Change
	if err := decode(r, &c); err != nil {
		return writeBadRequest(w, err)
	}
	return a.accept(w, r, op, c)
}

func (a *Admin) accept(w http.ResponseWriter, r *http.Request, op ident.Operator, c rules.Change) error {
	book, ok := a.prepareChange(w, r, op, &c)
	if !ok {
		return nil
	}
	accepted, err := a.append(r.Context(), book, c)
	if err != nil {
		return a.writeRevlogError(r.Context(), w, c.ID, err)
	}
	return writeJSON(w, http.StatusOK, accepted)
}

func (a *Admin) append(ctx context.Context, book *rules.Book, c rules.Change) (rules.Change, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	accepted, err := a.cfg.Revs.Append(ctx, book, c)
	if err != nil {
		return rules.Change{}, err
	}
	a.cfg.Log.Info("change accepted", "revision", accepted.Revision, "change", accepted.ID, "operator", c.Operator)
	return accepted, nil
}

// prepareChange checks a change and overwrites the fields that the client must
// not choose: the operator, the approver, the revision and the time. It returns
// the book that the change applies to. If the change is invalid, it writes the
// fault and returns false.
func (a *Admin) prepareChange(w http.ResponseWriter, r *http.Request, op ident.Operator, c *rules.Change) (*rules.Book, bool) {
	c.Operator = op
	c.Approver = ""
	c.Revision = 0
	c.At = time.Time{}
	if c.ID == "" {
		_ = writeBadRequest(w, errors.New("the change has no id, by which a repeat is recognised"))
		return nil, false
	}
	book, err := a.baseBook(r.Context())
	if err != nil {
		_ = a.writeRevlogError(r.Context(), w, c.ID, err)
		return nil, false
	}
	if faults := rules.CheckWith(book, c.Items); len(faults) > 0 {
		_ = writeFault(w, http.StatusUnprocessableEntity, Fault{Message: "the change has faults", Kind: KindFaults, Faults: faults})
		return nil, false
	}
	return book, true
}

// baseBook returns the book that a change applies to: the one in force, or the
// one in the store if this host has just started and has none yet.
func (a *Admin) baseBook(ctx context.Context) (*rules.Book, error) {
	if b := a.cfg.Book(); b != nil {
		return b, nil
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	return a.cfg.Revs.Load(ctx)
}

func (a *Admin) propose(w http.ResponseWriter, r *http.Request, op ident.Operator) error {
	var c rules.Change
	if err := decode(r, &c); err != nil {
		return writeBadRequest(w, err)
	}
	if _, ok := a.prepareChange(w, r, op, &c); !ok {
		return nil
	}
	ctx, cancel := context.WithTimeout(r.Context(), storeTimeout)
	defer cancel()
	p, err := a.cfg.Revs.Propose(ctx, c)
	if err != nil {
		return a.writeRevlogError(r.Context(), w, c.ID, err)
	}
	a.cfg.Log.Info("change proposed", "change", c.ID, "operator", op)
	return writeJSON(w, http.StatusOK, p)
}

func (a *Admin) approve(w http.ResponseWriter, r *http.Request, op ident.Operator) error {
	id := ident.ChangeID(r.PathValue("id"))
	book, err := a.baseBook(r.Context())
	if err != nil {
		return a.writeRevlogError(r.Context(), w, id, err)
	}
	ctx, cancel := context.WithTimeout(r.Context(), storeTimeout)
	defer cancel()
	accepted, err := a.cfg.Revs.Approve(ctx, book, id, op)
	if err != nil {
		return a.writeRevlogError(r.Context(), w, id, err)
	}
	a.cfg.Log.Info("change approved", "revision", accepted.Revision, "change", id, "operator", accepted.Operator, "approver", op)
	return writeJSON(w, http.StatusOK, accepted)
}

// Lists are short because each entry can cost a call to the platform.
const (
	defaultListSize = 20
	maxListSize     = 100
)

func listSize(r *http.Request) int {
	n, err := strconv.Atoi(r.URL.Query().Get("n"))
	if err != nil || n <= 0 {
		return defaultListSize
	}
	return min(n, maxListSize)
}

func (a *Admin) proposals(w http.ResponseWriter, r *http.Request, _ ident.Operator) error {
	ctx, cancel := context.WithTimeout(r.Context(), storeTimeout)
	defer cancel()
	ps, err := a.cfg.Revs.Proposals(ctx, listSize(r))
	if err != nil {
		return a.writeRevlogError(ctx, w, "", err)
	}
	return writeJSON(w, http.StatusOK, ps)
}

// history returns a page of changes, newest first. With the query parameter
// name it drops the changes of the page that are not about that item, so that a
// page can be empty although older changes match; History.Before is the start
// of the next page.
func (a *Admin) history(w http.ResponseWriter, r *http.Request, _ ident.Operator) error {
	ctx, cancel := context.WithTimeout(r.Context(), storeTimeout)
	defer cancel()
	q := r.URL.Query()
	before := a.cfg.Book().Rev() + 1
	if text := q.Get("before"); text != "" {
		n, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			return writeBadRequest(w, errors.Errorf("before=%q is no revision", text))
		}
		before = min(before, ident.Revision(n))
	}
	cs, err := a.cfg.Revs.History(ctx, before, listSize(r))
	if err != nil {
		return a.writeRevlogError(ctx, w, "", err)
	}
	h := History{Changes: cs}
	if len(cs) > 0 {
		h.Before = cs[len(cs)-1].Revision
	}
	if name := q.Get("name"); name != "" {
		h.Changes = slices.DeleteFunc(cs, func(c rules.Change) bool {
			_, ok := itemDoc(c, rules.Kind(q.Get("kind")), name)
			return !ok
		})
	}
	return writeJSON(w, http.StatusOK, h)
}

// History is a page of changes, newest first.
type History struct {
	Changes []rules.Change `json:"changes"`
	// Before is the query parameter for the next page. There is no next page if
	// it is 1, or 0 because the log has no change before the requested revision.
	Before ident.Revision `json:"before"`
}

// Rollback is a request to restore the content that items got in a revision.
type Rollback struct {
	ID   ident.ChangeID `json:"id"`
	Base ident.Revision `json:"base"`
	To   ident.Revision `json:"to"`
	// Kind and Name select one item. Without a name, all items of the change
	// are restored.
	Kind rules.Kind `json:"kind,omitempty"`
	Name string     `json:"name,omitempty"`
	Note string     `json:"note,omitempty"`
	// RequireApproval requires a second operator even if the profile does not.
	RequireApproval bool `json:"second,omitempty"`
}

// RollbackResult holds the accepted change of a rollback, or the proposal if the
// rollback needs a second operator.
type RollbackResult struct {
	Change   rules.Change     `json:"change,omitzero"`
	Proposal *revlog.Proposal `json:"proposal,omitempty"`
}

// rollback appends a new change with old content. The revision increases, since
// hosts could not distinguish a reused revision from a stale one.
func (a *Admin) rollback(w http.ResponseWriter, r *http.Request, op ident.Operator) error {
	var rb Rollback
	if err := decode(r, &rb); err != nil {
		return writeBadRequest(w, err)
	}
	old, err := a.cfg.Revs.Read(r.Context(), rb.To)
	if err != nil {
		return a.writeRevlogError(r.Context(), w, rb.ID, err)
	}
	items := slices.Clone(old.Items)
	if rb.Name != "" {
		items = slices.DeleteFunc(items, func(it rules.Item) bool { return it.Kind != rb.Kind || it.Name != rb.Name })
	}
	if len(items) == 0 {
		err := fmt.Errorf("%w: revision %d did not change %s %s; history shows those that did", revlog.ErrNotFound, rb.To, rb.Kind, rb.Name)
		return a.writeRevlogError(r.Context(), w, rb.ID, err)
	}
	note := rb.Note
	if note == "" {
		note = fmt.Sprintf("rollback to revision %d", rb.To)
	}
	return a.applyRollback(w, r, op, rb, rules.Change{ID: rb.ID, Base: rb.Base, Note: note, Items: items})
}

// applyRollback appends the change of a rollback, or proposes it if it needs a
// second operator.
func (a *Admin) applyRollback(w http.ResponseWriter, r *http.Request, op ident.Operator, rb Rollback, c rules.Change) error {
	book, ok := a.prepareChange(w, r, op, &c)
	if !ok {
		return nil
	}
	if !rb.RequireApproval {
		accepted, err := a.append(r.Context(), book, c)
		if err == nil {
			return writeJSON(w, http.StatusOK, RollbackResult{Change: accepted})
		}
		if !errors.Is(err, revlog.ErrNeedsApproval) {
			return a.writeRevlogError(r.Context(), w, c.ID, err)
		}
	}
	ctx, cancel := context.WithTimeout(r.Context(), storeTimeout)
	defer cancel()
	p, err := a.cfg.Revs.Propose(ctx, c)
	if err != nil {
		return a.writeRevlogError(r.Context(), w, c.ID, err)
	}
	return writeJSON(w, http.StatusOK, RollbackResult{Proposal: &p})
}
