package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: f, began: time.Now()}, nil
}

func (r *record) add(who, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f  %-12s %s\n", time.Since(r.began).Seconds(), who, fmt.Sprintf(format, args...))
	_, _ = r.file.WriteString(line)
	if os.Getenv("REVIEW_VERBOSE") != "" {
		fmt.Print(line)
	}
}
