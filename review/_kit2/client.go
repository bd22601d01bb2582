package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

// Call is a call of a client or operator and its answer.
type Call struct {
	Status int // zero: no answer
	Body   string
}

var httpClient = &http.Client{Timeout: 3500 * time.Millisecond}

// call sends a request to an entry machine and records it.
func (c *Cell) call(at int, method, host, path, key string, body any) Call {
	var data []byte
	if body != nil {
		data, _ = json.Marshal(body)
	}
	m := c.front[at%len(c.front)]
	req, _ := http.NewRequest(method, fmt.Sprintf("http://%s:%d%s", m.ip, portFront, path), bytes.NewReader(data))
	req.Host = host
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Filbertmast-Deadline-Ms", "3000")
	if key != "" {
		req.Header.Set("Authorization", "Bearer "+key)
	}
	out := send(req)
	c.rec.add("client to %s: %s %s key %q -> %d %s", m.name, method, path, key, out.Status, out.Body)
	return out
}

func send(req *http.Request) Call {
	resp, err := httpClient.Do(req)
	if err != nil {
		return Call{Body: "no answer"}
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return Call{Body: "no whole answer"}
	}
	return Call{resp.StatusCode, string(bytes.TrimSpace(text))}
}

// put sends a manifest to the nodes that serve control until one answers clearly.
func (c *Cell) put(manifest map[string]any, limit time.Duration) Call {
	data, _ := json.Marshal(manifest)
	end := time.Now().Add(limit)
	for i := 0; ; i++ {
		m := c.cores[i%len(c.cores)]
		req, _ := http.NewRequest(http.MethodPost, fmt.Sprintf("http://%s:%d/api/config/replace", m.ip, portControl), bytes.NewReader(data))
		req.Header.Set("Content-Type", "application/json")
		out := send(req)
		c.rec.add("operator to %s: manifest %v -> %d %s", m.name, manifest["version"], out.Status, out.Body)
		if out.Status == 200 || out.Status/100 == 4 && out.Status != 408 && out.Status != 429 || time.Now().After(end) {
			return out
		}
		time.Sleep(200 * time.Millisecond)
	}
}

// Route is a route of a manifest.
type Route struct {
	Name, Host, Prefix string
	NoAuth             bool
	Attempts           int
	Priority           int
}

// manifest returns a manifest with the routes, one service, and one tenant for each list of
// keys.
func manifest(version int, service string, routes []Route, keys ...[]string) map[string]any {
	var rs, ts []any
	for _, r := range routes {
		rs = append(rs, map[string]any{"name": r.Name, "host": r.Host, "path_prefix": r.Prefix, "type": "non_idempotent", "timeout_ms": 3000,
			"target_duration_ms": 1200, "priority": r.Priority, "service": service, "max_attempts": r.Attempts, "stretch": 2.2, "no_auth": r.NoAuth})
	}
	for i, k := range keys {
		ts = append(ts, map[string]any{"name": fmt.Sprintf("tenant-%d", i+1), "api_keys": k, "priority": 1, "weight": 20,
			"maximum": map[string]any{"cpu": 0, "mem_mb": 0, "gpu": 0}})
	}
	return map[string]any{"version": version, "routes": rs,
		"services": []any{map[string]any{"name": service, "health_path": "/health", "max_conns": 64, "protocol": "h1", "tls": false, "enforces_capacity": false, "spare": false}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants":  ts}
}

// submit hands a job in, again after no response, a 502, 504, 429 or 503, and returns the
// last answer.
func (c *Cell) submit(host, prefix, id, key string, body any) Call {
	var out Call
	for i := range 5 {
		out = c.call(i, http.MethodPost, host, prefix+id, key, body)
		if out.Status/100 == 2 || out.Status/100 == 4 && out.Status != 429 {
			return out
		}
		time.Sleep(300 * time.Millisecond)
	}
	return out
}

// state asks for the state of a job at the entry machines in turn.
func (c *Cell) state(at int, host, prefix, id, key string) (string, Call) {
	out := c.call(at, http.MethodGet, host, prefix+id, key, nil)
	var s struct {
		State string `json:"state"`
	}
	_ = json.Unmarshal([]byte(out.Body), &s)
	return s.State, out
}
