package main

import (
	"fmt"
	"sync"
	"time"
)

func init() { cases["cut-reborn"] = cutReborn }

// cutReborn plays a cell of 16 executors of which two have room, and a job of one task. With
// trouble, both are cut off, one after the other, crash behind the cut and start again. The
// job is handed in during the first cut, so that its start never reaches an executor.
func cutReborn(c *cell, trouble bool) error {
	const (
		executors = 16
		jobCPU    = 10_000
		fillCPU   = 15_000
	)
	const id, probe = "5c0e7a21d94b36f8", "4c0e7a21d94b36f8"
	var mu sync.Mutex
	begunOn := map[string]*executor{} // the first executor, by spec
	begun := 0                        // runs of the job
	behave := func(_ string, _ int, spec string) plan {
		if spec == "fill" {
			return plan{100 * time.Second, "done"}
		}
		if spec == "hold" {
			return plan{3500 * time.Millisecond, "done"}
		}
		return plan{300 * time.Millisecond, "done"}
	}
	xs := c.newExecutors("planner", executors, 100, behave)
	for _, x := range xs {
		x.onStart = func(x *executor, _ string, _ int, spec string) {
			mu.Lock()
			defer mu.Unlock()
			if begunOn[spec] == nil {
				begunOn[spec] = x
			}
			if spec == "job" {
				begun++
			}
		}
	}
	if err := bootAll(xs); err != nil {
		return err
	}
	q := queue{"r-cpihhac", "/lohu930/", "planner", 4}
	if err := c.replaceConfig(manifest(1, []string{"planner"}, []queue{q}, 0)); err != nil {
		return err
	}
	time.Sleep(3 * time.Second)
	job := func(spec string, count, cpu, ms int) map[string]any {
		return map[string]any{"spec": spec, "steps": []any{map[string]any{"count": count, "cpu": cpu, "mem_mb": 256, "estimate_ms": ms}}}
	}
	if err := c.submit(q, "3c0e7a21d94b36f8", job("fill", executors-2, fillCPU, 100000)); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	// A first job shows which of the two executors with room is chosen.
	if err := c.submit(q, probe, job("probe", 1, jobCPU, 300)); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	mu.Lock()
	a := begunOn["probe"]
	mu.Unlock()
	var b *executor
	for _, x := range xs {
		if x.running() == 0 && x != a {
			b = x
		}
	}
	if a == nil || b == nil {
		return fmt.Errorf("the cell was not filled as planned")
	}
	reborn := func(x *executor) error {
		x.crash()
		time.Sleep(500 * time.Millisecond)
		return x.boot()
	}
	// A short job fills the first one, so that the job can only go to the second.
	if err := c.submit(q, "2c0e7a21d94b36f8", job("hold", 1, fillCPU, 4000)); err != nil {
		return err
	}
	time.Sleep(300 * time.Millisecond)
	if trouble {
		b.setCut(true)
		time.Sleep(200 * time.Millisecond)
	}
	if err := c.submit(q, id, job("job", 1, jobCPU, 300)); err != nil {
		return err
	}
	if trouble {
		time.Sleep(500 * time.Millisecond)
		if err := reborn(b); err != nil {
			return err
		}
		time.Sleep(2700 * time.Millisecond)
		a.setCut(true)
		time.Sleep(500 * time.Millisecond)
		b.setCut(false)
		b.beatNow()
		time.Sleep(1500 * time.Millisecond)
		if err := reborn(a); err != nil {
			return err
		}
		time.Sleep(1500 * time.Millisecond)
		a.setCut(false)
		a.beatNow()
	}
	for deadline := time.Now().Add(30 * time.Second); time.Now().Before(deadline); time.Sleep(500 * time.Millisecond) {
		switch s := c.state(q, id); s {
		case "failed", "cancelled", "410":
			mu.Lock()
			defer mu.Unlock()
			return fmt.Errorf("%w (LOST): the job is shown as %q; nobody has cancelled it, and %d runs of its task have begun anywhere", errBroken, s, begun)
		case "completed":
			return nil
		}
	}
	return fmt.Errorf("%w (LOST): the job has not ended", errBroken)
}
