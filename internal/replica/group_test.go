package replica

import (
	"context"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"path"
	"sync"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"gotest.tools/v3/assert"

	"github.com/filbertmast/filbertmast/internal/storage/faultfs"
)

var verbose = flag.Bool("replica.log", false, "print the log of the replicas")

// network connects nodes in one process. Links can be cut in one direction, and
// can duplicate, delay and reorder messages.
type network struct {
	mu      sync.Mutex
	nodes   map[string]*Node
	cut     map[[2]string]bool
	rng     *rand.Rand // nil means that messages arrive in order
	delayed []delayedMessage
	bytes   func(msgs []Message) // observes all messages sent; may be nil

	// changed is broadcast when a member has applied an update.
	changed *sync.Cond
}

type delayedMessage struct {
	to   *Node
	from string
	msg  Message
}

func newNetwork() *network {
	w := &network{nodes: map[string]*Node{}, cut: map[[2]string]bool{}}
	w.changed = sync.NewCond(&w.mu)
	return w
}

// link is the transport of one process. After stop it sends nothing, like a
// process that has crashed.
type link struct {
	net     *network
	from    string
	mu      sync.Mutex
	stopped bool
}

func (l *link) stop() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stopped = true
}

func (l *link) target(to string) *Node {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.net.mu.Lock()
	defer l.net.mu.Unlock()
	if l.stopped || l.net.cut[[2]string{l.from, to}] {
		return nil
	}
	return l.net.nodes[to]
}

// Send delivers messages at once, or reordered if the network has a random
// source.
func (l *link) Send(to string, msgs []Message) {
	n := l.target(to)
	if n == nil {
		return
	}
	if l.net.bytes != nil {
		l.net.bytes(msgs)
	}
	if l.net.rng == nil {
		n.Receive(l.from, msgs)
		return
	}
	for _, h := range l.net.reorder(n, l.from, msgs) {
		h.to.Receive(h.from, []Message{h.msg})
	}
}

// reorder delays some messages, duplicates others, and releases some of those
// delayed earlier.
func (w *network) reorder(n *Node, from string, msgs []Message) []delayedMessage {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []delayedMessage
	for _, m := range msgs {
		h := delayedMessage{to: n, from: from, msg: m}
		switch w.rng.IntN(10) {
		case 0:
			w.delayed = append(w.delayed, h)
		case 1:
			out = append(out, h, h)
		default:
			out = append(out, h)
		}
	}
	for len(w.delayed) > 0 && w.rng.IntN(4) == 0 {
		i := w.rng.IntN(len(w.delayed))
		out = append(out, w.delayed[i])
		w.delayed = append(w.delayed[:i], w.delayed[i+1:]...)
	}
	return out
}

// SendSnapshot delivers a chunk at once.
func (l *link) SendSnapshot(to string, c SnapshotChunk) {
	if n := l.target(to); n != nil {
		n.ReceiveSnapshot(l.from, c)
	}
}

func (w *network) setCut(from, to string, cut bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cut[[2]string{from, to}] = cut
}

// isolate cuts or restores all links of m, in both directions.
func (w *network) isolate(m *member, cut bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for other := range w.nodes {
		w.cut[[2]string{m.opts.Address, other}] = cut
		w.cut[[2]string{other, m.opts.Address}] = cut
	}
}

// await waits until ok returns true. ok may read the states of members.
func (w *network) await(ok func() bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for !ok() {
		w.changed.Wait()
	}
}

// member is a node and the state that it has applied.
type member struct {
	*Node
	net        *network
	link       *link
	entries    []Entry // guarded by net.mu, like applied and leadership
	applied    uint64
	leadership Leadership
	drained    chan struct{}
}

func startMember(tb testing.TB, w *network, o Options) *member {
	tb.Helper()
	l := &link{net: w, from: o.Address}
	o.Transport = l
	if o.Tick == 0 {
		o.Tick = 5 * time.Millisecond
	}
	if *verbose {
		o.Logger = log.New(os.Stderr).With("at", o.Address)
	}
	n, err := Start(o)
	assert.NilError(tb, err)
	m := &member{Node: n, net: w, link: l, drained: make(chan struct{})}
	w.mu.Lock()
	w.nodes[o.Address] = n
	w.mu.Unlock()
	go m.consumeUpdates()
	tb.Cleanup(m.stop)
	return m
}

func (m *member) stop() {
	m.link.stop()
	_ = m.Close()
	<-m.drained
}

func (m *member) consumeUpdates() {
	defer close(m.drained)
	for u := range m.Updates() {
		m.apply(u)
	}
}

func (m *member) apply(u Update) {
	m.net.mu.Lock()
	defer m.net.mu.Unlock()
	if u.Snapshot != nil {
		m.entries = decodeState(u.Snapshot.Data)
		_ = u.Snapshot.Data.Close()
	}
	m.entries = append(m.entries, u.Entries...)
	m.applied = u.Index
	if u.Leadership != nil {
		m.leadership = *u.Leadership
	}
	m.net.changed.Broadcast()
}

func (m *member) state() []Entry {
	m.net.mu.Lock()
	defer m.net.mu.Unlock()
	return append([]Entry{}, m.entries...)
}

func (m *member) awaitEntries(n int) []Entry {
	m.net.await(func() bool { return len(m.entries) >= n })
	return m.state()
}

// awaitEqualState waits until all members have applied the entries committed on first,
// and checks that their states agree.
func awaitEqualState(t *testing.T, first *member, members ...*member) {
	t.Helper()
	index := first.Status().Commit
	for _, m := range members {
		m.net.await(func() bool { return m.applied >= index })
	}
	want := first.state()
	for _, m := range members {
		got := m.state()
		n := min(len(got), len(want))
		assert.DeepEqual(t, got[:n], want[:n])
	}
}

func (m *member) save(tb testing.TB) {
	m.net.mu.Lock()
	index := m.applied
	entries := append([]Entry(nil), m.entries...)
	m.net.mu.Unlock()
	if index == 0 {
		return
	}
	assert.NilError(tb, m.SaveSnapshot(index, func(w io.Writer) error { return encodeState(w, entries) }))
}

func encodeState(w io.Writer, entries []Entry) error {
	for _, e := range entries {
		if _, err := fmt.Fprintf(w, "%d %d %s\n", e.Index, e.Term, e.Data); err != nil {
			return err
		}
	}
	return nil
}

func decodeState(r io.Reader) []Entry {
	var out []Entry
	for {
		var e Entry
		var data string
		if _, err := fmt.Fscanf(r, "%d %d %s\n", &e.Index, &e.Term, &data); err != nil {
			return out
		}
		e.Data = []byte(data)
		out = append(out, e)
	}
}

// awaitLeader waits for a member that is ready to lead in the latest term among
// members, and returns it.
func awaitLeader(members ...*member) *member {
	var leader *member
	members[0].net.await(func() bool {
		term := uint64(0)
		leader = nil
		for _, m := range members {
			term = max(term, m.leadership.Term)
			if m.leadership.Ready {
				leader = m
			}
		}
		return leader != nil && leader.leadership.Term == term
	})
	return leader
}

// proposeUntilAccepted proposes to the current leader until the proposal is accepted.
func proposeUntilAccepted(data string, members ...*member) {
	for {
		if awaitLeader(members...).Propose([]byte(data)) == nil {
			return
		}
	}
}

func proposeMany(n int, members ...*member) {
	for i := range n {
		proposeUntilAccepted(fmt.Sprintf("v%d", i), members...)
	}
}

// awaitTicks waits until the members have counted n ticks.
func awaitTicks(tb testing.TB, n uint64, members ...*member) {
	tb.Helper()
	for _, m := range members {
		start := uint64(0)
		assert.NilError(tb, m.call(func() { start = m.ticks }))
		assert.NilError(tb, m.waitFor(context.Background(), func() (bool, error) { return m.ticks >= start+n, nil }))
	}
}

func founders(n int) []Founder {
	var out []Founder
	for i := range n {
		out = append(out, Founder{Address: fmt.Sprintf("10.0.0.%d:7000", i+1)})
	}
	return out
}

// groupOptions returns the options of n founders with disks in memory.
func groupOptions(n int) []Options {
	var out []Options
	list := founders(n)
	for i, f := range list {
		out = append(out, Options{
			Dir: path.Join("/", f.Address), FS: faultfs.New(), Address: f.Address,
			Founders: list, Seed: uint64(i + 1), SegmentBytes: 4 << 10, TrailingEntries: 20,
		})
	}
	return out
}

func startGroup(tb testing.TB, w *network, n int) []*member {
	tb.Helper()
	return startAll(tb, w, groupOptions(n))
}

// startStableGroup starts a group with timeouts long enough that its leader
// stays, also on a busy machine.
func startStableGroup(tb testing.TB, w *network, n int) []*member {
	tb.Helper()
	options := groupOptions(n)
	for i := range options {
		options[i].Tick = DefaultTick
	}
	return startAll(tb, w, options)
}

func startAll(tb testing.TB, w *network, options []Options) []*member {
	tb.Helper()
	var out []*member
	for _, o := range options {
		out = append(out, startMember(tb, w, o))
	}
	return out
}

func others(all []*member, not *member) []*member {
	var out []*member
	for _, m := range all {
		if m != not {
			out = append(out, m)
		}
	}
	return out
}

func testContext(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	t.Cleanup(cancel)
	return ctx
}
