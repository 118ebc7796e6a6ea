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

// Keys holds the certificate, key and authority of this host. It reads them from files, and
// again when the files change.
type Keys struct {
	CertFile, KeyFile, CAFile string
	Log                       logr.Logger

	mu      sync.Mutex
	current keySet
}

// keySet is the content of the files when they were last read and consistent.
type keySet struct {
	files [3][]byte
	// rejected holds the latest contents that were inconsistent, so that they are logged only
	// once.
	rejected [3][]byte
	cert     tls.Certificate
	pool     *x509.CertPool
}

// Load reads the files for the first time. It returns an error if they are incomplete or
// inconsistent.
func (k *Keys) Load() error {
	files, err := k.readFiles()
	if err != nil {
		return err
	}
	keys, err := parseKeys(files)
	if err != nil {
		return err
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.current = keys
	return nil
}

// refresh returns the latest consistent keys. It compares the contents of the files, since a
// copied file may have any time stamp. Partly written files, or a key that is replaced before
// its certificate, leave the previous keys in use; otherwise the host could reach no peer
// between two steps of a replacement.
func (k *Keys) refresh() keySet {
	files, err := k.readFiles()
	k.mu.Lock()
	defer k.mu.Unlock()
	if err != nil || equalFiles(files, k.current.files) || equalFiles(files, k.current.rejected) {
		return k.current
	}
	next, err := parseKeys(files)
	if err != nil {
		k.current.rejected = files
		k.Log.Info("peer keys not taken over", "reason", err.Error())
		return k.current
	}
	k.current = next
	k.Log.Info("peer keys taken over", "certFile", k.CertFile)
	return k.current
}

func (k *Keys) readFiles() ([3][]byte, error) {
	var files [3][]byte
	for n, name := range []string{k.CertFile, k.KeyFile, k.CAFile} {
		b, err := os.ReadFile(name)
		if err != nil {
			return files, errors.Wrap(ErrKeys, err.Error())
		}
		files[n] = b
	}
	return files, nil
}

func equalFiles(x, y [3][]byte) bool {
	for n := range x {
		if !bytes.Equal(x[n], y[n]) {
			return false
		}
	}
	return true
}

func parseKeys(files [3][]byte) (keySet, error) {
	cert, err := tls.X509KeyPair(files[0], files[1])
	if err != nil {
		return keySet{}, errors.Wrap(ErrKeys, err.Error())
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(files[2]) {
		return keySet{}, errors.Wrap(ErrKeys, "authority file contains no certificate")
	}
	return keySet{files: files, cert: cert, pool: pool}, nil
}

// tlsConn returns a TLS connection that verifies the certificate of the other side, and for a
// dialled connection also the host name in it. Sessions are never resumed: a resumed session
// would rely on an earlier verification that the current authority might no longer allow.
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

// verify checks the certificate of a session against the current authority.
func (ks keySet) verify(state tls.ConnectionState) error {
	if len(state.PeerCertificates) == 0 {
		return errors.Wrap(ErrRefused, "no certificate")
	}
	intermediates := x509.NewCertPool()
	for _, c := range state.PeerCertificates[1:] {
		intermediates.AddCert(c)
	}
	_, err := state.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots: ks.pool, Intermediates: intermediates, CurrentTime: time.Now(),
		KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
	})
	if err != nil {
		return errors.Wrap(ErrRefused, err.Error())
	}
	return nil
}

// verifyName checks that the certificate of a connection was issued to an entry host.
func verifyName(state tls.ConnectionState, id ident.EntryID) error {
	if len(state.PeerCertificates) == 0 {
		return errors.Wrap(ErrRefused, "no certificate")
	}
	if err := state.PeerCertificates[0].VerifyHostname(string(id)); err != nil {
		return errors.Wrap(ErrRefused, err.Error())
	}
	return nil
}
