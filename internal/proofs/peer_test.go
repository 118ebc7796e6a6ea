package proofs

import (
	"strings"
	"syscall"
	"testing"

	"verbenadale.example/verbenadale/internal/config"
	"verbenadale.example/verbenadale/internal/dev/certs"
	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/pkg/ident"
)

// withKeys enables TLS in the settings of an entry host, with a new certificate and key.
func withKeys(t *testing.T, ca *certs.Authority, set config.Settings) config.Settings {
	t.Helper()
	fs, err := ca.Issue(t.TempDir(), string(set.Entry))
	if err != nil {
		t.Fatal(err)
	}
	set.Peers.Plain = false
	set.Peers.CertFile, set.Peers.KeyFile, set.Peers.CAFile = fs.Cert, fs.Key, fs.CA
	return set
}

// logged returns a check of whether an entry host has logged a line with all the parts.
func (e *entry) logged(parts ...string) func() bool {
	return func() bool {
		for line := range strings.Lines(e.output.String()) {
			if containsAll(line, parts) {
				return true
			}
		}
		return false
	}
}

func containsAll(line string, parts []string) bool {
	for _, p := range parts {
		if !strings.Contains(line, p) {
			return false
		}
	}
	return true
}

// Peers must drop the link to a frozen host, and reconnect when it resumes.
func TestFrozenEntryIsNoticed(t *testing.T) {
	ca, err := certs.New()
	if err != nil {
		t.Fatal(err)
	}
	platform := startPlatform(t)
	place := event.Place{DataCentre: "uvs", Region: "uvs"}
	second := withKeys(t, ca, entrySettings(platform, "uvs-2", place))
	first := withKeys(t, ca, entrySettings(platform, "uvs-1", place))
	first.Peers.Seeds = []config.Seed{{
		Entry: ident.EntryID("uvs-2"), Addr: second.Peers.Listen, DataCentre: "uvs", Region: "uvs",
	}}
	b := startEntryWith(t, second)
	a := startEntryWith(t, first)
	eventually(t, "the link is up", a.logged(`msg="peer link is up"`, "entry=uvs-2"))

	if err := b.cmd.Process.Signal(syscall.SIGSTOP); err != nil {
		t.Fatal(err)
	}
	eventually(t, "the link is down", a.logged(`msg="peer link is down"`, "entry=uvs-2", "reason=silent"))
	if err := b.cmd.Process.Signal(syscall.SIGCONT); err != nil {
		t.Fatal(err)
	}
	eventually(t, "the link is up again", func() bool {
		return strings.Count(a.output.String(), `msg="peer link is up" entry=uvs-2`) >= 2
	})
}
