package obs

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"time"
)

// queuedLines bounds the lines that wait for a reader of the log.
const queuedLines = 4096

// AsyncWriter passes lines on without ever making their writer wait. Lines for
// which there is no room are left out, and the next one that is written is
// preceded by a line that tells how many.
type AsyncWriter struct {
	out   io.Writer
	lines chan []byte
	done  chan struct{}

	mu      sync.Mutex
	left    int // lines left out since the last that was queued
	stopped bool
}

// NewAsyncWriter returns a writer to out. Close must be called at the end.
func NewAsyncWriter(out io.Writer) *AsyncWriter {
	w := &AsyncWriter{out: out, lines: make(chan []byte, queuedLines), done: make(chan struct{})}
	go w.run()
	return w
}

// Write queues one line. It keeps no reference to p, and never fails.
func (w *AsyncWriter) Write(p []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped {
		return len(p), nil
	}
	line := bytes.Clone(p)
	if w.left > 0 {
		told := fmt.Sprintf("time=%s level=warn msg=\"Log lines were left out.\" lines=%d\n", time.Now().UTC().Format(time.RFC3339Nano), w.left)
		line = append([]byte(told), line...)
	}
	select {
	case w.lines <- line:
		w.left = 0
	default:
		w.left++
	}
	return len(p), nil
}

// run writes what is queued. An output that fails loses lines: there is nowhere
// to tell it.
func (w *AsyncWriter) run() {
	defer close(w.done)
	for line := range w.lines {
		_, _ = w.out.Write(line)
	}
}

// Close writes what is queued, for at most the given time.
func (w *AsyncWriter) Close(patience time.Duration) {
	w.mu.Lock()
	if !w.stopped {
		w.stopped = true
		close(w.lines)
	}
	w.mu.Unlock()
	select {
	case <-w.done:
	case <-time.After(patience):
	}
}
