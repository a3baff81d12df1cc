// Package tlsreload makes TLS configurations whose certificates can be renewed
// while connections are open.
package tlsreload

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"strings"
	"sync/atomic"

	"github.com/juju/errors"
)

// FilePrefix marks a part that is read from a file, anew at each reload.
const FilePrefix = "file:"

// Material holds PEM text, or FilePrefix and a path, for each part.
type Material struct {
	// Certificate is the own certificate with its chain.
	Certificate string
	Key         string
	// ClientCA is the authority that peers' certificates must be signed by;
	// empty asks for none.
	ClientCA string
}

// Source holds the material in use. It is safe for use by several goroutines.
type Source struct {
	material Material
	current  atomic.Pointer[identity]
}

// identity is the material of one reload.
type identity struct {
	certificate tls.Certificate
	// peers is nil when no certificate is asked for.
	peers *x509.CertPool
}

// Load reads the material. Its errors name the part at fault and the remedy,
// and never hold the key.
func Load(m Material) (*Source, error) {
	s := &Source{material: m}
	if err := s.Reload(); err != nil {
		return nil, errors.Trace(err)
	}
	return s, nil
}

// Reload reads the material again, for connections from now on. After an error
// the material before it stays in use.
func (s *Source) Reload() error {
	certificate, err := readPart("certificate", s.material.Certificate)
	if err != nil {
		return err
	}
	key, err := readPart("key", s.material.Key)
	if err != nil {
		return err
	}
	var next identity
	next.certificate, err = tls.X509KeyPair(certificate, key)
	if err != nil {
		return errors.Annotate(err, "certificate and key; give a certificate in PEM and the key that belongs to it")
	}
	if next.peers, err = readPeers(s.material.ClientCA); err != nil {
		return err
	}
	s.current.Store(&next)
	return nil
}

func readPeers(part string) (*x509.CertPool, error) {
	if part == "" {
		return nil, nil
	}
	text, err := readPart("authority", part)
	if err != nil {
		return nil, err
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(text) {
		return nil, errors.New("authority holds no certificate; give certificates in PEM")
	}
	return pool, nil
}

func readPart(name, part string) ([]byte, error) {
	path, isFile := strings.CutPrefix(part, FilePrefix)
	if !isFile {
		return []byte(part), nil
	}
	text, err := os.ReadFile(path)
	return text, errors.Annotatef(err, "%s; give a file that this process may read", name)
}

// ServerConfig returns the configuration of a listener. When the material has an
// authority, clients must show a certificate that it signed.
func (s *Source) ServerConfig() *tls.Config {
	c := &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return &s.current.Load().certificate, nil
		},
	}
	if s.material.ClientCA != "" {
		c.ClientAuth = tls.RequireAnyClientCert
		c.VerifyConnection = s.verifyPeer
	}
	return c
}

// MutualConfig returns the configuration for both directions between daemons: each
// side shows its certificate and checks that the authority signed the other's.
// Names are not compared, since instances are replaced and their addresses
// change; whoever holds a certificate of the authority is a daemon. The
// material must have an authority.
func (s *Source) MutualConfig() (*tls.Config, error) {
	if s.material.ClientCA == "" {
		return nil, errors.New("no authority is set; give the one that signs the daemons' certificates")
	}
	c := s.ServerConfig()
	c.MinVersion = tls.VersionTLS13
	c.GetClientCertificate = func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
		return &s.current.Load().certificate, nil
	}
	// verifyPeer takes the place of the check by name.
	c.InsecureSkipVerify = true
	return c, nil
}

// verifyPeer checks the peer's chain against the authority in use now. It runs
// on resumed connections as well.
func (s *Source) verifyPeer(state tls.ConnectionState) error {
	if len(state.PeerCertificates) == 0 {
		return errors.New("the peer shows no certificate; give it one of the authority")
	}
	intermediates := x509.NewCertPool()
	for _, c := range state.PeerCertificates[1:] {
		intermediates.AddCert(c)
	}
	_, err := state.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots:         s.current.Load().peers,
		Intermediates: intermediates,
		KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
	})
	return errors.Annotate(err, "the peer's certificate; give it one of the authority")
}
