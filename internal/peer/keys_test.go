package peer

import (
	"crypto/tls"
	"os"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/pkg/ident"
)

var fastTiming = Timing{TickInterval: 20 * time.Millisecond, KeyCheckInterval: 50 * time.Millisecond, MinBackoff: 10 * time.Millisecond, MaxBackoff: 100 * time.Millisecond}

func newKeyedConfig(t *testing.T, id ident.EntryID, ks *Keys) Config {
	t.Helper()
	cfg := newConfig(t, id, "uvs", fastTiming)
	cfg.Keys = ks
	return cfg
}

func TestMutualTLS(t *testing.T) {
	ca := newCA(t)
	x, y := startPair(t, newKeyedConfig(t, "uvs-1", issueKeys(t, ca, "uvs-1")), newKeyedConfig(t, "uvs-2", issueKeys(t, ca, "uvs-2")), echo)
	awaitLinked(t, x, y)
	a, end := forward(t.Context(), x, y, "body", nil)
	if diff := cmp.Diff(event.ResultDone, end.Result); diff != "" || a.body.String() != "body" {
		t.Errorf("answer %q (-want +got):\n%s", a.body.String(), diff)
	}
}

// A process without the certificate of an entry host must not be able to connect as that host.
func TestPeerWithoutItsCertificateIsRefused(t *testing.T) {
	ca := newCA(t)
	foreign, other := issueKeys(t, newCA(t), "uvs-2"), issueKeys(t, ca, "uvs-3")
	for _, c := range []struct {
		name string
		cfg  *tls.Config
	}{
		{"plain text", nil},
		{"no certificate", &tls.Config{}},
		{"foreign authority", &tls.Config{Certificates: []tls.Certificate{foreign.current.cert}}},
		{"certificate of uvs-3", &tls.Config{Certificates: []tls.Certificate{other.current.cert}}},
	} {
		t.Run(c.name, func(t *testing.T) {
			x := startNode(t, newKeyedConfig(t, "uvs-1", issueKeys(t, ca, "uvs-1")), nil)
			conn := dialNode(t, x)
			if c.cfg != nil {
				// The test covers only the check of the client by the host.
				c.cfg.InsecureSkipVerify = true
				conn = tls.Client(conn, c.cfg)
			}
			if _, err := connect(t, conn, newHost("uvs-2", "uvs", "127.0.0.1:1")); err == nil {
				t.Error("the host answered with a hello")
			}
			eventually(t, "the connection is counted as refused", func() bool { return x.count("refused") == 1 })
			if x.hasEvent(isUp("uvs-2")) {
				t.Error("the reducer was notified")
			}
		})
	}
}

// A dialled host must present its own name; another host may answer at its address.
func TestDialledHostNameIsVerified(t *testing.T) {
	ca := newCA(t)
	b := newKeyedConfig(t, "uvs-3", issueKeys(t, ca, "uvs-3"))
	y := startNode(t, b, nil)
	a := newKeyedConfig(t, "uvs-1", issueKeys(t, ca, "uvs-1"))
	seed := seedOf(b.Self)
	seed.Entry = "uvs-2"
	a.Seeds = append(a.Seeds, seed)
	x := startNode(t, a, nil)
	eventually(t, "the dialled host counts the connection as refused", func() bool { return y.count("refused") > 0 })
	if x.hasEvent(isUp("uvs-2")) || x.hasEvent(isUp("uvs-3")) || y.hasEvent(isUp("uvs-1")) {
		t.Error("a link was established")
	}
}

func replaceKeys(t *testing.T, k, by *Keys) {
	t.Helper()
	for from, to := range map[string]string{by.CertFile: k.CertFile, by.KeyFile: k.KeyFile, by.CAFile: k.CAFile} {
		b, err := os.ReadFile(from)
		if err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(to, b, 0o600); err != nil {
			t.Fatal(err)
		}
	}
}

// Replaced key files must take effect without a restart, and end sessions under the old
// authority.
func TestKeysAreReloaded(t *testing.T) {
	ca, next := newCA(t), newCA(t)
	kx, ky := issueKeys(t, ca, "uvs-1"), issueKeys(t, ca, "uvs-2")
	x, y := startPair(t, newKeyedConfig(t, "uvs-1", kx), newKeyedConfig(t, "uvs-2", ky), nil)
	awaitLinked(t, x, y)
	replaceKeys(t, ky, issueKeys(t, next, "uvs-2"))
	eventually(t, "the link under the old keys ends", func() bool { return x.hasEvent(isDown("uvs-2")) && y.hasEvent(isDown("uvs-1")) })
	refused := y.count("refused")
	eventually(t, "the old keys are refused", func() bool { return y.count("refused") > refused })
	replaceKeys(t, kx, issueKeys(t, next, "uvs-1"))
	eventually(t, "there is a link under the new keys", func() bool {
		s, _ := x.link("uvs-2").current()
		return s != nil && next.Issued(s.tlsState.PeerCertificates[0])
	})
}

// A certificate that is replaced before its key must not replace the pair in use.
func TestMismatchedKeysAreRejected(t *testing.T) {
	ca := newCA(t)
	k, next := issueKeys(t, ca, "uvs-1"), issueKeys(t, ca, "uvs-1")
	old := k.refresh().cert.Certificate
	cert, err := os.ReadFile(next.CertFile)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(k.CertFile, cert, 0o600); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(old, k.refresh().cert.Certificate); diff != "" {
		t.Errorf("certificate after the first file (-want +got):\n%s", diff)
	}
	replaceKeys(t, k, next)
	if diff := cmp.Diff(next.current.cert.Certificate, k.refresh().cert.Certificate); diff != "" {
		t.Errorf("certificate after all files (-want +got):\n%s", diff)
	}
}
