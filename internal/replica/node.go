// Package replica runs one replica of the durable state: it joins the pure
// consensus core of package raft to a data folder, a clock and a transport.
//
// One goroutine owns the core. A second writes and syncs, a third hands
// committed entries to the owner of the state, a fourth reads old entries for
// replicas that are behind.
package replica

import (
	"context"
	"fmt"
	"io"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/filbertmast/filbertmast/internal/errkind"
	"github.com/filbertmast/filbertmast/internal/replica/raft"
	"github.com/filbertmast/filbertmast/internal/storage"
)

// Names of package raft that callers need.
type (
	// ID is a disk identity: random, made when the data folder is first written.
	ID = raft.ID
	// Message is what replicas tell each other.
	Message = raft.Message
	// Role is what a replica does in its term.
	Role = raft.Role
)

// Founder is one of the first voters. Every settings file lists the same ones.
type Founder struct {
	Address string
}

// Transport carries messages to other replicas. It may drop, delay, reorder and
// double them. Both methods return at once.
type Transport interface {
	Send(to string, msgs []Message)
	SendSnapshot(to string, chunk SnapshotChunk)
}

// lowPriorityDelayTicks is what a reluctant replica waits beyond others: as long as the
// spread of their timeouts.
const lowPriorityDelayTicks = raft.DefaultElectionTicks

const (
	// DefaultTick is the unit of the timeouts of elections and heartbeats.
	DefaultTick = 50 * time.Millisecond
	// DefaultClockDrift bounds how much faster one clock may run than another.
	DefaultClockDrift = 0.01

	// leaseSlackTicks is what the lease is shorter than an election timeout: a
	// follower may count a tick just after it heard the leader, and one more
	// that was buffered while it was frozen.
	leaseSlackTicks = 3
	// maxUncommittedBytes bounds what a leader holds that is not committed.
	maxUncommittedBytes = 16 << 20
	// maxProposalBytes bounds one proposal.
	maxProposalBytes = 8 << 20
	// maxInboxBytes bounds the messages that wait for the core.
	maxInboxBytes = 32 << 20
	// trailingEntries stay in the log behind a snapshot, so that a replica that
	// was away for a short time needs no snapshot.
	trailingEntries = 10_000
	minFreeBytes    = 64 << 20
)

// Options sets up a replica. Zero values mean the defaults.
type Options struct {
	Dir      string     // data folder
	FS       storage.FS // nil: the operating system's
	Address  string     // own inner address, IP:port
	Founders []Founder
	// Join makes an empty folder wait to be added as a learner, in place of
	// founding a group.
	Join       bool
	Transport  Transport
	Tick       time.Duration
	ClockDrift float64 // fraction by which clocks may differ in speed
	Logger     *log.Logger
	Registerer prometheus.Registerer // nil: no metrics are registered
	Seed       uint64                // for the jitter of elections
	// LowElectionPriority replicas call for an election later than others, so that one in a
	// better place leads.
	LowElectionPriority bool
	// SegmentBytes is the size of a log segment. Zero: 16 MiB.
	SegmentBytes int64
	// TrailingEntries stay in the log behind a snapshot. Zero: 10,000.
	TrailingEntries uint64
	// MinFreeBytes is the room on the disk below which proposals are refused, so
	// that terms and votes can still be written. Zero: 64 MiB.
	MinFreeBytes uint64
	// Now returns a monotonic time that goes on while the process or the
	// machine is frozen. Nil: CLOCK_BOOTTIME.
	Now func() time.Duration
	// Ticks replaces the ticker in tests.
	Ticks <-chan time.Time
}

func (o Options) withDefaults() Options {
	if o.FS == nil {
		o.FS = storage.OS{}
	}
	if o.Tick == 0 {
		o.Tick = DefaultTick
	}
	if o.ClockDrift == 0 {
		o.ClockDrift = DefaultClockDrift
	}
	if o.Logger == nil {
		o.Logger = log.New(io.Discard)
	}
	if o.TrailingEntries == 0 {
		o.TrailingEntries = trailingEntries
	}
	if o.MinFreeBytes == 0 {
		o.MinFreeBytes = minFreeBytes
	}
	if o.Now == nil {
		o.Now = BootTime
	}
	return o
}

// Node is a running replica. Its methods may be called from any goroutine.
type Node struct {
	opts     Options
	logger   *log.Logger
	metrics  *metrics
	lock     io.Closer
	log      *storage.Log
	snaps    *storage.SnapshotStore
	identity *identityFile

	// Owned by the loop.
	core      *raft.Core
	bootstrap *bootstrap
	lease     lease
	senders   map[ID]*snapshotSender
	waiters   []*waiter
	ticks     uint64

	inbox   inbox
	addrs   addressTable
	writer  *writer
	deliver *deliverer
	reader  *reader

	status     atomic.Pointer[Status]
	leaseUntil atomic.Int64 // in nanoseconds of Options.Now; 0: no lease
	diskFull   atomic.Bool  // a write found no room on the disk
	lowSpace   atomic.Bool  // less than minFreeBytes are free
	formed     atomic.Bool  // the identity says that the log has begun
	failed     atomic.Bool
	fatal      chan error
	stop       chan struct{}
	stopOnce   sync.Once
	loops      sync.WaitGroup
}

// Start opens the data folder and runs the replica. It returns a
// *storage.CorruptError where the folder is damaged.
func Start(o Options) (*Node, error) {
	o = o.withDefaults()
	n := &Node{
		opts:    o,
		logger:  o.Logger.WithPrefix("replica"),
		metrics: newMetrics(o.Registerer),
		senders: map[ID]*snapshotSender{},
		fatal:   make(chan error, 1),
		stop:    make(chan struct{}),
	}
	n.inbox = newInbox()
	n.addrs.learned = map[ID]string{}
	if err := n.open(); err != nil {
		n.closeFiles()
		return nil, err
	}
	n.writer = newWriter(n)
	n.deliver = newDeliverer(n)
	n.reader = newReader(n)
	n.publish()
	n.loops.Add(4)
	go n.run()
	go n.writer.run()
	go n.deliver.run()
	go n.reader.run()
	return n, nil
}

// Updates returns the one ordered stream of what the state must take in. It is
// closed by Close.
func (n *Node) Updates() <-chan Update { return n.deliver.out }

// Fatal returns a channel that gets the error which makes this replica
// unusable: a failed sync, a corrupt file or a group that it is not part of.
// The owner must end the process.
func (n *Node) Fatal() <-chan error { return n.fatal }

// Close stops the replica. What was acknowledged is durable.
func (n *Node) Close() error {
	n.halt()
	n.loops.Wait()
	return n.closeFiles()
}

func (n *Node) halt() {
	n.stopOnce.Do(func() {
		n.leaseUntil.Store(0)
		close(n.stop)
		n.writer.wake()
		n.deliver.wake()
	})
}

func (n *Node) closeFiles() error {
	var err error
	if n.log != nil {
		err = n.log.Close()
	}
	if n.lock != nil {
		_ = n.lock.Close()
	}
	return err
}

// fail reports err as fatal, gives up the lease for good and ends the loop.
func (n *Node) fail(err error) {
	if n.failed.Swap(true) {
		return
	}
	n.leaseUntil.Store(0)
	n.logger.Error("stopped by a fatal error", "err", err)
	n.fatal <- err
	n.inbox.signal()
}

// Propose hands data to the log of the leader. It returns NotLeader, Overloaded
// or StorageFull, and otherwise nil: the commit is seen through Updates. A
// proposal that was accepted is lost if leadership changes before it commits.
func (n *Node) Propose(data []byte) error {
	return n.propose(proposal{data: data})
}

// ProposeInTerm is Propose for a state that was read under the leadership of term:
// after a change of leader it returns NotLeader.
func (n *Node) ProposeInTerm(term uint64, data []byte) error {
	return n.propose(proposal{data: data, term: term})
}

func (n *Node) propose(p proposal) error {
	st := n.status.Load()
	switch {
	case st.Role != raft.Leader, p.term != 0 && st.Term != p.term:
		n.metrics.refused(errkind.NotLeader)
		return errkind.New(errkind.NotLeader, "this replica does not lead")
	case len(p.data) > maxProposalBytes:
		n.metrics.refused(errkind.BodyTooLarge)
		return errkind.New(errkind.BodyTooLarge, "a proposal holds at most %d bytes", maxProposalBytes)
	case n.diskFull.Load() || n.lowSpace.Load():
		n.metrics.refused(errkind.StorageFull)
		return errkind.New(errkind.StorageFull, "the disk of the leader is full")
	case !n.inbox.addProposal(p, st.uncommittedBytes):
		n.metrics.refused(errkind.Overloaded)
		return errkind.New(errkind.Overloaded, "too much waits to be committed")
	}
	return nil
}

// Receive takes messages from the replica at address from.
func (n *Node) Receive(from string, msgs []Message) {
	n.metrics.dropped.Add(float64(n.inbox.addMessages(from, msgs)))
}

// LeaseValid reports whether this replica leads and a quorum has acknowledged
// it so recently that no other can have been elected, by a clock that counts
// time spent frozen. It is cheap.
func (n *Node) LeaseValid() bool {
	until := n.leaseUntil.Load()
	return until != 0 && !n.failed.Load() && (until == math.MaxInt64 || int64(n.opts.Now()) < until)
}

// ReadIndex returns an index such that a state which has applied it sees every
// entry committed before the call. It asks a quorum.
func (n *Node) ReadIndex(ctx context.Context) (uint64, error) {
	var seq, index uint64
	err := n.waitFor(ctx, func() (bool, error) {
		if n.core.Role() != raft.Leader {
			return false, notLeader()
		}
		if seq == 0 {
			var ok bool
			if seq, index, ok = n.core.ReadIndex(); !ok {
				return false, nil
			}
		}
		return n.core.QuorumSeq() >= seq, nil
	})
	return index, err
}

func notLeader() error {
	return errkind.New(errkind.NotLeader, "this replica does not lead")
}

// open reads the data folder.
func (n *Node) open() error {
	if err := n.opts.FS.MkdirAll(n.opts.Dir); err != nil {
		return fmt.Errorf("replica: make data folder: %w", err)
	}
	lock, err := n.opts.FS.Lock(lockPath(n.opts.Dir))
	if err != nil {
		return err
	}
	n.lock = lock
	if n.identity, err = openIdentity(n.opts.FS, n.opts.Dir); err != nil {
		return err
	}
	if n.snaps, err = storage.OpenSnapshotStore(n.opts.FS, n.opts.Dir); err != nil {
		return err
	}
	return n.restore()
}
