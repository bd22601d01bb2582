package route

import (
	"context"
	"io"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"gotest.tools/v3/assert"

	"github.com/filbertmast/filbertmast/internal/errkind"
	"github.com/filbertmast/filbertmast/internal/journal"
	"github.com/filbertmast/filbertmast/internal/limit"
	"github.com/filbertmast/filbertmast/internal/model"
	"github.com/filbertmast/filbertmast/internal/owner"
)

const (
	testRegion  = "south"
	testService = "stands"
	testTeam    = "workshop"
)

func quiet() *log.Logger { return log.New(io.Discard) }

// leader is the leader's side of limits, ownership and journal in one process.
type leader struct {
	mu      sync.Mutex
	granter *limit.Granter
	table   *owner.Table
	journal *journal.Journal
	index   uint64
	limit   int64
	most    int64 // most permits outstanding
	lose    func(step string) bool
}

func newLeader(teamLimit int64) *leader {
	l := &leader{
		granter: limit.NewGranter(limit.Options{}),
		table:   owner.NewTable(owner.Options{}),
		journal: journal.New(journal.Options{Keep: time.Minute, KeepBytes: 16 << 10, MaxRecords: 100000}),
		limit:   teamLimit,
	}
	l.granter.SetLimit(testTeam, teamLimit)
	l.table.NewTerm(1, 0, 0)
	return l
}

func (l *leader) now() model.Time { return model.TimeOf(time.Now()) }

// lost reports whether the answer of this step is to be lost.
func (l *leader) lost(step string) error {
	if l.lose != nil && l.lose(step) {
		return errkind.New(errkind.Internal, "the answer was lost")
	}
	return nil
}

func (l *leader) fence() model.Fence {
	l.index++
	return model.Fence{Term: 1, Index: l.index}
}

// Start implements JournalClient.
func (l *leader) Start(_ context.Context, k journal.Key, digest [32]byte, writer string, deadline time.Time) (journal.StartResult, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.journal.Expire(l.now())
	res := l.journal.Start(k, digest, l.fence(), writer, l.now(), model.TimeOf(deadline))
	return res, l.lost("start")
}

// Finish implements JournalClient.
func (l *leader) Finish(_ context.Context, k journal.Key, f model.Fence, a *journal.Answer) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.journal.Finish(k, f, a, l.now())
	return l.lost("finish")
}

// Abandon implements JournalClient.
func (l *leader) Abandon(_ context.Context, k journal.Key, f model.Fence, ran bool) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.journal.Abandon(k, f, ran, l.now())
	return l.lost("abandon")
}

// permitsOf is the way of one entry to the granter.
type permitsOf struct {
	leader *leader
	entry  string
}

// Ask implements limit.Upstream.
func (p permitsOf) RequestPermits(_ context.Context, demands []limit.Demand) ([]limit.Grant, error) {
	l := p.leader
	l.mu.Lock()
	defer l.mu.Unlock()
	grants := l.granter.HandleDemands(p.entry, 1, demands, l.now())
	l.most = max(l.most, l.granter.Outstanding(testTeam))
	return grants, l.lost("ask")
}

// cell is a leader, some entries and the way between them.
type cell struct {
	t       testing.TB
	leader  *leader
	history *history
	entries map[string]*testEntry
	renewMu sync.Mutex
	soon    chan struct{}
}

// renewSoon has the leases renewed before the next tick.
func (c *cell) renewSoon() {
	select {
	case c.soon <- struct{}{}:
	default:
	}
}

// testEntry is one entry process.
type testEntry struct {
	name   string
	cell   *cell
	leases *owner.Leases
	owner  *Owner
	router *Router
	pool   *limit.Pool
	dir    *Directory
	cut    atomic.Bool // neither leader nor peers can reach it
}

func newCell(t testing.TB, teamLimit int64, names ...string) *cell {
	t.Helper()
	c := &cell{t: t, leader: newLeader(teamLimit), history: newHistory(), entries: make(map[string]*testEntry), soon: make(chan struct{}, 1)}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	for _, name := range names {
		e := c.newEntry(name)
		c.entries[name] = e
		go e.pool.Run(ctx)
	}
	go c.keepRenewing(ctx)
	return c
}

// keepRenewing keeps the leases alive.
func (c *cell) keepRenewing(ctx context.Context) {
	ticker := time.NewTicker(owner.DefaultLease / 3)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-c.soon:
		}
		c.renew()
	}
}

func (c *cell) newEntry(name string) *testEntry {
	e := &testEntry{name: name, cell: c, dir: NewDirectory()}
	e.leases = owner.NewLeases(name, name, testRegion, 1)
	e.pool = limit.NewPool(limit.PoolOptions{Upstream: permitsOf{c.leader, name}, Log: quiet()})
	e.owner = NewOwner(OwnerOptions{Leases: e.leases, RenewSoon: c.renewSoon, Log: quiet()})
	e.router = NewRouter(RouterOptions{
		Entry:     name,
		Region:    testRegion,
		Directory: e.dir,
		Local:     e.owner,
		Peers:     c,
		Permits:   e.pool,
		Journal:   c.leader,
		Log:       quiet(),
	})
	return e
}

// Forward implements Peers.
func (c *cell) Forward(ctx context.Context, to string, h *ForwardHeader, body io.Reader) (*Answer, error) {
	e := c.entries[to]
	if e.cut.Load() {
		return nil, errkind.New(errkind.Unreachable, "cut off")
	}
	return e.owner.Handle(ctx, h, body)
}

func (c *cell) announce(specs ...model.ExecutorSpec) {
	c.leader.mu.Lock()
	for _, s := range specs {
		c.leader.table.Announce(s, testRegion, false)
	}
	c.leader.mu.Unlock()
	c.renew()
}

// renew lets every entry renew until ownership has settled.
func (c *cell) renew() {
	c.renewMu.Lock()
	defer c.renewMu.Unlock()
	for range 8 {
		for _, e := range c.entries {
			if !e.cut.Load() {
				c.renewOne(e)
			}
		}
	}
}

func (c *cell) renewOne(e *testEntry) {
	r := e.leases.Renewal(time.Now(), e.owner.Load(), e.owner.Life())
	c.leader.mu.Lock()
	answer, ok := c.leader.table.Renew(r, c.leader.now())
	version, rows := c.leader.table.Directory()
	c.leader.mu.Unlock()
	if ok {
		e.leases.Apply(&answer)
	}
	e.owner.Update()
	for _, o := range c.entries {
		o.dir.Update(version, rows)
	}
}

// ask sends one request through an entry and returns the whole answer.
func (e *testEntry) ask(id string, repeatable bool, wait time.Duration) (string, error) {
	ans, err := e.router.Serve(context.Background(), request(id, repeatable, wait))
	if err != nil {
		return "", err
	}
	defer ans.Body.Close()
	b, err := io.ReadAll(ans.Body)
	return string(b), err
}

func request(id string, repeatable bool, wait time.Duration) *Request {
	body := "body of " + id
	return &Request{
		ID:         id,
		Keyed:      true,
		Team:       testTeam,
		Service:    testService,
		Path:       "fit",
		Body:       strings.NewReader(body),
		Size:       int64(len(body)),
		Deadline:   time.Now().Add(wait),
		Repeatable: repeatable,
	}
}

func TestARequestThroughAnotherEntryGetsItsAnswer(t *testing.T) {
	c := newCell(t, 100, "a", "b")
	c.announce(newStandIn(t, c.history, "x1", nil).spec(testService, 8, 60))
	for _, repeatable := range []bool{true, false} {
		for _, e := range c.entries {
			id := e.name + map[bool]string{true: "-r", false: "-n"}[repeatable]
			got, err := e.ask(id, repeatable, 5*time.Second)
			assert.NilError(t, err)
			assert.Equal(t, got, "answer to "+id)
			assert.Equal(t, c.history.count(id), 1)
		}
	}
}
