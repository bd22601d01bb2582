package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

func init() { cases["gang-starves"] = gangStarves }

// gangStarves plays a job that lasts and small jobs of one tenant. With trouble, the tenant
// also hands in a gang for which its maximum leaves no room beside the job that lasts.
func gangStarves(c *cell, trouble bool) error {
	const (
		maximum  = 40_000 // thousandths of a core
		lastsCPU = 10_000
		members  = 5
		gangCPU  = 7_000
		smallCPU = 1_000
	)
	var mu sync.Mutex
	begun := map[string]bool{}
	behave := func(task string, _ int, spec string) plan {
		if spec == "lasts" {
			return plan{}
		}
		return plan{500 * time.Millisecond, "done"}
	}
	xs := c.newExecutors("planner", 8, 100, behave)
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
	q := queue{"r-cpihhac", "/lohu930/", "planner", 4}
	b := queue{"r-v3nax7u", "/pule252/", "planner", 4}
	if err := c.replaceConfig(manifest(1, []string{"planner"}, []queue{q, b}, maximum)); err != nil {
		return err
	}
	time.Sleep(3 * time.Second)
	step := func(count, cpu, ms int, kind string) map[string]any {
		s := map[string]any{"count": count, "cpu": cpu, "mem_mb": 256, "estimate_ms": ms}
		if kind != "" {
			s[kind] = true
		}
		return s
	}
	submit := func(q queue, id, spec string, s map[string]any) error {
		return c.submit(q, id, map[string]any{"spec": spec, "steps": []any{s}})
	}
	if err := submit(q, "1c0e7a21d94b36f8", "lasts", step(1, lastsCPU, 1000, "long_running")); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	if trouble {
		if err := submit(q, "2c0e7a21d94b36f8", "gang", step(members, gangCPU, 1000, "gang")); err != nil {
			return err
		}
	}
	// The gang is long overdue when the small jobs come.
	time.Sleep(34 * time.Second)
	var small []string
	for i := range 20 {
		id := fmt.Sprintf("%016x", 0x3c0e7a2100000000+i)
		if err := submit(b, id, "small", step(1, smallCPU, 500, "")); err != nil {
			return err
		}
		small = append(small, id)
		time.Sleep(250 * time.Millisecond)
	}
	waiting := jobsWaitingAtEnd(small, func(id string) bool {
		mu.Lock()
		defer mu.Unlock()
		return begun[id]
	})
	c.rec.add("judge", "%d of %d small jobs have not begun", len(waiting), len(small))
	if len(waiting) > 0 {
		return fmt.Errorf("%w (LOST): %d of %d jobs of one task of %d thousandths of a core had nothing running %v to %v after the end of the traffic, with %d of the tenant's %d and %d of 128000 in use; job %s is shown as %q",
			errBroken, len(waiting), len(small), smallCPU, finishTime, finishTime+idleTime, lastsCPU, maximum, lastsCPU, waiting[0], c.state(b, waiting[0]))
	}
	return nil
}

const (
	// finishTime is the time after the end of the traffic at which jobs are asked for
	// (finish_s), and idleTime how long one may have nothing running then.
	finishTime = 14 * time.Second
	idleTime   = 3 * time.Second
)

// jobsWaitingAtEnd waits until finishTime and idleTime have passed after the end of the
// traffic, and returns the jobs that have not begun by then.
func jobsWaitingAtEnd(jobs []string, begun func(string) bool) []string {
	time.Sleep(finishTime + idleTime)
	var out []string
	for _, id := range jobs {
		if !begun(id) {
			out = append(out, id)
		}
	}
	return out
}
