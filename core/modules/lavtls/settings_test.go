package lavtls

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"

	"lavenderswitch/core/modules/lavsettings"
)

// authority is a certificate authority for tests.
type authority struct {
	t           *testing.T
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
	file        string
}

func newAuthority(t *testing.T) *authority {
	a := &authority{t: t}
	a.key, _ = ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	template := a.template(true)
	der, err := x509.CreateCertificate(rand.Reader, template, template, &a.key.PublicKey, a.key)
	if err != nil {
		t.Fatal(err)
	}
	a.certificate, _ = x509.ParseCertificate(der)
	a.file = a.write("CERTIFICATE", der)
	return a
}

func (a *authority) template(isAuthority bool) *x509.Certificate {
	return &x509.Certificate{
		SerialNumber: big.NewInt(time.Now().UnixNano()), Subject: pkix.Name{CommonName: "test"}, IsCA: isAuthority, BasicConstraintsValid: true,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour), KeyUsage: x509.KeyUsageDigitalSignature | x509.KeyUsageCertSign,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth}, IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
	}
}

func (a *authority) write(blockType string, der []byte) string {
	file := filepath.Join(a.t.TempDir(), "file.pem")
	if err := os.WriteFile(file, pem.EncodeToMemory(&pem.Block{Type: blockType, Bytes: der}), 0o600); err != nil {
		a.t.Fatal(err)
	}
	return file
}

func (a *authority) issue() Settings {
	key, _ := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	der, err := x509.CreateCertificate(rand.Reader, a.template(false), a.certificate, &key.PublicKey, a.key)
	if err != nil {
		a.t.Fatal(err)
	}
	private, _ := x509.MarshalPKCS8PrivateKey(key)
	return Settings{CertificateFile: a.write("CERTIFICATE", der), KeyFile: a.write("PRIVATE KEY", private), AuthorityFile: a.file}
}

func get(config *tls.Config, url string) error {
	client := &http.Client{Transport: &http.Transport{TLSClientConfig: config}}
	response, err := client.Get(url)
	if err == nil {
		response.Body.Close()
	}
	return err
}

// TestServerAcceptsOnlyClientsOfItsAuthority guards against a listener that accepts a client without a certificate, or
// with a certificate of another authority.
func TestServerAcceptsOnlyClientsOfItsAuthority(t *testing.T) {
	is := is.New(t)
	trustedAuthority, otherAuthority := newAuthority(t), newAuthority(t)
	config, err := trustedAuthority.issue().Server()
	is.NoErr(err)
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	server.TLS = config
	server.StartTLS()
	defer server.Close()
	trustedClient, err := trustedAuthority.issue().Client()
	is.NoErr(err)
	is.NoErr(get(trustedClient, server.URL))
	untrustedClient, err := otherAuthority.issue().Client()
	is.NoErr(err)
	is.True(get(untrustedClient, server.URL) != nil) // neither side trusts the other
	untrustedClient.RootCAs = trustedClient.RootCAs
	is.True(get(untrustedClient, server.URL) != nil) // the client trusts the server, but the server does not trust the client
	certificatelessClient, err := ClientWithoutCertificate(trustedAuthority.file)
	is.NoErr(err)
	is.True(get(certificatelessClient, server.URL) != nil) // the client presents no certificate
}

// TestCheckReportsEveryFaultOfFiles guards against a process that starts without TLS on an address outside the
// loopback interface, or with files that cannot be used.
func TestCheckReportsEveryFaultOfFiles(t *testing.T) {
	is := is.New(t)
	var faults lavsettings.Faults
	Settings{}.Check(&faults, "TLS", "127.0.0.1:1", "[::1]:1")
	is.Equal(len(faults), 0) // loopback addresses need no TLS
	Settings{}.Check(&faults, "TLS", "10.0.0.1:1")
	is.Equal(len(faults), 1)
	faults = nil
	trustedAuthority := newAuthority(t)
	trustedAuthority.issue().Check(&faults, "TLS", "10.0.0.1:1")
	is.Equal(len(faults), 0)
	mixed := Settings{CertificateFile: trustedAuthority.issue().CertificateFile, KeyFile: trustedAuthority.issue().KeyFile, AuthorityFile: "/nowhere"}
	mixed.Check(&faults, "TLS")
	is.Equal(len(faults), 3) // the key does not match; the authority file is unreadable and holds no certificate
	_, err := Settings{AuthorityFile: "/nowhere"}.Server()
	is.True(err != nil)
}
