package daemon

import (
	"bytes"
	"crypto/tls"
	"os"
	"sync"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"
)

// callerCert is the TLS certificate that callers see. It is reloaded when its
// files change: a renewal by restart would abort the streams in progress.
type callerCert struct {
	certFile, keyFile string
	log               logr.Logger

	mu   sync.Mutex
	pem  [2][]byte
	cert *tls.Certificate
}

// load reads the files for the first time.
func (c *callerCert) load() error {
	if _, err := c.get(nil); err != nil {
		return errors.Wrap(err, "daemon: load certificate for callers")
	}
	return nil
}

// get returns the newest certificate that matches its key. While the files do
// not match, as in the middle of a renewal, it returns the previous certificate:
// a host that refused every handshake would look dead to its callers.
func (c *callerCert) get(*tls.ClientHelloInfo) (*tls.Certificate, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	files, err := c.readFiles()
	if err == nil && c.cert != nil && bytes.Equal(files[0], c.pem[0]) && bytes.Equal(files[1], c.pem[1]) {
		return c.cert, nil
	}
	var next tls.Certificate
	if err == nil {
		next, err = tls.X509KeyPair(files[0], files[1])
	}
	if err != nil {
		if c.cert == nil {
			return nil, err
		}
		c.log.V(1).Info("certificate for callers not reloaded, keeping the previous one", "reason", err.Error())
		return c.cert, nil
	}
	c.pem, c.cert = files, &next
	c.log.Info("certificate for callers loaded", "certFile", c.certFile)
	return c.cert, nil
}

func (c *callerCert) readFiles() ([2][]byte, error) {
	var files [2][]byte
	for i, name := range []string{c.certFile, c.keyFile} {
		b, err := os.ReadFile(name)
		if err != nil {
			return files, err
		}
		files[i] = b
	}
	return files, nil
}
