package main

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// cell is a small deployment of the project's own processes on loopback addresses: control
// processes with a disk folder, and front processes that serve requesters.
type cell struct {
	rec     *record
	dir     string
	program string
	net     string // first three numbers of all addresses
	port    map[string]int
	zones   fields
	nodes   map[string]*node
	advice  string // address of the policy service, or empty
}

// node is one machine that runs one process.
type node struct {
	name, ip string
	core     bool
	settings string
	cmd      *exec.Cmd
	exited   chan struct{}
	log      string
}

const (
	coreCount  = 3
	frontCount = 2
)

func newCell(rec *record) (*cell, error) {
	program, err := filepath.Abs(filepath.Join(repoRoot(), "target", "filbertmast"))
	if err != nil {
		return nil, err
	}
	if _, err := os.Stat(program); err != nil {
		return nil, fmt.Errorf("the build of the deploy file is missing: %w", err)
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	pid := os.Getpid()
	c := &cell{
		rec: rec, dir: dir, program: program,
		net:   fmt.Sprintf("127.%d.%d", 20+pid%200, 1+pid/200%250),
		port:  map[string]int{},
		zones: fields{"selfoss": "sudurland", "hvolsvollur": "sudurland", "akureyri": "nordurland"},
		nodes: map[string]*node{},
	}
	for i, name := range []string{"inner", "outer", "front", "readiness", "control", "executor", "advice"} {
		c.port[name] = freePort(c.net+".1", 21000+pid%1000*10+i*13)
	}
	zones := []string{"selfoss", "akureyri", "hvolsvollur"}
	for i := range coreCount {
		c.addNode(fmt.Sprintf("core-%d", i+1), zones[i%3], i+1, true)
	}
	for i := range frontCount {
		c.addNode(fmt.Sprintf("front-%d", i+1), zones[i%3], 50+i, false)
	}
	return c, nil
}

// repoRoot is the repository, of which the program is run in review/N.
func repoRoot() string {
	if r := os.Getenv("REVIEW_ROOT"); r != "" {
		return r
	}
	return "../.."
}

// freePort returns a port from first on that is free for TCP and UDP.
func freePort(ip string, first int) int {
	for p := first; ; p++ {
		l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, p))
		if err != nil {
			continue
		}
		l.Close()
		u, err := net.ListenPacket("udp", fmt.Sprintf("%s:%d", ip, p))
		if err != nil {
			continue
		}
		u.Close()
		return p
	}
}

func (c *cell) addNode(name, zone string, host int, core bool) {
	n := &node{name: name, ip: fmt.Sprintf("%s.%d", c.net, host), core: core}
	n.settings = filepath.Join(c.dir, name+".json")
	n.log = filepath.Join(c.dir, name+".log")
	c.nodes[name] = n
}

func (c *cell) address(n *node, port string) string { return fmt.Sprintf("%s:%d", n.ip, c.port[port]) }

func (c *cell) seeds() []string {
	var out []string
	for i := range coreCount {
		out = append(out, c.address(c.nodes[fmt.Sprintf("core-%d", i+1)], "control"))
	}
	return out
}

// controls returns the addresses that serve operators and executors.
func (c *cell) controls() []string { return c.seeds() }

// fronts returns the addresses that serve requesters.
func (c *cell) fronts() []string {
	var out []string
	for i := range frontCount {
		out = append(out, c.address(c.nodes[fmt.Sprintf("front-%d", i+1)], "front"))
	}
	return out
}

// writeSettings fills in the project's template for a node.
func (c *cell) writeSettings(n *node, zone string, first bool) error {
	text, err := os.ReadFile(filepath.Join(repoRoot(), "platform", "settings.json.tmpl"))
	if err != nil {
		return err
	}
	f := fields{
		"node": n.name, "zone": zone, "region": c.zones[zone], "ip": n.ip,
		"internal_ports":  []int{c.port["inner"], c.port["outer"]},
		"seeds":           c.seeds(),
		"bootstrap":       first,
		"zones":           c.zones,
		"fault_tolerance": fields{"machines": 1},
		"bounds":          fields{"hold_max_ms": holdMaxMS},
		"limits":          fields{"memory_mb": 280},
		"listen":          fields{},
		"cloud":           fields{"address": c.net + ".200:1"},
	}
	if c.advice != "" {
		f["advice"] = c.advice
	}
	if n.core {
		f["data_dir"] = filepath.Join(c.dir, n.name)
		f["listen"] = fields{"control": c.address(n, "control")}
		if err := os.MkdirAll(filepath.Join(c.dir, n.name), 0o755); err != nil {
			return err
		}
	} else {
		f["listen"] = fields{"front": c.address(n, "front"), "readiness_address": c.address(n, "readiness")}
	}
	out, err := render(string(text), f)
	if err != nil {
		return err
	}
	return os.WriteFile(n.settings, []byte(out), 0o644)
}

func (c *cell) startAll() error {
	zones := []string{"selfoss", "akureyri", "hvolsvollur"}
	for i, name := range sortedNames(c.nodes) {
		if err := c.writeSettings(c.nodes[name], zones[i%3], true); err != nil {
			return err
		}
	}
	for _, name := range sortedNames(c.nodes) {
		if err := c.start(c.nodes[name]); err != nil {
			return err
		}
	}
	return nil
}

func (c *cell) start(n *node) error {
	log, err := os.OpenFile(n.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer log.Close()
	n.cmd = exec.Command(c.program, "serve", "--settings", n.settings)
	n.cmd.Stdout, n.cmd.Stderr = log, log
	n.cmd.Dir = repoRoot()
	if err := n.cmd.Start(); err != nil {
		return err
	}
	n.exited = make(chan struct{})
	cmd, done := n.cmd, n.exited
	go func() {
		_ = cmd.Wait()
		close(done)
	}()
	c.rec.add("platform", "process %s is started", n.name)
	return nil
}

// stopAll ends every process that the cell has started.
func (c *cell) stopAll() {
	for _, name := range sortedNames(c.nodes) {
		n := c.nodes[name]
		if n.cmd == nil {
			continue
		}
		_ = n.cmd.Process.Signal(syscall.SIGCONT)
		_ = n.cmd.Process.Signal(syscall.SIGKILL)
	}
	for _, n := range c.nodes {
		if n.cmd == nil {
			continue
		}
		select {
		case <-n.exited:
		case <-time.After(5 * time.Second):
		}
	}
	if os.Getenv("REVIEW_KEEP") == "" {
		_ = os.RemoveAll(c.dir)
	} else {
		fmt.Println("logs:", c.dir)
	}
}
