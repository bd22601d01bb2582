package replica

import (
	"context"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/filbertmast/filbertmast/internal/errkind"
	"github.com/filbertmast/filbertmast/internal/replica/raft"
	"github.com/filbertmast/filbertmast/internal/storage"
)

// run owns the core until the node is closed or fails.
func (n *Node) run() {
	defer n.loops.Done()
	ticks := n.opts.Ticks
	if ticks == nil {
		t := time.NewTicker(n.opts.Tick)
		defer t.Stop()
		ticks = t.C
	}
	n.core.Campaign()
	n.processReady()
	var begun time.Duration // of the current turn
	for {
		if n.failed.Load() {
			n.runFailed()
			return
		}
		select {
		case <-n.stop:
			n.failWaiters()
			return
		case due := <-ticks:
			begun = n.opts.Now()
			n.timing.tick(due)
			n.handle(n.inbox.take())
			n.tick()
		case <-n.inbox.wake:
			begun = n.opts.Now()
			n.handle(n.inbox.take())
		}
		n.processReady()
		n.timing.endTurn(n.opts.Now() - begun)
		n.logTimingIfDue()
	}
}

// runFailed steps down and publishes that after a fatal error. Until the node is
// closed it runs queued calls and takes no part in the group.
func (n *Node) runFailed() {
	n.core.StepDown()
	n.publish()
	n.deliver.advance(n.deliverState())
	for {
		n.failWaiters()
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

// checkQuorumTimeout makes a leader step down that has lost its quorum by the clock. It
// runs after queued messages, which may be acknowledgements, and before queued
// proposals and calls. An acknowledgement that was queued during a freeze extends
// nothing, since rounds count from when they were sent.
func (n *Node) checkQuorumTimeout() {
	if n.core.Role() != raft.Leader || n.core.Config().Voters() == 1 {
		return
	}
	n.lease.record(n.core, n.opts.Now())
	if n.lease.quorumLost(n.opts.Now(), n.opts.Tick) {
		n.logger.Warn("no quorum within the election timeout; leader steps down", "term", n.core.Term())
		n.timing.observe(n.core, n.lease.quorumSentAt, n.opts.Now())
		n.logTiming("timing of the group before the leader steps down")
		n.core.StepDown()
	}
}

// recordAcks records the acknowledgements that the core has received, and the rounds
// that are about to be sent.
func (n *Node) recordAcks() {
	now := n.opts.Now()
	n.lease.record(n.core, now)
	n.timing.observe(n.core, n.lease.quorumSentAt, now)
}

func (n *Node) tick() {
	n.ticks++
	n.core.Tick()
	n.tickBootstrap()
	n.tickSenders()
	n.checkDiskStall()
	n.checkLackOfSpace()
	if n.ticks%freeSpaceCheckTicks == 0 {
		n.checkFreeSpace()
	}
}

func (n *Node) handle(b batch) {
	for _, m := range b.marks {
		n.core.Persisted(m)
	}
	if len(b.messages) > 0 {
		n.timing.take(time.Since(b.oldest))
	}
	for _, r := range b.messages {
		n.route(r)
	}
	for _, c := range b.chunks {
		n.receiveChunk(c)
	}
	n.checkQuorumTimeout()
	n.proposeAll(b.proposals)
	for _, call := range b.calls {
		call()
	}
}

// route passes a message to the core or to the part of the node that handles it.
// Messages to an earlier identity at this address are dropped.
func (n *Node) route(r receivedMessage) {
	switch {
	case r.msg.Kind == raft.Bootstrap:
		n.receiveBootstrap(r)
	case r.msg.To != n.identity.ID:
		n.metrics.misaddressed.Inc()
	case r.msg.Kind == raft.Removed:
		n.receiveRemoved(r.msg)
	case r.msg.Kind == raft.SnapshotAck:
		n.addrs.learn(r.msg.From, r.from)
		n.receiveSnapshotAck(r.msg)
	default:
		n.addrs.learn(r.msg.From, r.from)
		n.notifyRemoved(r.msg)
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

// processReady carries out the work that the last step of the core has produced,
// and publishes the new state.
func (n *Node) processReady() {
	n.checkWaiters()
	rd := n.core.Ready()
	n.addrs.setConfig(n.core.Config())
	n.recordAcks()
	n.updateLease()
	n.sendAll(rd.Messages)
	if rd.Writes() || len(rd.AfterPersist) > 0 {
		if rd.Writes() {
			n.inbox.addWrite()
		}
		n.writer.add(n.newWriteRequest(rd))
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

// newWriteRequest converts a batch of the core for the writer.
func (n *Node) newWriteRequest(rd raft.Ready) writeRequest {
	j := writeRequest{afterPersist: rd.AfterPersist, mark: rd.Mark, hasMark: rd.Writes()}
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
			panic(err) // encoding a struct of numbers cannot fail
		}
		j.batch.State = state
	}
	return j
}

// sendAll groups messages by address and passes them to the transport.
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

// waiter is a condition that the loop checks after each step.
type waiter struct {
	ctx   context.Context
	check func() (done bool, err error)
	done  chan error
}

// waitFor waits until check, which runs on the loop, returns true or an error. It
// returns DeadlineExceeded if ctx ends first and Draining if the node is closed.
func (n *Node) waitFor(ctx context.Context, check func() (bool, error)) error {
	p := &waiter{ctx: ctx, check: check, done: make(chan error, 1)}
	n.inbox.addCall(func() { n.waiters = append(n.waiters, p) })
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

func (n *Node) checkWaiters() {
	kept := n.waiters[:0]
	for _, p := range n.waiters {
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
	clear(n.waiters[len(kept):])
	n.waiters = kept
}

func (n *Node) failWaiters() {
	for _, p := range n.waiters {
		p.done <- errClosed()
	}
	n.waiters = nil
}

// call runs f on the loop and waits until it returns.
func (n *Node) call(f func()) error {
	return n.waitFor(context.Background(), func() (bool, error) {
		f()
		return true, nil
	})
}
