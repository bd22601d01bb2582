package replica

import (
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/filbertmast/filbertmast/internal/replica/raft"
)

type proposal struct {
	data []byte
	term uint64 // zero means any term
}

// receivedMessage is a message and the address that it came from.
type receivedMessage struct {
	from string
	msg  Message
}

// batch is the input that the loop takes from the inbox in one step.
type batch struct {
	messages  []receivedMessage
	chunks    []receivedChunk
	proposals []proposal
	marks     []raft.Mark
	calls     []func()
	// oldest is when the first of messages was queued.
	oldest time.Time
}

const (
	// groupRate and groupBurst limit how many groups of proposals a second the
	// loop takes. Each group costs a sync and a round of messages, so proposals
	// beyond the rate wait and share a group. Occasional proposals never wait.
	groupRate  = 200
	groupBurst = 20
	// groupRetry is the delay before the limit is checked again for waiting
	// proposals.
	groupRetry = time.Second / groupRate
	// maxGroupWait bounds how long proposals wait for a write in progress, after which
	// they share a group.
	maxGroupWait = 25 * time.Millisecond
)

// inbox collects the input of the loop, within limits on its memory.
type inbox struct {
	wake   chan struct{}
	groups *rate.Limiter

	mu            sync.Mutex
	next          batch
	messageBytes  int
	proposalBytes int
	waitingSince  time.Time // when the first waiting proposal was queued
	unwritten     int       // batches of entries that are being written or wait for it
	wakeScheduled bool      // a timer will signal the waiting proposals
}

func newInbox() inbox {
	return inbox{wake: make(chan struct{}, 1), groups: rate.NewLimiter(groupRate, groupBurst)}
}

func (b *inbox) signal() {
	select {
	case b.wake <- struct{}{}:
	default:
	}
}

func (b *inbox) take() batch {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := b.next
	b.next = batch{}
	b.messageBytes = 0
	if len(out.proposals) > 0 && !b.mayPropose() {
		b.next.proposals = out.proposals
		out.proposals = nil
		b.scheduleWake()
		return out
	}
	b.proposalBytes = 0
	return out
}

// mayPropose reports whether the waiting proposals are taken as a group. While entries are
// being written they wait, since they would be written after them anyway: one group then
// takes the place of several, with its messages. The caller holds b.mu.
func (b *inbox) mayPropose() bool {
	if b.unwritten > 0 && time.Since(b.waitingSince) < maxGroupWait {
		return false
	}
	return b.groups.Allow()
}

// addWrite counts a batch of entries that waits to be written.
func (b *inbox) addWrite() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.unwritten++
}

// scheduleWake wakes the loop after groupRetry, for the waiting proposals. The
// caller holds b.mu.
func (b *inbox) scheduleWake() {
	if b.wakeScheduled {
		return
	}
	b.wakeScheduled = true
	time.AfterFunc(groupRetry, func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.wakeScheduled = false
		b.signal()
	})
}

// messageSize returns the approximate memory of m in bytes.
func messageSize(m Message) int {
	const overhead = 160
	size := overhead
	for _, e := range m.Entries {
		size += overhead/2 + len(e.Data)
	}
	return size
}

// addMessages queues messages and returns how many of them were dropped because
// the inbox was full.
func (b *inbox) addMessages(from string, msgs []Message) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	defer b.signal()
	if len(b.next.messages) == 0 {
		b.next.oldest = time.Now()
	}
	for i, m := range msgs {
		size := messageSize(m)
		if b.messageBytes+size > maxInboxBytes {
			return len(msgs) - i
		}
		b.messageBytes += size
		b.next.messages = append(b.next.messages, receivedMessage{from: from, msg: m})
	}
	return 0
}

func (b *inbox) addChunk(from string, c SnapshotChunk) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	size := len(c.Data)
	if b.messageBytes+size > maxInboxBytes {
		return false
	}
	b.messageBytes += size
	b.next.chunks = append(b.next.chunks, receivedChunk{from: from, chunk: c})
	b.signal()
	return true
}

// addProposal queues p, or returns false if too many bytes are uncommitted.
// uncommitted is the size of the uncommitted entries in the core after its last
// step, in bytes.
func (b *inbox) addProposal(p proposal, uncommitted int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.proposalBytes+len(p.data)+uncommitted > maxUncommittedBytes {
		return false
	}
	if len(b.next.proposals) == 0 {
		b.waitingSince = time.Now()
	}
	b.proposalBytes += len(p.data)
	b.next.proposals = append(b.next.proposals, p)
	b.signal()
	return true
}

func (b *inbox) addMark(m raft.Mark) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.next.marks = append(b.next.marks, m)
	b.unwritten--
	b.signal()
}

// addCall queues f to run on the loop.
func (b *inbox) addCall(f func()) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.next.calls = append(b.next.calls, f)
	b.signal()
}

// addressTable maps replicas to their addresses.
type addressTable struct {
	self        ID     // this replica
	selfAddress string // may differ from the one in config after a restart
	mu          sync.Mutex
	config      raft.Config
	learned     map[ID]string
}

func (a *addressTable) setConfig(c raft.Config) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.config = c
}

// learn stores the address of a replica that is not in the current membership.
func (a *addressTable) learn(id ID, address string) {
	const maxLearned = 64
	a.mu.Lock()
	defer a.mu.Unlock()
	if _, known := a.config.Find(id); known || address == "" {
		return
	}
	if len(a.learned) >= maxLearned {
		clear(a.learned)
	}
	a.learned[id] = address
}

func (a *addressTable) find(id ID) (string, bool) {
	if id == a.self {
		return a.selfAddress, true
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if p, ok := a.config.Find(id); ok {
		return p.Address, true
	}
	address, ok := a.learned[id]
	return address, ok
}
