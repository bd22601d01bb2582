// Package obs provides logging and metrics for all parts of the system: loggers
// with a fixed prefix for each part, an asynchronous log writer, a metrics registry,
// counters by error kind, and a comparison of the metrics page with a registry.
package obs

import (
	"io"
	"sync"
	"time"

	"github.com/charmbracelet/log"
)

// Logger prefixes of the parts of the system.
const (
	PrefixServer    = "server"
	PrefixControl   = "control"
	PrefixReplica   = "replica"
	PrefixStorage   = "storage"
	PrefixScheduler = "scheduler"
	PrefixEntry     = "entry"
	PrefixRoute     = "route"
	PrefixLimit     = "limit"
	PrefixSession   = "session"
	PrefixMember    = "member"
	PrefixWire      = "wire"
	PrefixStandin   = "standin"
	PrefixDev       = "dev"
)

// NewLogger returns a logger that writes to w. The level is debug, info, warn or
// error, and the format text, json or logfmt. Other values mean info and text. Each
// part derives its own logger with WithPrefix.
func NewLogger(w io.Writer, level, format string) *log.Logger {
	parsed, err := log.ParseLevel(level)
	if err != nil {
		parsed = log.InfoLevel
	}
	return log.NewWithOptions(&lockedWriter{w: w}, log.Options{
		Level:           parsed,
		Formatter:       formatter(format),
		ReportTimestamp: true,
		TimeFunction:    log.NowUTC,
		TimeFormat:      time.RFC3339Nano,
	})
}

// lockedWriter serializes writes. Loggers derived with WithPrefix share a writer, but
// each has its own lock.
type lockedWriter struct {
	mu sync.Mutex
	w  io.Writer
}

// Write implements io.Writer.
func (l *lockedWriter) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.w.Write(p)
}

// Discard returns a logger that discards its output, for tests and embedding.
func Discard() *log.Logger { return NewLogger(io.Discard, "error", "text") }

func formatter(format string) log.Formatter {
	switch format {
	case "json":
		return log.JSONFormatter
	case "logfmt":
		return log.LogfmtFormatter
	}
	return log.TextFormatter
}
