package raft

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/filbertmast/filbertmast/internal/testseed"
)

// TestMain fixes the seed of the random tests, so that runs are reproducible.
func TestMain(m *testing.M) { testseed.Run(m) }

// smallLimits keeps almost nothing in memory, so that reads from disk are
// frequent.
var smallLimits = Options{MaxAppendBytes: 120, MaxInflightBytes: 400, MaxTailBytes: 100}

func TestInvariantsUnderRandomSchedules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		size := rapid.IntRange(1, 5).Draw(t, "size")
		s := newSim(size, smallLimits, rand.New(rand.NewPCG(seed, 0)).IntN)
		if err := s.run(3000); err != nil {
			t.Fatalf("seed %d, size %d: %v", seed, size, err)
		}
	})
}

func TestInvariantsUnderDrawnSchedules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSim(3, smallLimits, func(n int) int {
			return rapid.IntRange(0, n-1).Draw(t, "choice")
		})
		if err := s.run(200); err != nil {
			t.Fatal(err)
		}
	})
}

// findViolation runs up to max seeds and returns the first violation of an
// invariant, or nil.
func findViolation(t *testing.T, max, steps int, make func(seed uint64) *sim) error {
	t.Helper()
	for seed := range uint64(max) {
		s := make(seed)
		if err := s.run(steps); err != nil {
			t.Logf("seed %d: %v", seed, err)
			return err
		}
	}
	return nil
}

// Each row disables one protection. Some schedule must then violate an invariant,
// which shows that the other tests of invariants would detect the loss of that
// protection.
func TestMissingProtectionViolatesInvariant(t *testing.T) {
	rows := []struct {
		name   string
		unsafe unsafeOptions
		setup  func(*sim)
	}{
		{name: "votes and acknowledgements do not wait for the disk", unsafe: unsafeOptions{noPersistWait: true}},
		{name: "votes are granted despite recent contact with a leader", unsafe: unsafeOptions{noStickiness: true}},
		{name: "the lease outlives a transfer of leadership", unsafe: unsafeOptions{leaseDuringTransfer: true}},
		{name: "membership changes overlap", unsafe: unsafeOptions{overlappingChanges: true}},
		{name: "a lost disk returns under its old identity", setup: func(s *sim) { s.reuseIdentity = true }},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			err := findViolation(t, 3000, 3000, func(seed uint64) *sim {
				opts := smallLimits
				opts.unsafe = row.unsafe
				s := newSim(3+int(seed%3), opts, rand.New(rand.NewPCG(seed, 1)).IntN)
				if row.setup != nil {
					row.setup(s)
				}
				return s
			})
			assert.Assert(t, err != nil, "no schedule violated an invariant without the protection")
		})
	}
}

func checkHistory(seed uint64, stale bool) (porcupine.CheckResult, int) {
	s := newSim(3, smallLimits, rand.New(rand.NewPCG(seed, 2)).IntN)
	s.history = newHistory(stale)
	if err := s.run(2500); err != nil {
		return porcupine.Illegal, 0
	}
	ops := s.completedOps()
	return porcupine.CheckOperationsTimeout(registerModel, ops, time.Minute), len(ops)
}

func TestRegisterHistoriesAreLinearizable(t *testing.T) {
	total := 0
	for seed := range uint64(200) {
		result, n := checkHistory(seed, false)
		assert.Equal(t, result, porcupine.Ok, "seed %d", seed)
		total += n
	}
	t.Logf("%d operations", total)
	assert.Assert(t, total > 1000, "too few operations for a meaningful check: %d", total)
}

func TestReadsWithoutQuorumAreNotLinearizable(t *testing.T) {
	for seed := range uint64(300) {
		if result, _ := checkHistory(seed, true); result == porcupine.Illegal {
			t.Logf("seed %d", seed)
			return
		}
	}
	t.Fatal("all histories are linearizable although reads confirm no quorum")
}

// After any schedule without a lost disk, a group whose links and processes work
// again must elect a leader, commit a new entry and bring all replicas up to
// date.
func TestHealedGroupMakesProgress(t *testing.T) {
	for seed := range uint64(300) {
		rng := rand.New(rand.NewPCG(seed, 3))
		s := newSim(3+2*int(seed%2), smallLimits, rng.IntN)
		s.keepDisks = true
		assert.NilError(t, s.run(1500), "seed %d", seed)
		h := &script{sim: s, t: t}
		h.heal()
		leader := h.onlyLeader()
		assert.Assert(t, leader != nil, "seed %d: no leader", seed)
		assert.NilError(t, leader.core.Propose([][]byte{[]byte("new")}), "seed %d", seed)
		s.processReady(leader)
		h.heal()
		for _, p := range leader.core.Config().Peers {
			n := s.find(p.ID)
			assert.Assert(t, n.core.log.tailBytes <= n.core.log.maxTail, "replica %d keeps a tail over its limit", p.ID)
			got := n.core.Deliverable()
			assert.Equal(t, got, leader.core.Last().Index, "seed %d: replica %d", seed, p.ID)
		}
		assert.NilError(t, s.violation, "seed %d", seed)
	}
}
