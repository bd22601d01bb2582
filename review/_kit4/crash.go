package main

import (
	"fmt"
	"strings"
	"sync/atomic"
	"time"
)

const (
	baseTime = 20 * time.Second
	// crashAfter is the time from the start of the task to the crash of its executor.
	crashAfter = 300 * time.Millisecond
	// downFor is the time from a crash to the next boot.
	downFor    = time.Second
	maxCrashes = 3
)

// playCrash crashes the executor of a job's only task soon after each of its first starts. The
// job can be done, and none of its runs ends failed.
func playCrash(c *cell, trouble bool) (string, error) {
	const id = "5c0e7a21d94b36f8"
	var crashes atomic.Int32
	for _, e := range c.executors {
		e.onStart = func(e *executor, r *run) {
			if !trouble || !strings.HasPrefix(r.task, id) || crashes.Add(1) > maxCrashes {
				return
			}
			time.Sleep(crashAfter)
			name := e.id
			e.crash()
			time.Sleep(downFor)
			_ = e.boot(name)
		}
	}
	if err := c.submit(id, job("work_ms=2000", 1)); err != nil {
		return "", err
	}
	state := c.waitState(id, 50*time.Second, "completed", "failed", "cancelled", "410")
	failed := 0
	for _, s := range c.eventsOf(id) {
		if s.how == "failed" {
			failed++
		}
	}
	switch state {
	case "completed":
		return "", nil
	case "failed", "cancelled", "410":
		return fmt.Sprintf("LOST: job %s was accepted and not cancelled, and is shown as %s; %d of its runs have ended failed, max_attempts is 4", id, state, failed), nil
	}
	return "", fmt.Errorf("the job is %q", state)
}

// eventsOf returns the starts of the tasks of a job.
func (c *cell) eventsOf(id string) []*startEvent {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []*startEvent
	for _, s := range c.events {
		if strings.HasPrefix(s.r.task, id+".") {
			out = append(out, s)
		}
	}
	return out
}
