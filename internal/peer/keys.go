package peer

import (
	"bytes"
	"crypto/tls"
	"crypto/x509"
	"net"
	"os"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"

	"verbenadale.example/verbenadale/pkg/ident"
)

// Keys reads the certificate, key and authority of this host from files, and
// again when the files change.
type Keys struct {
	CertFile, KeyFile, CAFile string
	Log                       logr.Logger

	mu      sync.Mutex
	current keySet
}

// keySet is what the files held when they were last read and fitted together.
type keySet struct {
	files [3][]byte
	// rejected holds the texts that did not fit together, so that each is
	// logged once.
	rejected [3][]byte
	cert     tls.Certificate
	pool     *x509.CertPool
}

// Load reads the files for the first time and fails where they are not whole.
func (k *Keys) Load() error {
	texts, err := k.readFiles()
	if err != nil {
		return err
	}
	now, err := parseKeys(texts)
	if err != nil {
		return err
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.current = now
	return nil
}

// refresh returns the newest keys that fit together. The files are compared by
// what they hold: a copy that is put in place may have any time stamp. Files
// that are half written, or a key that is in place before its certificate,
// leave the old ones in force; otherwise the host could reach nobody between
// two steps of whoever replaces them.
func (k *Keys) refresh() keySet {
	texts, err := k.readFiles()
	k.mu.Lock()
	defer k.mu.Unlock()
	if err != nil || equalFiles(texts, k.current.files) || equalFiles(texts, k.current.rejected) {
		return k.current
	}
	next, err := parseKeys(texts)
	if err != nil {
		k.current.rejected = texts
		k.Log.Info("peer keys not taken over", "reason", err.Error())
		return k.current
	}
	k.current = next
	k.Log.Info("peer keys taken over", "certFile", k.CertFile)
	return k.current
}

func (k *Keys) readFiles() ([3][]byte, error) {
	var ts [3][]byte
	for n, name := range []string{k.CertFile, k.KeyFile, k.CAFile} {
		b, err := os.ReadFile(name)
		if err != nil {
			return ts, errors.Wrap(ErrKeys, err.Error())
		}
		ts[n] = b
	}
	return ts, nil
}

func equalFiles(x, y [3][]byte) bool {
	for n := range x {
		if !bytes.Equal(x[n], y[n]) {
			return false
		}
	}
	return true
}

func parseKeys(ts [3][]byte) (keySet, error) {
	cert, err := tls.X509KeyPair(ts[0], ts[1])
	if err != nil {
		return keySet{}, errors.Wrap(ErrKeys, err.Error())
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(ts[2]) {
		return keySet{}, errors.Wrap(ErrKeys, "no certificate of an authority")
	}
	return keySet{files: ts, cert: cert, pool: pool}, nil
}

// tlsConn returns a TLS connection that asks for the certificate of the other
// side, and in a connection that this host dialled, for the name in it.
// Sessions are never resumed: a resumed one would carry on a proof that the
// newest authority might no longer give.
func (ks keySet) tlsConn(raw net.Conn, expect ident.EntryID, dialled bool) *tls.Conn {
	cfg := &tls.Config{
		MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{ks.cert}, SessionTicketsDisabled: true,
	}
	if dialled {
		cfg.RootCAs, cfg.ServerName = ks.pool, string(expect)
		return tls.Client(raw, cfg)
	}
	cfg.ClientCAs, cfg.ClientAuth = ks.pool, tls.RequireAndVerifyClientCert
	return tls.Server(raw, cfg)
}

// verify reports whether the certificate of a session would be taken now.
func (ks keySet) verify(state tls.ConnectionState) error {
	if len(state.PeerCertificates) == 0 {
		return errors.Wrap(ErrRefused, "no certificate")
	}
	mid := x509.NewCertPool()
	for _, c := range state.PeerCertificates[1:] {
		mid.AddCert(c)
	}
	_, err := state.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots: ks.pool, Intermediates: mid, CurrentTime: time.Now(),
		KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
	})
	if err != nil {
		return errors.Wrap(ErrRefused, err.Error())
	}
	return nil
}

// verifyName reports whether a certificate is that of an entry host.
func verifyName(state tls.ConnectionState, id ident.EntryID) error {
	if len(state.PeerCertificates) == 0 {
		return errors.Wrap(ErrRefused, "no certificate")
	}
	if err := state.PeerCertificates[0].VerifyHostname(string(id)); err != nil {
		return errors.Wrap(ErrRefused, err.Error())
	}
	return nil
}
