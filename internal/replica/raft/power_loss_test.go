package raft

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// losePower crashes all nodes. The given number of them, those with the longest logs, also lose
// their disks and start under new identities.
func (s *sim) losePower(lostDisks int) {
	for _, n := range s.nodes {
		s.crash(n)
	}
	order := slices.Clone(s.nodes)
	slices.SortStableFunc(order, func(a, b *simNode) int {
		return cmp.Or(cmp.Compare(b.disk.lastTerm(), a.disk.lastTerm()), cmp.Compare(b.disk.last(), a.disk.last()))
	})
	for i, n := range order {
		if i < lostDisks {
			s.nextID++
			n.id, n.disk = s.nextID, simDisk{}
		}
		s.restart(n)
	}
}

func (d *simDisk) lastTerm() uint64 {
	if len(d.entries) == 0 {
		return d.start.Term
	}
	return d.entries[len(d.entries)-1].Term
}

// repairOne takes one step in which a leader replaces a lost member by a node that is none.
func (s *sim) repairOne() {
	n := s.leader(s.nodes[0])
	if n.down || n.frozen > 0 || n.core.Role() != Leader {
		return
	}
	config := n.core.Config()
	for _, m := range s.nodes {
		p, member := config.Find(m.id)
		switch {
		case !member:
			_ = n.core.AddLearner(m.id, "new")
		case !p.Voter:
			_ = n.core.Promote(m.id)
		default:
			continue
		}
		s.processReady(n)
		return
	}
	for _, p := range config.Peers {
		if s.find(p.ID) == nil {
			_ = n.core.Remove(p.ID)
			s.processReady(n)
			return
		}
	}
}

// bearable returns how many voters may lose their disks before the group has no quorum, as far
// as a leader knows.
func (s *sim) bearable() int {
	n := s.leader(s.nodes[0])
	if n.down || n.core.Role() != Leader || n.core.ChangePending() {
		return 0
	}
	config := n.core.Config()
	alive := 0
	for _, p := range config.Peers {
		if p.Voter && s.find(p.ID) != nil {
			alive++
		}
	}
	return max(0, alive-config.Quorum())
}

func TestInvariantsUnderPowerLossWithLostDisks(t *testing.T) {
	committed, losses, disks := 0, 0, 0
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		rng := rand.New(rand.NewPCG(seed, 0))
		size := rapid.SampledFrom([]int{3, 5}).Draw(t, "size")
		s := newSim(size, smallLimits, rng.IntN)
		s.keepDisks = true // but for those that are lost with the power
		for range 6 {
			before := len(s.committed)
			for range 300 + rng.IntN(100) {
				if err := s.run(10); err != nil {
					t.Fatalf("seed %d, size %d: %v", seed, size, err)
				}
				s.repairOne()
			}
			committed += len(s.committed) - before
			losses++
			lost := rng.IntN(min(2, s.bearable()) + 1)
			disks += lost
			s.losePower(lost)
		}
	})
	t.Logf("%d entries committed between %d losses of power with %d disks", committed, losses, disks)
	assert.Assert(t, committed > losses && disks > 0)
}
