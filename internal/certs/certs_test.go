package certs

import (
	"crypto/tls"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var loopback = net.IPv4(127, 0, 0, 1)

func writeTestCertificates(t *testing.T, names ...string) string {
	t.Helper()
	dir := filepath.Join(t.TempDir(), "certs")
	for _, n := range names {
		assert.NilError(t, WriteCertificates(dir, Subject{Name: n, IPs: []net.IP{loopback}}))
	}
	return dir
}

func loadTestConfig(t *testing.T, dir, name string) *tls.Config {
	t.Helper()
	config, err := LoadTLS(filepath.Join(dir, CertificateFile(name)), filepath.Join(dir, KeyFile(name)), filepath.Join(dir, CAFile))
	assert.NilError(t, err)
	return config
}

// handshake connects client to server over loopback. It returns the peer name that
// the server received, and the error of the client or else of the server.
func handshake(t *testing.T, server, client *tls.Config) (string, error) {
	t.Helper()
	l, err := tls.Listen("tcp", "127.0.0.1:0", server)
	assert.NilError(t, err)
	defer l.Close()
	type result struct {
		name string
		err  error
	}
	done := make(chan result, 1)
	go func() {
		c, err := l.Accept()
		if err != nil {
			done <- result{err: err}
			return
		}
		defer c.Close()
		conn := c.(*tls.Conn)
		err = conn.Handshake()
		done <- result{PeerName(conn.ConnectionState()), err}
	}()
	c, err := tls.Dial("tcp", l.Addr().String(), client)
	if err == nil {
		defer c.Close()
	}
	r := <-done
	if err == nil {
		err = r.err
	}
	return r.name, err
}

func TestCertificatesOfSameCATrustEachOther(t *testing.T) {
	dir := writeTestCertificates(t, "selfoss-1", "akureyri-1")
	name, err := handshake(t, loadTestConfig(t, dir, "selfoss-1"), loadTestConfig(t, dir, "akureyri-1"))
	assert.NilError(t, err)
	assert.Equal(t, name, "akureyri-1")
}

func TestCertificateOfAnotherCAIsRejected(t *testing.T) {
	a, b := writeTestCertificates(t, "a"), writeTestCertificates(t, "b")
	_, err := handshake(t, loadTestConfig(t, a, "a"), loadTestConfig(t, b, "b"))
	assert.Assert(t, err != nil)
	_, err = LoadTLS(filepath.Join(a, CertificateFile("a")), filepath.Join(a, KeyFile("a")), filepath.Join(b, CAFile))
	assert.ErrorContains(t, err, "is not signed by an authority in")
}

func TestClientWithoutCertificateIsRejected(t *testing.T) {
	dir := writeTestCertificates(t, "a")
	client := loadTestConfig(t, dir, "a").Clone()
	client.GetClientCertificate = nil
	_, err := handshake(t, loadTestConfig(t, dir, "a"), client)
	assert.Assert(t, err != nil)
}

func TestSelfSignedTrustsItself(t *testing.T) {
	config, err := SelfSigned()
	assert.NilError(t, err)
	_, err = handshake(t, config, config.Clone())
	assert.NilError(t, err)
}

func TestPrivateKeysAreReadableByOwnerOnly(t *testing.T) {
	dir := writeTestCertificates(t, "a")
	for _, name := range []string{CAKeyFile, KeyFile("a")} {
		info, err := os.Stat(filepath.Join(dir, name))
		assert.NilError(t, err)
		assert.Equal(t, info.Mode().Perm(), os.FileMode(0o600))
	}
	assert.Assert(t, WriteCertificates(dir, Subject{Name: "a"}) != nil, "must not overwrite an existing key")
}

func TestCertificateOutsideValidityPeriodIsRejected(t *testing.T) {
	dir := writeTestCertificates(t, "a")
	s, err := newReloader(filepath.Join(dir, CertificateFile("a")), filepath.Join(dir, KeyFile("a")))
	assert.NilError(t, err)
	s.now = func() time.Time { return time.Now().Add(certLifetime + time.Hour) }
	_, err = s.load()
	assert.ErrorContains(t, err, "expired on")
	s.now = func() time.Time { return time.Now().Add(-time.Hour) }
	_, err = s.load()
	assert.ErrorContains(t, err, "is not valid before")
}

func TestReloadAcceptsOnlyMatchingCertificateAndKey(t *testing.T) {
	dir := writeTestCertificates(t, "a", "b")
	certFile, keyFile := filepath.Join(dir, CertificateFile("a")), filepath.Join(dir, KeyFile("a"))
	s, err := newReloader(certFile, keyFile)
	assert.NilError(t, err)
	now := time.Now()
	s.now = func() time.Time { return now }
	first := s.certificate()

	assert.NilError(t, os.Rename(filepath.Join(dir, CertificateFile("b")), certFile))
	now = now.Add(recheckInterval)
	assert.Assert(t, s.certificate() == first, "must keep the old certificate while the new one does not match its key")

	assert.NilError(t, os.Rename(filepath.Join(dir, KeyFile("b")), keyFile))
	assert.Assert(t, s.certificate() == first, "must not check the files again before recheckInterval")
	now = now.Add(recheckInterval)
	assert.Equal(t, s.certificate().Leaf.Subject.CommonName, "b")
}
