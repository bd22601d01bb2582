package main

import (
	"fmt"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

func main() {
	if len(os.Args) < 3 {
		fmt.Fprintln(os.Stderr, "usage: kit3 CASE RECORD")
		os.Exit(2)
	}
	rec = newRecorder(os.Args[2])
	trouble := os.Getenv("TROUBLE") != "0"
	cases := map[string]func(bool) bool{"crash": crashCase, "moved": movedCase, "grey": greyCase, "fresh": freshCase, "lastgang": lastGangCase}
	fn := cases[os.Args[1]]
	if fn == nil {
		fmt.Fprintln(os.Stderr, "no such case")
		os.Exit(2)
	}
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-interrupted
		unable("the case was interrupted")
	}()
	time.AfterFunc(110*time.Second, func() { unable("the case took too long") })
	held := fn(trouble)
	theCell.stop()
	if !held {
		fmt.Println("the rule was broken")
		rec.line("the rule was broken")
		os.Exit(1)
	}
	fmt.Println("the rule held")
	rec.line("the rule held")
}

func startExecutors(c *cell, n int, prepare func(*executor)) []*executor {
	var out []*executor
	for i := range n {
		e := newExecutor(c, i)
		if prepare != nil {
			prepare(e)
		}
		e.startBoot(fmt.Sprintf("i-%08x", time.Now().UnixNano()&0xffffff*256+int64(i)))
		out = append(out, e)
	}
	return out
}

// crashCase: executors crash, one at a time, each a moment after it has begun a task of one job.
func crashCase(trouble bool) bool {
	c := newCell(5, 2)
	c.manifest(routeOptions{attempts: 4, routes: true})
	c.ready()
	victim := newID()
	var mu sync.Mutex
	crashes := 0
	var failedEnds int
	execs := startExecutors(c, 8, func(e *executor) {
		e.work = func(task string, n int) (time.Duration, string) {
			if task[:16] == victim {
				return 4 * time.Second, "done"
			}
			return time.Second, "done"
		}
		e.ended = func(task string, n int, how string) {
			if task[:16] == victim && how == "failed" {
				mu.Lock()
				failedEnds++
				mu.Unlock()
			}
		}
		e.started = func(e *executor, task string, n int) {
			if task[:16] != victim || !trouble {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			if crashes >= 3 {
				return
			}
			crashes++
			time.AfterFunc(500*time.Millisecond, func() {
				e.crash()
				time.AfterFunc(2*time.Second, func() { e.startBoot(newID()) })
			})
		}
	})
	_ = execs
	time.Sleep(3 * time.Second)
	stop := make(chan struct{})
	go func() { // light load beside it
		for {
			select {
			case <-stop:
				return
			case <-time.After(250 * time.Millisecond):
				go c.submit(newID(), map[string]any{"spec": "x", "steps": []any{map[string]any{"count": 2, "cpu": 1400, "mem_mb": 2600, "estimate_ms": 1000}}})
			}
		}
	}()
	time.Sleep(3 * time.Second)
	if !c.submit(victim, map[string]any{"spec": "victim", "steps": []any{map[string]any{"count": 1, "cpu": 4500, "mem_mb": 8000, "estimate_ms": 4000}}}) {
		unable("the job wasn't accepted")
	}
	end := time.Now().Add(60 * time.Second)
	last := ""
	for time.Now().Before(end) {
		s := c.state(victim)
		if s != last {
			rec.line("GET %s -> %s", victim, s)
			last = s
		}
		if s == "completed" || s == "failed" || s == "cancelled" || s == "gone" {
			break
		}
		time.Sleep(300 * time.Millisecond)
	}
	close(stop)
	mu.Lock()
	defer mu.Unlock()
	rec.line("job %s: last state %s; %d executors crashed under it, %d of its runs ended failed", victim, last, crashes, failedEnds)
	fmt.Printf("job: last state %s; %d executors crashed under it, %d of its runs ended failed\n", last, crashes, failedEnds)
	return last == "completed"
}
