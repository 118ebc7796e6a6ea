package opctl

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/pkg/errors"

	"verbenadale.example/verbenadale/internal/admin"
	"verbenadale.example/verbenadale/pkg/ident"
	"verbenadale.example/verbenadale/pkg/rules"
)

func accountsList(opts *Options) *command {
	return &command{
		name: "list", synopsis: "list the accounts in force", opts: opts,
		usage: `list [-json]
  Lists the client accounts in force at the entry host.

  Example:
    verbctl accounts list
`,
		run: func(ctx context.Context, _ []string) error {
			l, err := opts.client().Accounts(ctx, "")
			if err != nil {
				return err
			}
			return opts.print(l, func(w io.Writer) { accountTable(w, l) })
		},
	}
}

func accountTable(w io.Writer, l admin.AccountList) {
	fmt.Fprintln(w, "ACCOUNT\tKEYS\tHOME\tREGIONS\tPROFILES\tPRIORITY\tREQUESTS/MIN\tTOKENS/MIN\tCHANGED")
	for _, i := range l.Accounts {
		c := i.Account
		fmt.Fprintf(w, "%s\t%d\t%s\t%s\t%s\t%s\t%s\t%s\t%d\n",
			c.Name, len(c.KeyDigests()), c.Home, formatNames(c.Regions), formatNames(c.Profiles), formatPriority(c),
			formatLimit(c.RequestsPerMinute), formatLimit(c.TokensPerMinute), i.ChangedAt)
	}
}

func formatNames[T ~string](list []T) string {
	if len(list) == 0 {
		return "all"
	}
	names := make([]string, 0, len(list))
	for _, name := range list {
		names = append(names, string(name))
	}
	return strings.Join(names, ",")
}

// formatPriority returns the priority of an account, or that it has none of its own.
func formatPriority(c rules.Client) string {
	if n, ok := c.Priority.Get(); ok {
		return fmt.Sprint(n)
	}
	return "profile"
}

func formatLimit(n ident.PerMinute) string {
	if n == 0 {
		return "none"
	}
	return fmt.Sprint(float64(n))
}

func accountsGet(opts *Options) *command {
	return &command{
		name: "get", synopsis: "print an account, ready to be edited", opts: opts, argCount: 1,
		usage: `get NAME
  Prints the account with the revision that it was read at.

  Example:
    verbctl accounts get foundation > foundation.jsonc
`,
		run: func(ctx context.Context, args []string) error {
			l, err := opts.client().Accounts(ctx, args[0])
			if err != nil {
				return err
			}
			if len(l.Accounts) == 0 {
				return errors.Errorf("account %q is not in force; \"verbctl accounts list\" shows those that are", args[0])
			}
			return printDoc(opts, l.Accounts[0].Account, l.Revision)
		},
	}
}

func accountsPut(opts *Options) *command {
	s := &changeSender{opts: opts}
	return &command{
		name: "put", synopsis: "create or change accounts", opts: opts, argCount: 1, flags: s.flags,
		usage: `put [-wait 5s] [-note TEXT] FILE
  Sends an account, or an array of them, as one change.

  Example:
    verbctl accounts put -wait 5s foundation.jsonc
`,
		run: func(ctx context.Context, args []string) error {
			items, err := s.readDocs(args[0], rules.KindAccount)
			if err != nil {
				return err
			}
			return s.send(ctx, items, "accounts put", args[0])
		},
	}
}

func accountsDigest(opts *Options) *command {
	return &command{
		name: "digest", synopsis: "print the digest of an API key or token", opts: opts,
		usage: `digest
  Reads a key from the standard input and prints its digest for the
  configuration. The key is not an argument, because other users of the machine
  could see it.

  Example:
    verbctl accounts digest < key.txt
`,
		run: func(context.Context, []string) error {
			sc := bufio.NewScanner(os.Stdin)
			if !sc.Scan() || strings.TrimSpace(sc.Text()) == "" {
				return &usageError{text: "the standard input has no key; write the key as one line"}
			}
			fmt.Fprintln(opts.Out, rules.Digest(strings.TrimSpace(sc.Text())))
			return nil
		},
	}
}
