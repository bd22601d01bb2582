package command

import (
	"context"
	"net"
	"path/filepath"
	"strings"

	"github.com/filbertmast/filbertmast/internal/certs"
	"github.com/filbertmast/filbertmast/internal/model"
)

// certificatesCommand creates certificates for the processes.
type certificatesCommand struct {
	Dir     string   `arg:"-d,--dir,required" placeholder:"DIR" help:"folder to write to"`
	Members []string `arg:"positional,required" placeholder:"NAME=IP" help:"a process and its addresses, such as selfoss-1=10.1.0.1,127.0.0.1"`
}

func (*certificatesCommand) describe() string {
	return `Makes a certificate and key for each process, signed by the authority in the
folder, which is made first when there is none. Existing files are kept: to renew
a certificate, remove it and its key first. Keep ca-key.pem away from the VMs.
`
}

func (c *certificatesCommand) run(_ context.Context, a *app) error {
	members := make([]certs.Subject, 0, len(c.Members))
	for _, text := range c.Members {
		m, err := parseMember(text)
		if err != nil {
			return err
		}
		members = append(members, m)
	}
	if err := certs.WriteCertificates(c.Dir, members...); err != nil {
		return usageErrorf("%v", err)
	}
	for _, m := range members {
		a.printf("%s\n", filepath.Join(c.Dir, certs.CertificateFile(m.Name)))
	}
	return nil
}

func parseMember(text string) (certs.Subject, error) {
	name, list, ok := strings.Cut(text, "=")
	if !ok || !model.ValidName(name) {
		return certs.Subject{}, usageErrorf("%q is not of the form NAME=IP,IP", text)
	}
	m := certs.Subject{Name: name}
	for _, field := range strings.Split(list, ",") {
		ip := net.ParseIP(field)
		if ip == nil {
			return certs.Subject{}, usageErrorf("%q: %q is not an IP number", text, field)
		}
		m.IPs = append(m.IPs, ip)
	}
	return m, nil
}
