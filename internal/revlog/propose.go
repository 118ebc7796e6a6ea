package revlog

import (
	"bytes"
	"context"
	"encoding/json"
	"slices"

	"github.com/pkg/errors"

	"verbenadale.example/verbenadale/internal/store"
	"verbenadale.example/verbenadale/pkg/ident"
	"verbenadale.example/verbenadale/pkg/rules"
)

// State is the state of a proposal.
type State string

// The states of a proposal.
const (
	// Open proposals wait for the approval of a second operator.
	Open State = "open"
	// Approved proposals have a second operator; the change may not be in the
	// log yet.
	Approved State = "approved"
	// Accepted proposals are in the log.
	Accepted State = "accepted"
	// Outdated proposals were approved after one of their items had changed.
	Outdated State = "outdated"
)

// Proposal is a change that needs the approval of a second operator.
type Proposal struct {
	Change rules.Change `json:"change"`
	State  State        `json:"state"`
}

// indexKey is the key of the list of the ids of recent proposals. The store
// can't list keys.
const indexKey = "verbenadale/proposals"

// maxIndexEntries bounds the index. A proposal that was dropped from it can
// still be read by its id.
const maxIndexEntries = 128

// maxIndexAttempts bounds the attempts to update the index while other
// writers update it.
const maxIndexAttempts = 8

func proposalKey(id ident.ChangeID) string { return indexKey + "/" + string(id) }

// Propose stores a change for approval by a second operator. It can be called
// again with the same proposal.
func (l *Log) Propose(ctx context.Context, c rules.Change) (Proposal, error) {
	if c.ID == "" || len(c.Items) == 0 {
		return Proposal{}, wrapAs(ErrRefused, errors.New("the proposal needs an id and at least one item"))
	}
	c.Approver = ""
	c.At = l.Now().UTC()
	p, ver, err := l.Proposal(ctx, c.ID)
	switch {
	case errors.Is(err, ErrNotFound):
		p, err = l.putProposal(ctx, Proposal{Change: c, State: Open}, ver)
	case err == nil && (p.Change.Base != c.Base || !sameChange(p.Change, c)):
		return Proposal{}, wrapAsf(ErrRefused, "the id %s belongs to another proposal", c.ID)
	}
	if err != nil {
		return Proposal{}, err
	}
	if err := l.addToIndex(ctx, c.ID); err != nil {
		return Proposal{}, wrapAsf(ErrUnknown, "the proposal is stored but not in the index: %v", err)
	}
	return p, nil
}

// sameChange reports whether two changes have the same operator and items.
func sameChange(a, b rules.Change) bool {
	return a.Operator == b.Operator && slices.EqualFunc(a.Items, b.Items, sameItem)
}

// sameItem reports whether two items are equal. It ignores white space in the
// documents, because storing a document removes it.
func sameItem(a, b rules.Item) bool {
	return a.Kind == b.Kind && a.Name == b.Name && bytes.Equal(compact(a.Doc), compact(b.Doc))
}

func compact(doc json.RawMessage) []byte {
	var b bytes.Buffer
	if err := json.Compact(&b, doc); err != nil {
		return doc
	}
	return b.Bytes()
}

// Proposal returns a proposal and its version in the store, or ErrNotFound.
func (l *Log) Proposal(ctx context.Context, id ident.ChangeID) (Proposal, store.Version, error) {
	v, err := l.cl.Get(ctx, proposalKey(id))
	if errors.Is(err, store.ErrAbsent) {
		return Proposal{}, store.Absent, ErrNotFound
	}
	if err != nil {
		return Proposal{}, store.Absent, wrapAs(ErrUnavailable, err)
	}
	var p Proposal
	if err := json.Unmarshal(v.Body, &p); err != nil {
		return Proposal{}, store.Absent, wrapAs(ErrRefused, err)
	}
	return p, v.Version, nil
}

// Proposals returns up to n recent proposals, newest first.
func (l *Log) Proposals(ctx context.Context, n int) ([]Proposal, error) {
	ids, _, err := l.index(ctx)
	if err != nil {
		return nil, err
	}
	slices.Reverse(ids)
	ps := []Proposal{}
	for _, id := range ids[:min(n, len(ids))] {
		p, _, err := l.Proposal(ctx, id)
		if err != nil {
			return ps, err
		}
		ps = append(ps, p)
	}
	return ps, nil
}

// Approve records the second operator and appends the change to the log. It
// is idempotent: a later approval, or a retry after an unknown outcome,
// continues where the first one stopped and returns the same change.
func (l *Log) Approve(ctx context.Context, book *rules.Book, id ident.ChangeID, op ident.Operator) (rules.Change, error) {
	p, ver, err := l.Proposal(ctx, id)
	if err != nil {
		return rules.Change{}, err
	}
	if p.Change.Operator == op {
		return rules.Change{}, ErrSameOperator
	}
	if p.State == Open {
		p.Change.Approver = op
		p.Change.At = l.Now().UTC()
		p.State = Approved
		// The store accepts only one write over the version that was read.
		p, err = l.putProposal(ctx, p, ver)
		if err != nil {
			return rules.Change{}, err
		}
	}
	accepted, err := l.Append(ctx, book, p.Change)
	l.recordOutcome(ctx, p, err)
	return accepted, err
}

// recordOutcome stores the final state in the proposal, for listings. The
// log decides the outcome, so a lost write only makes the listing outdated.
func (l *Log) recordOutcome(ctx context.Context, p Proposal, err error) {
	state := p.State
	switch {
	case err == nil:
		state = Accepted
	case errors.Is(err, ErrConflict):
		state = Outdated
	}
	if state == p.State {
		return
	}
	cur, ver, err := l.Proposal(ctx, p.Change.ID)
	if err != nil || cur.State == Accepted {
		return
	}
	cur.State = state
	_, _ = l.putProposal(ctx, cur, ver)
}

// putProposal writes a proposal over the version that was read and returns the
// stored proposal. If the write loses a race or its reply is lost, the
// proposal is read back.
func (l *Log) putProposal(ctx context.Context, p Proposal, ver store.Version) (Proposal, error) {
	body, err := json.Marshal(p)
	if err != nil {
		return Proposal{}, wrapAs(ErrRefused, err)
	}
	uncertain := false
	for range maxWriteAttempts {
		_, err = l.cl.Put(ctx, proposalKey(p.Change.ID), body, ver)
		if err == nil {
			return p, nil
		}
		uncertain = uncertain || errors.Is(err, store.ErrUnknown)
		if !errors.Is(err, store.ErrConflict) && !errors.Is(err, store.ErrUnknown) {
			break
		}
		stored, storedVer, readErr := l.Proposal(ctx, p.Change.ID)
		if readErr == nil && storedVer != ver {
			return stored, nil
		}
		if readErr != nil && !errors.Is(readErr, ErrNotFound) {
			err = readErr
			break
		}
	}
	return Proposal{}, writeError(err, uncertain)
}

func (l *Log) index(ctx context.Context) ([]ident.ChangeID, store.Version, error) {
	v, err := l.cl.Get(ctx, indexKey)
	if errors.Is(err, store.ErrAbsent) {
		return nil, store.Absent, nil
	}
	if err != nil {
		return nil, store.Absent, wrapAs(ErrUnavailable, err)
	}
	var ids []ident.ChangeID
	if err := json.Unmarshal(v.Body, &ids); err != nil {
		return nil, store.Absent, wrapAs(ErrRefused, err)
	}
	return ids, v.Version, nil
}

func (l *Log) addToIndex(ctx context.Context, id ident.ChangeID) error {
	for range maxIndexAttempts {
		ids, ver, err := l.index(ctx)
		if err != nil || slices.Contains(ids, id) {
			return err
		}
		ids = append(ids, id)
		body, err := json.Marshal(ids[max(0, len(ids)-maxIndexEntries):])
		if err != nil {
			return wrapAs(ErrRefused, err)
		}
		_, err = l.cl.Put(ctx, indexKey, body, ver)
		if err != nil && !errors.Is(err, store.ErrConflict) && !errors.Is(err, store.ErrUnknown) {
			return wrapAs(ErrUnavailable, err)
		}
		// After a conflict or an unknown outcome, the next read shows whether
		// the id is in the index.
		if err == nil {
			return nil
		}
	}
	return wrapAs(ErrUnavailable, errors.New("the proposal index could not be updated: too many concurrent writers"))
}
