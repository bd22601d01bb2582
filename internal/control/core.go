package control

import (
	"bufio"
	"bytes"
	"io"
	"maps"
	"slices"
	"time"

	"github.com/charmbracelet/log"

	"github.com/filbertmast/filbertmast/internal/errkind"
	"github.com/filbertmast/filbertmast/internal/model"
	"github.com/filbertmast/filbertmast/internal/obs"
	"github.com/filbertmast/filbertmast/internal/replica"
	"github.com/filbertmast/filbertmast/internal/replica/raft"
	"github.com/filbertmast/filbertmast/internal/state"
)

// maxTaskLines bounds the log lines per second about starts and ends of single tasks.
const maxTaskLines = 400

// core is the state that only the control goroutine accesses.
type core struct {
	s               *Server
	log             *log.Logger
	machine         *state.Machine
	role            replica.Leadership
	leader          *leader // nil while this process does not lead
	proposals       proposals
	snapshotIndex   uint64 // index of the last snapshot
	appliedBytes    int    // of the log entries since then
	snapshotRunning bool   // a snapshot is being written
	load            *load
	processor       obs.ProcessorTime // at the last line about the load
	taskLines       *obs.Sampler      // of the log lines about each start and end of a task
	budgets         lineBudgets
	ends            *attemptEnds
	applied         appliedEntries
	priority        electionPriority
}

func newCore(s *Server) *core {
	return &core{
		s:         s,
		log:       s.log,
		machine:   state.New(s.opts.State),
		proposals: newProposals(uint64(s.opts.Log.Status().ID), uint64(s.startTime.UnixNano())),
		load:      newLoad(s.metrics.busySeconds),
		taskLines: obs.NewSampler(s.log, maxTaskLines),
		budgets:   newLineBudgets(s.log),
		ends:      newAttemptEnds(),
	}
}

// update applies what the log has committed.
func (c *core) update(u *replica.Update) {
	if u.Snapshot != nil {
		c.restore(u.Snapshot)
	}
	for i := range u.Entries {
		c.applyEntry(&u.Entries[i])
	}
	if u.Leadership != nil {
		c.setLeadership(*u.Leadership)
	}
	c.snapshotIfDue()
}

func (c *core) restore(snap *replica.Snapshot) {
	defer snap.Data.Close()
	m, err := state.ReadSnapshot(c.s.opts.State, bufio.NewReader(snap.Data))
	if err != nil {
		// The log has verified the bytes, so this build cannot read the state.
		c.log.Fatal("Snapshot cannot be read; the process exits.", "index", snap.Index, "err", err)
	}
	c.stepDown("a snapshot was installed")
	c.machine = m
	c.ends = newAttemptEnds()
	c.applied.add(model.Fence{Term: snap.Term, Index: snap.Index})
	c.snapshotIndex, c.appliedBytes = snap.Index, 0
	c.log.Info("State restored from a snapshot.", "index", snap.Index, "term", snap.Term)
}

func (c *core) applyEntry(e *replica.Entry) {
	cmd, err := state.Decode(e.Data)
	if err != nil {
		c.log.Error("Log entry was skipped: it is not a command.", "index", e.Index, "err", err)
		return
	}
	c.appliedBytes += len(e.Data)
	result, events := c.machine.Apply(e.Index, e.Term, cmd)
	at := model.Fence{Term: e.Term, Index: e.Index}
	c.applied.add(at)
	if c.leader != nil {
		c.leader.logCommitted(cmd, at, events)
	}
	c.recordEnds(cmd, at, events)
	if c.leader != nil {
		c.leader.handleEvents(events)
	}
	c.proposals.resolve(cmd.ID, result)
}

// setLeadership applies a change of the replica's role. The process leads only once
// every entry of earlier terms has been applied here.
func (c *core) setLeadership(l replica.Leadership) {
	c.role = l
	leads := l.Role == raft.Leader && l.Ready
	if c.leader != nil && (!leads || c.leader.term != l.Term) {
		c.stepDown("leadership was lost")
	}
	if leads && c.leader == nil {
		c.leader = newLeader(c, l.Term)
		c.load.take(time.Now()) // drops the load before this process led
		c.leader.polled.addInherited()
		c.leader.logTakeover()
	}
	c.s.metrics.leads.Set(boolGauge(c.leader != nil))
}

func (c *core) stepDown(why string) {
	if c.leader == nil {
		return
	}
	c.log.Info("This process leads no longer.", "term", c.leader.term, "reason", why, "applied", position(c.applied.last), "last_index", c.s.opts.Log.Status().Last)
	c.budgets.report()
	c.leader.stop()
	c.leader = nil
	c.proposals.failAll(errkind.New(errkind.OutcomeUnknown, "the process stopped leading before the change was confirmed: %s", why))
}

// leading returns the leader, or an error of kind NotLeader where this process
// does not lead or cannot prove that it still does.
func (c *core) leading() (*leader, error) {
	if c.leader == nil {
		return nil, errkind.New(errkind.NotLeader, "this process does not lead")
	}
	if !c.s.opts.Log.LeaseValid() {
		return nil, errkind.New(errkind.NotLeader, "the leader has lost contact with its quorum")
	}
	return c.leader, nil
}

// replyIfLeading replies with v only if this process still leads after v was computed,
// so that a process that was suspended meanwhile does not send a stale response.
func replyIfLeading[T any](c *core, done reply[T], v *T) {
	if _, err := c.leading(); err != nil {
		done(nil, err)
		return
	}
	done(v, nil)
}

// propose appends cmd to the replicated log. It calls onResult once, with the result
// of applying the command or with an error. An error of a kind other than
// OutcomeUnknown means that the command has had no effect and will have none.
func (c *core) propose(cmd *state.Command, onResult func(state.Result, error)) {
	if c.leader == nil {
		onResult(state.Result{}, errkind.New(errkind.NotLeader, "this process does not lead"))
		return
	}
	cmd.At = c.s.now()
	cmd.ID = c.proposals.next()
	data, err := cmd.Encode()
	if err != nil {
		onResult(state.Result{}, errkind.Wrap(errkind.Internal, err, "encode command"))
		return
	}
	if err := c.s.opts.Log.ProposeInTerm(c.leader.term, data); err != nil {
		c.s.metrics.callRefused(errkind.Of(err))
		onResult(state.Result{}, err)
		return
	}
	c.load.since.proposals++
	c.proposals.add(cmd.ID.Seq, onResult)
}

// maxBytesBetweenSnapshots bounds the log entries between two snapshots in bytes. Entries of large
// submissions would fill a small disk before they are as many as SnapshotEntries.
const maxBytesBetweenSnapshots = 16 << 20

// snapshotIfDue starts a snapshot if SnapshotEntries, or entries of so many bytes, have been
// applied since the last one. It encodes the state here, since only the control goroutine may read it;
// another goroutine writes and syncs it.
func (c *core) snapshotIfDue() {
	applied := c.machine.Index()
	due := applied >= c.snapshotIndex+c.s.opts.SnapshotEntries || c.appliedBytes >= maxBytesBetweenSnapshots
	if c.snapshotRunning || !due {
		return
	}
	var buf bytes.Buffer
	if err := c.machine.WriteSnapshot(&buf); err != nil {
		c.log.Error("Snapshot could not be encoded.", "index", applied, "err", err)
		return
	}
	c.snapshotRunning = true
	c.snapshotIndex, c.appliedBytes = applied, 0
	go func() {
		err := c.s.opts.Log.SaveSnapshot(applied, func(w io.Writer) error {
			_, err := w.Write(buf.Bytes())
			return err
		})
		c.s.snapshotSaved(applied, err)
	}()
}

// snapshotSaved reports to the control goroutine that writing a snapshot has ended.
func (s *Server) snapshotSaved(index uint64, err error) {
	if err != nil {
		s.log.Warn("Snapshot could not be saved.", "index", index, "err", err)
	}
	s.post(workUpdates, func(c *core) { c.snapshotRunning = false })
}

func (c *core) tick() {
	c.updateElectionPriority(c.s.now())
	if c.leader != nil {
		c.leader.tick(c.s.now())
	}
}

func (c *core) schedule() {
	if c.leader != nil {
		c.leader.schedule(c.s.now())
	}
}

// untilRun returns the time until schedule has something to do without another event; false
// if it has not.
func (c *core) untilRun() (time.Duration, bool) {
	if c.leader == nil {
		return 0, false
	}
	at, any := c.leader.nextRun()
	return at - c.s.clock(), any
}

// proposals are the proposals of this process that await their commit.
type proposals struct {
	replica uint64
	before  uint64 // numbers up to this one are of earlier processes
	seq     uint64
	waiting map[uint64]func(state.Result, error)
}

// newProposals returns proposals that are numbered from start on. Start must be above
// every number that an earlier process of this replica has used, since its commands
// may still commit.
func newProposals(id, start uint64) proposals {
	return proposals{replica: id, before: start, seq: start, waiting: make(map[uint64]func(state.Result, error))}
}

func (p *proposals) next() state.ProposalID {
	p.seq++
	return state.ProposalID{Replica: p.replica, Seq: p.seq}
}

// own reports whether this process made a proposal, and not an earlier one of the replica.
func (p *proposals) own(id state.ProposalID) bool {
	return id.Replica == p.replica && id.Seq > p.before
}

func (p *proposals) add(seq uint64, onResult func(state.Result, error)) { p.waiting[seq] = onResult }

func (p *proposals) resolve(id state.ProposalID, r state.Result) {
	if id.Replica != p.replica {
		return
	}
	onResult, ok := p.waiting[id.Seq]
	if !ok {
		return
	}
	delete(p.waiting, id.Seq)
	onResult(r, r.Err)
}

// failAll fails every waiting proposal with err, oldest first.
func (p *proposals) failAll(err error) {
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
