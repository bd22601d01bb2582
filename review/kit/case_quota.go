package main

import (
	"fmt"
	"sync"
	"time"
)

func init() { cases["quota-lowered"] = quotaLowered }

// quotaLowered plays two jobs of one tenant. With trouble, one executor is cut off for 5 s as
// the second job comes, and the operator lowers the tenant's maximum meanwhile.
func quotaLowered(c *cell, trouble bool) error {
	const (
		high, low = 100_000, 8_000 // thousandths of a core
		applyTime = 2500 * time.Millisecond
		cpu       = 1000
	)
	var mu sync.Mutex
	var acked time.Time
	late := ""
	behave := func(string, int, string) plan { return plan{60 * time.Second, "done"} }
	xs := c.newExecutors("planner", 8, 100, behave)
	running := func() int {
		n := 0
		for _, x := range xs {
			n += x.running()
		}
		return n
	}
	for _, x := range xs {
		x.onStart = func(x *executor, task string, number int, _ string) {
			mu.Lock()
			defer mu.Unlock()
			n := running()
			if !acked.IsZero() && time.Since(acked) > applyTime && n*cpu > low*11/10+cpu {
				late = fmt.Sprintf("run %d of %s began on %s %.1f s after the confirmation of the lower maximum, and brought the tenant to %d thousandths of a core", number, task, x.id, time.Since(acked).Seconds(), n*cpu)
			}
		}
	}
	if err := bootAll(xs); err != nil {
		return err
	}
	q := queue{"r-cpihhac", "/lohu930/", "planner", 4}
	if err := c.replaceConfig(manifest(1, []string{"planner"}, []queue{q}, high)); err != nil {
		return err
	}
	time.Sleep(3 * time.Second)
	job := func(count int) map[string]any {
		return map[string]any{"spec": "timber", "steps": []any{map[string]any{"count": count, "cpu": cpu, "mem_mb": 256, "estimate_ms": 60000}}}
	}
	if err := c.submit(q, "5c0e7a21d94b36f8", job(40)); err != nil {
		return err
	}
	time.Sleep(3 * time.Second)
	c.rec.add("judge", "%d runs are active", running())
	next := xs[0] // the fullest executor that has room: it is filled up first
	for _, x := range xs {
		if n := x.running(); n < 16 && (n > next.running() || next.running() == 16) {
			next = x
		}
	}
	if trouble {
		next.setCut(true)
	}
	if err := c.submit(q, "6c0e7a21d94b36f8", job(50)); err != nil {
		return err
	}
	time.Sleep(300 * time.Millisecond)
	if trouble {
		if err := c.replaceConfig(manifest(3, []string{"planner"}, []queue{q}, low)); err != nil {
			return err
		}
		mu.Lock()
		acked = time.Now()
		mu.Unlock()
		time.Sleep(4500 * time.Millisecond)
		next.setCut(false)
	}
	time.Sleep(12 * time.Second)
	mu.Lock()
	defer mu.Unlock()
	c.rec.add("judge", "%d runs are active", running())
	if late != "" {
		return fmt.Errorf("%w (QUOTA): %s; the maximum is %d", errBroken, late, low)
	}
	return nil
}
