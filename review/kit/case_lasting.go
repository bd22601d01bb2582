package main

import (
	"fmt"
	"sync"
	"time"
)

func init() {
	cases["lasting-failed"] = func(c *cell, trouble bool) error { return lasting(c, trouble, "failed", 5) }
	cases["lasting-done"] = func(c *cell, trouble bool) error { return lasting(c, trouble, "done", 1) }
}

const (
	// restartBound is the time after its last run within which a task that lasts has to run
	// again while there is capacity: 6 s, and then 3 s with nothing running.
	restartBound = 9 * time.Second
	// quickEnd is how long the runs last that end by themselves.
	quickEnd = 1500 * time.Millisecond
)

// lasting plays a job with one task that lasts. With trouble its first runs end by
// themselves in the given way; the others run until they are stopped.
func lasting(c *cell, trouble bool, how string, ends int) error {
	var mu sync.Mutex
	starts := 0
	behave := func(string, int, string) plan {
		mu.Lock()
		defer mu.Unlock()
		starts++
		if trouble && starts <= ends {
			return plan{quickEnd, how}
		}
		return plan{}
	}
	xs := c.newExecutors("planner", 8, 100, behave)
	q := queue{"r-cpihhac", "/lohu930/", "planner", 4}
	if err := bootAll(xs); err != nil {
		return err
	}
	if err := c.replaceConfig(manifest(1, []string{"planner"}, []queue{q}, 0)); err != nil {
		return err
	}
	time.Sleep(3 * time.Second)
	const id = "5c0e7a21d94b36f8"
	job := map[string]any{"spec": "lasts", "steps": []any{
		map[string]any{"count": 1, "cpu": 500, "mem_mb": 256, "estimate_ms": 900, "long_running": true}}}
	if err := c.submit(q, id, job); err != nil {
		return err
	}
	idle := time.Now()
	for deadline := time.Now().Add(40 * time.Second); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		active := 0
		for _, x := range xs {
			active += x.running()
		}
		if active > 0 {
			idle = time.Now()
		}
		if time.Since(idle) > restartBound {
			state := c.state(q, id)
			mu.Lock()
			defer mu.Unlock()
			return fmt.Errorf("%w (LOST): the task that lasts has not run for %v, after %d runs that ended %s; nobody has cancelled the job, all 8 executors are idle, and its state is %q",
				errBroken, restartBound, starts, how, state)
		}
	}
	mu.Lock()
	defer mu.Unlock()
	if starts == 0 {
		return fmt.Errorf("the task never started")
	}
	if s := c.state(q, id); s != "running" {
		return fmt.Errorf("%w (LOST): the job that lasts is shown as %q", errBroken, s)
	}
	return nil
}
