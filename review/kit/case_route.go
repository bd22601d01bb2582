package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

func init() { cases["route-removed"] = routeRemoved }

// routeRemoved plays a job of two steps on a queue of service planner. With trouble, the
// operator removes the route of the queue while the first step runs.
func routeRemoved(c *cell, trouble bool) error {
	var mu sync.Mutex
	var first sync.Once
	started := make(chan struct{})
	foreign, second := "", 0
	behave := func(task string, _ int, _ string) plan {
		if strings.Contains(task, ".0.0.") {
			return plan{4 * time.Second, "done"}
		}
		return plan{time.Second, "done"}
	}
	onStart := func(x *executor, task string, number int, _ string) {
		first.Do(func() { close(started) })
		mu.Lock()
		defer mu.Unlock()
		if strings.Contains(task, ".0.1.") {
			second++
		}
		if x.service != "planner" {
			foreign = fmt.Sprintf("run %d of %s began on %s of service %s", number, task, x.id, x.service)
		}
	}
	planner := c.newExecutors("planner", 4, 100, behave)
	other := c.newExecutors("billing", 4, 120, behave)
	for _, x := range append(planner, other...) {
		x.onStart = onStart
	}
	if err := bootAll(append(planner, other...)); err != nil {
		return err
	}
	services := []string{"planner", "billing"}
	q, b := queue{"r-cpihhac", "/lohu930/", "planner", 4}, queue{"r-ruddede", "/pufi791/", "billing", 4}
	if err := c.replaceConfig(manifest(1, services, []queue{q, b}, 0)); err != nil {
		return err
	}
	time.Sleep(3 * time.Second)
	const id = "5c0e7a21d94b36f8"
	job := map[string]any{"spec": "timber", "steps": []any{
		map[string]any{"count": 2, "cpu": 500, "mem_mb": 256, "estimate_ms": 4000},
		map[string]any{"count": 12, "cpu": 2000, "mem_mb": 1024, "estimate_ms": 1000, "after": []int{0}}}}
	if err := c.submit(q, id, job); err != nil {
		return err
	}
	select {
	case <-started:
	case <-time.After(15 * time.Second):
		return fmt.Errorf("the first step did not start")
	}
	if trouble {
		if err := c.replaceConfig(manifest(3, services, []queue{b}, 0)); err != nil {
			return err
		}
	}
	time.Sleep(20 * time.Second)
	mu.Lock()
	defer mu.Unlock()
	if foreign != "" {
		return fmt.Errorf("%w (ROUTE): %s; no manifest sends the queue to that service", errBroken, foreign)
	}
	if second == 0 {
		return fmt.Errorf("%w (LOST): no task of the second step has started", errBroken)
	}
	return nil
}
