// Package obs holds what all parts share for logs and metrics: loggers with a
// fixed prefix a part, a registry, counters by reason, and the comparison of
// the metrics page with a registry.
package obs

import (
	"io"
	"sync"
	"time"

	"github.com/charmbracelet/log"
)

// Prefixes of the parts that log.
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

// NewLogger returns a logger on w. The level is debug, info, warn or error and
// the format text, json or logfmt, as the settings allow; anything else counts
// as info and text. A part takes its own logger with WithPrefix.
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

// lockedWriter lets loggers of several parts share one writer: each of them has
// a lock of its own only.
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

// Discard returns a logger that writes nothing, for tests and embedding.
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
