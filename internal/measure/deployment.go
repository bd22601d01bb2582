package measure

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"path/filepath"

	"github.com/filbertmast/filbertmast/internal/certs"
	"github.com/filbertmast/filbertmast/internal/declare"
	"github.com/filbertmast/filbertmast/internal/settings"
)

// Process is one process of a trial deployment.
type Process struct {
	Name  string `json:"name"`
	Inner string `json:"inner"` // IP:port
	Outer string `json:"outer"` // IP:port
}

// Deployment describes a trial deployment on loopback that Prepare has written.
type Deployment struct {
	Dir      string    `json:"-"`
	Operator string    `json:"operator"` // key
	Control  []Process `json:"control"`
	Entries  []Process `json:"entries"`
}

const (
	deploymentFile = "deployment.json"
	settingsDir    = "settings"
	certsDir       = "certs"
	loadName       = "load" // name of the load client, in its certificate and to its peers
	loadRegion     = "load" // separates its traffic from that between replicas in counters by region
	cellRegion     = "south"
	loopback       = "127.0.0.1"
)

// Prepare writes the settings and certificates of a deployment into an empty
// folder. Each file in its subfolder "settings" is for one serve process.
func Prepare(dir string, control, entries int) (*Deployment, error) {
	key, digest := declare.NewKey()
	d := &Deployment{Dir: dir, Operator: key}
	var err error
	if d.Control, err = newProcesses("control", control); err != nil {
		return nil, err
	}
	if d.Entries, err = newProcesses("entry", entries); err != nil {
		return nil, err
	}
	members := []certs.Subject{memberOf(loadName)}
	for _, p := range d.processes() {
		members = append(members, memberOf(p.Name))
	}
	if err := certs.WriteCertificates(filepath.Join(dir, certsDir), members...); err != nil {
		return nil, err
	}
	if err := os.MkdirAll(filepath.Join(dir, settingsDir), 0o700); err != nil {
		return nil, err
	}
	for _, p := range d.Control {
		if err := d.write(p, settings.RoleControl, string(digest)); err != nil {
			return nil, err
		}
	}
	for _, p := range d.Entries {
		if err := d.write(p, settings.RoleEntry, string(digest)); err != nil {
			return nil, err
		}
	}
	return d, writeJSON(filepath.Join(dir, deploymentFile), d)
}

// Open reads a deployment that Prepare wrote.
func Open(dir string) (*Deployment, error) {
	data, err := os.ReadFile(filepath.Join(dir, deploymentFile))
	if err != nil {
		return nil, err
	}
	d := &Deployment{Dir: dir}
	return d, json.Unmarshal(data, d)
}

func (d *Deployment) processes() []Process {
	return append(append([]Process(nil), d.Control...), d.Entries...)
}

func (d *Deployment) founders() []string {
	var out []string
	for _, p := range d.Control {
		out = append(out, p.Inner)
	}
	return out
}

func memberOf(name string) certs.Subject {
	return certs.Subject{Name: name, IPs: []net.IP{net.ParseIP(loopback)}}
}

func (d *Deployment) certificate(name string) (certificate, key, ca string) {
	dir := filepath.Join(d.Dir, certsDir)
	return filepath.Join(dir, certs.CertificateFile(name)), filepath.Join(dir, certs.KeyFile(name)), filepath.Join(dir, certs.CAFile)
}

func (d *Deployment) write(p Process, role settings.Role, operator string) error {
	set := settings.Default()
	set.Name = p.Name
	set.Roles = []settings.Role{role}
	set.Region, set.FailureDomain = cellRegion, "selfoss"
	set.Inner.Address, set.Outer.Address = p.Inner, p.Outer
	set.Inner.Certificate, set.Inner.Key, set.Inner.CA = d.certificate(p.Name)
	set.Control.Founders = d.founders()
	set.Bootstrap.OperatorKeyDigest = operator
	set.Log.Level = "warn"
	if role == settings.RoleControl {
		set.Data.Dir = filepath.Join(d.Dir, p.Name)
	}
	return writeJSON(filepath.Join(d.Dir, settingsDir, p.Name+".json"), set)
}

func writeJSON(name string, v any) error {
	data, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(name, data, 0o600)
}

// newProcesses returns n processes with names and free loopback ports. The ports
// are released on return.
func newProcesses(kind string, n int) ([]Process, error) {
	var out []Process
	for i := range n {
		udp, err := net.ListenPacket("udp", loopback+":0")
		if err != nil {
			return nil, err
		}
		defer udp.Close()
		tcp, err := net.Listen("tcp", loopback+":0")
		if err != nil {
			return nil, err
		}
		defer tcp.Close()
		out = append(out, Process{Name: fmt.Sprint(kind, i), Inner: udp.LocalAddr().String(), Outer: tcp.Addr().String()})
	}
	return out, nil
}
