package tlskeys

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
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const handshakeLimit = 10 * time.Second

type authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
	text        string
}

func newAuthority(t *testing.T) authority {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "authority"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	assert.NilError(t, err)
	parsed, err := x509.ParseCertificate(der)
	assert.NilError(t, err)
	return authority{parsed, key, encode("CERTIFICATE", der)}
}

func encode(kind string, der []byte) string {
	return string(pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}))
}

// issue returns a source whose certificate has the serial number.
func (a authority) issue(t *testing.T, serial int64) Source {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(serial), Subject: pkix.Name{CommonName: "daemon"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, &key.PublicKey, a.key)
	assert.NilError(t, err)
	keyDER, err := x509.MarshalECPrivateKey(key)
	assert.NilError(t, err)
	return Source{Certificate: encode("CERTIFICATE", der), Key: encode("EC PRIVATE KEY", keyDER), ClientCA: a.text}
}

func load(t *testing.T, s Source) *Keys {
	t.Helper()
	k, err := Load(s)
	assert.NilError(t, err)
	return k
}

// handshake returns the serial number that the client saw, or the first error
// of either side.
func handshake(t *testing.T, server, client *tls.Config) (int64, error) {
	t.Helper()
	listener, err := tls.Listen("tcp", "127.0.0.1:0", server)
	assert.NilError(t, err)
	defer listener.Close()
	accepted := make(chan error, 1)
	go func() {
		conn, err := listener.Accept()
		if err == nil {
			defer conn.Close()
			_ = conn.SetDeadline(time.Now().Add(handshakeLimit))
			err = conn.(*tls.Conn).Handshake()
		}
		accepted <- err
	}()
	conn, err := tls.DialWithDialer(&net.Dialer{Timeout: handshakeLimit}, "tcp", listener.Addr().String(), client)
	if err != nil {
		return 0, err
	}
	defer conn.Close()
	return conn.ConnectionState().PeerCertificates[0].SerialNumber.Int64(), <-accepted
}

func TestMutualAcceptsTheAuthorityOnly(t *testing.T) {
	own, other := newAuthority(t), newAuthority(t)
	server := load(t, own.issue(t, 1))
	_, err := handshake(t, server.Mutual(), load(t, own.issue(t, 2)).Mutual())
	assert.NilError(t, err)
	stranger := other.issue(t, 3)
	stranger.ClientCA = own.text
	_, err = handshake(t, server.Mutual(), load(t, stranger).Mutual())
	assert.Assert(t, err != nil, "a certificate of another authority was accepted by the server")
	_, err = handshake(t, load(t, stranger).Mutual(), load(t, own.issue(t, 4)).Mutual())
	assert.ErrorContains(t, err, "not of the configured authority")
}

func TestReloadTakesNewKeysAndKeepsOldOnesOnAnError(t *testing.T) {
	a := newAuthority(t)
	first, second := a.issue(t, 1), a.issue(t, 2)
	path := filepath.Join(t.TempDir(), "certificate")
	keyPath := filepath.Join(t.TempDir(), "key")
	write := func(s Source) {
		assert.NilError(t, os.WriteFile(path, []byte(s.Certificate), 0o600))
		assert.NilError(t, os.WriteFile(keyPath, []byte(s.Key), 0o600))
	}
	write(first)
	k := load(t, Source{Certificate: "file:" + path, Key: "file:" + keyPath})
	client := &tls.Config{InsecureSkipVerify: true}
	serial, err := handshake(t, k.Server(), client)
	assert.NilError(t, err)
	assert.Equal(t, serial, int64(1))

	write(second)
	assert.NilError(t, k.Reload())
	serial, err = handshake(t, k.Server(), client)
	assert.NilError(t, err)
	assert.Equal(t, serial, int64(2))

	write(Source{Certificate: first.Certificate, Key: second.Key})
	assert.ErrorContains(t, k.Reload(), "do not fit")
	serial, err = handshake(t, k.Server(), client)
	assert.NilError(t, err)
	assert.Equal(t, serial, int64(2))
}
