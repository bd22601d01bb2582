package raft

import (
	"math"

	"github.com/anishathalye/porcupine"
)

// history records reads and writes of one register.
type history struct {
	clock    int64
	writes   map[Position]int // writes not yet completed, by position in the log
	replaced map[int]bool     // writes whose entry was replaced by another, by index in ops
	ops      []porcupine.Operation
	clients  int
	stale    bool // reads do not confirm leadership with a quorum
}

type registerInput struct {
	write bool
	value string
}

type pendingRead struct {
	op    int
	seq   uint64
	index uint64
	term  uint64
}

var registerModel = porcupine.Model{
	Init: func() any { return "" },
	Step: func(state, input, output any) (bool, any) {
		in := input.(registerInput)
		if in.write {
			return true, in.value
		}
		return output.(string) == state.(string), state
	},
}

func newHistory(stale bool) *history {
	return &history{writes: map[Position]int{}, replaced: map[int]bool{}, stale: stale}
}

func (h *history) tick() int64 {
	h.clock++
	return h.clock
}

func (h *history) begin(in registerInput) int {
	h.clients++
	h.ops = append(h.ops, porcupine.Operation{
		ClientId: h.clients, Input: in, Call: h.tick(), Return: math.MaxInt64, Output: "",
	})
	return len(h.ops) - 1
}

// maxConcurrentWrites limits the concurrent writes, because the time of the
// linearizability check grows with concurrency.
const maxConcurrentWrites = 6

func (h *history) mayWrite() bool { return h == nil || len(h.writes) < maxConcurrentWrites }

func (h *history) beginWrite(at Position, value string) {
	h.writes[at] = h.begin(registerInput{write: true, value: value})
}

// completedOps returns the operations without reads that were never answered and
// writes that never entered the log. A write that did enter it, without a reply
// to its proposer, remains without a return time.
func (s *sim) completedOps() []porcupine.Operation {
	h := s.history
	for at, op := range h.writes {
		if at.Index > uint64(len(s.committed)) || positionOf(s.committed[at.Index-1]) != at {
			h.replaced[op] = true
		}
	}
	var out []porcupine.Operation
	for i, op := range h.ops {
		read := !op.Input.(registerInput).write
		if h.replaced[i] || read && op.Return == math.MaxInt64 {
			continue
		}
		out = append(out, op)
	}
	return out
}

// read starts a read at n: from its lease, or otherwise by confirming leadership
// with a quorum.
func (s *sim) read(n *simNode) {
	h := s.history
	if h == nil || n.down || n.frozen > 0 || n.core.Role() != Leader {
		return
	}
	op := h.begin(registerInput{})
	if h.stale || n.lease > s.now && n.core.Commit() >= n.core.TermStart() {
		n.pendingReads = append(n.pendingReads, pendingRead{op: op, index: n.core.Commit(), term: n.core.Term()})
	} else if seq, index, ok := n.core.ReadIndex(); ok {
		n.pendingReads = append(n.pendingReads, pendingRead{op: op, seq: seq, index: index, term: n.core.Term()})
	}
	s.processReady(n)
}

// finishReads completes the reads of n that may proceed and the writes that it
// has applied.
func (s *sim) finishReads(n *simNode) {
	h := s.history
	if h == nil {
		return
	}
	applied := n.core.Deliverable()
	s.finishWrites(applied)
	var kept []pendingRead
	for _, r := range n.pendingReads {
		if n.core.Role() != Leader || n.core.Term() != r.term {
			continue
		}
		if applied < r.index || n.core.QuorumSeq() < r.seq {
			kept = append(kept, r)
			continue
		}
		h.ops[r.op].Output = s.register(applied)
		h.ops[r.op].Return = h.tick()
	}
	n.pendingReads = kept
}

// finishWrites completes the writes up to the index applied, or marks them as
// replaced by another entry.
func (s *sim) finishWrites(applied uint64) {
	h := s.history
	now := h.tick()
	for at, op := range h.writes {
		if at.Index > applied {
			continue
		}
		if positionOf(s.committed[at.Index-1]) == at {
			h.ops[op].Return = now
		} else {
			h.replaced[op] = true
		}
		delete(h.writes, at)
	}
}

// register returns the value of the register after the first index committed
// entries.
func (s *sim) register(index uint64) string {
	for i := index; i > 0; i-- {
		if e := s.committed[i-1]; e.Kind == EntryData {
			return string(e.Data)
		}
	}
	return ""
}
