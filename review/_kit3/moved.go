package main

import (
	"fmt"
	"sync"
	"time"
)

// movedCase: a job waits, since no executor of its queue's service has the label that it requires.
// Then a manifest sends the queue to a service whose executors have it. The job must run there.
func movedCase(trouble bool) bool {
	c := newCell(5, 2)
	from, to := "huvo11a", "pool2"
	if !trouble {
		from = to // the queue has gone to the second service from the beginning
	}
	c.manifest(routeOptions{attempts: 4, routes: true, service: from})
	c.ready()
	var mu sync.Mutex
	began := map[string]time.Time{}
	prepare := func(e *executor) {
		if e.slot >= 6 {
			e.pool, e.label = to, "b"
		}
		e.work = func(string, int) (time.Duration, string) { return 2 * time.Second, "done" }
		e.begun = func(e *executor, b *call) {
			mu.Lock()
			defer mu.Unlock()
			if _, ok := began[b.Task[:16]]; !ok {
				began[b.Task[:16]] = time.Now()
			}
		}
	}
	startExecutors(c, 12, prepare)
	time.Sleep(4 * time.Second)
	job := func(lasting bool) map[string]any {
		return map[string]any{"spec": "x", "steps": []any{map[string]any{"count": 1, "cpu": 1000, "mem_mb": 500, "estimate_ms": 2000, "requires": "b", "long_running": lasting}}}
	}
	early, lasting, late := newID(), newID(), newID()
	if !c.submit(early, job(false)) || !c.submit(lasting, job(true)) {
		unable("not accepted")
	}
	time.Sleep(3 * time.Second)
	if trouble {
		c.manifest(routeOptions{attempts: 4, routes: true, service: to})
		rec.line("the queue goes to service %s now", to)
	}
	time.Sleep(4 * time.Second)
	if !c.submit(late, job(false)) {
		unable("not accepted")
	}
	rec.line("the traffic ends")
	time.Sleep(finishS * time.Second)
	held := true
	for _, j := range []struct{ name, id string }{{"accepted before the manifest", early}, {"that lasts, accepted before the manifest", lasting}, {"accepted after the manifest", late}} {
		state := c.state(j.id)
		mu.Lock()
		_, ran := began[j.id]
		mu.Unlock()
		rec.line("job %s %s: state %s, begun %v", j.id, j.name, state, ran)
		fmt.Printf("job %s: state %s, begun %v\n", j.name, state, ran)
		held = held && ran
	}
	return held
}
