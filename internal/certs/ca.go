// Package certs issues and loads the certificates with which the processes of one
// deployment authenticate each other. Keys are ECDSA P-256, and certificates are
// signed by the certificate authority of the deployment.
package certs

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"fmt"
	"math/big"
	"net"
	"time"
)

const (
	caLifetime   = 10 * 365 * 24 * time.Hour
	certLifetime = 2 * 365 * 24 * time.Hour
	backdate     = 5 * time.Minute // tolerates clock skew between VMs
	serialBits   = 128
)

// CA is a certificate authority with its private key.
type CA struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

// Pair is a certificate and its private key in PEM form.
type Pair struct {
	Certificate []byte
	Key         []byte
}

// NewCA creates a self-signed authority that is valid for ten years from now.
func NewCA(name string) (*CA, error) {
	template, err := newTemplate(name, caLifetime)
	if err != nil {
		return nil, err
	}
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.MaxPathLenZero = true
	template.KeyUsage = x509.KeyUsageCertSign | x509.KeyUsageCRLSign
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, err
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, err
	}
	cert, err := x509.ParseCertificate(der)
	return &CA{cert: cert, key: key}, err
}

// ParseCA parses an authority from PEM. It returns an error if the key does not
// match the certificate.
func ParseCA(p Pair) (*CA, error) {
	certBlock, _ := pem.Decode(p.Certificate)
	keyBlock, _ := pem.Decode(p.Key)
	if certBlock == nil || keyBlock == nil {
		return nil, fmt.Errorf("the certificate or key of the authority is not in PEM format")
	}
	cert, err := x509.ParseCertificate(certBlock.Bytes)
	if err != nil {
		return nil, err
	}
	key, err := x509.ParseECPrivateKey(keyBlock.Bytes)
	if err != nil {
		return nil, err
	}
	if !key.PublicKey.Equal(cert.PublicKey) {
		return nil, fmt.Errorf("the key of the authority does not match its certificate")
	}
	return &CA{cert: cert, key: key}, nil
}

// Issue creates a key and a certificate for the process name with the addresses
// ips, for server and client authentication. It is valid for two years from now.
func (ca *CA) Issue(name string, ips ...net.IP) (Pair, error) {
	template, err := newTemplate(name, certLifetime)
	if err != nil {
		return Pair{}, err
	}
	template.DNSNames = []string{name}
	template.IPAddresses = ips
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	return ca.sign(template)
}

func (ca *CA) sign(template *x509.Certificate) (Pair, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return Pair{}, err
	}
	der, err := x509.CreateCertificate(rand.Reader, template, ca.cert, &key.PublicKey, ca.key)
	if err != nil {
		return Pair{}, err
	}
	return encodePair(der, key)
}

// Pair returns the authority in PEM form.
func (ca *CA) Pair() (Pair, error) { return encodePair(ca.cert.Raw, ca.key) }

// Pool returns a certificate pool that contains only the authority.
func (ca *CA) Pool() *x509.CertPool {
	pool := x509.NewCertPool()
	pool.AddCert(ca.cert)
	return pool
}

func encodePair(der []byte, key *ecdsa.PrivateKey) (Pair, error) {
	keyDER, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		return Pair{}, err
	}
	return Pair{
		Certificate: pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}),
		Key:         pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: keyDER}),
	}, nil
}

func newTemplate(name string, lifetime time.Duration) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, err
	}
	now := time.Now()
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name, Organization: []string{"filbertmast"}},
		NotBefore:    now.Add(-backdate),
		NotAfter:     now.Add(lifetime),
	}, nil
}
