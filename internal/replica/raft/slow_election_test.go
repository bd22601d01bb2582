package raft

import (
	"fmt"
	"math"
	"testing"

	"gotest.tools/v3/assert"
)

// slowGroup is a group in which each message and each write takes a number of ticks.
type slowGroup struct {
	messageTicks, writeTicks int
	fullDisk                 ID // a replica whose writes never end; None: none

	now      int
	cores    map[ID]*Core
	messages []slowMessage
	writes   []slowWrite
}

type slowMessage struct {
	due int
	Message
}

type slowWrite struct {
	due   int
	core  *Core
	ready Ready
}

func newSlowGroup(size int, seed uint64, messageTicks, writeTicks int) *slowGroup {
	g := &slowGroup{messageTicks: messageTicks, writeTicks: writeTicks, cores: map[ID]*Core{}}
	var peers []Peer
	for id := range ID(size) {
		peers = append(peers, Peer{ID: id + 1, Voter: true})
	}
	for _, p := range peers {
		c := New(Options{ID: p.ID, Seed: seed}, Restored{})
		c.Bootstrap(NewConfig(peers))
		c.Persisted(c.Ready().Mark)
		g.cores[p.ID] = c
	}
	return g
}

// tick advances the time by one tick and returns the leader, or nil.
func (g *slowGroup) tick() *Core {
	g.now++
	g.endWrites()
	for len(g.messages) > 0 && g.messages[0].due <= g.now {
		m := g.messages[0]
		g.messages = g.messages[1:]
		g.cores[m.To].Step(m.Message)
	}
	var leader *Core
	for id := range ID(len(g.cores)) {
		c := g.cores[id+1]
		c.Tick()
		r := c.Ready()
		g.send(r.Messages)
		g.write(c, r)
		if c.Role() == Leader {
			leader = c
		}
	}
	return leader
}

// write queues a batch behind the earlier ones of its replica.
func (g *slowGroup) write(c *Core, r Ready) {
	w := slowWrite{due: g.now, core: c, ready: r}
	for _, earlier := range g.writes {
		if earlier.core == c {
			w.due = max(w.due, earlier.due)
		}
	}
	if r.Writes() {
		w.due += g.writeTicks
	}
	if r.Writes() && c.ID() == g.fullDisk {
		w.due = math.MaxInt
	}
	g.writes = append(g.writes, w)
}

func (g *slowGroup) endWrites() {
	var left []slowWrite
	for _, w := range g.writes {
		if w.due > g.now {
			left = append(left, w)
			continue
		}
		g.send(w.ready.AfterPersist)
		w.core.Persisted(w.ready.Mark)
	}
	g.writes = left
}

func (g *slowGroup) send(msgs []Message) {
	for _, m := range msgs {
		g.messages = append(g.messages, slowMessage{due: g.now + g.messageTicks, Message: m})
	}
}

// A round of votes takes up to two election timeouts, and so longer than a candidate waits at first.
func TestSlowVotesElectLeader(t *testing.T) {
	const maxTicks = 20 * DefaultElectionTicks
	for _, row := range []struct{ size, messageTicks, writeTicks int }{{3, 1, 1}, {5, 1, 4}, {3, 3, 3}, {5, 3, 3}, {5, 4, 2}, {5, 4, 6}} {
		t.Run(fmt.Sprintf("%d replicas, %d ticks a message, %d a write", row.size, row.messageTicks, row.writeTicks), func(t *testing.T) {
			for seed := range uint64(200) {
				g := newSlowGroup(row.size, seed, row.messageTicks, row.writeTicks)
				for g.tick() == nil {
					assert.Assert(t, g.now < maxTicks, "seed %d", seed)
				}
			}
		})
	}
}

// The term of a candidate that cannot write counts for nobody else.
func TestCandidateWithFullDiskDoesNotPreventElection(t *testing.T) {
	const maxTicks = 20 * DefaultElectionTicks
	for _, size := range []int{3, 5} {
		for seed := range uint64(200) {
			g := newSlowGroup(size, seed, 1, 1)
			g.fullDisk = 1
			for g.tick() == nil {
				assert.Assert(t, g.now < maxTicks, "%d replicas, seed %d", size, seed)
			}
		}
	}
}
