package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

func init() { cases["probation"] = probation }

// probation plays jobs that need a label that one of 12 executors has. With trouble, that
// executor fails all that it starts for a while, and is sound again after that.
func probation(c *cell, trouble bool) error {
	var mu sync.Mutex
	const greyTime = 6 * time.Second
	begun := map[string]bool{}
	grey := trouble
	behave := func(string, int, string) plan {
		mu.Lock()
		defer mu.Unlock()
		if grey {
			return plan{500 * time.Millisecond, "failed"}
		}
		return plan{500 * time.Millisecond, "done"}
	}
	xs := c.newExecutors("planner", 12, 100, behave)
	xs[3].labels[0] = "b"
	for _, x := range xs {
		x.onStart = func(_ *executor, task string, _ int, _ string) {
			mu.Lock()
			defer mu.Unlock()
			begun[strings.SplitN(task, ".", 2)[0]] = true
		}
	}
	if err := bootAll(xs); err != nil {
		return err
	}
	q := queue{"r-cpihhac", "/lohu930/", "planner", 1}
	if err := c.replaceConfig(manifest(1, []string{"planner"}, []queue{q}, 0)); err != nil {
		return err
	}
	time.Sleep(3 * time.Second)
	submit := func(id string) error {
		return c.submit(q, id, map[string]any{"spec": "timber", "steps": []any{
			map[string]any{"count": 1, "cpu": 1000, "mem_mb": 256, "estimate_ms": 500, "requires": "b"}}})
	}
	for i := range 4 {
		if err := submit(fmt.Sprintf("%016x", 0x1c0e7a2100000000+i)); err != nil {
			return err
		}
	}
	time.Sleep(greyTime)
	mu.Lock()
	grey = false
	mu.Unlock()
	c.rec.add(xs[3].id, "is sound from now on")
	var good []string
	for i := range 20 {
		id := fmt.Sprintf("%016x", 0x3c0e7a2100000000+i)
		if err := submit(id); err != nil {
			return err
		}
		good = append(good, id)
		time.Sleep(200 * time.Millisecond)
	}
	time.Sleep(30 * time.Second)
	waiting := jobsWaitingAtEnd(good, func(id string) bool {
		mu.Lock()
		defer mu.Unlock()
		return begun[id]
	})
	c.rec.add("judge", "%d of %d jobs have not begun", len(waiting), len(good))
	if len(waiting) > 0 {
		return fmt.Errorf("%w (LOST): %d of %d jobs had nothing running %v after the end of the traffic, with the executor that they need idle; job %s is shown as %q",
			errBroken, len(waiting), len(good), 30*time.Second+finishTime+idleTime, waiting[0], c.state(q, waiting[0]))
	}
	return nil
}
