package main

import (
	"bytes"
	"context"
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
	"syscall"
	"time"
)

const (
	serviceName = "svc1"
	zoneName    = "selfoss"
	hostName    = "plans.example"
	pathPrefix  = "/cut/"
	apiKey      = "6x73d3zji9n73hh2b9wu"
	program     = "target/filbertmast"
)

// node is one machine of the deployment.
type node struct {
	name     string
	ip       string
	core     bool
	settings string
	dir      string
	cmd      *exec.Cmd
}

// startEvent is one start that an executor has executed.
type startEvent struct {
	at    time.Time
	e     *executor
	r     *run
	ended time.Time // zero: it runs
	how   string
	acked bool
}

// cell is a deployment with its stand-ins.
type cell struct {
	rec      *record
	tmp      string
	nodes    []*node
	controls []string // addresses of the control nodes
	fronts   []string
	inner    int
	client   *http.Client

	executors []*executor

	mu     sync.Mutex
	events []*startEvent
}

// newCell starts control processes and entry processes on loopback addresses of their own.
func newCell(rec *record, cores, fronts int) (*cell, error) {
	tmp, err := os.MkdirTemp("", "review-case-")
	if err != nil {
		return nil, err
	}
	c := &cell{rec: rec, tmp: tmp, client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true},
		CheckRedirect: func(_ *http.Request, via []*http.Request) error {
			if len(via) > 2 {
				return http.ErrUseLastResponse
			}
			return nil
		}}}
	base := fmt.Sprintf("127.%d.%d.", 20+rand.IntN(200), 1+rand.IntN(250))
	c.inner = freePort(base + "1")
	control := freePort(base + "1")
	front := freePort(base + "1")
	ready := freePort(base + "1")
	outer := freePort(base + "1")
	var seeds []string
	for i := range cores {
		ip := fmt.Sprintf("%s%d", base, 10+i)
		c.nodes = append(c.nodes, &node{name: fmt.Sprintf("core-%d", i+1), ip: ip, core: true})
		c.controls = append(c.controls, fmt.Sprintf("%s:%d", ip, control))
		if i < 3 {
			seeds = append(seeds, c.controls[i])
		}
	}
	for i := range fronts {
		ip := fmt.Sprintf("%s%d", base, 50+i)
		c.nodes = append(c.nodes, &node{name: fmt.Sprintf("front-%d", i+1), ip: ip})
		c.fronts = append(c.fronts, fmt.Sprintf("%s:%d", ip, front))
	}
	for _, n := range c.nodes {
		n.dir = filepath.Join(tmp, n.name)
		if err := os.MkdirAll(n.dir, 0o755); err != nil {
			return nil, err
		}
		n.settings = filepath.Join(tmp, n.name+".json")
		text := n.settingsText(seeds, c.inner, outer, control, front, ready)
		if err := os.WriteFile(n.settings, []byte(text), 0o644); err != nil {
			return nil, err
		}
	}
	for _, n := range c.nodes {
		if err := c.start(n); err != nil {
			return nil, err
		}
	}
	return c, nil
}

// freePort returns a port that is free at an address, for TCP and UDP.
func freePort(ip string) int {
	for {
		l, err := net.Listen("tcp", ip+":0")
		if err != nil {
			panic(err)
		}
		port := l.Addr().(*net.TCPAddr).Port
		u, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.ParseIP(ip), Port: port})
		_ = l.Close()
		if err == nil {
			_ = u.Close()
			return port
		}
	}
}

// settingsText returns the settings of a process, as the template of the deploy file fills them in.
func (n *node) settingsText(seeds []string, inner, outer, control, front, ready int) string {
	roles, dataDir, gc, callers, readiness, controlAt := `["entry"]`, "", 100, fmt.Sprintf("%s:%d", n.ip, front), fmt.Sprintf("%s:%d", n.ip, ready), ""
	if n.core {
		roles, dataDir, gc, callers, readiness, controlAt = `["control", "entry"]`, n.dir, 400, "", "", fmt.Sprintf("%s:%d", n.ip, control)
	}
	seedList, _ := json.Marshal(seeds)
	return fmt.Sprintf(`{
  "name": %q, "roles": %s, "region": "sudurland", "failure_domain": %q,
  "inner": {"address": "%s:%d", "open": true},
  "outer": {"address": "%s:%d"},
  "data": {"dir": %q, "snapshot_entries": 4000, "min_free_bytes": 8388608},
  "control": {"seeds": %s, "first_start": true, "tolerate": 1, "tick": "35ms"},
  "limits": {"worker_lease": "4s", "longest_worker_lease": "6000ms", "request_lease": "2s", "freshness": "2s",
    "request_timeout": "3s", "longest_deadline": "3s", "shutdown_delay": "2200ms", "shutdown_grace": "3s",
    "keep_finished": "150s", "restart_backoff": "20ms", "journal_bytes": 1048576},
  "scheduling": {"pressing_slack": "4s", "ageing_span": "1s", "late_shift": "30s", "late_grace": "0s", "late_margin": "250ms",
    "useful_factor": 3, "keep_running": true, "max_reservations": 2, "worker_speed": true},
  "memory": {"limit_mb": 280, "gc_percent": %d},
  "log": {"level": "info", "format": "logfmt"},
  "platform": {"callers": %q, "readiness": %q, "control": %q, "policy": "", "machines": "", "regions": {%q: "sudurland"}}
}`, n.name, roles, zoneName, n.ip, inner, n.ip, outer, dataDir, seedList, gc, callers, readiness, controlAt, zoneName)
}

// start starts the process of a node with the command of the deploy file.
func (c *cell) start(n *node) error {
	out, err := os.OpenFile(filepath.Join(c.tmp, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	n.cmd = exec.Command(program, "serve", "--settings", n.settings)
	n.cmd.Stdout, n.cmd.Stderr = out, out
	n.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	err = n.cmd.Start()
	_ = out.Close()
	if err == nil {
		c.rec.add("process %s is started", n.name)
	}
	return err
}

// signal sends a signal to the process of a node.
func (c *cell) signal(n *node, s syscall.Signal) {
	c.rec.add("process %s gets %s", n.name, s)
	_ = n.cmd.Process.Signal(s)
	if s == syscall.SIGKILL {
		_, _ = n.cmd.Process.Wait()
	}
}

// close ends all processes and stand-ins.
func (c *cell) close() {
	for _, e := range c.executors {
		e.crash()
	}
	for _, n := range c.nodes {
		if n.cmd != nil && n.cmd.Process != nil {
			_ = n.cmd.Process.Signal(syscall.SIGCONT)
			_ = n.cmd.Process.Kill()
			_, _ = n.cmd.Process.Wait()
		}
	}
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(c.tmp)
	} else {
		fmt.Println("logs:", c.tmp)
	}
}

func (c *cell) control(i int) string { return c.controls[i] }

// post sends a POST with a JSON body. A status of 0 means that there was no response.
func (c *cell) post(ctx context.Context, url string, head map[string]string, body any, timeout time.Duration) (int, string) {
	data, err := json.Marshal(body)
	if err != nil {
		return 0, err.Error()
	}
	return c.call(ctx, http.MethodPost, url, head, data, timeout)
}

func (c *cell) call(ctx context.Context, method, url string, head map[string]string, data []byte, timeout time.Duration) (int, string) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(data))
	if err != nil {
		return 0, err.Error()
	}
	req.Header.Set("Content-Type", "application/json")
	for k, v := range head {
		if k == "Host" {
			req.Host = v
		}
		req.Header.Set(k, v)
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err.Error()
	}
	return resp.StatusCode, string(text)
}

// manifest returns a manifest with one queue and one tenant.
func manifest(version int, maxAttempts int) map[string]any {
	return map[string]any{
		"version": version,
		"routes": []any{map[string]any{"name": "r-cut", "host": hostName, "path_prefix": pathPrefix, "type": "non_idempotent", "timeout_ms": 3000,
			"target_duration_ms": 1200, "priority": 1, "service": serviceName, "max_attempts": maxAttempts, "stretch": 2.2, "no_auth": false}},
		"services": []any{map[string]any{"name": serviceName, "health_path": "/health", "max_conns": 64, "protocol": "h1", "tls": false, "enforces_capacity": false, "spare": false}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{map[string]any{"name": "kaje80", "api_keys": []string{apiKey}, "priority": 1, "weight": 27,
			"maximum": map[string]int64{"cpu": 0, "mem_mb": 0, "gpu": 0}}},
	}
}

// apply sends a manifest until it is acknowledged.
func (c *cell) apply(m map[string]any, within time.Duration) error {
	for i, end := 0, time.Now().Add(within); time.Now().Before(end); i++ {
		status, _ := c.post(context.Background(), "http://"+c.control(i%len(c.controls))+"/api/config/replace", nil, m, time.Second)
		c.rec.add("operator: manifest %v to %s: %d", m["version"], c.control(i%len(c.controls)), status)
		if status == http.StatusOK {
			return nil
		}
		time.Sleep(200 * time.Millisecond)
	}
	return fmt.Errorf("the manifest was not acknowledged")
}

// request sends a call of a requester to a front node.
func (c *cell) request(front int, method, id string, body any) (int, string) {
	var data []byte
	if body != nil {
		data, _ = json.Marshal(body)
	}
	head := map[string]string{"Host": hostName, "Authorization": "Bearer " + apiKey, "Filbertmast-Deadline-Ms": "3000"}
	status, text := c.call(context.Background(), method, "http://"+c.fronts[front%len(c.fronts)]+pathPrefix+id, head, data, 3*time.Second)
	c.rec.add("requester: %s %s at front-%d: %d %s", method, id, front%len(c.fronts)+1, status, strings.TrimSpace(text))
	return status, text
}

// submit hands a job in until it is accepted.
func (c *cell) submit(id string, body any) error {
	for i, end := 0, time.Now().Add(10*time.Second); time.Now().Before(end); i++ {
		if status, _ := c.request(i, http.MethodPost, id, body); status >= 200 && status < 300 {
			return nil
		}
		time.Sleep(300 * time.Millisecond)
	}
	return fmt.Errorf("job %s was not accepted", id)
}

// state returns the state of a job, or "" if it is not answered within some tries.
func (c *cell) state(id string) string {
	for i := range 5 {
		status, text := c.request(i, http.MethodGet, id, nil)
		if status == http.StatusGone {
			return "410"
		}
		var s struct {
			State string `json:"state"`
		}
		if status == http.StatusOK && json.Unmarshal([]byte(text), &s) == nil {
			return s.State
		}
		time.Sleep(300 * time.Millisecond)
	}
	return ""
}

// waitState polls the state of a job until it is one of those wanted.
func (c *cell) waitState(id string, within time.Duration, wanted ...string) string {
	last := ""
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(400 * time.Millisecond) {
		last = c.state(id)
		for _, w := range wanted {
			if last == w {
				return last
			}
		}
	}
	return last
}

// addExecutors boots n executors.
func (c *cell) addExecutors(n int) error {
	base := c.nodes[0].ip[:strings.LastIndex(c.nodes[0].ip, ".")+1]
	for i := range n {
		ip := fmt.Sprintf("%s%d", base, 100+i)
		e := &executor{c: c, name: fmt.Sprintf("executor-%d", i+1), address: fmt.Sprintf("%s:%d", ip, freePort(ip)), labels: []string{"a", fmt.Sprintf("r1-%d", i/8+1)}, cpu: 16000}
		c.executors = append(c.executors, e)
		if err := e.boot(fmt.Sprintf("i-%08x", rand.Uint32())); err != nil {
			return err
		}
	}
	return nil
}

func (c *cell) noteStart(e *executor, r *run) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.events = append(c.events, &startEvent{at: time.Now(), e: e, r: r})
}

func (c *cell) noteEnd(_ *executor, r *run, how string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range c.events {
		if s.r == r {
			s.ended, s.how = time.Now(), how
		}
	}
}

func (c *cell) noteAck(e *executor, x *end) {
	c.rec.add("%s: the end of %s run %d (%s) is acknowledged", e.name, x.task, x.number, x.how)
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range c.events {
		if s.e == e && s.r.task == x.task && s.r.number == x.number {
			s.acked = true
		}
	}
}
