package control

import (
	"context"
	"io"
	"time"

	"github.com/filbertmast/filbertmast/internal/errkind"
	"github.com/filbertmast/filbertmast/internal/model"
	"github.com/filbertmast/filbertmast/internal/replica"
	"github.com/filbertmast/filbertmast/internal/replica/raft"
	"github.com/filbertmast/filbertmast/internal/state"
)

// simLog is the replicated log of a simulation. The simulation decides when a proposal
// is committed, when each node learns of it, and which proposals are lost with a term.
type simLog struct {
	sim     *simulation
	entries []replica.Entry
	state   *state.Machine // after all committed entries
	term    uint64
	leader  *simNode // of term
	stalled time.Duration
}

// simProposal is a proposal that is not committed yet.
type simProposal struct {
	data []byte
	due  time.Duration // when it is committed
}

// nodeLog is the log as one node knows it. It implements Log.
type nodeLog struct {
	node    *simNode
	pending []simProposal
	applied int
	term    uint64 // in which this node leads, as far as it knows; zero: it does not
	told    bool   // the node has been told that it leads
	lease   bool
}

// ProposeInTerm implements Log.
func (n *nodeLog) ProposeInTerm(term uint64, data []byte) error {
	s := n.node.sim
	if n.term != term {
		return errkind.New(errkind.NotLeader, "not the leader of this term")
	}
	if s.chance(s.faults.queueFull) {
		return errkind.New(errkind.Overloaded, "too many proposals")
	}
	due := s.now() + s.commitDelay()
	if k := len(n.pending); k > 0 {
		due = max(due, n.pending[k-1].due)
	}
	n.pending = append(n.pending, simProposal{data: data, due: due})
	return nil
}

// LeaseValid implements Log.
func (n *nodeLog) LeaseValid() bool { return n.lease }

// Status implements Log.
func (n *nodeLog) Status() replica.Status { return replica.Status{ID: replica.ID(n.node.number + 1)} }

// Updates implements Log. The simulation passes the updates to the core itself.
func (n *nodeLog) Updates() <-chan replica.Update { return nil }

// SaveSnapshot implements Log.
func (n *nodeLog) SaveSnapshot(uint64, func(io.Writer) error) error { return nil }

// Replace implements Log.
func (n *nodeLog) Replace(context.Context, replica.ID, replica.ID, string) error { return nil }

// AddLearner implements Log.
func (n *nodeLog) AddLearner(context.Context, replica.ID, string) error { return nil }

// Promote implements Log.
func (n *nodeLog) Promote(context.Context, replica.ID) error { return nil }

// Remove implements Log.
func (n *nodeLog) Remove(context.Context, replica.ID) error { return nil }

// SetLowElectionPriority implements Log.
func (n *nodeLog) SetLowElectionPriority(bool) {}

// Resign implements Log.
func (n *nodeLog) Resign() {}

// TransferLeadership implements Log.
func (n *nodeLog) TransferLeadership(context.Context) error { return nil }

func (l *simLog) append(data []byte) {
	e := replica.Entry{Index: uint64(len(l.entries) + 1), Term: l.term, Data: data}
	l.entries = append(l.entries, e)
	cmd, err := state.Decode(data)
	if err != nil {
		panic(err)
	}
	l.state.Apply(e.Index, e.Term, cmd)
}

// appendCommand commits a command that no node has proposed.
func (l *simLog) appendCommand(cmd *state.Command) {
	cmd.At = model.TimeOf(time.Now())
	data, err := cmd.Encode()
	if err != nil {
		panic(err)
	}
	l.append(data)
}

// holds reports whether the committed state has an attempt on a worker.
func (l *simLog) holds(r *simRun) bool {
	task := r.attempt.Task
	w := l.state.Workflow(task.Workflow)
	if w == nil || w.Jobs[task.Step] == 0 {
		return false
	}
	j := l.state.Job(w.Jobs[task.Step])
	if j == nil {
		return false
	}
	t := j.Task(task.Index)
	return t != nil && t.Phase.HoldsResources() && t.Attempt == r.attempt.Number && l.state.TaskWorker(t) == r.worker.id
}

// step commits what is due.
func (l *simLog) step() {
	if l.leader == nil || l.leader.frozen() || l.sim.now() < l.stalled {
		return
	}
	n := l.leader.log
	for len(n.pending) > 0 && n.pending[0].due <= l.sim.now() {
		l.append(n.pending[0].data)
		n.pending = n.pending[1:]
	}
}

// elect makes a node the leader of a new term. Some of the proposals of the old leader,
// the first ones, are committed; the others are lost.
func (l *simLog) elect(node *simNode) {
	if old := l.leader; old != nil {
		old.log.lease = false
		kept := old.log.pending
		if len(kept) > 0 {
			kept = kept[:l.sim.rng.IntN(len(kept)+1)]
		}
		for _, p := range kept {
			l.append(p.data)
		}
		l.sim.trace("", "term %d ends; node %d loses %d of %d proposals", l.term, old.number, len(old.log.pending)-len(kept), len(old.log.pending))
		old.log.pending = nil
	}
	l.term++
	l.leader = node
	node.log.pending = nil
	l.sim.trace("", "node %d is elected for term %d", node.number, l.term)
}

// deliver passes committed entries and changes of the leadership to a node.
func (n *nodeLog) deliver() {
	l := &n.node.sim.log
	u := replica.Update{Entries: l.entries[n.applied:], Index: uint64(len(l.entries))}
	if n.node != l.leader && len(u.Entries) > 0 && n.node.sim.chance(0.5) {
		u.Entries = u.Entries[:1] // a follower lags
	}
	n.applied += len(u.Entries)
	switch {
	case n.term != 0 && (l.leader != n.node || l.term != n.term):
		n.term, n.told, n.lease = 0, false, false
		n.pending = nil
		u.Leadership = &replica.Leadership{Role: raft.Follower, Term: l.term}
	case l.leader == n.node && n.term == 0 && n.applied == len(l.entries):
		n.term, n.told, n.lease = l.term, true, true
		u.Leadership = &replica.Leadership{Role: raft.Leader, Term: l.term, Ready: true}
	}
	if len(u.Entries) > 0 || u.Leadership != nil {
		n.node.core.update(&u)
	}
}
