package standin

import (
	"bufio"
	"encoding/json"
	"fmt"
	"os"
	"sync"

	"github.com/filbertmast/filbertmast/internal/model"
)

// EventKind is the kind of event that a history line records.
type EventKind string

// The event kinds.
const (
	EventBoot         EventKind = "boot"          // a worker process started; none of its tasks run
	EventLease        EventKind = "lease"         // the lease of Worker is valid until Until
	EventStart        EventKind = "start"         // a task started
	EventEnd          EventKind = "end"           // a task ended on its own
	EventStop         EventKind = "stop"          // a task was stopped, or its worker's lease expired
	EventRequestBegin EventKind = "request_begin" // an executor started a request
	EventRequestEnd   EventKind = "request_end"
	EventRefused      EventKind = "request_refused" // an executor refused a request without running it
	EventConnections  EventKind = "connections"     // the number of an executor's open connections reached a new maximum
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
	Concurrent    int64  `json:"concurrent,omitempty"` // concurrent requests or connections, including this one
	Limit         int64  `json:"limit,omitempty"`      // maximum allowed value of Concurrent
}

// history appends events to a file. A nil history discards them. Each event is a single
// write to a file opened in append mode, so that several processes can share the file.
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

// ReadHistory reads history files. An incomplete last line, as left by a killed process,
// is ignored. Any other malformed line is an error with its file and line number.
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
