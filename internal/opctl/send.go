package opctl

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"os"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/pmezard/go-difflib/difflib"
	"github.com/tailscale/hujson"

	"verbenadale.example/verbenadale/internal/admin"
	"verbenadale.example/verbenadale/internal/revlog"
	"verbenadale.example/verbenadale/pkg/ident"
	"verbenadale.example/verbenadale/pkg/rules"
)

// changeSender sends changes. It holds the flags of the commands that do so.
type changeSender struct {
	opts *Options
	// base is the revision that the change is based on, noBase until it is known.
	base int64
	id   string
	note string
	wait time.Duration
	// requireApproval requires a second operator even if the profile does not.
	requireApproval bool
}

func (s *changeSender) flags(fs *flag.FlagSet) {
	fs.Int64Var(&s.base, "base", noBase, "revision that the change is based on; defaults to that of the file, or else the one in force")
	fs.StringVar(&s.id, "id", "", "id of the change to retry after an unknown outcome")
	fs.StringVar(&s.note, "note", "", "reason for the change, shown in the history")
	fs.DurationVar(&s.wait, "wait", 0, "wait until every data centre reports it in force")
	fs.BoolVar(&s.requireApproval, "second", false, "require approval by a second operator")
}

// noBase means that the operator gave no base.
const noBase = -1

// unknownError reports a change that may or may not have been accepted.
type unknownError struct {
	id           ident.ChangeID
	retryCommand string
	cause        error
}

func (e *unknownError) Error() string {
	return fmt.Sprintf("it is not known whether change %s was accepted (%v); ask again with: %s", e.id, e.cause, e.retryCommand)
}

func (e *unknownError) Unwrap() error { return e.cause }

// notInForceError reports an accepted change that is not, or not known to be, in
// force in every data centre.
type notInForceError struct {
	rev     ident.Revision
	missing []ident.DataCentre
	// cause is set if the query for the state of the data centres failed.
	cause error
}

func (e *notInForceError) Error() string {
	if e.cause != nil {
		return fmt.Sprintf("revision %d is accepted, but it is not known where it is in force: %v", e.rev, e.cause)
	}
	names := make([]string, 0, len(e.missing))
	for _, n := range e.missing {
		names = append(names, string(n))
	}
	return fmt.Sprintf("revision %d is accepted, but not yet in force in: %s", e.rev, strings.Join(names, ", "))
}

// send sends items as one change, and proposes the change if it needs approval.
func (s *changeSender) send(ctx context.Context, items []rules.Item, name, file string) error {
	cl := s.opts.client()
	c, err := s.newChange(ctx, items)
	if err != nil {
		return err
	}
	retryCommand := fmt.Sprintf("verbctl %s -id %s -base %d %s", name, c.ID, c.Base, file)
	if s.requireApproval {
		return s.propose(ctx, c, retryCommand)
	}
	accepted, err := cl.Change(ctx, c)
	var ce *CallError
	if errors.As(err, &ce) && ce.Fault.Kind == admin.KindNeedsApproval {
		return s.propose(ctx, c, retryCommand)
	}
	if err != nil {
		return asUnknown(err, c.ID, retryCommand)
	}
	return s.reportAccepted(ctx, accepted)
}

// newChange returns a change with the given items. If the operator gave no id,
// it generates one. If neither the operator nor the file gave a base, the base
// is the revision in force.
func (s *changeSender) newChange(ctx context.Context, items []rules.Item) (rules.Change, error) {
	c := rules.Change{ID: ident.ChangeID(s.id), Note: s.note, Items: items}
	if s.base >= 0 {
		c.Base = ident.Revision(s.base)
	}
	if s.id != "" && s.base < 0 {
		// A retry with the revision in force as its base would not be
		// recognised as a duplicate, and the change would be applied twice.
		return c, &usageError{text: "-id needs the -base that the change had; both stand in the message that said to ask again"}
	}
	if s.id == "" {
		c.ID = NewChangeID()
	}
	if s.base >= 0 {
		return c, nil
	}
	st, err := s.opts.client().Status(ctx)
	c.Base = st.Revision
	return c, err
}

// asUnknown returns an unknownError if the failed call may have taken effect,
// otherwise err.
func asUnknown(err error, id ident.ChangeID, retryCommand string) error {
	var ce *CallError
	if errors.As(err, &ce) && ce.outcomeUnknown() {
		return &unknownError{id: id, retryCommand: retryCommand, cause: err}
	}
	return err
}

func (s *changeSender) propose(ctx context.Context, c rules.Change, retryCommand string) error {
	p, err := s.opts.client().Propose(ctx, c)
	if err != nil {
		return asUnknown(err, c.ID, retryCommand)
	}
	return s.printProposal(p)
}

func (s *changeSender) printProposal(p revlog.Proposal) error {
	return s.opts.print(p, func(w io.Writer) {
		fmt.Fprintf(w, "proposed as %s; a second operator approves it with: verbctl profiles approve %s\n", p.Change.ID, p.Change.ID)
	})
}

// reportAccepted prints an accepted change and, with -wait, waits until it is in
// force in every data centre.
func (s *changeSender) reportAccepted(ctx context.Context, accepted rules.Change) error {
	err := s.opts.print(accepted, func(w io.Writer) {
		fmt.Fprintf(w, "accepted as revision %d\n", accepted.Revision)
	})
	if err != nil || s.wait <= 0 {
		return err
	}
	f, err := s.waitInForce(ctx, accepted.Revision)
	if err != nil || !f.Everywhere {
		return &notInForceError{rev: accepted.Revision, missing: missingCentres(f), cause: err}
	}
	if !s.opts.JSON {
		fmt.Fprintf(s.opts.Out, "in force in %d of %d data centres\n", len(f.Centres), len(f.Centres))
	}
	return nil
}

// maxPollWait limits the wait of one InForce call. After the operator's time
// limit, the client waits for the last response for at most the same time.
const maxPollWait = 20 * time.Second

// waitInForce polls until the revision is in force everywhere or s.wait has
// elapsed. It returns the last state.
func (s *changeSender) waitInForce(ctx context.Context, rev ident.Revision) (admin.InForce, error) {
	ctx, cancel := context.WithTimeout(ctx, s.wait+maxPollWait)
	defer cancel()
	deadline := time.Now().Add(s.wait)
	for {
		remaining := time.Until(deadline)
		f, err := s.opts.client().InForce(ctx, rev, min(max(remaining, 0), maxPollWait))
		if err != nil || f.Everywhere || time.Now().After(deadline) {
			return f, err
		}
	}
}

func missingCentres(f admin.InForce) []ident.DataCentre {
	var names []ident.DataCentre
	for _, c := range f.Centres {
		if !c.InForce {
			names = append(names, c.DataCentre)
		}
	}
	return names
}

// baseComment matches the comment line with the revision that the commands "get"
// print before a document.
var baseComment = regexp.MustCompile(`(?m)^// base (\d+)$`)

// readFile decodes a file of JSON with comments. It takes the base from the
// comment that "get" writes, unless the operator gave one.
func (s *changeSender) readFile(path string, v any) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return errors.Wrap(err, "opctl: read")
	}
	if m := baseComment.FindSubmatch(text); m != nil && s.base < 0 {
		s.base, err = strconv.ParseInt(string(m[1]), 10, 64)
		if err != nil {
			return errors.Wrapf(err, "opctl: %s: the base is not a revision", path)
		}
	}
	std, err := hujson.Standardize(text)
	if err != nil {
		return errors.Wrapf(err, "opctl: %s", path)
	}
	return errors.Wrapf(json.Unmarshal(std, v), "opctl: %s", path)
}

// readDocs reads a file with one document or an array of documents, and returns
// them as items of the given kind.
func (s *changeSender) readDocs(path string, kind rules.Kind) ([]rules.Item, error) {
	var raw json.RawMessage
	if err := s.readFile(path, &raw); err != nil {
		return nil, err
	}
	docs := []json.RawMessage{raw}
	if bytes.HasPrefix(bytes.TrimSpace(raw), []byte("[")) {
		docs = nil
		if err := json.Unmarshal(raw, &docs); err != nil {
			return nil, errors.Wrapf(err, "opctl: %s", path)
		}
	}
	items := make([]rules.Item, 0, len(docs))
	for _, doc := range docs {
		var named struct {
			Name string `json:"name"`
		}
		if err := json.Unmarshal(doc, &named); err != nil {
			return nil, errors.Wrapf(err, "opctl: %s", path)
		}
		items = append(items, rules.Item{Kind: kind, Name: named.Name, Doc: doc})
	}
	return items, nil
}

// diffContext is the number of unchanged lines around a difference.
const diffContext = 3

// diff returns a unified diff of two documents; it is empty if they are equal.
func diff(from, to string, before, after json.RawMessage) string {
	text, err := difflib.GetUnifiedDiffString(difflib.UnifiedDiff{
		A: docLines(before), B: docLines(after), FromFile: from, ToFile: to, Context: diffContext,
	})
	if err != nil {
		return err.Error()
	}
	return text
}

// docLines returns the lines of an indented document with sorted keys.
func docLines(doc json.RawMessage) []string {
	var v any
	if err := json.Unmarshal(doc, &v); err != nil || v == nil {
		return nil
	}
	text, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return nil
	}
	return difflib.SplitLines(string(text))
}

func printConflict(w io.Writer, c admin.Conflict) {
	if c.ChangedBy.Revision == 0 {
		return
	}
	fmt.Fprintf(w, "%s %s was changed by %s in revision %d: %s\n", c.Kind, c.Name, c.ChangedBy.Operator, c.ChangedBy.Revision, c.ChangedBy.Note)
	fmt.Fprint(w, diff(fmt.Sprintf("revision %d", c.Base), fmt.Sprintf("revision %d", c.ChangedBy.Revision), c.BaseDoc, c.CurrentDoc))
}
