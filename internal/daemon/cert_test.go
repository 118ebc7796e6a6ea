package daemon

import (
	"crypto/tls"
	"crypto/x509"
	"net/http"
	"os"
	"testing"

	"github.com/go-logr/logr"
	"github.com/google/go-cmp/cmp"

	"verbenadale.example/verbenadale/internal/config"
	"verbenadale.example/verbenadale/internal/dev/certs"
	"verbenadale.example/verbenadale/internal/dev/ports"
	"verbenadale.example/verbenadale/internal/logs"
)

// serialOf connects to a host with TLS and returns the serial number of the
// certificate that the host presents.
func serialOf(t *testing.T, addr string, pool *x509.CertPool) string {
	t.Helper()
	conn, err := tls.Dial("tcp", addr, &tls.Config{RootCAs: pool, ServerName: "uvs-1", MinVersion: tls.VersionTLS12})
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	return conn.ConnectionState().PeerCertificates[0].SerialNumber.String()
}

// Guards against handshakes that fail while the files of a certificate that is being renewed do
// not match, and against using the previous certificate after the renewal.
func TestCallerCertificateIsRenewed(t *testing.T) {
	ca, err := certs.New()
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	fs, err := ca.Issue(dir, "uvs-1")
	if err != nil {
		t.Fatal(err)
	}
	set := config.Defaults()
	set.Entry, set.DataCentre, set.Region = "uvs-1", "uvs", "uvs"
	set.Callers = config.Callers{Listen: ports.Next(), CertFile: fs.Cert, KeyFile: fs.Key}
	set.Operators.Listen = ports.Next()
	set.Peers = config.Peers{Listen: ports.Next(), Plain: true}
	d, err := Start(Config{Settings: set, Log: logr.Discard(), Level: logs.NewLevel(0)})
	if err != nil {
		t.Fatal(err)
	}
	defer d.Stop()
	pem, err := os.ReadFile(fs.CA)
	if err != nil {
		t.Fatal(err)
	}
	pool := x509.NewCertPool()
	pool.AppendCertsFromPEM(pem)
	first := serialOf(t, set.Callers.Listen, pool)

	if err := os.WriteFile(fs.Cert, []byte("half written"), 0o600); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(first, serialOf(t, set.Callers.Listen, pool)); diff != "" {
		t.Errorf("serial number while the files do not match (-want +got):\n%s", diff)
	}
	if _, err := ca.Issue(dir, "uvs-1"); err != nil {
		t.Fatal(err)
	}
	if second := serialOf(t, set.Callers.Listen, pool); second == first {
		t.Error("the previous certificate is presented after the renewal")
	}
	cl := &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{RootCAs: pool, ServerName: "uvs-1", MinVersion: tls.VersionTLS12}}}
	res, err := cl.Get("https://" + set.Callers.Listen + "/v1/models")
	if err != nil {
		t.Fatal(err)
	}
	res.Body.Close()
	if diff := cmp.Diff(http.StatusServiceUnavailable, res.StatusCode); diff != "" {
		t.Errorf("status of a host without configuration (-want +got):\n%s", diff)
	}
}
