package replica

import (
	"context"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/filbertmast/filbertmast/internal/errkind"
	"github.com/filbertmast/filbertmast/internal/replica/raft"
	"github.com/filbertmast/filbertmast/internal/storage"
)

// run owns the core until the node is closed.
func (n *Node) run() {
	defer n.loops.Done()
	ticks := n.opts.Ticks
	if ticks == nil {
		t := time.NewTicker(n.opts.Tick)
		defer t.Stop()
		ticks = t.C
	}
	n.core.Campaign()
	n.settle()
	for {
		if n.failed.Load() {
			n.withdraw()
			return
		}
		select {
		case <-n.stop:
			n.endPolls()
			return
		case <-ticks:
			n.checkQuorumTime()
			n.tick()
		case <-n.inbox.wake:
			n.checkQuorumTime()
			n.handle(n.inbox.take())
		}
		n.settle()
	}
}

// withdraw shows after a fatal error that this replica leads no more, and takes
// part in nothing until it is closed.
func (n *Node) withdraw() {
	n.core.StepDown()
	n.publish()
	n.deliver.advance(n.deliverState())
	for {
		n.endPolls()
		select {
		case <-n.stop:
			return
		case <-n.inbox.wake:
			for _, call := range n.inbox.take().calls {
				call()
			}
		}
	}
}

// checkQuorumTime makes a leader step down whose quorum has been silent for an
// election timeout by the clock. It comes before any waiting message: after a
// freeze those may be acknowledgements from long ago.
func (n *Node) checkQuorumTime() {
	if n.core.Role() != raft.Leader || n.core.Config().Voters() == 1 {
		return
	}
	limit := n.opts.Tick * raft.DefaultElectionTicks
	if n.opts.Now()-n.lease.heard > limit {
		n.logger.Warn("no quorum within the election timeout, stepping down", "term", n.core.Term())
		n.core.StepDown()
	}
}

func (n *Node) tick() {
	n.ticks++
	n.core.Tick()
	n.tickFounding()
	n.tickSenders()
	n.checkDisk()
	if n.ticks%freeCheckTicks == 0 {
		n.checkFree()
	}
}

func (n *Node) handle(b batch) {
	for _, m := range b.marks {
		n.core.Persisted(m)
	}
	for _, r := range b.messages {
		n.route(r)
	}
	for _, c := range b.chunks {
		n.receiveChunk(c)
	}
	n.proposeAll(b.proposals)
	for _, call := range b.calls {
		call()
	}
}

// route hands a message to the core or to the part of the owner it is for.
// Messages to an earlier identity at this address are dropped.
func (n *Node) route(r received) {
	switch {
	case r.msg.Kind == raft.Found:
		n.receiveFounding(r)
	case r.msg.To != n.identity.ID:
		n.metrics.misaddressed.Inc()
	case r.msg.Kind == raft.Removed:
		n.receiveRemoved(r.msg)
	case r.msg.Kind == raft.SnapshotAck:
		n.addrs.learn(r.msg.From, r.from)
		n.receiveSnapshotAck(r.msg)
	default:
		n.addrs.learn(r.msg.From, r.from)
		n.tellRemoved(r.msg)
		n.core.Step(r.msg)
	}
}

func (n *Node) proposeAll(proposals []proposal) {
	var data [][]byte
	for _, p := range proposals {
		if p.term != 0 && p.term != n.core.Term() {
			n.metrics.refused(errkind.NotLeader)
			continue
		}
		data = append(data, p.data)
	}
	if len(data) == 0 {
		return
	}
	if err := n.core.Propose(data); err != nil {
		n.metrics.refusedMany(errkind.NotLeader, len(data))
	}
}

// settle carries out what the last step asks for and shows the new state.
func (n *Node) settle() {
	n.runPolls()
	rd := n.core.Ready()
	n.addrs.setConfig(n.core.Config())
	n.lease.note(n.core, n.opts.Now())
	n.updateLease()
	n.sendAll(rd.Messages)
	if rd.Writes() || len(rd.AfterPersist) > 0 {
		n.writer.add(n.job(rd))
	}
	for _, r := range rd.Reads {
		n.readEntries(r)
	}
	for _, id := range rd.Snapshots {
		n.startSender(id)
	}
	n.publish()
	n.deliver.advance(n.deliverState())
}

// job turns a batch of the core into one for the writer.
func (n *Node) job(rd raft.Ready) job {
	j := job{after: rd.AfterPersist, mark: rd.Mark, marked: rd.Writes()}
	if rd.Reset != nil {
		at := storage.Position(*rd.Reset)
		j.batch.Reset = &at
	}
	for _, e := range rd.Entries {
		j.batch.Entries = append(j.batch.Entries, toStored(e))
	}
	if rd.State != nil {
		state, err := cbor.Marshal(rd.State)
		if err != nil {
			panic(err) // a struct of numbers always encodes
		}
		j.batch.State = state
	}
	return j
}

// sendAll groups messages by address and hands them to the transport.
func (n *Node) sendAll(msgs []Message) {
	byAddress := map[string][]Message{}
	var order []string
	for _, m := range msgs {
		address, ok := n.addrs.find(m.To)
		if !ok {
			n.metrics.dropped.Inc()
			continue
		}
		if byAddress[address] == nil {
			order = append(order, address)
		}
		byAddress[address] = append(byAddress[address], m)
	}
	for _, address := range order {
		n.opts.Transport.Send(address, byAddress[address])
	}
}

// poll is a condition that the loop looks at after each step.
type poll struct {
	ctx   context.Context
	check func() (done bool, err error)
	done  chan error
}

// poll waits until check, which runs on the loop, reports true or an error.
func (n *Node) poll(ctx context.Context, check func() (bool, error)) error {
	p := &poll{ctx: ctx, check: check, done: make(chan error, 1)}
	n.inbox.addCall(func() { n.polls = append(n.polls, p) })
	select {
	case err := <-p.done:
		return err
	case <-ctx.Done():
		return errkind.Wrap(errkind.DeadlineExceeded, ctx.Err(), "replica")
	case <-n.stop:
		return errClosed()
	}
}

func errClosed() error { return errkind.New(errkind.Draining, "the replica is closed") }

func (n *Node) runPolls() {
	kept := n.polls[:0]
	for _, p := range n.polls {
		if p.ctx.Err() != nil {
			continue
		}
		done, err := p.check()
		if !done && err == nil {
			kept = append(kept, p)
			continue
		}
		p.done <- err
	}
	clear(n.polls[len(kept):])
	n.polls = kept
}

func (n *Node) endPolls() {
	for _, p := range n.polls {
		p.done <- errClosed()
	}
	n.polls = nil
}

// call runs f on the loop and waits for it.
func (n *Node) call(f func()) error {
	return n.poll(context.Background(), func() (bool, error) {
		f()
		return true, nil
	})
}
