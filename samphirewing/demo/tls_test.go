package demo

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"io"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/samphirewing/samphirewing/daemon"
)

// writeCertificate writes a self-signed certificate with the given serial number
// and its key to dir, and returns settings that refer to the files.
func writeCertificate(t *testing.T, dir string, serial int64) daemon.TLSSettings {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(serial), Subject: pkix.Name{CommonName: "daemons"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true, IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		KeyUsage:    x509.KeyUsageCertSign | x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	assert.NilError(t, err)
	keyDER, err := x509.MarshalECPrivateKey(key)
	assert.NilError(t, err)
	certificatePath, keyPath := filepath.Join(dir, "certificate"), filepath.Join(dir, "key")
	writePEM(t, certificatePath, "CERTIFICATE", der)
	writePEM(t, keyPath, "EC PRIVATE KEY", keyDER)
	return daemon.TLSSettings{Certificate: "file:" + certificatePath, Key: "file:" + keyPath, ClientCA: "file:" + certificatePath}
}

func writePEM(t *testing.T, path, kind string, der []byte) {
	t.Helper()
	assert.NilError(t, os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600))
}

// Daemons with mutual TLS between peers and TLS towards callers serve requests,
// and load a renewed certificate without a restart.
func TestTLSSystemServesAndReloadsCertificate(t *testing.T) {
	t.Parallel()
	dir := t.TempDir()
	tlsSettings := writeCertificate(t, dir, 1)
	s, err := Start(context.Background(), Options{Deployment: Gemelo, Speedup: testSpeedup, Adjust: func(settings *daemon.Settings) {
		settings.MeshTLS = tlsSettings
		settings.CallerTLS = daemon.TLSSettings{Certificate: tlsSettings.Certificate, Key: tlsSettings.Key}
	}})
	assert.NilError(t, err)
	t.Cleanup(s.Close)
	assert.Equal(t, requestOverTLS(t, s, 0), int64(1))
	writeCertificate(t, dir, 2)
	s.Daemons[0].ReloadKeys()
	assert.Equal(t, requestOverTLS(t, s, 0), int64(2))
	assert.Equal(t, requestOverTLS(t, s, 1), int64(1))
}

// requestOverTLS sends a request to daemon i, reads the complete response and
// returns the serial number of the daemon's certificate.
func requestOverTLS(t *testing.T, s *System, i int) int64 {
	t.Helper()
	client := &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{InsecureSkipVerify: true}}}
	defer client.CloseIdleConnections()
	body := `{"model":"engraver-small","max_tokens":8,"messages":[{"role":"user","content":"label"}]}`
	request, err := http.NewRequest(http.MethodPost, "https://"+s.Daemons[i].Addresses().Caller+"/v1/chat/completions", strings.NewReader(body))
	assert.NilError(t, err)
	request.Header.Set("Authorization", "Bearer demo-joyeria-sol")
	request.Header.Set("Content-Type", "application/json")
	response, err := client.Do(request)
	assert.NilError(t, err)
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, http.StatusOK)
	return response.TLS.PeerCertificates[0].SerialNumber.Int64()
}
