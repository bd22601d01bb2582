package replica

import (
	"fmt"
	"io"
	"os"
	"sync"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"gotest.tools/v3/assert"

	"github.com/filbertmast/filbertmast/internal/replica/raft"
	"github.com/filbertmast/filbertmast/internal/storage"
)

// network joins nodes in one process. Links can be cut one way.
type network struct {
	mu    sync.Mutex
	nodes map[string]*Node
	cut   map[[2]string]bool
}

func newNetwork() *network {
	return &network{nodes: map[string]*Node{}, cut: map[[2]string]bool{}}
}

type link struct {
	net  *network
	from string
}

func (l link) target(to string) *Node {
	l.net.mu.Lock()
	defer l.net.mu.Unlock()
	if l.net.cut[[2]string{l.from, to}] {
		return nil
	}
	return l.net.nodes[to]
}

func (l link) Send(to string, msgs []Message) {
	if n := l.target(to); n != nil {
		n.Receive(l.from, msgs)
	}
}

func (l link) SendSnapshot(to string, c SnapshotChunk) {
	if n := l.target(to); n != nil {
		n.ReceiveSnapshot(l.from, c)
	}
}

func (w *network) set(address string, n *Node) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.nodes[address] = n
}

func (w *network) setCut(from, to string, cut bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cut[[2]string{from, to}] = cut
}

// isolate cuts address off from all others, both ways, or heals that.
func (w *network) isolate(address string, cut bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for other := range w.nodes {
		w.cut[[2]string{address, other}] = cut
		w.cut[[2]string{other, address}] = cut
	}
}

// member is a node and the state that it has built.
type member struct {
	*Node
	mu      sync.Mutex
	changed *sync.Cond
	entries []Entry
	applied uint64
	lead    Leadership
	gone    bool
	drained chan struct{}
}

func startMember(tb testing.TB, w *network, o Options) *member {
	tb.Helper()
	m, err := tryStart(w, o)
	assert.NilError(tb, err)
	tb.Cleanup(func() { m.stop() })
	return m
}

func tryStart(w *network, o Options) (*member, error) {
	o.Transport = link{net: w, from: o.Address}
	if o.Tick == 0 {
		o.Tick = 5 * time.Millisecond
	}
	if os.Getenv("REPLICA_LOG") != "" {
		o.Logger = log.New(os.Stderr).With("at", o.Address)
	}
	n, err := Start(o)
	if err != nil {
		return nil, err
	}
	m := &member{Node: n, drained: make(chan struct{})}
	m.changed = sync.NewCond(&m.mu)
	w.set(o.Address, n)
	go m.take()
	return m, nil
}

func (m *member) stop() {
	_ = m.Close()
	<-m.drained
}

func (m *member) take() {
	defer close(m.drained)
	for u := range m.Updates() {
		m.apply(u)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.gone = true
	m.changed.Broadcast()
}

func (m *member) apply(u Update) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if u.Snapshot != nil {
		m.entries = decodeState(u.Snapshot.Data)
		_ = u.Snapshot.Data.Close()
	}
	m.entries = append(m.entries, u.Entries...)
	m.applied = u.Index
	if u.Leadership != nil {
		m.lead = *u.Leadership
	}
	m.changed.Broadcast()
}

// await waits until ok holds under the lock.
func (m *member) await(ok func() bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for !ok() && !m.gone {
		m.changed.Wait()
	}
}

func (m *member) awaitEntries(n int) []Entry {
	m.await(func() bool { return len(m.entries) >= n })
	m.mu.Lock()
	defer m.mu.Unlock()
	return append([]Entry(nil), m.entries...)
}

func (m *member) save(tb testing.TB) {
	m.mu.Lock()
	index := m.applied
	entries := append([]Entry(nil), m.entries...)
	m.mu.Unlock()
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

// awaitLeader returns the member that is ready to lead.
func awaitLeader(members ...*member) *member {
	for {
		for _, m := range members {
			m.mu.Lock()
			ready := m.lead.Ready
			m.mu.Unlock()
			if ready && m.LeaseValid() {
				return m
			}
		}
		time.Sleep(time.Millisecond)
	}
}

func founders(n int) []Founder {
	var out []Founder
	for i := range n {
		out = append(out, Founder{Address: fmt.Sprintf("10.0.0.%d:7000", i+1)})
	}
	return out
}

func startGroup(tb testing.TB, w *network, n int) []*member {
	tb.Helper()
	var out []*member
	list := founders(n)
	for i, f := range list {
		out = append(out, startMember(tb, w, Options{
			Dir: tb.TempDir(), Address: f.Address, Founders: list, Seed: uint64(i + 1),
		}))
	}
	return out
}

func TestSoleFounderCommitsAndRestarts(t *testing.T) {
	w := newNetwork()
	o := Options{Dir: t.TempDir(), Address: "10.0.0.1:7000", Founders: founders(1)}
	m := startMember(t, w, o)
	awaitLeader(m)
	for i := range 100 {
		assert.NilError(t, m.Propose(fmt.Appendf(nil, "v%d", i)))
	}
	before := m.awaitEntries(100)
	m.stop()

	m = startMember(t, w, o)
	awaitLeader(m)
	assert.DeepEqual(t, m.awaitEntries(100), before)
}

func TestThreeFoundersReplicate(t *testing.T) {
	w := newNetwork()
	group := startGroup(t, w, 3)
	leader := awaitLeader(group...)
	for i := range 200 {
		assert.NilError(t, leader.Propose(fmt.Appendf(nil, "v%d", i)))
	}
	want := leader.awaitEntries(200)
	for _, m := range group {
		assert.DeepEqual(t, m.awaitEntries(200), want)
	}
	assert.Equal(t, leader.Status().Role, raft.Leader)
}

var _ storage.FS = storage.OS{}
