package control

import (
	"bufio"
	"bytes"
	"io"
	"maps"
	"slices"

	"github.com/charmbracelet/log"

	"github.com/filbertmast/filbertmast/internal/errkind"
	"github.com/filbertmast/filbertmast/internal/replica"
	"github.com/filbertmast/filbertmast/internal/replica/raft"
	"github.com/filbertmast/filbertmast/internal/state"
)

// core is what the control goroutine owns.
type core struct {
	s       *Server
	log     *log.Logger
	machine *state.Machine
	role    replica.Leadership
	lead    *leader // nil while this process does not lead
	pending pendingCalls
	saved   uint64 // index of the last snapshot
	saving  bool   // a snapshot is being written
}

func newCore(s *Server) *core {
	return &core{
		s:       s,
		log:     s.log,
		machine: state.New(s.opts.State),
		pending: newPendingCalls(uint64(s.opts.Log.Status().ID), uint64(s.start.UnixNano())),
	}
}

// update takes in what the log has committed.
func (c *core) update(u *replica.Update) {
	if u.Snapshot != nil {
		c.restore(u.Snapshot)
	}
	for i := range u.Entries {
		c.applyEntry(&u.Entries[i])
	}
	if u.Leadership != nil {
		c.leadership(*u.Leadership)
	}
	c.snapshotIfDue()
}

func (c *core) restore(snap *replica.Snapshot) {
	defer snap.Data.Close()
	m, err := state.ReadSnapshot(c.s.opts.State, bufio.NewReader(snap.Data))
	if err != nil {
		// The log verified the bytes, so this process cannot hold the state.
		c.log.Fatal("Snapshot cannot be read.", "index", snap.Index, "err", err)
	}
	c.stepDown("a snapshot was installed")
	c.machine = m
	c.saved = snap.Index
	c.log.Info("State restored from a snapshot.", "index", snap.Index)
}

func (c *core) applyEntry(e *replica.Entry) {
	cmd, err := state.Decode(e.Data)
	if err != nil {
		c.log.Error("Entry skipped, it is not a command.", "index", e.Index, "err", err)
		return
	}
	result, events := c.machine.Apply(e.Index, e.Term, cmd)
	if c.lead != nil {
		c.lead.follow(events)
	}
	c.pending.resolve(cmd.ID, result)
}

// leadership follows the role of the replica. Leading begins only when every
// entry of earlier terms has been applied here.
func (c *core) leadership(l replica.Leadership) {
	c.role = l
	leads := l.Role == raft.Leader && l.Ready
	if c.lead != nil && (!leads || c.lead.term != l.Term) {
		c.stepDown("leadership has moved")
	}
	if leads && c.lead == nil {
		c.lead = newLeader(c, l.Term)
		c.lead.crew.begin()
		c.log.Info("This process leads.", "term", l.Term, "index", c.machine.Index())
	}
	c.s.metrics.leads.Set(boolGauge(c.lead != nil))
}

func (c *core) stepDown(why string) {
	if c.lead == nil {
		return
	}
	c.log.Info("This process leads no longer.", "term", c.lead.term, "reason", why)
	c.lead.stop()
	c.lead = nil
	c.pending.failAll(errkind.New(errkind.OutcomeUnknown, "%s before the change was confirmed", why))
}

// leading returns the leader, or an error of kind NotLeader where this process
// does not lead or cannot prove that it still does.
func (c *core) leading() (*leader, error) {
	if c.lead == nil {
		return nil, errkind.New(errkind.NotLeader, "this process does not lead")
	}
	if !c.s.opts.Log.LeaseValid() {
		return nil, errkind.New(errkind.NotLeader, "the leader has lost touch with its quorum")
	}
	return c.lead, nil
}

// confirmed passes v on only if this process still leads now that v was
// computed: a freeze between the two must not let an old answer out.
func confirmed[T any](c *core, done reply[T], v *T) {
	if _, err := c.leading(); err != nil {
		done(nil, err)
		return
	}
	done(v, nil)
}

// propose sends cmd through the log. Then is called once with the result of
// its commit, or with an error; an error other than OutcomeUnknown means that
// the command will not take effect.
func (c *core) propose(cmd *state.Command, then func(state.Result, error)) {
	if c.lead == nil {
		then(state.Result{}, errkind.New(errkind.NotLeader, "this process does not lead"))
		return
	}
	cmd.At = c.s.now()
	cmd.ID = c.pending.next()
	data, err := cmd.Encode()
	if err != nil {
		then(state.Result{}, errkind.Wrap(errkind.Internal, err, "encode command"))
		return
	}
	if err := c.s.opts.Log.ProposeInTerm(c.lead.term, data); err != nil {
		c.s.metrics.refused(errkind.Of(err))
		then(state.Result{}, err)
		return
	}
	c.pending.add(cmd.ID.Seq, then)
}

// snapshotIfDue encodes the state here, since only this goroutine may read it,
// and leaves the writing and syncing to another.
func (c *core) snapshotIfDue() {
	applied := c.machine.Index()
	if c.saving || applied < c.saved+c.s.opts.SnapshotEntries {
		return
	}
	var buf bytes.Buffer
	if err := c.machine.WriteSnapshot(&buf); err != nil {
		c.log.Error("Snapshot cannot be encoded.", "index", applied, "err", err)
		return
	}
	c.saving = true
	c.saved = applied
	go func() {
		err := c.s.opts.Log.SaveSnapshot(applied, func(w io.Writer) error {
			_, err := w.Write(buf.Bytes())
			return err
		})
		c.s.snapshotSaved(applied, err)
	}()
}

// snapshotSaved tells the control goroutine that a snapshot is written.
func (s *Server) snapshotSaved(index uint64, err error) {
	if err != nil {
		s.log.Warn("Snapshot could not be saved.", "index", index, "err", err)
	}
	select {
	case s.calls <- func(c *core) { c.saving = false }:
	case <-s.stopped:
	}
}

func (c *core) tick() {
	if c.lead != nil {
		c.lead.tick(c.s.now())
	}
}

func (c *core) schedule() {
	if c.lead != nil {
		c.lead.schedule(c.s.now())
	}
}

// pendingCalls are the proposals of this process that wait for their commit.
type pendingCalls struct {
	replica uint64
	seq     uint64
	waiting map[uint64]func(state.Result, error)
}

// newPendingCalls numbers the proposals from start on. It must be beyond every
// number of an earlier run of this replica, whose commands may still commit.
func newPendingCalls(id, start uint64) pendingCalls {
	return pendingCalls{replica: id, seq: start, waiting: make(map[uint64]func(state.Result, error))}
}

func (p *pendingCalls) next() state.ProposalID {
	p.seq++
	return state.ProposalID{Replica: p.replica, Seq: p.seq}
}

func (p *pendingCalls) add(seq uint64, then func(state.Result, error)) { p.waiting[seq] = then }

func (p *pendingCalls) resolve(id state.ProposalID, r state.Result) {
	if id.Replica != p.replica {
		return
	}
	then, ok := p.waiting[id.Seq]
	if !ok {
		return
	}
	delete(p.waiting, id.Seq)
	then(r, r.Err)
}

// failAll answers every waiting proposal, oldest first.
func (p *pendingCalls) failAll(err error) {
	waiting := p.waiting
	p.waiting = make(map[uint64]func(state.Result, error))
	for _, seq := range slices.Sorted(maps.Keys(waiting)) {
		waiting[seq](state.Result{}, err)
	}
}

func boolGauge(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
