package wire

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"math/big"
	"sync"
	"time"

	"github.com/quic-go/quic-go"

	"github.com/filbertmast/filbertmast/internal/errkind"
)

const localCertificateValidity = 10 * 365 * 24 * time.Hour

// localTLS returns a TLS configuration whose certificate authority exists only
// in the memory of this process.
var localTLS = sync.OnceValues(newLocalTLS)

func newLocalTLS() (*tls.Config, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, err
	}
	template := &x509.Certificate{
		SerialNumber:          big.NewInt(1),
		Subject:               pkix.Name{CommonName: "filbertmast in one process"},
		NotBefore:             time.Now().Add(-time.Hour),
		NotAfter:              time.Now().Add(localCertificateValidity),
		IsCA:                  true,
		BasicConstraintsValid: true,
		KeyUsage:              x509.KeyUsageDigitalSignature | x509.KeyUsageCertSign,
		ExtKeyUsage:           []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	if err != nil {
		return nil, err
	}
	leaf, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, err
	}
	pool := x509.NewCertPool()
	pool.AddCert(leaf)
	return &tls.Config{
		Certificates: []tls.Certificate{{Certificate: [][]byte{der}, PrivateKey: key, Leaf: leaf}},
		RootCAs:      pool,
		ClientCAs:    pool,
	}, nil
}

// serverTLS returns the configuration for accepted connections. Unless acceptAny
// is set, a peer without a certificate of a known authority is rejected in the
// handshake.
func serverTLS(base *tls.Config, acceptAny bool) *tls.Config {
	c := base.Clone()
	c.MinVersion = tls.VersionTLS13
	c.NextProtos = []string{protocolName}
	c.ClientAuth = tls.RequireAndVerifyClientCert
	if acceptAny {
		c.ClientAuth = tls.RequireAnyClientCert
	}
	if c.ClientCAs == nil {
		c.ClientCAs = c.RootCAs
	}
	return c
}

// clientTLS returns the configuration for dialled connections. Peers are dialled
// by IP address, so without a ServerName only the certificate chain is verified.
func clientTLS(base *tls.Config, acceptAny bool) *tls.Config {
	c := base.Clone()
	c.MinVersion = tls.VersionTLS13
	c.NextProtos = []string{protocolName}
	if c.RootCAs == nil {
		c.RootCAs = c.ClientCAs
	}
	if acceptAny {
		c.InsecureSkipVerify = true
		return c
	}
	if c.ServerName != "" {
		return c
	}
	roots := c.RootCAs
	c.InsecureSkipVerify = true // replaced by VerifyConnection
	c.VerifyConnection = func(s tls.ConnectionState) error { return verifyChain(roots, s) }
	return c
}

func verifyChain(roots *x509.CertPool, s tls.ConnectionState) error {
	if len(s.PeerCertificates) == 0 {
		return errkind.New(errkind.Unreachable, "peer presented no certificate")
	}
	intermediates := x509.NewCertPool()
	for _, c := range s.PeerCertificates[1:] {
		intermediates.AddCert(c)
	}
	_, err := s.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots:         roots,
		Intermediates: intermediates,
		KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth},
	})
	return err
}

// resetKey derives the stateless reset key from the private key and the address.
// It is the same after a restart, so that peers detect the restart from the
// first packet instead of waiting for the idle timeout. It returns nil, which
// disables stateless resets, if c has no usable private key.
func resetKey(c *tls.Config, address string) *quic.StatelessResetKey {
	cert, err := ownCertificate(c)
	if err != nil {
		return nil
	}
	der, err := x509.MarshalPKCS8PrivateKey(cert.PrivateKey)
	if err != nil {
		return nil
	}
	h := sha256.New()
	h.Write([]byte("filbertmast stateless reset"))
	h.Write(der)
	h.Write([]byte(address))
	return (*quic.StatelessResetKey)(h.Sum(nil))
}

// ownCertificate returns the certificate that c presents, including one that is
// loaded from files at each handshake.
func ownCertificate(c *tls.Config) (*tls.Certificate, error) {
	if len(c.Certificates) > 0 {
		return &c.Certificates[0], nil
	}
	if c.GetClientCertificate == nil {
		return nil, errkind.New(errkind.Internal, "the TLS settings contain no certificate")
	}
	return c.GetClientCertificate(new(tls.CertificateRequestInfo))
}
