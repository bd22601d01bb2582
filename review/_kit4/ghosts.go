package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"syscall"
	"time"
)

const (
	// maxLosses is how many leaders lose power, one after the other.
	maxLosses = 12
	// offFor is the time from a loss of power to the start of the process.
	offFor = 500 * time.Millisecond
	// settle is the time from a start of a process to the next load: catch_up_s.
	settle = 4 * time.Second
	// judgeAfter is the time after the last trouble from which a job has to run: finish_s.
	judgeAfter = 14 * time.Second
)

// leader returns the control process that leads, by its log, or nil.
func (c *cell) leader() *node {
	best, highest := (*node)(nil), 0
	for _, n := range c.nodes {
		data, err := os.ReadFile(filepath.Join(c.tmp, n.name+".log"))
		if err != nil || !n.core {
			continue
		}
		for _, m := range leads.FindAllSubmatch(data, -1) {
			if term, _ := strconv.Atoi(string(m[1])); term > highest {
				best, highest = n, term
			}
		}
	}
	return best
}

var leads = regexp.MustCompile(`msg="This process leads\." term=(\d+)`)

// playGhosts lets the leading control process lose power again and again, with work in between.
// Its connections stay open at the executors, which hold at most maxConns each.
func playGhosts(c *cell, trouble bool) (string, error) {
	load := func() {
		for range 3 {
			id := fmt.Sprintf("%016x", rand.Uint64())
			if err := c.submit(id, job("work_ms=400", 60)); err != nil {
				c.rec.add("%v", err)
			}
		}
		time.Sleep(700 * time.Millisecond)
	}
	for range maxLosses {
		load()
		n := c.leader()
		if n == nil {
			time.Sleep(time.Second)
			n = c.leader()
		}
		full := 0
		for _, e := range c.executors {
			open, ghosts, refused := e.conns.counts()
			c.rec.add("%s: %d connections open, %d of hosts that have lost power, %d refused so far", e.name, open, ghosts, refused)
			if ghosts >= maxConns {
				full++
			}
		}
		if n == nil || !trouble {
			time.Sleep(settle / 2)
			continue
		}
		if full == len(c.executors) {
			break
		}
		// The machine loses power: the executors are not told that its connections have ended.
		c.rec.add("%s loses power", n.name)
		for _, e := range c.executors {
			e.conns.powerLost(true)
		}
		c.signal(n, syscall.SIGKILL)
		time.Sleep(offFor)
		for _, e := range c.executors {
			e.conns.powerLost(false)
		}
		if err := c.start(n); err != nil {
			return "", err
		}
		time.Sleep(settle)
	}
	c.rec.add("the last loss of power is over")
	time.Sleep(judgeAfter)
	const id = "5c0e7a21d94b36f8"
	if err := c.submit(id, job("work_ms=400", 40)); err != nil {
		return "", err
	}
	state := c.waitState(id, 12*time.Second, "completed")
	open := c.unfinished(id)
	for _, e := range c.executors {
		o, ghosts, refused := e.conns.counts()
		c.rec.add("%s: %d connections open, %d of hosts that have lost power, %d refused so far", e.name, o, ghosts, refused)
	}
	if state == "completed" {
		return "", nil
	}
	return fmt.Sprintf("LOST: job %s was accepted %v after the last trouble, its 40 tasks of 0.4 s fit four times over, and 12 s later it is %q: %d of its tasks have not run", id, judgeAfter, state, open), nil
}

// unfinished returns how many of the 40 tasks of a job have not ended done.
func (c *cell) unfinished(id string) int {
	done := map[string]bool{}
	for _, s := range c.eventsOf(id) {
		if s.how == "done" && strings.HasPrefix(s.r.task, id) {
			done[s.r.task] = true
		}
	}
	return 40 - len(done)
}
