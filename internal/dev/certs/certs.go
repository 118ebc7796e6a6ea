// Package certs creates certificate authorities and certificates for development
// and tests. They are valid for a day.
//
// # Usage
//
//	ca, err := certs.New()
//	files, err := ca.Issue(dir, "uvs-1")
//	set.Peers.CertFile = files.Cert
package certs

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"os"
	"path/filepath"
	"time"

	"github.com/pkg/errors"
)

// ErrCreate means that a certificate could not be created or written.
var ErrCreate = errors.New("certs: certificate not created")

// certLifetime is the time from creation to expiry.
const certLifetime = 24 * time.Hour

// Authority signs certificates.
type Authority struct {
	key  *ecdsa.PrivateKey
	cert *x509.Certificate
}

// Files holds the paths of a host's certificate, its key and the CA certificate.
type Files struct{ Cert, Key, CA string }

// New creates an authority. Its errors wrap ErrCreate.
func New() (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, errors.Wrap(ErrCreate, err.Error())
	}
	tmpl := template("verbenadale development authority")
	tmpl.IsCA = true
	tmpl.BasicConstraintsValid = true
	tmpl.KeyUsage = x509.KeyUsageCertSign
	cert, err := sign(tmpl, tmpl, key, key)
	if err != nil {
		return nil, err
	}
	return &Authority{key: key, cert: cert}, nil
}

func template(name string) *x509.Certificate {
	serial := new(big.Int).SetInt64(time.Now().UnixNano())
	return &x509.Certificate{
		SerialNumber: serial, Subject: pkix.Name{CommonName: name},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(certLifetime),
	}
}

func sign(tmpl, parent *x509.Certificate, key, signer *ecdsa.PrivateKey) (*x509.Certificate, error) {
	der, err := x509.CreateCertificate(rand.Reader, tmpl, parent, key.Public(), signer)
	if err != nil {
		return nil, errors.Wrap(ErrCreate, err.Error())
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, errors.Wrap(ErrCreate, err.Error())
	}
	return cert, nil
}

// Issue creates a certificate for a name and writes it to a directory, with its
// key and the certificate of the authority.
func (a *Authority) Issue(dir, name string) (Files, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return Files{}, errors.Wrap(ErrCreate, err.Error())
	}
	tmpl := template(name)
	tmpl.DNSNames = []string{name}
	tmpl.KeyUsage = x509.KeyUsageDigitalSignature
	tmpl.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth}
	cert, err := sign(tmpl, a.cert, key, a.key)
	if err != nil {
		return Files{}, err
	}
	der, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		return Files{}, errors.Wrap(ErrCreate, err.Error())
	}
	fs := Files{
		Cert: filepath.Join(dir, name+".crt"), Key: filepath.Join(dir, name+".key"), CA: filepath.Join(dir, "ca.crt"),
	}
	return fs, writeFiles([]pemFile{
		{fs.Cert, "CERTIFICATE", cert.Raw}, {fs.Key, "EC PRIVATE KEY", der}, {fs.CA, "CERTIFICATE", a.cert.Raw},
	})
}

type pemFile struct {
	path, kind string
	der        []byte
}

func writeFiles(fs []pemFile) error {
	for _, f := range fs {
		text := pem.EncodeToMemory(&pem.Block{Type: f.kind, Bytes: f.der})
		if err := os.WriteFile(f.path, text, 0o600); err != nil {
			return errors.Wrap(ErrCreate, err.Error())
		}
	}
	return nil
}

// Issued reports whether the authority signed a certificate.
func (a *Authority) Issued(c *x509.Certificate) bool { return c.CheckSignatureFrom(a.cert) == nil }
