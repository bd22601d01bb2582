package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

func init() {
	cases["route-returns"] = routeReturns
	withAdvice["route-returns"] = true
}

// routeReturns plays a job of two steps on a queue that needs tickets. With trouble, the
// operator removes the route of the queue while the first step runs, and adds it again 5 s
// later.
func routeReturns(c *cell, trouble bool) error {
	var mu sync.Mutex
	begun := 0 // runs of the second step
	behave := func(task string, _ int, _ string) plan {
		if strings.Contains(task, ".0.0.") {
			return plan{4 * time.Second, "done"}
		}
		return plan{time.Second, "done"}
	}
	xs := c.newExecutors("planner", 8, 100, behave)
	for _, x := range xs {
		x.tickets = true
		x.onStart = func(_ *executor, task string, _ int, _ string) {
			mu.Lock()
			defer mu.Unlock()
			if strings.Contains(task, ".0.1.") {
				begun++
			}
		}
	}
	if err := bootAll(xs); err != nil {
		return err
	}
	q, b := queue{"r-cpihhac", "/lohu930/", "planner", 4}, queue{"r-ruddede", "/pufi791/", "planner", 4}
	withTickets := func(version int, queues ...queue) map[string]any {
		m := manifest(version, []string{"planner"}, queues, 0)
		for _, r := range m["routes"].([]any) {
			r.(map[string]any)["advice"] = map[string]any{"decide_ms": 20.0, "each_ms": 0.0, "valid_ms": ticketValid.Milliseconds()}
		}
		return m
	}
	if err := c.replaceConfig(withTickets(1, q, b)); err != nil {
		return err
	}
	time.Sleep(3 * time.Second)
	const id = "5c0e7a21d94b36f8"
	job := map[string]any{"spec": "timber", "steps": []any{
		map[string]any{"count": 2, "cpu": 500, "mem_mb": 256, "estimate_ms": 4000},
		map[string]any{"count": 4, "cpu": 2000, "mem_mb": 1024, "estimate_ms": 1000, "after": []int{0}}}}
	if err := c.submit(q, id, job); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	if trouble {
		if err := c.replaceConfig(withTickets(3, b)); err != nil {
			return err
		}
	}
	time.Sleep(5 * time.Second)
	if trouble {
		if err := c.replaceConfig(withTickets(7, q, b)); err != nil {
			return err
		}
	}
	time.Sleep(finishTime + idleTime)
	mu.Lock()
	defer mu.Unlock()
	if s := c.state(q, id); s != "completed" {
		return fmt.Errorf("%w (LOST): %v after the route is back, %d tasks of the second step have begun, with all executors idle; the job is shown as %q", errBroken, finishTime+idleTime, begun, s)
	}
	return nil
}
