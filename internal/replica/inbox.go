package replica

import (
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/filbertmast/filbertmast/internal/replica/raft"
)

type proposal struct {
	data []byte
	term uint64 // zero: any
}

// received is a message and the address that it came from.
type receivedMessage struct {
	from string
	msg  Message
}

// batch is what the loop takes from the inbox at once.
type batch struct {
	messages  []receivedMessage
	chunks    []receivedChunk
	proposals []proposal
	marks     []raft.Mark
	calls     []func()
}

const (
	// groupRate and groupBurst bound the groups of proposals a second that the
	// loop takes. Each group costs a sync and a round of messages, so that beyond
	// the rate proposals wait to share one; calls now and then never wait.
	groupRate  = 200
	groupBurst = 20
	// groupRetry is the time between looks at proposals that wait for their group.
	groupRetry = time.Second / groupRate
)

// inbox collects the loop's input, within bounds.
type inbox struct {
	wake   chan struct{}
	groups *rate.Limiter

	mu            sync.Mutex
	next          batch
	messageBytes  int
	proposalBytes int
	wakeScheduled bool // a signal for waiting proposals is on its way
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
	if len(out.proposals) > 0 && !b.groups.Allow() {
		b.next.proposals = out.proposals
		out.proposals = nil
		b.scheduleWake()
		return out
	}
	b.proposalBytes = 0
	return out
}

// scheduleWake wakes the loop once the waiting proposals may go. Callers hold b.mu.
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

// messageSize is about the memory of m in bytes.
func messageSize(m Message) int {
	const overhead = 160
	size := overhead
	for _, e := range m.Entries {
		size += overhead/2 + len(e.Data)
	}
	return size
}

// addMessages returns how many messages there was no room for.
func (b *inbox) addMessages(from string, msgs []Message) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	defer b.signal()
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

// addProposal reports false where too much waits; uncommitted is what the core
// held when it was last looked at, in bytes.
func (b *inbox) addProposal(p proposal, uncommitted int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.proposalBytes+len(p.data)+uncommitted > maxUncommittedBytes {
		return false
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
	b.signal()
}

// addCall runs f on the loop.
func (b *inbox) addCall(f func()) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.next.calls = append(b.next.calls, f)
	b.signal()
}

// addressTable knows where each replica is reached.
type addressTable struct {
	mu      sync.Mutex
	config  raft.Config
	learned map[ID]string
}

func (a *addressTable) setConfig(c raft.Config) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.config = c
}

// learn notes the address of a replica that is not in the membership known here.
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
	a.mu.Lock()
	defer a.mu.Unlock()
	if p, ok := a.config.Find(id); ok {
		return p.Address, true
	}
	address, ok := a.learned[id]
	return address, ok
}
