package daemon

import (
	"bytes"
	"crypto/tls"
	"os"
	"sync"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"
)

// callerCert is the certificate towards callers. It is read again when its
// files change, so that a renewal needs no restart, which would end the streams
// that run.
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
		return errors.Wrap(err, "daemon: certificate towards callers")
	}
	return nil
}

// get returns the newest certificate that fits its key. Files that are half
// replaced leave the old one in force: a host that refused every handshake in
// the meantime would look dead to its callers.
func (c *callerCert) get(*tls.ClientHelloInfo) (*tls.Certificate, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	text, err := c.readFiles()
	if err == nil && c.cert != nil && bytes.Equal(text[0], c.pem[0]) && bytes.Equal(text[1], c.pem[1]) {
		return c.cert, nil
	}
	var next tls.Certificate
	if err == nil {
		next, err = tls.X509KeyPair(text[0], text[1])
	}
	if err != nil {
		if c.cert == nil {
			return nil, err
		}
		c.log.V(1).Info("certificate towards callers not taken over", "reason", err.Error())
		return c.cert, nil
	}
	c.pem, c.cert = text, &next
	c.log.Info("certificate towards callers taken over", "certFile", c.certFile)
	return c.cert, nil
}

func (c *callerCert) readFiles() ([2][]byte, error) {
	var text [2][]byte
	for i, name := range []string{c.certFile, c.keyFile} {
		b, err := os.ReadFile(name)
		if err != nil {
			return text, err
		}
		text[i] = b
	}
	return text, nil
}
