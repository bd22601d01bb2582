// Package replica runs one replica of the durable state. It connects the pure
// consensus core of package raft to a data folder, a clock and a transport.
//
// One goroutine owns the core. A second writes and syncs, a third delivers
// committed entries to the owner of the state, a fourth reads old entries and
// snapshots for replicas that are behind.
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

// Types of package raft that callers need.
type (
	// ID identifies a disk. It is random and generated when the data folder is
	// first written.
	ID = raft.ID
	// Message is a message between replicas.
	Message = raft.Message
	// Role is the role of a replica in its term.
	Role = raft.Role
)

// Founder is one of the initial voters. The settings of every founder list the
// same ones.
type Founder struct {
	Address string
}

// Transport sends messages to other replicas. It may drop, delay, reorder and
// duplicate them. Both methods return without waiting.
type Transport interface {
	Send(to string, msgs []Message)
	SendSnapshot(to string, chunk SnapshotChunk)
}

// lowPriorityDelayTicks is the additional election delay of a replica with
// LowElectionPriority, in ticks: as long as the random spread of the election
// timeouts, so that it exceeds the timeout of every other replica.
const lowPriorityDelayTicks = raft.DefaultElectionTicks

const (
	// DefaultTick is the unit of the election timeout and the heartbeat interval.
	DefaultTick = 50 * time.Millisecond
	// DefaultClockDrift is the largest fraction by which one clock is assumed to
	// run faster than another.
	DefaultClockDrift = 0.01

	// leaseSlackTicks is how much shorter the lease is than an election timeout,
	// in ticks: a follower may count one tick just after it received a heartbeat
	// and one more that was buffered while it was frozen.
	leaseSlackTicks = 3
	// maxUncommittedBytes limits the uncommitted entries and waiting proposals of
	// a leader.
	maxUncommittedBytes = 16 << 20
	// maxProposalBytes limits the size of one proposal.
	maxProposalBytes = 8 << 20
	// maxInboxBytes limits the messages and snapshot chunks that wait for the
	// loop.
	maxInboxBytes = 32 << 20
	// trailingEntries is the number of entries that stay in the log behind a
	// snapshot, so that a replica that was away for a short time needs no
	// snapshot.
	trailingEntries = 10_000
	minFreeBytes    = 64 << 20
)

// Options configures a replica. Zero values select the defaults.
type Options struct {
	Dir      string     // data folder
	FS       storage.FS // nil means the file system of the operating system
	Address  string     // inner address of this replica, IP:port
	Founders []Founder
	// Join makes a replica with an empty folder wait until it is added as a
	// learner, instead of taking part in bootstrap.
	Join       bool
	Transport  Transport
	Tick       time.Duration
	ClockDrift float64 // largest fraction by which clock speeds may differ
	Logger     *log.Logger
	Registerer prometheus.Registerer // nil means that no metrics are registered
	Seed       uint64                // of the random election timeouts
	// LowElectionPriority makes the replica start elections later than others, so
	// that a better placed replica becomes leader.
	LowElectionPriority bool
	// SegmentBytes is the size of a log segment in bytes. Zero means 16 MiB.
	SegmentBytes int64
	// TrailingEntries is the number of entries that stay in the log behind a
	// snapshot. Zero means 10,000.
	TrailingEntries uint64
	// MinFreeBytes is the free disk space in bytes below which proposals are
	// refused, so that terms and votes can still be written. Zero means 64 MiB.
	MinFreeBytes uint64
	// StateLimit is the size of the state in bytes that this replica has memory and disk for.
	// Zero: unknown. The leader learns those of the others.
	StateLimit int64
	// Now returns a monotonic time that keeps counting while the process or the
	// machine is frozen. Nil means CLOCK_BOOTTIME.
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

// Node is a running replica. Its methods are safe for concurrent use.
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
	timing    timing
	senders   map[ID]*snapshotSender
	waiters   []*waiter
	ticks     uint64
	// lackingTicks counts the ticks for which this replica leads without disk space.
	lackingTicks int

	inbox   inbox
	addrs   addressTable
	writer  *writer
	deliver *deliverer
	reader  *reader

	status     atomic.Pointer[Status]
	leaseUntil atomic.Int64 // in nanoseconds of Options.Now; 0 means no lease
	diskFull   atomic.Bool  // the last write failed because the disk is full
	lowSpace   atomic.Bool  // less than MinFreeBytes are free
	formed     atomic.Bool  // the stored identity records that the log was started
	failed     atomic.Bool
	fatal      chan error
	stop       chan struct{}
	stopOnce   sync.Once
	loops      sync.WaitGroup
}

// Start opens the data folder and runs the replica. It returns a
// *storage.CorruptError if the folder is damaged.
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
	n.timing = newTiming(n.metrics, o.Now())
	n.addrs.learned = map[ID]string{}
	if err := n.open(); err != nil {
		n.closeFiles()
		return nil, err
	}
	n.core.SetStateLimit(o.StateLimit)
	n.addrs.self, n.addrs.selfAddress = n.identity.ID, o.Address
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

// Updates returns the one ordered stream of updates that the state must apply.
// Close closes the channel.
func (n *Node) Updates() <-chan Update { return n.deliver.out }

// Fatal returns a channel that receives the error which makes this replica
// unusable: a failed sync, a corrupt file or a group that it is not part of. The
// owner must then end the process.
func (n *Node) Fatal() <-chan error { return n.fatal }

// SetLowElectionPriority replaces Options.LowElectionPriority.
func (n *Node) SetLowElectionPriority(low bool) {
	n.inbox.addCall(func() { n.core.SetElectionDelay(electionDelay(low)) })
}

// Resign makes a leader step down, so that a replica with a higher priority in elections can
// lead. It does nothing on another replica.
func (n *Node) Resign() {
	n.inbox.addCall(func() { n.core.StepDown() })
}

// electionDelay returns the additional election delay of a replica in ticks.
func electionDelay(lowPriority bool) int {
	if lowPriority {
		return lowPriorityDelayTicks
	}
	return 0
}

// Close stops the replica. Everything that was acknowledged is durable.
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

// fail reports err on the Fatal channel, gives up the lease for good and ends the
// loop. Only the first error is reported.
func (n *Node) fail(err error) {
	if n.failed.Swap(true) {
		return
	}
	n.leaseUntil.Store(0)
	n.logger.Error("replica stops because of a fatal error", "err", err)
	n.fatal <- err
	n.inbox.signal()
}

// Propose submits data to the log. It returns NotLeader, BodyTooLarge, Overloaded
// or StorageFull if the proposal is refused. Nil means only that it was accepted:
// the commit is reported through Updates, and the proposal may be lost if
// leadership changes before it is committed.
func (n *Node) Propose(data []byte) error {
	return n.propose(proposal{data: data})
}

// ProposeInTerm is like Propose for data that depends on state read in the given
// leader term. It returns NotLeader if the term has changed since, and the
// proposal is dropped if the term changes before it reaches the log.
func (n *Node) ProposeInTerm(term uint64, data []byte) error {
	return n.propose(proposal{data: data, term: term})
}

func (n *Node) propose(p proposal) error {
	st := n.status.Load()
	switch {
	case st.Role != raft.Leader, p.term != 0 && st.Term != p.term:
		n.metrics.refused(errkind.NotLeader)
		return errkind.New(errkind.NotLeader, "this replica is not the leader")
	case len(p.data) > maxProposalBytes:
		n.metrics.refused(errkind.BodyTooLarge)
		return errkind.New(errkind.BodyTooLarge, "the proposal exceeds the limit of %d bytes", maxProposalBytes)
	case n.lacksSpace():
		n.metrics.refused(errkind.StorageFull)
		return errkind.New(errkind.StorageFull, "the disk of the leader is full; retry once it has free space")
	case !n.inbox.addProposal(p, st.uncommittedBytes):
		n.metrics.refused(errkind.Overloaded)
		return errkind.New(errkind.Overloaded, "too many bytes of proposals wait to be committed; retry later")
	}
	return nil
}

// Receive queues messages from the replica at address from. Messages that exceed
// the limit of the inbox are dropped.
func (n *Node) Receive(from string, msgs []Message) {
	n.metrics.dropped.Add(float64(n.inbox.addMessages(from, msgs)))
}

// LeaseValid reports whether this replica leads and a quorum has acknowledged it
// so recently that no other leader can have been elected. It is measured by a
// clock that counts time spent frozen, and cheap to call.
func (n *Node) LeaseValid() bool {
	until := n.leaseUntil.Load()
	return until != 0 && !n.failed.Load() && (until == math.MaxInt64 || int64(n.opts.Now()) < until)
}

// ReadIndex returns an index such that a state which has applied it contains
// every entry committed before the call. It confirms leadership with a quorum,
// and returns NotLeader if this replica does not lead.
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
	return errkind.New(errkind.NotLeader, "this replica is not the leader")
}

// open creates and locks the data folder and restores the replica from it.
func (n *Node) open() error {
	if err := n.opts.FS.MkdirAll(n.opts.Dir); err != nil {
		return fmt.Errorf("replica: create data folder: %w", err)
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
