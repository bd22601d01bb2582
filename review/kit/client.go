package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

const (
	host       = "nony24.example"
	tenantKey  = "6x73d3zji9n73hh2b9wu"
	tenantName = "kaje80"
)

// send makes one HTTP call and returns the status, 0 for no response, and the body.
func send(method, address, path, key string, body any) (int, []byte) {
	var data io.Reader
	if body != nil {
		b, _ := json.Marshal(body)
		data = bytes.NewReader(b)
	}
	req, err := http.NewRequest(method, "http://"+address+path, data)
	if err != nil {
		return 0, nil
	}
	req.Host = host
	req.Header.Set("Content-Type", "application/json")
	if key != "" {
		req.Header.Set("Authorization", "Bearer "+key)
		req.Header.Set("Filbertmast-Deadline-Ms", "3000")
	}
	client := &http.Client{Timeout: 3 * time.Second}
	resp, err := client.Do(req)
	if err != nil {
		return 0, nil
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}
	return resp.StatusCode, b
}

// queue is one route of the manifest.
type queue struct {
	name, prefix, service string
	attempts              int
}

func (q queue) body() map[string]any {
	return map[string]any{
		"name": q.name, "host": host, "path_prefix": q.prefix, "type": "non_idempotent", "timeout_ms": 3000,
		"target_duration_ms": 1200, "priority": 1, "service": q.service, "max_attempts": q.attempts,
		"stretch": 2.2, "no_auth": false,
	}
}

// manifest returns a manifest with one tenant, whose maximum is in thousandths of a core.
func manifest(version int, services []string, queues []queue, maximumCPU int) map[string]any {
	return manifestOf(version, services, queues, []tenant{{tenantName, tenantKey, maximumCPU}})
}

// tenant is one tenant of the manifest.
type tenant struct {
	name, key  string
	maximumCPU int // thousandths of a core; zero: no limit
}

func (t tenant) body() map[string]any {
	return map[string]any{"name": t.name, "api_keys": []string{t.key}, "priority": 1, "weight": 27,
		"maximum": map[string]any{"cpu": t.maximumCPU, "mem_mb": 0, "gpu": 0}}
}

func manifestOf(version int, services []string, queues []queue, tenants []tenant) map[string]any {
	var routes, list []any
	for _, q := range queues {
		routes = append(routes, q.body())
	}
	for _, s := range services {
		list = append(list, map[string]any{"name": s, "health_path": "/health", "max_conns": 64,
			"protocol": "h1", "tls": false, "enforces_capacity": false, "spare": false})
	}
	var owners []any
	for _, t := range tenants {
		owners = append(owners, t.body())
	}
	return map[string]any{
		"version": version, "routes": routes, "services": list,
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": owners,
	}
}

// replaceConfig sends a manifest until it is acknowledged.
func (c *cell) replaceConfig(m map[string]any) error {
	c.rec.add("operator", "sends version %v", m["version"])
	for i := range 200 {
		to := c.controls()[i%coreCount]
		status, body := send("POST", to, "/api/config/replace", "", m)
		if status == 200 {
			c.rec.add("operator", "version %v is acknowledged", m["version"])
			return nil
		}
		if status >= 400 && status < 500 && status != 408 && status != 429 {
			return fmt.Errorf("manifest is refused with %d: %s", status, body)
		}
		time.Sleep(100 * time.Millisecond)
	}
	return fmt.Errorf("the manifest is not acknowledged")
}

// submit hands a job in until it is accepted.
func (c *cell) submit(q queue, id string, job map[string]any) error {
	return c.submitAs(tenantKey, q, id, job)
}

func (c *cell) submitAs(key string, q queue, id string, job map[string]any) error {
	c.rec.add("requester", "POST %s%s", q.prefix, id)
	for i := range 100 {
		status, body := send("POST", c.fronts()[i%frontCount], q.prefix+id, key, job)
		if status == 200 {
			c.rec.add("requester", "job %s is accepted", id)
			return nil
		}
		if status == 400 {
			return fmt.Errorf("job is refused with %d: %s", status, body)
		}
		time.Sleep(100 * time.Millisecond)
	}
	return fmt.Errorf("job %s is not accepted", id)
}

// state asks for the state of a job. It returns the status of the response where that is
// not 200.
func (c *cell) state(q queue, id string) string { return c.stateAs(tenantKey, q, id) }

func (c *cell) stateAs(key string, q queue, id string) string {
	for i := range 20 {
		status, body := send("GET", c.fronts()[i%frontCount], q.prefix+id, key, nil)
		if status == 200 {
			var s struct{ State string }
			_ = json.Unmarshal(body, &s)
			c.rec.add("requester", "GET %s%s: 200 %s", q.prefix, id, s.State)
			return s.State
		}
		if status == 410 || status == 404 || status == 401 {
			c.rec.add("requester", "GET %s%s: %d", q.prefix, id, status)
			return fmt.Sprint(status)
		}
		time.Sleep(100 * time.Millisecond)
	}
	c.rec.add("requester", "GET %s%s: no response", q.prefix, id)
	return "none"
}
