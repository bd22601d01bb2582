package obs

import (
	"bytes"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// gatedOutput blocks all writes until open is closed, like a pipe that nobody reads.
type gatedOutput struct {
	open chan struct{}
	mu   sync.Mutex
	buf  bytes.Buffer
}

func (o *gatedOutput) Write(p []byte) (int, error) {
	<-o.open
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.buf.Write(p)
}

func TestWriteDoesNotBlockOnStalledOutput(t *testing.T) {
	out := &gatedOutput{open: make(chan struct{})}
	w := NewAsyncWriter(out)
	const lines = maxQueuedLines + 500
	for i := range lines {
		n, err := fmt.Fprintf(w, "line %d\n", i) // must not block while the output is stalled
		assert.NilError(t, err)
		assert.Assert(t, n > 0)
	}
	close(out.open)
	for written := 0; written < maxQueuedLines; {
		out.mu.Lock()
		written = strings.Count(out.buf.String(), "\n")
		out.mu.Unlock()
	}
	_, err := fmt.Fprintln(w, "after")
	assert.NilError(t, err)
	w.Close(time.Minute)
	text := out.buf.String()
	assert.Assert(t, strings.HasPrefix(text, "line 0\nline 1\n"))
	assert.Assert(t, strings.Contains(text, "left out"))
	assert.Assert(t, strings.HasSuffix(text, "after\n"))
	_, err = fmt.Fprintln(w, "too late")
	assert.NilError(t, err)
}

func BenchmarkLogLine(b *testing.B) {
	w := NewAsyncWriter(&bytes.Buffer{})
	l := NewLogger(w, "info", "logfmt").WithPrefix(PrefixControl)
	b.ReportAllocs()
	for b.Loop() {
		l.Info("Workflow accepted.", "workflow", "5c0e7a21d94b36f8", "queue", "plans", "team", "planner", "existing", false)
	}
	w.Close(time.Second)
}
