package certs

import (
	"errors"
	"io/fs"
	"net"
	"os"
	"path/filepath"
)

// Names of the authority's files in a set.
const (
	CAFile    = "ca.pem"
	CAKeyFile = "ca-key.pem" // to be kept away from the VMs once the set is made
)

const (
	keyMode  = 0o600
	certMode = 0o644
	dirMode  = 0o700
)

// Subject is one process that gets a certificate.
type Subject struct {
	Name string
	IPs  []net.IP
}

// CertificateFile returns the file name of the certificate of a member.
func CertificateFile(name string) string { return name + ".pem" }

// KeyFile returns the file name of the private key of a member.
func KeyFile(name string) string { return name + "-key.pem" }

// WriteCertificates writes a certificate and key for each member into dir, signed by
// the authority there, which is made when there is none. Existing files of a
// member are never overwritten.
func WriteCertificates(dir string, subjects ...Subject) error {
	if err := os.MkdirAll(dir, dirMode); err != nil {
		return err
	}
	ca, err := openCA(dir)
	if err != nil {
		return err
	}
	for _, m := range subjects {
		pair, err := ca.Issue(m.Name, m.IPs...)
		if err != nil {
			return err
		}
		if err := writePair(dir, CertificateFile(m.Name), KeyFile(m.Name), pair); err != nil {
			return err
		}
	}
	return nil
}

func openCA(dir string) (*CA, error) {
	certificate, err := os.ReadFile(filepath.Join(dir, CAFile))
	if errors.Is(err, fs.ErrNotExist) {
		return createCA(dir)
	}
	if err != nil {
		return nil, err
	}
	key, err := os.ReadFile(filepath.Join(dir, CAKeyFile))
	if err != nil {
		return nil, err
	}
	return ParseCA(Pair{Certificate: certificate, Key: key})
}

func createCA(dir string) (*CA, error) {
	ca, err := NewCA("filbertmast authority")
	if err != nil {
		return nil, err
	}
	pair, err := ca.Pair()
	if err != nil {
		return nil, err
	}
	return ca, writePair(dir, CAFile, CAKeyFile, pair)
}

func writePair(dir, certName, keyName string, pair Pair) error {
	if err := writeNew(filepath.Join(dir, keyName), pair.Key, keyMode); err != nil {
		return err
	}
	return writeNew(filepath.Join(dir, certName), pair.Certificate, certMode)
}

// writeNew writes a file that must not exist yet.
func writeNew(name string, data []byte, mode fs.FileMode) error {
	f, err := os.OpenFile(name, os.O_WRONLY|os.O_CREATE|os.O_EXCL, mode)
	if err != nil {
		return err
	}
	if _, err := f.Write(data); err != nil {
		_ = f.Close()
		return err
	}
	return f.Close()
}
