package main

import (
	"fmt"
	"sync"
	"time"
)

const (
	greyFor   = 6500 * time.Millisecond // srv_grey of the site
	contactMS = 4000
	finishS   = 14
)

// greyCase: one of twelve executors, the only one with a label, fails all that it starts for 6.5 s.
// Then it is sound. A job that needs the label and is accepted after that must run, and so must a
// task that lasts.
func greyCase(trouble bool) bool {
	c := newCell(5, 2)
	c.manifest(routeOptions{attempts: 4, routes: true})
	c.ready()
	var mu sync.Mutex
	grey := false
	lasting, victim := newID(), newID()
	began := map[string]time.Time{} // last start of a run, by job
	ended := map[string]time.Time{} // last end of a run
	running := map[string]int{}
	var greyEnd time.Time
	execs := startExecutors(c, 12, func(e *executor) {
		if e.slot == 0 {
			e.label = "b"
		}
		e.work = func(task string, _ int) (time.Duration, string) {
			mu.Lock()
			defer mu.Unlock()
			switch {
			case grey && e.slot == 0:
				return 100 * time.Millisecond, "failed"
			case task[:16] == lasting:
				return time.Hour, "failed"
			}
			return time.Second, "done"
		}
		e.begun = func(e *executor, b *call) {
			mu.Lock()
			defer mu.Unlock()
			began[b.Task[:16]] = time.Now()
			running[b.Task[:16]]++
		}
		e.over = func(e *executor, task string, _ int, how string) {
			mu.Lock()
			defer mu.Unlock()
			ended[task[:16]] = time.Now()
			running[task[:16]]--
		}
	})
	time.Sleep(3 * time.Second)
	job := func(extra map[string]any) map[string]any {
		step := map[string]any{"count": 1, "cpu": 1000, "mem_mb": 500, "estimate_ms": 1000}
		for k, v := range extra {
			step[k] = v
		}
		return map[string]any{"spec": "x", "steps": []any{step}}
	}
	if !c.submit(lasting, job(map[string]any{"requires": "b", "long_running": true})) {
		unable("not accepted")
	}
	stop := make(chan struct{})
	go func() { // light traffic: jobs of any executor, and of the one with the label
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-time.After(300 * time.Millisecond):
				if i%2 == 0 {
					go c.submit(newID(), job(map[string]any{"requires": "b"}))
				} else {
					go c.submit(newID(), job(nil))
				}
			}
		}
	}()
	time.Sleep(8 * time.Second)
	if trouble {
		rec.line("%s begins to fail all that it starts", execs[0].id)
		mu.Lock()
		grey = true
		mu.Unlock()
	}
	// The task that lasts fails once, as it may at any time.
	execs[0].end(lasting+".0.0.0", runOf(execs[0], lasting+".0.0.0"), "failed")
	time.Sleep(greyFor)
	mu.Lock()
	grey = false
	greyEnd = time.Now()
	mu.Unlock()
	rec.line("%s is sound", execs[0].id)
	time.Sleep(contactMS * time.Millisecond)
	if !c.submit(victim, job(map[string]any{"requires": "b"})) {
		unable("not accepted")
	}
	accepted := time.Now()
	close(stop)
	rec.line("the traffic ends; job %s was accepted", victim)
	held := true
	var lastingAway time.Duration
	for time.Since(accepted) < finishS*time.Second {
		time.Sleep(100 * time.Millisecond)
		mu.Lock()
		calm := time.Since(greyEnd) > contactMS*time.Millisecond
		if calm && running[lasting] == 0 {
			from := ended[lasting].Add(6 * time.Second)
			if f := greyEnd.Add(contactMS * time.Millisecond); f.After(from) {
				from = f
			}
			lastingAway = max(lastingAway, time.Since(from))
		}
		mu.Unlock()
	}
	state := c.state(victim)
	mu.Lock()
	defer mu.Unlock()
	_, ran := began[victim]
	rec.line("job %s: state %s, begun %v, %v after it was accepted", victim, state, ran, time.Since(accepted).Round(time.Millisecond))
	fmt.Printf("job: state %s, begun %v; the task that lasts wasn't at work for %v of calm\n", state, ran, lastingAway.Round(time.Millisecond))
	rec.line("task %s.0.0.0 that lasts wasn't at work for %v of calm, from 6 s after its last run", lasting, lastingAway.Round(time.Millisecond))
	if !ran || lastingAway > 3*time.Second {
		held = false
	}
	return held
}

func runOf(e *executor, task string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	if r := e.active[task]; r != nil {
		return r.n
	}
	return -1
}
