package certs

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"net"
	"os"
	"time"
)

// LoadTLS returns the configuration for mutual TLS between processes, for servers
// and clients. Both sides must present a certificate signed by an authority in the
// file ca, which may contain several. The certificate and key are reloaded when
// their files change. It returns an error if the certificate is expired, not yet
// valid, or not signed by an authority in ca.
func LoadTLS(cert, key, ca string) (*tls.Config, error) {
	pool, err := loadPool(ca)
	if err != nil {
		return nil, err
	}
	source, err := newReloader(cert, key)
	if err != nil {
		return nil, err
	}
	if err := source.verifySignedBy(pool); err != nil {
		return nil, fmt.Errorf("certificate %s is not signed by an authority in %s: %w", cert, ca, err)
	}
	config := mutualTLSConfig(pool)
	config.GetCertificate = source.serverCertificate
	config.GetClientCertificate = source.clientCertificate
	return config, nil
}

// LoadServerTLS returns the configuration for the outer listener, which requires no
// client certificate. The certificate and key are reloaded when their files change.
func LoadServerTLS(cert, key string) (*tls.Config, error) {
	source, err := newReloader(cert, key)
	if err != nil {
		return nil, err
	}
	return &tls.Config{MinVersion: tls.VersionTLS12, GetCertificate: source.serverCertificate}, nil
}

// SelfSigned returns a configuration for mutual TLS with an authority and a
// certificate that are kept in memory only. Endpoints that use it or a clone of it
// trust each other at the given addresses and on loopback.
func SelfSigned(ips ...net.IP) (*tls.Config, error) {
	ca, err := NewCA("in memory")
	if err != nil {
		return nil, err
	}
	ips = append([]net.IP{net.IPv4(127, 0, 0, 1), net.IPv6loopback}, ips...)
	pair, err := ca.Issue("localhost", ips...)
	if err != nil {
		return nil, err
	}
	cert, err := tls.X509KeyPair(pair.Certificate, pair.Key)
	if err != nil {
		return nil, err
	}
	config := mutualTLSConfig(ca.Pool())
	config.Certificates = []tls.Certificate{cert}
	return config, nil
}

// PeerName returns the common name of the peer's certificate, or "" if the peer
// presented none.
func PeerName(state tls.ConnectionState) string {
	if len(state.PeerCertificates) == 0 {
		return ""
	}
	return state.PeerCertificates[0].Subject.CommonName
}

func mutualTLSConfig(pool *x509.CertPool) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		RootCAs:    pool,
		ClientCAs:  pool,
		ClientAuth: tls.RequireAndVerifyClientCert,
	}
}

func loadPool(file string) (*x509.CertPool, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(data) {
		return nil, fmt.Errorf("%s contains no certificate in PEM format", file)
	}
	return pool, nil
}

// checkDates returns an error with the date if the certificate is expired or not
// yet valid.
func checkDates(file string, leaf *x509.Certificate, now time.Time) error {
	if now.After(leaf.NotAfter) {
		return fmt.Errorf("certificate %s expired on %s", file, leaf.NotAfter.UTC().Format(time.RFC3339))
	}
	if now.Before(leaf.NotBefore) {
		return fmt.Errorf("certificate %s is not valid before %s", file, leaf.NotBefore.UTC().Format(time.RFC3339))
	}
	return nil
}
