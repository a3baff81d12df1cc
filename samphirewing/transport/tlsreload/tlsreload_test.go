package tlsreload

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
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// authority signs certificates for tests.
type authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
	serial      int64
}

func newAuthority(t *testing.T) *authority {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	a := &authority{key: key}
	template := a.template("authority")
	template.IsCA, template.BasicConstraintsValid, template.KeyUsage = true, true, x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	assert.NilError(t, err)
	a.certificate, err = x509.ParseCertificate(der)
	assert.NilError(t, err)
	return a
}

func (a *authority) template(name string) *x509.Certificate {
	a.serial++
	return &x509.Certificate{
		SerialNumber: big.NewInt(a.serial),
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    time.Now().Add(-time.Hour),
		NotAfter:     time.Now().Add(time.Hour),
	}
}

func (a *authority) pem() string {
	return string(pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: a.certificate.Raw}))
}

// issue returns material for one instance that trusts this authority.
func (a *authority) issue(t *testing.T, name string) Material {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	der, err := x509.CreateCertificate(rand.Reader, a.template(name), a.certificate, key.Public(), a.key)
	assert.NilError(t, err)
	encoded, err := x509.MarshalPKCS8PrivateKey(key)
	assert.NilError(t, err)
	return Material{
		Certificate: string(pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der})),
		Key:         string(pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: encoded})),
		ClientCA:    a.pem(),
	}
}

func mutual(t *testing.T, m Material) (*Source, *tls.Config) {
	t.Helper()
	s, err := Load(m)
	assert.NilError(t, err)
	c, err := s.MutualConfig()
	assert.NilError(t, err)
	return s, c
}

// handshake joins a server and a client and returns the name that the client
// saw and each side's error.
func handshake(t *testing.T, server, client *tls.Config) (seen string, serverErr, clientErr error) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = l.Close() }()
	done := make(chan error, 1)
	go func() {
		c, err := l.Accept()
		if err != nil {
			done <- err
			return
		}
		defer func() { _ = c.Close() }()
		done <- tls.Server(c, server).Handshake()
	}()
	c, err := net.Dial("tcp", l.Addr().String())
	assert.NilError(t, err)
	defer func() { _ = c.Close() }()
	secured := tls.Client(c, client)
	clientErr = secured.Handshake()
	if clientErr == nil {
		seen = secured.ConnectionState().PeerCertificates[0].Subject.CommonName
	} else {
		_ = c.Close()
	}
	return seen, <-done, clientErr
}

func TestDaemonsOfOneAuthorityTrustEachOther(t *testing.T) {
	a := newAuthority(t)
	_, one := mutual(t, a.issue(t, "d1"))
	_, two := mutual(t, a.issue(t, "d2"))
	seen, serverErr, clientErr := handshake(t, one, two)
	assert.NilError(t, serverErr)
	assert.NilError(t, clientErr)
	assert.Equal(t, seen, "d1")
}

func TestStrangersAreRefusedByBothSides(t *testing.T) {
	a, b := newAuthority(t), newAuthority(t)
	_, daemon := mutual(t, a.issue(t, "d1"))
	forged := b.issue(t, "d2")
	forged.ClientCA = a.pem()
	_, stranger := mutual(t, forged)
	_, serverErr, _ := handshake(t, daemon, stranger)
	assert.ErrorContains(t, serverErr, "give it one of the authority")
	_, _, clientErr := handshake(t, stranger, daemon)
	assert.ErrorContains(t, clientErr, "give it one of the authority")
	_, serverErr, _ = handshake(t, daemon, &tls.Config{InsecureSkipVerify: true})
	assert.Assert(t, serverErr != nil)
}

func TestReloadTakesHoldForNewConnections(t *testing.T) {
	a := newAuthority(t)
	dir := t.TempDir()
	write := func(m Material) {
		assert.NilError(t, os.WriteFile(filepath.Join(dir, "certificate"), []byte(m.Certificate), 0o600))
		assert.NilError(t, os.WriteFile(filepath.Join(dir, "key"), []byte(m.Key), 0o600))
	}
	write(a.issue(t, "old"))
	source, server := mutual(t, Material{
		Certificate: FilePrefix + filepath.Join(dir, "certificate"),
		Key:         FilePrefix + filepath.Join(dir, "key"),
		ClientCA:    a.pem(),
	})
	_, client := mutual(t, a.issue(t, "client"))
	write(a.issue(t, "new"))
	seen, _, err := handshake(t, server, client)
	assert.NilError(t, err)
	assert.Equal(t, seen, "old")
	assert.NilError(t, source.Reload())
	seen, _, err = handshake(t, server, client)
	assert.NilError(t, err)
	assert.Equal(t, seen, "new")
	write(Material{Certificate: "broken", Key: "broken"})
	assert.Assert(t, source.Reload() != nil)
	seen, _, err = handshake(t, server, client)
	assert.NilError(t, err)
	assert.Equal(t, seen, "new")
}

func TestListenersWithoutAuthorityAskForNoCertificate(t *testing.T) {
	a := newAuthority(t)
	m := a.issue(t, "entry")
	m.ClientCA = ""
	s, err := Load(m)
	assert.NilError(t, err)
	seen, serverErr, clientErr := handshake(t, s.ServerConfig(), &tls.Config{InsecureSkipVerify: true})
	assert.NilError(t, serverErr)
	assert.NilError(t, clientErr)
	assert.Equal(t, seen, "entry")
	_, err = s.MutualConfig()
	assert.ErrorContains(t, err, "no authority")
}

func TestFaultsNameThePartAndNeverTheKey(t *testing.T) {
	a := newAuthority(t)
	good, other := a.issue(t, "x"), a.issue(t, "y")
	cases := []struct {
		material Material
		want     string
	}{
		{Material{Certificate: good.Certificate, Key: other.Key}, "certificate and key"},
		{Material{Certificate: "none", Key: good.Key}, "certificate and key"},
		{Material{Certificate: good.Certificate, Key: good.Key, ClientCA: "none"}, "authority holds no certificate"},
		{Material{Certificate: good.Certificate, Key: FilePrefix + "/does/not/exist"}, "key; give a file"},
	}
	for _, c := range cases {
		_, err := Load(c.material)
		assert.ErrorContains(t, err, c.want)
		assert.Assert(t, !strings.Contains(err.Error(), "PRIVATE"))
	}
}
