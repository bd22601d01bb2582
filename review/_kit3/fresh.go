package main

import (
	"fmt"
	"sync"
	"time"
)

// freshJobs is the number of jobs that are handed in at once.
const freshJobs = 60

// freshCase: one of eight executors crashes a moment after it has begun the tasks of many small
// jobs. 14 s after the traffic has ended, no job may have nothing running.
func freshCase(trouble bool) bool {
	c := newCell(5, 2)
	c.manifest(routeOptions{attempts: 4, routes: true})
	c.ready()
	var mu sync.Mutex
	fresh := map[*executor]int{}
	running := map[string]int{}
	done := map[string]bool{}
	lastEnd := map[string]time.Time{}
	execs := startExecutors(c, 8, func(e *executor) {
		e.work = func(string, int) (time.Duration, string) {
			return 4 * time.Second, "done"
		}
		e.begun = func(e *executor, b *call) {
			mu.Lock()
			defer mu.Unlock()
			fresh[e]++
			running[b.Task[:16]]++
		}
		e.over = func(e *executor, task string, _ int, how string) {
			mu.Lock()
			defer mu.Unlock()
			running[task[:16]]--
			lastEnd[task[:16]] = time.Now()
			if how == "done" {
				done[task[:16]] = true
			}
		}
	})
	time.Sleep(4 * time.Second)
	var ids []string
	var wg sync.WaitGroup
	for range freshJobs {
		id := newID()
		ids = append(ids, id)
		wg.Add(1)
		go func() {
			defer wg.Done()
			if !c.submit(id, map[string]any{"spec": "x", "steps": []any{map[string]any{"count": 1, "cpu": 250, "mem_mb": 100, "estimate_ms": 4000}}}) {
				unable("not accepted")
			}
		}()
	}
	wg.Wait()
	accepted := time.Now()
	time.Sleep(600 * time.Millisecond)
	mu.Lock()
	victim := execs[0]
	for e, k := range fresh {
		rec.line("%s has begun %d tasks", e.id, k)
		if k > fresh[victim] {
			victim = e
		}
	}
	mu.Unlock()
	if trouble {
		victim.crash()
		time.AfterFunc(2*time.Second, func() { victim.startBoot(newID()) })
	}
	worst := 0
	for time.Since(accepted) < 50*time.Second {
		time.Sleep(2 * time.Second)
		mu.Lock()
		waiting, run, ended := 0, 0, len(done)
		for _, id := range ids {
			if !done[id] && running[id] == 0 && time.Since(lastEnd[id]) > 3*time.Second {
				waiting++
			}
			run += running[id]
		}
		rec.line("%v after the traffic: %d jobs have had nothing running for 3 s, %d tasks run", time.Since(accepted).Round(time.Second), waiting, run)
		mu.Unlock()
		if time.Since(accepted) > finishS*time.Second {
			worst = max(worst, waiting)
		}
		if ended == freshJobs {
			break
		}
	}
	fmt.Printf("at most %d jobs had nothing running later than %d s after the traffic\n", worst, finishS)
	return worst == 0
}
