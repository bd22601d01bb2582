package obs

import (
	"fmt"
	"io"
	"sync"
	"time"
)

// maxQueuedLines bounds the lines that wait for a reader of the log.
const maxQueuedLines = 4096

// AsyncWriter passes lines on without ever making their writer wait. Lines for
// which there is no room, and those of a kind that comes too often, are left out,
// and the next one that is written is preceded by a line that tells how many.
type AsyncWriter struct {
	out   io.Writer
	lines chan []byte
	done  chan struct{}

	mu      sync.Mutex
	dropped int // lines left out for want of room since the last that was queued
	limits  *messageLimits
	stopped bool
}

// NewAsyncWriter returns a writer to out. Close must be called at the end.
func NewAsyncWriter(out io.Writer) *AsyncWriter {
	w := &AsyncWriter{out: out, lines: make(chan []byte, maxQueuedLines), done: make(chan struct{}), limits: newMessageLimits()}
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
	now := time.Now()
	message := messageOf(p)
	droppedOfMessage, ok := w.limits.admit(message, now)
	if !ok {
		return len(p), nil
	}
	var line []byte
	if w.dropped > 0 {
		line = fmt.Appendf(line, "time=%s level=warn msg=\"Log lines were left out.\" lines=%d\n", now.UTC().Format(time.RFC3339Nano), w.dropped)
	}
	if droppedOfMessage > 0 {
		line = fmt.Appendf(line, "time=%s level=warn msg=\"Log lines were left out.\" lines=%d of=%q\n", now.UTC().Format(time.RFC3339Nano), droppedOfMessage, message)
	}
	line = append(line, p...)
	select {
	case w.lines <- line:
		w.dropped = 0
	default:
		w.dropped++
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
func (w *AsyncWriter) Close(timeout time.Duration) {
	w.mu.Lock()
	if !w.stopped {
		w.stopped = true
		close(w.lines)
	}
	w.mu.Unlock()
	select {
	case <-w.done:
	case <-time.After(timeout):
	}
}
