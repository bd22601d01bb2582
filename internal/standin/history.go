package standin

import (
	"bufio"
	"encoding/json"
	"fmt"
	"os"
	"sync"

	"github.com/filbertmast/filbertmast/internal/model"
)

// EventKind says what a history line records.
type EventKind string

// The events.
const (
	EventBoot         EventKind = "boot"          // a worker process began; it runs nothing
	EventLease        EventKind = "lease"         // the lease of Worker holds until Until
	EventStart        EventKind = "start"         // a task began to run
	EventEnd          EventKind = "end"           // a task ended by itself
	EventStop         EventKind = "stop"          // a task was stopped, or its lease ended
	EventRequestBegin EventKind = "request_begin" // an executor began to run a request
	EventRequestEnd   EventKind = "request_end"
	EventRefused      EventKind = "request_refused" // an executor refused a request and ran nothing
	EventConnections  EventKind = "connections"     // an executor's open connections reached a new peak
)

// Event is one line of a history file.
type Event struct {
	At     int64     `json:"at"` // Unix nanoseconds
	Kind   EventKind `json:"event"`
	Worker string    `json:"worker,omitempty"`
	Until  int64     `json:"until,omitempty"` // Unix nanoseconds, with EventLease

	Task  model.TaskID `json:"task,omitzero"`
	Fence model.Fence  `json:"fence,omitzero"`

	Executor      string `json:"executor,omitempty"`
	Request       string `json:"request,omitempty"`
	Key           string `json:"idempotency_key,omitempty"`
	NotRepeatable bool   `json:"not_repeatable,omitempty"`
	Epoch         string `json:"epoch,omitempty"`
	Concurrent    int64  `json:"concurrent,omitempty"` // requests or connections at once, this one included
	Limit         int64  `json:"limit,omitempty"`      // of Concurrent
}

// history appends events to a file. A nil history drops them. Each event is one
// write to a file opened for appending, so that processes may share it.
type history struct {
	mu   sync.Mutex
	file *os.File
}

func openHistory(path string) (*history, error) {
	if path == "" {
		return nil, nil
	}
	f, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, fmt.Errorf("history file: %w", err)
	}
	return &history{file: f}, nil
}

func (h *history) add(e Event) {
	if h == nil {
		return
	}
	b, err := json.Marshal(e)
	if err != nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.file.Write(append(b, '\n'))
}

func (h *history) close() {
	if h != nil {
		h.file.Close()
	}
}

// ReadHistory reads history files. A torn last line, left by a killed process,
// is skipped; any other line that cannot be read is an error.
func ReadHistory(paths ...string) ([]Event, error) {
	var out []Event
	for _, p := range paths {
		events, err := readFile(p)
		if err != nil {
			return nil, err
		}
		out = append(out, events...)
	}
	return out, nil
}

func readFile(path string) ([]Event, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	var out []Event
	var torn error
	lines := bufio.NewScanner(f)
	for n := 1; lines.Scan(); n++ {
		if torn != nil {
			return nil, torn
		}
		var e Event
		if err := json.Unmarshal(lines.Bytes(), &e); err != nil {
			torn = fmt.Errorf("%s:%d: %w", path, n, err)
			continue
		}
		out = append(out, e)
	}
	return out, lines.Err()
}
