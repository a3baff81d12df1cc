// Package tlskeys makes TLS configurations whose keys can be read again while
// connections are open.
package tlskeys

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"strings"
	"sync/atomic"

	"github.com/juju/errors"
)

// filePrefix marks a setting that names a file instead of holding PEM text.
const filePrefix = "file:"

// ErrNoAuthority means that a peer's certificate could not be checked because
// no certificate was sent.
const ErrNoAuthority = errors.ConstError("the peer sent no certificate; give it one of the configured authority")

// Source holds PEM text, or "file:" and a path, for each part. ClientCA is
// empty when peers need no certificate.
type Source struct {
	Certificate string
	Key         string
	ClientCA    string
}

// Keys are the keys in use. They are safe for use by several goroutines.
type Keys struct {
	source  Source
	current atomic.Pointer[loaded]
}

type loaded struct {
	certificate tls.Certificate
	authority   *x509.CertPool
}

// Load reads the keys; the error names the part at fault.
func Load(s Source) (*Keys, error) {
	k := &Keys{source: s}
	if err := k.Reload(); err != nil {
		return nil, err
	}
	return k, nil
}

// Reload reads the keys again. On an error those in use stay.
func (k *Keys) Reload() error {
	next, err := k.source.load()
	if err != nil {
		return err
	}
	k.current.Store(next)
	return nil
}

func (s Source) load() (*loaded, error) {
	certificate, err := read("certificate", s.Certificate)
	if err != nil {
		return nil, err
	}
	key, err := read("key", s.Key)
	if err != nil {
		return nil, err
	}
	pair, err := tls.X509KeyPair(certificate, key)
	if err != nil {
		return nil, errors.Annotate(err, "certificate and key do not fit; give PEM text of one pair")
	}
	next := &loaded{certificate: pair}
	if s.ClientCA == "" {
		return next, nil
	}
	authority, err := read("ca", s.ClientCA)
	if err != nil {
		return nil, err
	}
	next.authority = x509.NewCertPool()
	if !next.authority.AppendCertsFromPEM(authority) {
		return nil, errors.New("ca holds no certificate; give PEM text of the authority")
	}
	return next, nil
}

func read(part, value string) ([]byte, error) {
	path, isFile := strings.CutPrefix(value, filePrefix)
	if !isFile {
		return []byte(value), nil
	}
	text, err := os.ReadFile(path)
	return text, errors.Annotatef(err, "%s: give a file that this process can read", part)
}

// Server returns the configuration of a listener. Peers must show a
// certificate of the authority when there is one.
func (k *Keys) Server() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			return k.serverNow(), nil
		},
	}
}

func (k *Keys) serverNow() *tls.Config {
	now := k.current.Load()
	c := &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{now.certificate},
		NextProtos:   []string{"h2", "http/1.1"},
	}
	if now.authority != nil {
		c.ClientAuth = tls.RequireAndVerifyClientCert
		c.ClientCAs = now.authority
	}
	return c
}

// Mutual returns the configuration of both sides of sessions between peers:
// each shows its certificate, and accepts any certificate of the authority.
// Names are not compared, because peers are known by IP addresses that change.
func (k *Keys) Mutual() *tls.Config {
	c := k.Server()
	c.GetClientCertificate = func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
		certificate := k.current.Load().certificate
		return &certificate, nil
	}
	// VerifyConnection below checks the chain against the authority in use.
	c.InsecureSkipVerify = true
	c.VerifyConnection = k.verifyPeer
	return c
}

func (k *Keys) verifyPeer(s tls.ConnectionState) error {
	if len(s.PeerCertificates) == 0 {
		return ErrNoAuthority
	}
	intermediates := x509.NewCertPool()
	for _, c := range s.PeerCertificates[1:] {
		intermediates.AddCert(c)
	}
	_, err := s.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots:         k.current.Load().authority,
		Intermediates: intermediates,
		KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	})
	return errors.Annotate(err, "the peer's certificate is not of the configured authority")
}
