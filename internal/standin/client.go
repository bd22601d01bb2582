package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/filbertmast/filbertmast/internal/api"
	"github.com/filbertmast/filbertmast/internal/errkind"
)

const (
	callTimeout = 5 * time.Second
	maxAnswer   = 8 << 20 // bytes
)

// client calls one entry at a time and fails over to the next one.
type client struct {
	http *http.Client
	key  string

	mu           sync.Mutex
	entries      []string // base URLs
	current      int
	entryChanged chan struct{} // closed and replaced at each failover
}

func newClient(entries []string, key string) (*client, error) {
	if len(entries) == 0 {
		return nil, fmt.Errorf("no entry address is given")
	}
	c := &client{http: &http.Client{}, key: key, entryChanged: make(chan struct{})}
	for _, e := range entries {
		c.entries = append(c.entries, strings.TrimSuffix(e, "/"))
	}
	return c, nil
}

// addEntries adds entries from an answer to the failover list.
func (c *client) addEntries(entries []api.EntryAddress) {
	c.mu.Lock()
	defer c.mu.Unlock()
	known := make(map[string]bool)
	for _, e := range c.entries {
		known[e] = true
	}
	for _, e := range entries {
		url := "http://" + e.Address
		if e.Address != "" && !known[url] {
			known[url] = true
			c.entries = append(c.entries, url)
		}
	}
}

func (c *client) entry() (string, int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.entries[c.current], c.current
}

// failOver switches from entry i to the next one, unless another call already did.
func (c *client) failOver(i int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.current != i {
		return
	}
	c.current = (i + 1) % len(c.entries)
	close(c.entryChanged)
	c.entryChanged = make(chan struct{})
}

// onEntryChange returns a channel that is closed at the next failover.
func (c *client) onEntryChange() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.entryChanged
}

// call makes one attempt at the current entry, bounded by timeout. If the entry cannot
// serve the call, the next call goes to another entry.
func (c *client) call(ctx context.Context, timeout time.Duration, method, path string, in, out any) error {
	bounded, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	base, i := c.entry()
	err := c.send(bounded, method, base+path, in, out)
	if shouldFailOver(err) && ctx.Err() == nil {
		c.failOver(i)
	}
	return err
}

// shouldFailOver reports whether another entry may be able to serve after err.
func shouldFailOver(err error) bool {
	switch errkind.Of(err) {
	case errkind.Unreachable, errkind.SettingsStale, errkind.Draining, errkind.Internal,
		errkind.NoLeader, errkind.OutcomeUnknown:
		return true
	}
	return false
}

func (c *client) send(ctx context.Context, method, url string, in, out any) error {
	var body io.Reader
	if in != nil {
		b, err := json.Marshal(in)
		if err != nil {
			return err
		}
		body = bytes.NewReader(b)
	}
	req, err := http.NewRequestWithContext(ctx, method, url, body)
	if err != nil {
		return err
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Authorization", "Bearer "+c.key)
	resp, err := c.http.Do(req)
	if err != nil {
		return errkind.Wrap(errkind.Unreachable, err, "entry")
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer))
	if err != nil {
		return errkind.Wrap(errkind.Unreachable, err, "reading the answer of the entry")
	}
	if resp.StatusCode >= http.StatusBadRequest {
		return errorOf(resp.StatusCode, b)
	}
	if out == nil || len(b) == 0 {
		return nil
	}
	return json.Unmarshal(b, out)
}

func errorOf(status int, b []byte) error {
	var body errkind.Body
	if err := json.Unmarshal(b, &body); err != nil || body.Kind == "" {
		return errkind.New(errkind.Internal, "the entry answered with status %d and without an error body", status)
	}
	return body.Err()
}
