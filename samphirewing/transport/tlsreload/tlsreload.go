// Package tlsreload provides TLS configurations whose certificates can be reloaded
// at run time.
package tlsreload

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"strings"
	"sync/atomic"

	"github.com/juju/errors"
)

// FilePrefix marks a part of Material that is read from a file at each reload.
const FilePrefix = "file:"

// Material holds the parts of a TLS identity. Each part is PEM text, or FilePrefix
// followed by a path.
type Material struct {
	// Certificate is this process's certificate with its chain.
	Certificate string
	Key         string
	// ClientCA is the authority that must have signed the peers' certificates. If
	// it is empty, no certificate is requested from peers.
	ClientCA string
}

// Source holds the current material. It is safe for concurrent use.
type Source struct {
	material Material
	current  atomic.Pointer[materialSnapshot]
}

// materialSnapshot is the material loaded by one reload.
type materialSnapshot struct {
	certificate tls.Certificate
	// peerCAs is nil if no certificate is requested from peers.
	peerCAs *x509.CertPool
}

// Load reads the material. Errors name the invalid part and the remedy, and never
// contain the key.
func Load(m Material) (*Source, error) {
	s := &Source{material: m}
	if err := s.Reload(); err != nil {
		return nil, errors.Trace(err)
	}
	return s, nil
}

// Reload reads the material again. New connections use it. If it fails, the previous
// material stays in use.
func (s *Source) Reload() error {
	certificate, err := loadPart("certificate", s.material.Certificate)
	if err != nil {
		return err
	}
	key, err := loadPart("key", s.material.Key)
	if err != nil {
		return err
	}
	var next materialSnapshot
	next.certificate, err = tls.X509KeyPair(certificate, key)
	if err != nil {
		return errors.Annotate(err, "load certificate and key; give a certificate in PEM and the key that belongs to it")
	}
	if next.peerCAs, err = loadPeerCAs(s.material.ClientCA); err != nil {
		return err
	}
	s.current.Store(&next)
	return nil
}

func loadPeerCAs(part string) (*x509.CertPool, error) {
	if part == "" {
		return nil, nil
	}
	text, err := loadPart("authority", part)
	if err != nil {
		return nil, err
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(text) {
		return nil, errors.New("authority holds no certificate; give certificates in PEM")
	}
	return pool, nil
}

func loadPart(name, part string) ([]byte, error) {
	path, isFile := strings.CutPrefix(part, FilePrefix)
	if !isFile {
		return []byte(part), nil
	}
	text, err := os.ReadFile(path)
	return text, errors.Annotatef(err, "read %s; give a file that this process may read", name)
}

// ServerConfig returns the configuration of a listener. If the material has an
// authority, clients must present a certificate signed by it.
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

// MutualConfig returns the configuration for mutual TLS between daemons, for both
// sides: each presents its certificate and checks that the authority signed that of
// the peer. Names are not verified, since instances are replaced and their addresses
// change; any peer with a certificate of the authority is accepted as a daemon. The
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
	// verifyPeer replaces the standard verification, which includes the name.
	c.InsecureSkipVerify = true
	return c, nil
}

// verifyPeer verifies the peer's chain against the current authority. It also runs
// on resumed connections.
func (s *Source) verifyPeer(state tls.ConnectionState) error {
	if len(state.PeerCertificates) == 0 {
		return errors.New("peer presented no certificate; give it one signed by the authority")
	}
	intermediates := x509.NewCertPool()
	for _, c := range state.PeerCertificates[1:] {
		intermediates.AddCert(c)
	}
	_, err := state.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots:         s.current.Load().peerCAs,
		Intermediates: intermediates,
		KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
	})
	return errors.Annotate(err, "verify peer certificate; give the peer one signed by the authority")
}
