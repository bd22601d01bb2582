package main

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// Recorder writes what is sent, answered and run to record.txt.
type Recorder struct {
	mu    sync.Mutex
	file  *os.File
	begin time.Time
}

func newRecorder(dir string) (*Recorder, error) {
	f, err := os.Create(filepath.Join(dir, "record.txt"))
	return &Recorder{file: f, begin: time.Now()}, err
}

func (r *Recorder) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.begin).Seconds(), fmt.Sprintf(format, args...))
}
