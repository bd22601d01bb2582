package certs

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"os"
	"sync"
	"time"
)

// recheckInterval is how often, at most, the files of a certificate are looked at.
const recheckInterval = 10 * time.Second

// source holds a certificate and reads it again when its files change. A
// change that cannot be loaded leaves the certificate in use.
type source struct {
	certFile, keyFile string
	now               func() time.Time

	mu      sync.Mutex
	current *tls.Certificate
	stamp   stamp
	checked time.Time
}

// stamp tells one version of the files from the next.
type stamp struct {
	certTime, keyTime time.Time
	certSize, keySize int64
}

func newSource(certFile, keyFile string) (*source, error) {
	s := &source{certFile: certFile, keyFile: keyFile, now: time.Now}
	st, err := s.stat()
	if err != nil {
		return nil, err
	}
	cert, err := s.load()
	if err != nil {
		return nil, err
	}
	s.current, s.stamp, s.checked = cert, st, s.now()
	return s, nil
}

func (s *source) stat() (stamp, error) {
	cert, err := os.Stat(s.certFile)
	if err != nil {
		return stamp{}, err
	}
	key, err := os.Stat(s.keyFile)
	if err != nil {
		return stamp{}, err
	}
	return stamp{cert.ModTime(), key.ModTime(), cert.Size(), key.Size()}, nil
}

func (s *source) load() (*tls.Certificate, error) {
	cert, err := tls.LoadX509KeyPair(s.certFile, s.keyFile)
	if err != nil {
		return nil, fmt.Errorf("certificate %s with key %s: %w", s.certFile, s.keyFile, err)
	}
	if err := checkDates(s.certFile, cert.Leaf, s.now()); err != nil {
		return nil, err
	}
	return &cert, nil
}

// get returns the certificate, after a look at the files when one is due.
func (s *source) get() *tls.Certificate {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	if now.Sub(s.checked) < recheckInterval {
		return s.current
	}
	s.checked = now
	st, err := s.stat()
	if err != nil || st == s.stamp {
		return s.current
	}
	// The two files may be caught between one write and the next: the stamp is
	// kept only after a good load, so that a bad one is tried again.
	if cert, err := s.load(); err == nil {
		s.current, s.stamp = cert, st
	}
	return s.current
}

func (s *source) forServer(*tls.ClientHelloInfo) (*tls.Certificate, error) {
	return s.get(), nil
}

func (s *source) forClient(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
	return s.get(), nil
}

func (s *source) signedBy(pool *x509.CertPool) error {
	leaf := s.get().Leaf
	_, err := leaf.Verify(x509.VerifyOptions{
		Roots:     pool,
		KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth},
	})
	return err
}
