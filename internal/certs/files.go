package certs

import (
	"errors"
	"io/fs"
	"net"
	"os"
	"path/filepath"
)

// Names of the files of the authority.
const (
	CAFile    = "ca.pem"
	CAKeyFile = "ca-key.pem" // must not stay on the VMs once the certificates are issued
)

const (
	keyMode  = 0o600
	certMode = 0o644
	dirMode  = 0o700
)

// Subject is a process that gets a certificate.
type Subject struct {
	Name string
	IPs  []net.IP
}

// CertificateFile returns the file name of the certificate of the process name.
func CertificateFile(name string) string { return name + ".pem" }

// KeyFile returns the file name of the private key of the process name.
func KeyFile(name string) string { return name + "-key.pem" }

// WriteCertificates issues a certificate and key for each subject and writes
// them to dir. The authority is read from dir and is created there if it does not
// exist. It returns an error if a file of a subject already exists.
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

// writeNew creates a file with the given data. It fails if the file exists.
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
