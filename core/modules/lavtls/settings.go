package lavtls

import (
	"crypto/tls"
	"crypto/x509"
	"net/netip"
	"os"

	"github.com/pkg/errors"

	"lavenderswitch/core/modules/lavsettings"
)

// Settings names the certificate files of one TLS endpoint. All names are empty if TLS is off.
type Settings struct {
	// CertificateFile holds this host's certificate chain in PEM.
	CertificateFile string
	// KeyFile holds the private key of the certificate in PEM.
	KeyFile string
	// AuthorityFile holds the CA certificates that the peer's certificate is verified against, in PEM.
	AuthorityFile string
}

// Enabled reports whether any file is named.
func (s Settings) Enabled() bool {
	return s != Settings{}
}

// Check adds every fault of the settings under a path. Without TLS, every address must be a loopback address.
func (s Settings) Check(faults *lavsettings.Faults, path string, addresses ...string) {
	if !s.Enabled() {
		for _, address := range addresses {
			faults.AddUnless(isLoopback(address), path, "missing", "name certificate files, because "+address+" is not on the loopback interface")
		}
		return
	}
	checkFile(faults, path+"/CertificateFile", s.CertificateFile)
	checkFile(faults, path+"/KeyFile", s.KeyFile)
	if s.CertificateFile != "" && s.KeyFile != "" {
		_, err := tls.LoadX509KeyPair(s.CertificateFile, s.KeyFile)
		faults.AddUnless(err == nil, path+"/CertificateFile", s.CertificateFile, "name a certificate that matches the key: "+errorText(err))
	}
	checkFile(faults, path+"/AuthorityFile", s.AuthorityFile)
	if s.AuthorityFile != "" {
		_, err := loadCertPool(s.AuthorityFile)
		faults.AddUnless(err == nil, path+"/AuthorityFile", s.AuthorityFile, "name a file with certificates in PEM")
	}
}

func checkFile(faults *lavsettings.Faults, path, name string) {
	if name == "" {
		faults.AddUnless(false, path, "missing", "name the file; all three files are needed")
		return
	}
	file, err := os.Open(name) //nolint:gosec // the settings name the file
	faults.AddUnless(err == nil, path, name, "name a readable file: "+errorText(err))
	if err == nil {
		file.Close()
	}
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// isLoopback reports whether an address is on the loopback interface. It also returns true for an address that cannot be
// parsed.
func isLoopback(address string) bool {
	parsed, err := netip.ParseAddrPort(address)
	return err != nil || parsed.Addr().IsLoopback()
}

// Server returns the configuration of a listener that requires a client certificate of the authority. It returns nil if
// TLS is off.
func (s Settings) Server() (*tls.Config, error) {
	config, err := s.config()
	if config == nil {
		return nil, err
	}
	config.ClientAuth = tls.RequireAndVerifyClientCert
	config.ClientCAs = config.RootCAs
	return config, nil
}

// ServerWithoutClientAuth returns the configuration of a listener whose clients authenticate with a key instead of a
// certificate. It returns nil if TLS is off.
func (s Settings) ServerWithoutClientAuth() (*tls.Config, error) {
	return s.config()
}

// Client returns the configuration of a client that presents this host's certificate. It returns nil if TLS is off.
func (s Settings) Client() (*tls.Config, error) {
	return s.config()
}

func (s Settings) config() (*tls.Config, error) {
	if !s.Enabled() {
		return nil, nil //nolint:nilnil // no configuration means no TLS
	}
	certificate, err := tls.LoadX509KeyPair(s.CertificateFile, s.KeyFile)
	if err != nil {
		return nil, errors.Wrap(err, "load the certificate; check CertificateFile and KeyFile")
	}
	authorities, err := loadCertPool(s.AuthorityFile)
	if err != nil {
		return nil, err
	}
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{certificate},
		RootCAs:      authorities,
	}, nil
}

// Scheme returns the URL scheme of peers, including "://".
func (s Settings) Scheme() string {
	if s.Enabled() {
		return "https://"
	}
	return "http://"
}

// ClientWithoutCertificate returns the configuration of a client that presents no certificate and verifies the server
// against the authority file.
func ClientWithoutCertificate(authorityFile string) (*tls.Config, error) {
	authorities, err := loadCertPool(authorityFile)
	if err != nil {
		return nil, err
	}
	return &tls.Config{MinVersion: tls.VersionTLS13, RootCAs: authorities}, nil
}

func loadCertPool(name string) (*x509.CertPool, error) {
	data, err := os.ReadFile(name) //nolint:gosec // the settings name the file
	if err != nil {
		return nil, errors.Wrap(err, "read the authority's certificates; check AuthorityFile")
	}
	authorities := x509.NewCertPool()
	if !authorities.AppendCertsFromPEM(data) {
		return nil, errors.Errorf("%s holds no certificate in PEM; check AuthorityFile", name)
	}
	return authorities, nil
}
