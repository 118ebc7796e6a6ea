package revlog

import (
	"context"
	"testing"

	"verbenadale.example/verbenadale/internal/dev/plat"
	"verbenadale.example/verbenadale/pkg/ident"
	"verbenadale.example/verbenadale/pkg/rules"
)

// requireTwoOperators returns a change that makes the profile require two operators.
func requireTwoOperators(t tester, id ident.ChangeID, base ident.Revision) rules.Change {
	t.Helper()
	p := rules.Profile{Name: "obituary", Models: []rules.Serve{{Model: "draft"}}, TwoOperators: true}
	return rules.Change{ID: id, Base: base, Operator: "anu", Items: []rules.Item{profileItem(t, p)}}
}

// Guards against a single operator who changes a profile that requires two.
func TestApprovalNeedsSecondOperator(t *testing.T) {
	ctx := context.Background()
	f := newFixture(t)
	lg := f.log()
	_, err := lg.Append(ctx, nil, requireTwoOperators(t, "c1", 0))
	wantErr(t, "new profile under the rule", ErrNeedsApproval, err)

	_, err = lg.Propose(ctx, requireTwoOperators(t, "c1", 0))
	wantErr(t, "propose", nil, err)
	_, err = lg.Approve(ctx, nil, "c1", "anu")
	wantErr(t, "own approval", ErrSameOperator, err)
	done, err := lg.Approve(ctx, nil, "c1", "bold")
	wantErr(t, "second operator", nil, err)
	wantSame(t, "approver on record", ident.Operator("bold"), done.Approver)

	_, err = lg.Append(ctx, load(t, lg), change(t, "c2", 1, "obituary", 5))
	wantErr(t, "removing the requirement alone", ErrNeedsApproval, err)
	_, err = f.log().Append(ctx, nil, change(t, "c3", 1, "obituary", 5))
	wantErr(t, "the same at a host with an old book", ErrNeedsApproval, err)
	wantSame(t, "log", []ident.ChangeID{"c1"}, f.ids(t))
}

// Guards against a change that repeated approvals write twice.
func TestApproveTwice(t *testing.T) {
	ctx := context.Background()
	f := newFixture(t)
	lg := f.log()
	_, err := lg.Propose(ctx, requireTwoOperators(t, "c1", 0))
	wantErr(t, "propose", nil, err)
	_, err = lg.Propose(ctx, requireTwoOperators(t, "c1", 0))
	wantErr(t, "propose again", nil, err)
	_, err = lg.Propose(ctx, change(t, "c1", 0, "publish", 1))
	wantErr(t, "another proposal under the same id", ErrRefused, err)

	first, err := lg.Approve(ctx, nil, "c1", "bold")
	wantErr(t, "first approval", nil, err)
	for _, op := range []ident.Operator{"bold", "chimeg"} {
		again, err := f.log().Approve(ctx, nil, "c1", op)
		wantErr(t, "approval again", nil, err)
		wantSame(t, "the same change", first, again)
	}
	wantSame(t, "log", []ident.ChangeID{"c1"}, f.ids(t))
	ps, err := lg.Proposals(ctx, 10)
	wantErr(t, "list", nil, err)
	wantSame(t, "listed once, as accepted", []State{Accepted}, states(ps))
}

func states(ps []Proposal) []State {
	var ss []State
	for _, p := range ps {
		ss = append(ss, p.State)
	}
	return ss
}

// Guards against an outage during an approval that blocks the profile or writes
// the change twice.
func TestStoreDownDuringApproval(t *testing.T) {
	for calls := 1; calls <= 6; calls++ {
		for lose := range 3 {
			ctx := context.Background()
			f := newFixture(t)
			lg := f.log()
			_, err := lg.Propose(ctx, requireTwoOperators(t, "c1", 0))
			wantErr(t, "propose", nil, err)
			f.srv.SetFaults(plat.Faults{DownAfter: calls, LoseNext: lose})
			_, first := lg.Approve(ctx, nil, "c1", "bold")
			f.srv.SetFaults(plat.Faults{})
			if inLog := len(f.ids(t)) == 1; first == nil && !inLog {
				t.Errorf("down after %d calls, %d replies lost: reported as accepted, and the log is empty", calls, lose)
			}
			done, err := f.log().Approve(ctx, nil, "c1", "bold")
			wantErr(t, "approve again", nil, err)
			wantSame(t, "approver", ident.Operator("bold"), done.Approver)
			wantSame(t, "log", []ident.ChangeID{"c1"}, f.ids(t))
		}
	}
}

// Guards against the approval of an outdated proposal, which would undo a change
// that the proposer and the approver have not seen.
func TestApproveOutdated(t *testing.T) {
	ctx := context.Background()
	f := newFixture(t)
	lg := f.log()
	_, err := lg.Propose(ctx, requireTwoOperators(t, "c1", 0))
	wantErr(t, "propose", nil, err)
	_, err = lg.Append(ctx, nil, change(t, "c2", 0, "obituary", 5))
	wantErr(t, "change in between", nil, err)
	_, err = lg.Approve(ctx, nil, "c1", "bold")
	wantErr(t, "approval", ErrConflict, err)
	ps, err := lg.Proposals(ctx, 10)
	wantErr(t, "list", nil, err)
	wantSame(t, "state", []State{Outdated}, states(ps))
	_, err = lg.Approve(ctx, nil, "nowhere", "bold")
	wantErr(t, "unknown proposal", ErrNotFound, err)
}
