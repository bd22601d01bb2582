package certs

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"os"
	"sync"
	"time"
)

// recheckInterval is the minimum time between two checks of the files for changes.
const recheckInterval = 10 * time.Second

// reloader holds a certificate and reloads it when its files change. If the new
// files cannot be loaded, the current certificate stays in use.
type reloader struct {
	certFile, keyFile string
	now               func() time.Time

	mu        sync.Mutex
	current   *tls.Certificate
	version   fileVersion
	lastCheck time.Time
}

// fileVersion identifies a version of the certificate and key files by their times and
// sizes.
type fileVersion struct {
	certTime, keyTime time.Time
	certSize, keySize int64
}

func newReloader(certFile, keyFile string) (*reloader, error) {
	s := &reloader{certFile: certFile, keyFile: keyFile, now: time.Now}
	st, err := s.stat()
	if err != nil {
		return nil, err
	}
	cert, err := s.load()
	if err != nil {
		return nil, err
	}
	s.current, s.version, s.lastCheck = cert, st, s.now()
	return s, nil
}

func (s *reloader) stat() (fileVersion, error) {
	cert, err := os.Stat(s.certFile)
	if err != nil {
		return fileVersion{}, err
	}
	key, err := os.Stat(s.keyFile)
	if err != nil {
		return fileVersion{}, err
	}
	return fileVersion{cert.ModTime(), key.ModTime(), cert.Size(), key.Size()}, nil
}

func (s *reloader) load() (*tls.Certificate, error) {
	cert, err := tls.LoadX509KeyPair(s.certFile, s.keyFile)
	if err != nil {
		return nil, fmt.Errorf("certificate %s with key %s: %w", s.certFile, s.keyFile, err)
	}
	if err := checkDates(s.certFile, cert.Leaf, s.now()); err != nil {
		return nil, err
	}
	return &cert, nil
}

// certificate returns the current certificate. It first reloads the files if they
// changed and recheckInterval has passed since the last check.
func (s *reloader) certificate() *tls.Certificate {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	if now.Sub(s.lastCheck) < recheckInterval {
		return s.current
	}
	s.lastCheck = now
	st, err := s.stat()
	if err != nil || st == s.version {
		return s.current
	}
	// The check may run between the writes of the two files. The version is stored
	// only after a successful load, so that a failed load is retried.
	if cert, err := s.load(); err == nil {
		s.current, s.version = cert, st
	}
	return s.current
}

func (s *reloader) serverCertificate(*tls.ClientHelloInfo) (*tls.Certificate, error) {
	return s.certificate(), nil
}

func (s *reloader) clientCertificate(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
	return s.certificate(), nil
}

func (s *reloader) verifySignedBy(pool *x509.CertPool) error {
	leaf := s.certificate().Leaf
	_, err := leaf.Verify(x509.VerifyOptions{
		Roots:     pool,
		KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth},
	})
	return err
}
