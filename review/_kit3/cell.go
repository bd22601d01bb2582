// Command kit3 plays the cases of the third part of the review: it starts the programs of
// the deploy file as separate processes on loopback addresses, with small stand-ins for
// executors, the policy service, callers and the operator, and judges what they have seen.
package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

// record writes one line to the record and to standard output.
type recorder struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

func newRecorder(path string) *recorder {
	f, err := os.Create(path)
	if err != nil {
		unable("create the record: %v", err)
	}
	return &recorder{file: f, began: time.Now()}
}

func (r *recorder) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

var rec *recorder

// unable ends the case as one that could not run.
func unable(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	fmt.Fprintln(os.Stderr, "the case could not run: "+text)
	if rec != nil {
		rec.line("could not run: %s", text)
	}
	if theCell != nil {
		theCell.stop()
	}
	os.Exit(2)
}

var theCell *cell

// process is one process of the deploy file.
type process struct {
	name string
	ip   string
	file string // settings
	core bool

	mu  sync.Mutex
	cmd *exec.Cmd
}

type ports struct{ inner, outer, control, front, ready int }

// cell is a small deployment.
type cell struct {
	dir     string
	binary  string
	base    string // first three numbers of the addresses
	port    ports
	procs   []*process
	policy  string
	advised *adviser
	version int
	key     string
	host    string
	client  *http.Client
}

const (
	prefix = "/q/"
	queue  = "r-q"
)

func freePorts(ips []string) ports {
	for range 200 {
		b := 20000 + rand.IntN(9000)
		ok := true
		for _, ip := range ips {
			for i := range 5 {
				l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, b+i))
				if err != nil {
					ok = false
					break
				}
				l.Close()
				u, err := net.ListenPacket("udp", fmt.Sprintf("%s:%d", ip, b+i))
				if err != nil {
					ok = false
					break
				}
				u.Close()
			}
		}
		if ok {
			return ports{b, b + 1, b + 2, b + 3, b + 4}
		}
	}
	unable("no free ports")
	return ports{}
}

// newCell starts cores control processes and fronts entry processes.
func newCell(cores, fronts int) *cell {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		unable("temporary folder: %v", err)
	}
	c := &cell{dir: dir, binary: "target/filbertmast", key: "6x73d3zji9n73hh2b9wu", host: "nony24.example"}
	c.client = &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 16, IdleConnTimeout: 10 * time.Second}}
	theCell = c
	c.base = fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), rand.IntN(250))
	var ips []string
	for i := range cores + fronts {
		ips = append(ips, fmt.Sprintf("%s.%d", c.base, 10+i))
	}
	c.port = freePorts(ips)
	c.advised = newAdviser(c.base + ".5")
	for i, ip := range ips {
		p := &process{ip: ip, core: i < cores, name: fmt.Sprintf("core-%d", i+1)}
		if !p.core {
			p.name = fmt.Sprintf("front-%d", i-cores+1)
		}
		p.file = filepath.Join(dir, p.name+".json")
		c.procs = append(c.procs, p)
		c.writeSettings(p, ips[:min(cores, 3)], true, cores)
	}
	for _, p := range c.procs {
		c.start(p)
	}
	return c
}

// writeSettings writes what the deploy file's template gives for the process.
func (c *cell) writeSettings(p *process, seeds []string, first bool, cores int) {
	template, err := os.ReadFile("platform/settings.json.tmpl")
	if err != nil {
		unable("template: %v", err)
	}
	var list []string
	for _, s := range seeds {
		list = append(list, fmt.Sprintf("%s:%d", s, c.port.control))
	}
	quoted, _ := json.Marshal(list)
	text := string(template)
	dataDir, memory := "", "284"
	if p.core {
		dataDir, memory = filepath.Join(c.dir, p.name), "280"
		text = section(text, "data_dir", true)
	} else {
		text = section(text, "data_dir", false)
	}
	text = section(text, "bounds.hold_max_ms", true)
	front, ready, control := "", "", ""
	if p.core {
		control = fmt.Sprintf("%s:%d", p.ip, c.port.control)
	} else {
		front, ready = fmt.Sprintf("%s:%d", p.ip, c.port.front), fmt.Sprintf("%s:%d", p.ip, c.port.ready)
	}
	for from, to := range map[string]string{
		"{{node|json}}": fmt.Sprintf("%q", p.name), "{{region|json}}": `"sudurland"`, "{{zone|json}}": `"selfoss"`,
		"{{ip}}": p.ip, "{{internal_ports.0}}": fmt.Sprint(c.port.inner), "{{internal_ports.1}}": fmt.Sprint(c.port.outer),
		"{{data_dir}}": dataDir, "{{seeds|json}}": string(quoted), "{{bootstrap|json}}": fmt.Sprint(first),
		"{{fault_tolerance.machines}}": fmt.Sprint((cores - 1) / 2), "{{bounds.hold_max_ms}}": fmt.Sprint(holdMaxMS),
		"{{limits.memory_mb}}": memory, "{{listen.front}}": front, "{{listen.readiness_address}}": ready,
		"{{listen.control}}": control, "{{advice}}": c.advised.address, "{{cloud.address}}": c.base + ".6:9",
		"{{zones|json}}": `{"selfoss":"sudurland"}`,
	} {
		text = strings.ReplaceAll(text, from, to)
	}
	if i := strings.Index(text, "{{"); i >= 0 {
		unable("the template has a placeholder that this case doesn't know: %s", text[i:min(len(text), i+40)])
	}
	if err := os.WriteFile(p.file, []byte(text), 0o600); err != nil {
		unable("settings: %v", err)
	}
}

// section renders the sections of a name, present or not.
func section(text, name string, present bool) string {
	for _, mark := range []string{"#", "^"} {
		open, end := "{{"+mark+name+"}}", "{{/"+name+"}}"
		keep := (mark == "#") == present
		for {
			i := strings.Index(text, open)
			if i < 0 {
				break
			}
			j := strings.Index(text[i:], end)
			if j < 0 {
				unable("the template has no end of section %s", name)
			}
			inner := text[i+len(open) : i+j]
			if !keep {
				inner = ""
			}
			text = text[:i] + inner + text[i+j+len(end):]
		}
	}
	return text
}

func (c *cell) start(p *process) {
	p.mu.Lock()
	defer p.mu.Unlock()
	out, err := os.OpenFile(filepath.Join(c.dir, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		unable("log: %v", err)
	}
	cmd := exec.Command(c.binary, "serve", "--settings", p.file)
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		unable("start %s: %v", p.name, err)
	}
	p.cmd = cmd
	go func() { _ = cmd.Wait(); out.Close() }()
	rec.line("%s is started", p.name)
}

// stop ends all processes that the case started.
func (c *cell) stop() {
	for _, p := range c.procs {
		p.mu.Lock()
		if p.cmd != nil && p.cmd.Process != nil {
			_ = p.cmd.Process.Kill()
		}
		p.mu.Unlock()
	}
	time.Sleep(100 * time.Millisecond)
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(c.dir)
	}
}

func (c *cell) cores() (out []*process) {
	for _, p := range c.procs {
		if p.core {
			out = append(out, p)
		}
	}
	return out
}

func (c *cell) fronts() (out []*process) {
	for _, p := range c.procs {
		if !p.core {
			out = append(out, p)
		}
	}
	return out
}

// do makes a call and returns its status, 0 if there was no response, and its body.
func (c *cell) do(method, address, path string, body []byte, timeout time.Duration) (int, []byte) {
	req, err := http.NewRequest(method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	req.Host = c.host
	req.Header.Set("Authorization", "Bearer "+c.key)
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Filbertmast-Deadline-Ms", fmt.Sprint(timeout.Milliseconds()))
	client := *c.client
	client.Timeout = timeout
	resp, err := client.Do(req)
	if err != nil {
		return 0, []byte(err.Error())
	}
	defer resp.Body.Close()
	out, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}
	return resp.StatusCode, out
}

// routeOptions are the fields of the case's only route that differ between cases.
type routeOptions struct {
	attempts int
	advice   bool
	routes   bool // false: the manifest has the service and no route
	service  string
	cpu      int // the tenant's maximum; 0: that of the site
}

// manifest sends a manifest until it is confirmed.
func (c *cell) manifest(o routeOptions) {
	c.version++
	if o.service == "" {
		o.service = "huvo11a"
	}
	if o.cpu == 0 {
		o.cpu = 862673
	}
	route := map[string]any{"name": queue, "host": c.host, "path_prefix": prefix, "type": "non_idempotent", "timeout_ms": 3000,
		"target_duration_ms": 1200, "priority": 1, "service": o.service, "max_attempts": o.attempts, "stretch": 2.2, "no_auth": false}
	if o.advice {
		route["advice"] = map[string]any{"decide_ms": 50.0, "each_ms": 0.7, "valid_ms": 2000}
	}
	other := map[string]any{"name": "r-other", "host": "ficu95.example", "path_prefix": "/o/", "type": "non_idempotent", "timeout_ms": 3000,
		"target_duration_ms": 1200, "priority": 1, "service": "huvo11a", "max_attempts": 4, "stretch": 2.2, "no_auth": false}
	routes := []any{other}
	if o.routes {
		routes = append(routes, route)
	}
	body, _ := json.Marshal(map[string]any{
		"version": c.version * 3, "routes": routes,
		"services": []any{map[string]any{"name": "huvo11a", "health_path": "/health", "max_conns": 64, "protocol": "h1", "tls": false, "enforces_capacity": false, "spare": false},
			map[string]any{"name": "pool2", "health_path": "/health", "max_conns": 64, "protocol": "h1", "tls": false, "enforces_capacity": false, "spare": false}},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{map[string]any{"name": "kaje80", "api_keys": []string{c.key}, "priority": 1, "weight": 27, "maximum": map[string]any{"cpu": o.cpu, "mem_mb": 1500163, "gpu": 0}}},
	})
	end := time.Now().Add(25 * time.Second)
	for i := 0; time.Now().Before(end); i++ {
		cores := c.cores()
		p := cores[i%len(cores)]
		status, _ := c.do(http.MethodPost, fmt.Sprintf("%s:%d", p.ip, c.port.control), "/api/config/replace", body, time.Second)
		if status == 200 {
			rec.line("manifest %d is confirmed by %s", c.version*3, p.name)
			return
		}
		time.Sleep(200 * time.Millisecond)
	}
	unable("no manifest was confirmed")
}

// ready waits until a front reports itself ready.
func (c *cell) ready() {
	end := time.Now().Add(20 * time.Second)
	for time.Now().Before(end) {
		ok := 0
		for _, p := range c.fronts() {
			if status, _ := c.do(http.MethodGet, fmt.Sprintf("%s:%d", p.ip, c.port.ready), "/api/ready", nil, time.Second); status == 200 {
				ok++
			}
		}
		if ok == len(c.fronts()) {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
	unable("the fronts aren't ready")
}

func (c *cell) front(i int) string {
	f := c.fronts()
	return fmt.Sprintf("%s:%d", f[i%len(f)].ip, c.port.front)
}

// submit hands a job in, up to five times, and reports whether it was accepted.
func (c *cell) submit(id string, job any) bool {
	body, _ := json.Marshal(job)
	for i := range 8 {
		status, text := c.do(http.MethodPost, c.front(i), prefix+id, body, 3*time.Second)
		rec.line("POST %s -> %d %s", id, status, text)
		switch {
		case status >= 200 && status < 300:
			return true
		case status == 400 || status == 401 || status == 403 || status == 404 || status == 413:
			return false
		}
		time.Sleep(200 * time.Millisecond)
	}
	return false
}

// state asks for a job's state until an answer comes; "" if none does, "gone" for a 410.
func (c *cell) state(id string) string {
	for i := range 6 {
		status, text := c.do(http.MethodGet, c.front(i), prefix+id, nil, 3*time.Second)
		switch status {
		case 200:
			var b struct{ State string }
			_ = json.Unmarshal(text, &b)
			return b.State
		case 410:
			return "gone"
		}
		rec.line("GET %s -> %d %s", id, status, text)
		time.Sleep(150 * time.Millisecond)
	}
	return ""
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }
