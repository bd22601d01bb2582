package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

const (
	gangTimeout = 3 * time.Second
	// brokenAfter is how long the other members work on after one has ended.
	brokenAfter = 100 * time.Millisecond
)

// gangs lets the members of a gang work only together, as the platform does.
type gangs struct {
	mu      sync.Mutex
	count   int
	members map[string]map[string]*executor // by step and run, then by task
	whole   map[string]time.Time            // since when all members of a run are present
	broken  map[string]bool
}

func gangKey(task string, run int) string {
	return fmt.Sprintf("%s/%d", task[:strings.LastIndex(task, ".")], run)
}

// begun records that a member is present. Unless all are there in time, it ends alone.
func (g *gangs) begun(e *executor, b *call) {
	g.mu.Lock()
	defer g.mu.Unlock()
	key := gangKey(b.Task, b.Run)
	if g.members[key] == nil {
		g.members[key] = map[string]*executor{}
	}
	g.members[key][b.Task] = e
	if len(g.members[key]) == g.count {
		g.whole[key] = time.Now()
		rec.line("gang %s works", key)
	}
	task, run := b.Task, b.Run
	time.AfterFunc(gangTimeout, func() {
		g.mu.Lock()
		_, whole := g.whole[key]
		g.mu.Unlock()
		if !whole {
			e.end(task, run, "alone")
		}
	})
}

// over ends the other members of a run after one has ended.
func (g *gangs) over(e *executor, task string, run int, how string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	key := gangKey(task, run)
	_, whole := g.whole[key]
	members := g.members[key]
	delete(members, task)
	if !whole || g.broken[key] {
		return
	}
	g.broken[key] = true
	rec.line("gang %s works no longer", key)
	for other, x := range members {
		time.AfterFunc(brokenAfter, func() { x.end(other, run, "broken") })
	}
}

// lastGangCase: an executor crashes that runs a member of a gang of tasks that last. Long after that
// no run may end alone.
func lastGangCase(trouble bool) bool {
	c := newCell(5, 2)
	c.manifest(routeOptions{attempts: 4, routes: true})
	c.ready()
	const members = 4
	g := &gangs{count: members, members: map[string]map[string]*executor{}, whole: map[string]time.Time{}, broken: map[string]bool{}}
	var mu sync.Mutex
	on := map[string]*executor{}
	alone := []time.Time{}
	execs := startExecutors(c, 8, func(e *executor) {
		e.work = func(string, int) (time.Duration, string) { return time.Hour, "failed" }
		e.begun = func(e *executor, b *call) {
			mu.Lock()
			on[b.Task] = e
			mu.Unlock()
			g.begun(e, b)
		}
		e.over = func(e *executor, task string, run int, how string) {
			mu.Lock()
			if how == "alone" {
				alone = append(alone, time.Now())
			}
			mu.Unlock()
			g.over(e, task, run, how)
		}
	})
	time.Sleep(4 * time.Second)
	id := newID()
	if !c.submit(id, map[string]any{"spec": "x", "steps": []any{map[string]any{"count": members, "cpu": 5000, "mem_mb": 500, "estimate_ms": 1000, "gang": true, "long_running": true, "anti_affinity": 1}}}) {
		unable("not accepted")
	}
	time.Sleep(8 * time.Second)
	mu.Lock()
	victim := on[id+".0.0.0"]
	mu.Unlock()
	if victim == nil {
		unable("the gang hasn't begun")
	}
	crashedAt := time.Now()
	if trouble {
		victim.crash()
		time.AfterFunc(4*time.Second, func() { victim.startBoot(newID()) })
	}
	time.Sleep(40 * time.Second)
	mu.Lock()
	late := 0
	for _, at := range alone {
		if at.Sub(crashedAt) > 15*time.Second {
			late++
		}
	}
	total := len(alone)
	mu.Unlock()
	g.mu.Lock()
	working := false
	for key := range g.whole {
		working = working || !g.broken[key]
	}
	g.mu.Unlock()
	_ = execs
	fmt.Printf("%d runs ended alone, %d of them later than 15 s after the crash; the gang works at the end: %v\n", total, late, working)
	rec.line("%d runs ended alone, %d of them later than 15 s after the crash; the gang works at the end: %v", total, late, working)
	return late == 0 && working
}
