package obs

import (
	"fmt"
	"io"
	"sync"
	"time"
)

// maxQueuedLines is the capacity of the queue between the loggers and the output, in lines.
const maxQueuedLines = 4096

// AsyncWriter writes log lines asynchronously, so that a slow output never blocks
// the caller. It drops lines when the queue is full, and lines whose message
// exceeds its rate limit. The next line that is queued is preceded by a line with
// the number of dropped lines.
type AsyncWriter struct {
	out   io.Writer
	lines chan []byte
	done  chan struct{}

	mu      sync.Mutex
	dropped int // lines dropped since the last queued line because the queue was full
	limits  *messageLimits
	stopped bool
}

// NewAsyncWriter returns a writer to out. The caller must call Close, which writes
// the queued lines.
func NewAsyncWriter(out io.Writer) *AsyncWriter {
	w := &AsyncWriter{out: out, lines: make(chan []byte, maxQueuedLines), done: make(chan struct{}), limits: newMessageLimits()}
	go w.run()
	return w
}

// Write queues one line. It does not retain p and always reports success, also for
// lines that it drops.
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

// run writes the queued lines. Write errors are ignored, since there is no other
// place to report them.
func (w *AsyncWriter) run() {
	defer close(w.done)
	for line := range w.lines {
		_, _ = w.out.Write(line)
	}
}

// Close stops accepting lines and waits until the queued ones are written, at most
// for timeout.
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
