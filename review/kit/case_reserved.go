package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

func init() { cases["quota-reserved"] = quotaReserved }

// quotaReserved plays two tenants. The first fills the cell for a while; the second hands in
// a gang that needs most of it, and waits. With trouble, the operator lowers the maximum of
// the second tenant below the size of the gang. Then the first tenant's work ends, and it
// goes on with small jobs.
func quotaReserved(c *cell, trouble bool) error {
	const (
		executors = 8
		fillTime  = 40 * time.Second
		gangCPU   = 15_000
		high      = 256_000 // maximum of a tenant, in thousandths of a core
		low       = 30_000
	)
	var mu sync.Mutex
	begun := map[string]bool{}
	behave := func(_ string, _ int, spec string) plan {
		if spec == "fill" {
			return plan{fillTime, "done"}
		}
		return plan{500 * time.Millisecond, "done"}
	}
	xs := c.newExecutors("planner", executors, 100, behave)
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
	first, second := tenant{tenantName, tenantKey, high}, tenant{"sehu820", "3fexd9dnn2ctnfzs989a", high}
	if err := c.replaceConfig(manifestOf(1, []string{"planner"}, []queue{q}, []tenant{first, second})); err != nil {
		return err
	}
	time.Sleep(3 * time.Second)
	job := func(spec string, count, cpu, ms int, gang bool) map[string]any {
		s := map[string]any{"count": count, "cpu": cpu, "mem_mb": 256, "estimate_ms": ms}
		if gang {
			s["gang"] = true
		}
		return map[string]any{"spec": spec, "steps": []any{s}}
	}
	began := time.Now()
	if err := c.submit(q, "1c0e7a21d94b36f8", job("fill", executors*16, 1000, 40000, false)); err != nil {
		return err
	}
	time.Sleep(time.Second)
	if err := c.submitAs(second.key, q, "2c0e7a21d94b36f8", job("gang", executors, gangCPU, 500, true)); err != nil {
		return err
	}
	time.Sleep(6*time.Second - time.Since(began))
	idle := queue{"r-v3nax7u", "/pule252/", "planner", 4}
	if err := c.replaceConfig(manifestOf(2, []string{"planner"}, []queue{q, idle}, []tenant{first, second})); err != nil {
		return err
	}
	time.Sleep(fillTime - 4*time.Second - time.Since(began))
	if trouble {
		second.maximumCPU = low
		if err := c.replaceConfig(manifestOf(3, []string{"planner"}, []queue{q, idle}, []tenant{first, second})); err != nil {
			return err
		}
	}
	time.Sleep(fillTime + 4*time.Second - time.Since(began))
	n := 0
	for _, x := range xs {
		n += x.running()
	}
	c.rec.add("judge", "%d runs are active", n)
	var small []string
	for i := range 10 {
		id := fmt.Sprintf("%016x", 0x3c0e7a2100000000+i)
		if err := c.submit(q, id, job("small", 1, 1000, 500, false)); err != nil {
			return err
		}
		small = append(small, id)
		time.Sleep(500 * time.Millisecond)
	}
	waiting := jobsWaitingAtEnd(small, func(id string) bool {
		mu.Lock()
		defer mu.Unlock()
		return begun[id]
	})
	c.rec.add("judge", "%d of %d small jobs have not begun", len(waiting), len(small))
	if len(waiting) > 0 {
		return fmt.Errorf("%w (LOST): %d of %d jobs of one task of one core had nothing running %v to %v after the end of the traffic, with all %d executors of 16 cores idle and a maximum of 256 cores for their tenant; job %s is shown as %q",
			errBroken, len(waiting), len(small), finishTime, finishTime+idleTime, executors, waiting[0], c.state(q, waiting[0]))
	}
	return nil
}
