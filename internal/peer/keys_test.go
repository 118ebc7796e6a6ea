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

var quickKeys = Times{Tick: 20 * time.Millisecond, Keys: 50 * time.Millisecond, Backoff: 10 * time.Millisecond, MaxBackoff: 100 * time.Millisecond}

func keyedCfg(t *testing.T, id ident.EntryID, ks *Keys) Config {
	t.Helper()
	cfg := hostCfg(t, id, "uvs", quickKeys)
	cfg.Keys = ks
	return cfg
}

func TestMutualTLS(t *testing.T) {
	ca := newCA(t)
	x, y := pair(t, keyedCfg(t, "uvs-1", keysFor(t, ca, "uvs-1")), keyedCfg(t, "uvs-2", keysFor(t, ca, "uvs-2")), echo)
	linked(t, x, y)
	a, end := forward(t.Context(), x, y, "body", nil)
	if diff := cmp.Diff(event.ResultDone, end.Result); diff != "" || a.body.String() != "body" {
		t.Errorf("answer %q (-want +got):\n%s", a.body.String(), diff)
	}
}

// A foreign process links as an entry host.
func TestPeerWithoutItsCertificateIsRefused(t *testing.T) {
	ca := newCA(t)
	foreign, other := keysFor(t, newCA(t), "uvs-2"), keysFor(t, ca, "uvs-3")
	for _, c := range []struct {
		name string
		cfg  *tls.Config
	}{
		{"plain text", nil},
		{"no certificate", &tls.Config{}},
		{"foreign authority", &tls.Config{Certificates: []tls.Certificate{foreign.now.cert}}},
		{"certificate of uvs-3", &tls.Config{Certificates: []tls.Certificate{other.now.cert}}},
	} {
		t.Run(c.name, func(t *testing.T) {
			x := startNode(t, keyedCfg(t, "uvs-1", keysFor(t, ca, "uvs-1")), nil)
			conn := dialNode(t, x)
			if c.cfg != nil {
				// What the stranger thinks of the host does not matter here.
				c.cfg.InsecureSkipVerify = true
				conn = tls.Client(conn, c.cfg)
			}
			if _, err := connect(t, conn, hostAt("uvs-2", "uvs", "127.0.0.1:1")); err == nil {
				t.Error("it was given a hello")
			}
			eventually(t, "it is counted as refused", func() bool { return x.count("refused") == 1 })
			if x.has(isUp("uvs-2")) {
				t.Error("the reducer was notified of it")
			}
		})
	}
}

// Another host answers at the address of the dialled one.
func TestDialledHostMustHaveItsName(t *testing.T) {
	ca := newCA(t)
	b := keyedCfg(t, "uvs-3", keysFor(t, ca, "uvs-3"))
	y := startNode(t, b, nil)
	a := keyedCfg(t, "uvs-1", keysFor(t, ca, "uvs-1"))
	seed := seedOf(b.Self)
	seed.Entry = "uvs-2"
	a.Seeds = append(a.Seeds, seed)
	x := startNode(t, a, nil)
	eventually(t, "the dialled host sees the link given up", func() bool { return y.count("refused") > 0 })
	if x.has(isUp("uvs-2")) || x.has(isUp("uvs-3")) || y.has(isUp("uvs-1")) {
		t.Error("a link stands")
	}
}

func replace(t *testing.T, k, by *Keys) {
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

// Replaced keys need a restart.
func TestKeysAreReadAgain(t *testing.T) {
	ca, next := newCA(t), newCA(t)
	kx, ky := keysFor(t, ca, "uvs-1"), keysFor(t, ca, "uvs-2")
	x, y := pair(t, keyedCfg(t, "uvs-1", kx), keyedCfg(t, "uvs-2", ky), nil)
	linked(t, x, y)
	replace(t, ky, keysFor(t, next, "uvs-2"))
	eventually(t, "the link by the old keys ends", func() bool { return x.has(isDown("uvs-2")) && y.has(isDown("uvs-1")) })
	refused := y.count("refused")
	eventually(t, "the old keys are refused", func() bool { return y.count("refused") > refused })
	replace(t, kx, keysFor(t, next, "uvs-1"))
	eventually(t, "the link stands by the new keys", func() bool {
		s, _ := x.link("uvs-2").current()
		return s != nil && next.Signed(s.state.PeerCertificates[0])
	})
}

// A certificate without its key replaces the pair in use.
func TestHalfWrittenKeysAreNotTaken(t *testing.T) {
	ca := newCA(t)
	k, next := keysFor(t, ca, "uvs-1"), keysFor(t, ca, "uvs-1")
	old := k.read().cert.Certificate
	cert, err := os.ReadFile(next.CertFile)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(k.CertFile, cert, 0o600); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(old, k.read().cert.Certificate); diff != "" {
		t.Errorf("certificate after the first file (-want +got):\n%s", diff)
	}
	replace(t, k, next)
	if diff := cmp.Diff(next.now.cert.Certificate, k.read().cert.Certificate); diff != "" {
		t.Errorf("certificate after all files (-want +got):\n%s", diff)
	}
}
