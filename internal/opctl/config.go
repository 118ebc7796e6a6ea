package opctl

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/google/subcommands"
	"github.com/pkg/errors"

	"verbenadale.example/verbenadale/internal/admin"
	"verbenadale.example/verbenadale/pkg/ident"
	"verbenadale.example/verbenadale/pkg/rules"
)

func profilesCmd(opts *Options) *group {
	return &group{
		name: "profiles", synopsis: "list and change profiles", opts: opts,
		cmds: []subcommands.Command{
			profilesList(opts), profilesGet(opts), profilesDiff(opts), profilesPropose(opts),
			profilesProposals(opts), profilesApprove(opts), profilesHistory(opts), profilesRollback(opts),
		},
	}
}

func accountsCmd(opts *Options) *group {
	return &group{
		name: "accounts", synopsis: "list and change client accounts", opts: opts,
		cmds: []subcommands.Command{accountsList(opts), accountsGet(opts), accountsPut(opts), accountsDigest(opts)},
	}
}

func applyCmd(opts *Options) *command {
	s := &changeSender{opts: opts}
	return &command{
		name: "apply", synopsis: "apply the items of a file as one change", opts: opts, argCount: 1, flags: s.flags,
		usage: `apply [-wait 5s] [-base REVISION] [-note TEXT] FILE
  Applies a JSON array of items, {"kind", "name", "doc"}, atomically. A null
  document deletes the item. The file may have comments.

  Examples:
    verbctl apply -wait 5s items.jsonc
    verbctl apply -id 5f1c -base 12 items.jsonc    retry after exit status 5
`,
		run: func(ctx context.Context, args []string) error {
			var items []rules.Item
			if err := s.readFile(args[0], &items); err != nil {
				return err
			}
			return s.send(ctx, items, "apply", args[0])
		},
	}
}

func profilesList(opts *Options) *command {
	return &command{
		name: "list", synopsis: "list the profiles in force", opts: opts,
		usage: `list [-json]
  Lists the profiles in force at the entry host.

  Example:
    verbctl profiles list
`,
		run: func(ctx context.Context, _ []string) error {
			l, err := opts.client().Profiles(ctx, "")
			if err != nil {
				return err
			}
			return opts.print(l, func(w io.Writer) { profileTable(w, l) })
		},
	}
}

func profileTable(w io.Writer, l admin.ProfileList) {
	fmt.Fprintln(w, "PROFILE\tSERVES\tREGIONS\tCROSSINGS\tONCE\tOPERATORS\tCHANGED")
	for _, i := range l.Profiles {
		p := i.Profile
		operators := 1
		if p.TwoOperators {
			operators = 2
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%s\t%d\t%d\n",
			p.Name, serves(p), regionNames(p), p.MaxCrossings, yesNo(p.AtMostOnce), operators, i.ChangedAt)
	}
}

func serves(p rules.Profile) string {
	if p.Service != "" {
		return "service " + p.Service
	}
	names := make([]string, 0, len(p.Models))
	for _, m := range p.Models {
		names = append(names, string(m.Model))
	}
	return strings.Join(names, ",")
}

func regionNames(p rules.Profile) string {
	names := make([]string, 0, len(p.Regions)+1)
	if p.HomeOnly {
		names = append(names, "home")
	}
	for _, r := range p.Regions {
		names = append(names, string(r))
	}
	if len(names) == 0 {
		return "everywhere"
	}
	return strings.Join(names, ",")
}

func yesNo(v bool) string {
	if v {
		return "yes"
	}
	return "no"
}

func profilesGet(opts *Options) *command {
	return &command{
		name: "get", synopsis: "print a profile, ready to be edited", opts: opts, argCount: 1,
		usage: `get NAME
  Prints the profile with the revision that it was read at. Edit it and send
  it with "propose", which takes the base from its first line.

  Example:
    verbctl profiles get obituary > obituary.jsonc
`,
		run: func(ctx context.Context, args []string) error {
			p, rev, err := getProfile(ctx, opts, args[0])
			if err != nil {
				return err
			}
			return printDoc(opts, p, rev)
		},
	}
}

func getProfile(ctx context.Context, opts *Options, name string) (rules.Profile, ident.Revision, error) {
	l, err := opts.client().Profiles(ctx, name)
	if err != nil {
		return rules.Profile{}, 0, err
	}
	if len(l.Profiles) == 0 {
		return rules.Profile{}, 0, errors.Errorf("profile %q is not in force; \"verbctl profiles list\" shows those that are", name)
	}
	return l.Profiles[0].Profile, l.Revision, nil
}

func printDoc(opts *Options, doc any, rev ident.Revision) error {
	if !opts.JSON {
		fmt.Fprintf(opts.Out, "// base %d\n", rev)
	}
	return printJSON(opts.Out, doc)
}

func profilesDiff(opts *Options) *command {
	s := &changeSender{opts: opts}
	return &command{
		name: "diff", synopsis: "compare a file with the profiles in force", opts: opts, argCount: 1,
		usage: `diff FILE
  Shows what "propose" of the file would change.

  Example:
    verbctl profiles diff obituary.jsonc
`,
		run: func(ctx context.Context, args []string) error {
			items, err := s.readDocs(args[0], rules.KindProfile)
			if err != nil {
				return err
			}
			for _, it := range items {
				if err := diffItem(ctx, opts, it); err != nil {
					return err
				}
			}
			return nil
		},
	}
}

func diffItem(ctx context.Context, opts *Options, it rules.Item) error {
	l, err := opts.client().Profiles(ctx, it.Name)
	if err != nil {
		return err
	}
	var before json.RawMessage
	if len(l.Profiles) > 0 {
		if before, err = json.Marshal(l.Profiles[0].Profile); err != nil {
			return errors.Wrap(err, "opctl: encode the profile in force")
		}
	}
	// Decodes and encodes the document, so that explicit default values in the
	// file are not reported as differences.
	after := it.Doc
	if p, err := it.Profile(); err == nil {
		if after, err = json.Marshal(p); err != nil {
			return errors.Wrap(err, "opctl: encode the profile in the file")
		}
	}
	fmt.Fprint(opts.Out, diff(fmt.Sprintf("%s in force at revision %d", it.Name, l.Revision), it.Name+" in the file", before, after))
	return nil
}

func profilesPropose(opts *Options) *command {
	s := &changeSender{opts: opts}
	return &command{
		name: "propose", synopsis: "send profiles as one change", opts: opts, argCount: 1, flags: s.flags,
		usage: `propose [-wait 5s] [-note TEXT] [-second] FILE
  Sends a profile, or an array of them, as one change. It is accepted at once,
  unless a profile requires two operators: then it waits for the second.

  Examples:
    verbctl profiles propose -wait 5s -note "khovd may serve" obituary.jsonc
    verbctl profiles propose -second obituary.jsonc
`,
		run: func(ctx context.Context, args []string) error {
			items, err := s.readDocs(args[0], rules.KindProfile)
			if err != nil {
				return err
			}
			return s.send(ctx, items, "profiles propose", args[0])
		},
	}
}

func profilesProposals(opts *Options) *command {
	return &command{
		name: "proposals", synopsis: "list the recent proposals", opts: opts,
		usage: `proposals
  Lists the most recent proposals, both open and decided.

  Example:
    verbctl profiles proposals
`,
		run: func(ctx context.Context, _ []string) error {
			ps, err := opts.client().Proposals(ctx)
			if err != nil {
				return err
			}
			return opts.print(ps, func(w io.Writer) {
				fmt.Fprintln(w, "ID\tSTATE\tOPERATOR\tSECOND\tBASE\tITEMS\tNOTE")
				for _, p := range ps {
					c := p.Change
					fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%s\t%s\n", c.ID, p.State, c.Operator, c.Approver, c.Base, itemNames(c), c.Note)
				}
			})
		},
	}
}

func profilesApprove(opts *Options) *command {
	s := &changeSender{opts: opts}
	return &command{
		name: "approve", synopsis: "approve a proposal as the second operator", opts: opts, argCount: 1,
		flags: func(fs *flag.FlagSet) {
			fs.DurationVar(&s.wait, "wait", 0, "wait until every data centre reports it in force")
		},
		usage: `approve [-wait 5s] ID
  Approves the proposal of another operator and puts it into force. Approval
  is idempotent.

  Example:
    verbctl profiles approve -wait 5s 5f1c0a
`,
		run: func(ctx context.Context, args []string) error {
			id := ident.ChangeID(args[0])
			accepted, err := opts.client().Approve(ctx, id)
			if err != nil {
				return asUnknown(err, id, "verbctl profiles approve "+args[0])
			}
			return s.reportAccepted(ctx, accepted)
		},
	}
}

func profilesHistory(opts *Options) *command {
	var before uint64
	var n int
	var kind string
	var name string
	return &command{
		name: "history", synopsis: "list the changes, newest first", opts: opts,
		flags: func(fs *flag.FlagSet) {
			fs.Uint64Var(&before, "before", 0, "list the changes before this revision")
			fs.IntVar(&n, "n", 20, "how many changes to search, at most 100")
			fs.StringVar(&kind, "kind", string(rules.KindProfile), "kind of the name: profile or account")
			fs.StringVar(&name, "name", "", "only the changes of this item")
		},
		usage: `history [-name NAME] [-n 20] [-before REVISION]
  Lists the changes with operator, time and note. The time is by the clock of
  the entry host that accepted the change.

  Examples:
    verbctl profiles history -name obituary
    verbctl profiles history -before 40
`,
		run: func(ctx context.Context, _ []string) error {
			h, err := opts.client().History(ctx, rules.Kind(kind), name, ident.Revision(before), n)
			if err != nil {
				return err
			}
			return opts.print(h, func(w io.Writer) { historyTable(w, h) })
		},
	}
}

func historyTable(w io.Writer, h admin.History) {
	fmt.Fprintln(w, "REVISION\tAT\tOPERATOR\tSECOND\tITEMS\tNOTE")
	for _, c := range h.Changes {
		fmt.Fprintf(w, "%d\t%s\t%s\t%s\t%s\t%s\n",
			c.Revision, c.At.Format(time.RFC3339), c.Operator, c.Approver, itemNames(c), c.Note)
	}
	if h.Before > 1 {
		fmt.Fprintf(w, "older ones with: -before %d\n", h.Before)
	}
}

// maxItemNames limits the item names in a table cell.
const maxItemNames = 3

func itemNames(c rules.Change) string {
	names := make([]string, 0, maxItemNames+1)
	for i, it := range c.Items {
		if i == maxItemNames {
			names = append(names, fmt.Sprintf("and %d more", len(c.Items)-maxItemNames))
			break
		}
		names = append(names, it.Name)
	}
	return strings.Join(names, ",")
}

func profilesRollback(opts *Options) *command {
	s := &changeSender{opts: opts}
	var to uint64
	return &command{
		name: "rollback", synopsis: "give a profile the content again that it had", opts: opts, argCount: 1,
		flags: func(fs *flag.FlagSet) {
			s.flags(fs)
			fs.Uint64Var(&to, "to", 0, "the revision that gave the profile the content, from history")
		},
		usage: `rollback -to REVISION [-wait 5s] NAME
  Makes a new change with the content that an earlier one gave the profile.
  The revision increases as with any change, and a profile that requires two
  operators requires them here too.

  Example:
    verbctl profiles history -name obituary
    verbctl profiles rollback -to 7 -wait 5s obituary
`,
		run: func(ctx context.Context, args []string) error {
			if to == 0 {
				return &usageError{text: "-to is missing; \"verbctl profiles history -name NAME\" shows the revisions"}
			}
			return s.rollback(ctx, args[0], ident.Revision(to))
		},
	}
}

func (s *changeSender) rollback(ctx context.Context, name string, to ident.Revision) error {
	c, err := s.newChange(ctx, nil)
	if err != nil {
		return err
	}
	retryCommand := fmt.Sprintf("verbctl profiles rollback -to %d -id %s -base %d %s", to, c.ID, c.Base, name)
	rb := admin.Rollback{ID: c.ID, Base: c.Base, To: to, Kind: rules.KindProfile, Name: name, Note: s.note, RequireApproval: s.requireApproval}
	res, err := s.opts.client().Rollback(ctx, rb)
	if err != nil {
		return asUnknown(err, c.ID, retryCommand)
	}
	if res.Proposal != nil {
		return s.printProposal(*res.Proposal)
	}
	return s.reportAccepted(ctx, res.Change)
}
