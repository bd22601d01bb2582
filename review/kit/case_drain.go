package main

import (
	"fmt"
	"sync"
	"time"
)

func init() { cases["drain-delayed"] = drainDelayed }

// drainDelayed plays short jobs all the time. One executor drains; with trouble it is then
// cut off for 5.5 s, and a report that it had sent while it was ready, and that the network
// had held up, arrives when the cut has ended.
func drainDelayed(c *cell, trouble bool) error {
	const drainTime = 2500 * time.Millisecond
	var mu sync.Mutex
	var acked time.Time
	late, starts := "", 0
	behave := func(string, int, string) plan { return plan{500 * time.Millisecond, "done"} }
	xs := c.newExecutors("planner", 4, 100, behave)
	x0 := xs[0]
	for _, x := range xs {
		x.onStart = func(x *executor, task string, number int, _ string) {
			mu.Lock()
			defer mu.Unlock()
			starts++
			if x == x0 && !acked.IsZero() && time.Since(acked) > drainTime && late == "" {
				late = fmt.Sprintf("run %d of %s began on %s, %.1f s after it was acknowledged that this executor is draining", number, task, x.id, time.Since(acked).Seconds())
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
	stop := make(chan struct{})
	defer close(stop)
	go func() {
		for i := 0; ; i++ {
			job := map[string]any{"spec": "leg", "steps": []any{map[string]any{"count": 20, "cpu": 2000, "mem_mb": 256, "estimate_ms": 500}}}
			_ = c.submit(q, fmt.Sprintf("%016x", 0x5c0e7a2100000000+i), job)
			select {
			case <-stop:
				return
			case <-time.After(300 * time.Millisecond):
			}
		}
	}()
	time.Sleep(3 * time.Second)
	held, sequence, _ := x0.nextReport() // sent while ready; the network holds it up
	c.rec.add(x0.id, "report %d (ready) is sent, and held up on its way", sequence)
	if !x0.drain() {
		return fmt.Errorf("the drain was not acknowledged")
	}
	mu.Lock()
	acked = time.Now()
	mu.Unlock()
	if trouble {
		time.Sleep(200 * time.Millisecond)
		x0.setCut(true)
		time.Sleep(5500 * time.Millisecond)
		x0.setCut(false)
		for _, to := range c.controls() {
			status := x0.postBeat(to, held)
			c.rec.add(x0.id, "report %d (ready) arrives: %d", sequence, status)
			if status == 200 {
				break
			}
		}
	}
	time.Sleep(8 * time.Second)
	mu.Lock()
	defer mu.Unlock()
	if late != "" {
		return fmt.Errorf("%w (DRAIN): %s", errBroken, late)
	}
	if starts == 0 {
		return fmt.Errorf("nothing has started")
	}
	return nil
}
