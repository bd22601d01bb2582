package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The ports of a machine. They are the same on all machines of a cell.
const (
	portInner   = 7420
	portOuter   = 7435
	portControl = 8180
	portFront   = 8183
	portReady   = 8184
	portWorker  = 8080
	portUnused  = 8182 // nobody listens here: the cell has no platform store and no advice service
)

var zones = []string{"selfoss", "akureyri", "hvolsvollur"}

var regionOf = map[string]string{"selfoss": "sudurland", "hvolsvollur": "sudurland", "akureyri": "nordurland"}

// Cell is a small deployment: three machines of the core, two entry machines.
type Cell struct {
	rec   *Recorder
	dir   string // temporary
	net   string // the first three bytes of all addresses, in 127/8
	cores []*Machine
	front []*Machine
}

// Machine runs one process of the project.
type Machine struct {
	cell     *Cell
	name     string
	ip       string
	core     bool
	zone     string
	seeds    []string
	settings string // path
	log      string // path

	mu      sync.Mutex
	cmd     *exec.Cmd
	started bool // before
	exited  chan struct{}
}

// newCell chooses addresses that nobody uses.
func newCell(rec *Recorder) (*Cell, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	c := &Cell{rec: rec, dir: dir}
	for i := range 200 {
		n := (os.Getpid()*7 + i*13) % 60000
		c.net = fmt.Sprintf("127.%d.%d.", 10+n/250%200, 1+n%250)
		if free(c.net+"1", portInner) && free(c.net+"1", portControl) && free(c.net+"101", portWorker) {
			break
		}
	}
	var seeds []string
	for i := range 3 {
		seeds = append(seeds, fmt.Sprintf("%s%d:%d", c.net, 1+i, portControl))
	}
	for i := range 3 {
		c.cores = append(c.cores, &Machine{cell: c, name: fmt.Sprintf("core-%d", i+1), ip: fmt.Sprintf("%s%d", c.net, 1+i), core: true, zone: zones[i], seeds: seeds})
	}
	for i := range 2 {
		c.front = append(c.front, &Machine{cell: c, name: fmt.Sprintf("front-%d", i+1), ip: fmt.Sprintf("%s%d", c.net, 11+i), zone: zones[i], seeds: seeds})
	}
	return c, nil
}

func free(ip string, port int) bool {
	l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, port))
	if err != nil {
		return false
	}
	_ = l.Close()
	return true
}

func (c *Cell) machines() []*Machine { return append(append([]*Machine{}, c.cores...), c.front...) }

// start starts all processes.
func (c *Cell) start() error {
	for _, m := range c.machines() {
		if err := m.start(); err != nil {
			return err
		}
	}
	return nil
}

// stop ends all processes and removes the temporary folder.
func (c *Cell) stop() {
	for _, m := range c.machines() {
		m.kill()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(c.dir)
	}
}

// fields are the fields of the platform's settings file for m.
func (m *Machine) fields(first bool) map[string]any {
	f := map[string]any{
		"node": m.name, "ip": m.ip, "zone": m.zone, "region": regionOf[m.zone],
		"internal_ports": []any{portInner, portOuter}, "seeds": m.seeds, "bootstrap": first,
		"fault_tolerance": map[string]any{"machines": 1, "zones": 0, "regions": 0},
		"bounds":          map[string]any{"hold_max_ms": holdMaxMS},
		"limits":          map[string]any{"memory_mb": 280},
		"zones":           regionOf,
		"advice":          fmt.Sprintf("%s250:%d", m.cell.net, portUnused),
		"cloud":           map[string]any{"address": fmt.Sprintf("%s251:%d", m.cell.net, portUnused)},
	}
	listen := map[string]any{}
	if m.core {
		f["data_dir"] = filepath.Join(m.cell.dir, m.name, "data")
		listen["control"] = fmt.Sprintf("%s:%d", m.ip, portControl)
	} else {
		listen["front"] = fmt.Sprintf("%s:%d", m.ip, portFront)
		listen["readiness_address"] = fmt.Sprintf("%s:%d", m.ip, portReady)
	}
	f["listen"] = listen
	return f
}

// start writes the settings and starts the process with the command of the deploy file.
func (m *Machine) start() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	template, err := os.ReadFile("platform/settings.json.tmpl")
	if err != nil {
		return err
	}
	dir := filepath.Join(m.cell.dir, m.name)
	if err := os.MkdirAll(filepath.Join(dir, "data"), 0o755); err != nil {
		return err
	}
	m.settings, m.log = filepath.Join(dir, "settings.json"), filepath.Join(dir, "log")
	if err := os.WriteFile(m.settings, []byte(render(string(template), m.fields(!m.started))), 0o644); err != nil {
		return err
	}
	out, err := os.OpenFile(m.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	m.cmd = exec.Command("target/filbertmast", "serve", "--settings", m.settings)
	m.cmd.Stdout, m.cmd.Stderr = out, out
	m.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := m.cmd.Start(); err != nil {
		return err
	}
	m.started = true
	m.exited = make(chan struct{})
	go func(cmd *exec.Cmd, exited chan struct{}) {
		err := cmd.Wait()
		_ = out.Close()
		m.cell.rec.add("process %s has ended: %v", m.name, err)
		close(exited)
	}(m.cmd, m.exited)
	m.cell.rec.add("process %s is started", m.name)
	return nil
}

func (m *Machine) kill() {
	m.mu.Lock()
	cmd, exited := m.cmd, m.exited
	m.mu.Unlock()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Kill()
	<-exited
}

// awaitReady waits until both entry processes are ready.
func (c *Cell) awaitReady(limit time.Duration) error {
	end := time.Now().Add(limit)
	for _, m := range c.front {
		for {
			resp, err := (&http.Client{Timeout: time.Second}).Get(fmt.Sprintf("http://%s:%d/api/ready", m.ip, portReady))
			if err == nil {
				_ = resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(end) {
				return fmt.Errorf("%s is not ready after %s", m.name, limit)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// render fills in a template of settings: values, values as JSON, and sections.
func render(t string, fields map[string]any) string {
	section := regexp.MustCompile(`(?s)\{\{([#^])([a-z_.]+)\}\}(.*?)\{\{/([a-z_.]+)\}\}`)
	t = section.ReplaceAllStringFunc(t, func(s string) string {
		g := section.FindStringSubmatch(s)
		v := lookup(fields, g[2])
		present := v != nil && v != false && v != ""
		if present == (g[1] == "#") {
			return g[3]
		}
		return ""
	})
	value := regexp.MustCompile(`\{\{([a-z_.0-9]+)(\|json)?\}\}`)
	return value.ReplaceAllStringFunc(t, func(s string) string {
		g := value.FindStringSubmatch(s)
		v := lookup(fields, g[1])
		if g[2] == "" {
			if v == nil {
				return ""
			}
			return fmt.Sprint(v)
		}
		out, _ := json.Marshal(v)
		return string(out)
	})
}

func lookup(fields map[string]any, path string) any {
	var v any = fields
	for _, part := range strings.Split(path, ".") {
		switch x := v.(type) {
		case map[string]any:
			v = x[part]
		case []any:
			i := 0
			_, _ = fmt.Sscan(part, &i)
			if i >= len(x) {
				return nil
			}
			v = x[i]
		default:
			return nil
		}
	}
	return v
}
