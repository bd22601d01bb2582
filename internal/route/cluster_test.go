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

// fakeLeader is the leader's side of limits, ownership and journal in one process.
type fakeLeader struct {
	mu             sync.Mutex
	granter        *limit.Granter
	table          *owner.Table
	journal        *journal.Journal
	index          uint64
	limit          int64
	maxOutstanding int64 // most permits outstanding
	dropReply      func(step string) bool
}

func newFakeLeader(teamLimit int64) *fakeLeader {
	l := &fakeLeader{
		granter: limit.NewGranter(limit.Options{}),
		table:   owner.NewTable(owner.Options{}),
		journal: journal.New(journal.Options{Retention: time.Minute, MaxAnswerBytes: 16 << 10, MaxRecords: 100000}),
		limit:   teamLimit,
	}
	l.granter.SetLimit(testTeam, teamLimit)
	l.table.NewTerm(1, 0, 0)
	return l
}

func (l *fakeLeader) now() model.Time { return model.TimeOf(time.Now()) }

// replyError reports whether the answer of this step is to be lost.
func (l *fakeLeader) replyError(step string) error {
	if l.dropReply != nil && l.dropReply(step) {
		return errkind.New(errkind.Internal, "the answer was lost")
	}
	return nil
}

func (l *fakeLeader) fence() model.Fence {
	l.index++
	return model.Fence{Term: 1, Index: l.index}
}

// Start implements JournalClient.
func (l *fakeLeader) Start(_ context.Context, k journal.Key, digest [32]byte, writer string, deadline time.Time) (journal.StartResult, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.journal.Expire(l.now())
	res := l.journal.Start(k, digest, l.fence(), writer, l.now(), model.TimeOf(deadline))
	return res, l.replyError("start")
}

// Finish implements JournalClient.
func (l *fakeLeader) Finish(_ context.Context, k journal.Key, f model.Fence, a *journal.Answer) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.journal.Finish(k, f, a, l.now())
	return l.replyError("finish")
}

// Abandon implements JournalClient.
func (l *fakeLeader) Abandon(_ context.Context, k journal.Key, f model.Fence, ran bool) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.journal.Abandon(k, f, ran, l.now())
	return l.replyError("abandon")
}

// permitUpstream is the way of one entry to the granter.
type permitUpstream struct {
	leader *fakeLeader
	entry  string
}

// RequestPermits implements limit.Upstream.
func (p permitUpstream) RequestPermits(_ context.Context, demands []limit.Demand) ([]limit.Grant, error) {
	l := p.leader
	l.mu.Lock()
	defer l.mu.Unlock()
	grants := l.granter.HandleDemands(p.entry, 1, demands, l.now())
	l.maxOutstanding = max(l.maxOutstanding, l.granter.Outstanding(testTeam))
	return grants, l.replyError("ask")
}

// testCluster is a leader, some entries and the way between them.
type testCluster struct {
	t             testing.TB
	leader        *fakeLeader
	history       *history
	entries       map[string]*testEntry
	renewMu       sync.Mutex
	renewRequests chan struct{}
}

// renewSoon has the leases renewed before the next tick.
func (c *testCluster) renewSoon() {
	select {
	case c.renewRequests <- struct{}{}:
	default:
	}
}

// testEntry is one entry process.
type testEntry struct {
	name        string
	cluster     *testCluster
	leases      *owner.Leases
	owner       *Owner
	router      *Router
	pool        *limit.Pool
	dir         *Directory
	partitioned atomic.Bool // neither leader nor peers can reach it
}

func newTestCluster(t testing.TB, teamLimit int64, names ...string) *testCluster {
	t.Helper()
	c := &testCluster{t: t, leader: newFakeLeader(teamLimit), history: newHistory(), entries: make(map[string]*testEntry), renewRequests: make(chan struct{}, 1)}
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
func (c *testCluster) keepRenewing(ctx context.Context) {
	ticker := time.NewTicker(owner.DefaultLease / 3)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-c.renewRequests:
		}
		c.renew()
	}
}

func (c *testCluster) newEntry(name string) *testEntry {
	e := &testEntry{name: name, cluster: c, dir: NewDirectory()}
	e.leases = owner.NewLeases(name, name, testRegion, 1)
	e.pool = limit.NewPool(limit.PoolOptions{Upstream: permitUpstream{c.leader, name}, Log: quiet()})
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
func (c *testCluster) Forward(ctx context.Context, to string, h *ForwardHeader, body io.Reader) (*Answer, error) {
	e := c.entries[to]
	if e.partitioned.Load() {
		return nil, errkind.New(errkind.Unreachable, "cut off")
	}
	return e.owner.Handle(ctx, h, body)
}

func (c *testCluster) announce(specs ...model.ExecutorSpec) {
	c.leader.mu.Lock()
	for _, s := range specs {
		c.leader.table.Announce(s, testRegion, false)
	}
	c.leader.mu.Unlock()
	c.renew()
}

// renew lets every entry renew until ownership has settled.
func (c *testCluster) renew() {
	c.renewMu.Lock()
	defer c.renewMu.Unlock()
	for range 8 {
		for _, e := range c.entries {
			if !e.partitioned.Load() {
				c.renewOne(e)
			}
		}
	}
}

func (c *testCluster) renewOne(e *testEntry) {
	r := e.leases.Renewal(time.Now(), e.owner.Load(), e.owner.RequestLifetime())
	c.leader.mu.Lock()
	answer, ok := c.leader.table.Renew(r, c.leader.now())
	version, rows := c.leader.table.Directory()
	c.leader.mu.Unlock()
	if ok {
		e.leases.Apply(&answer)
	}
	e.owner.Reconcile()
	for _, o := range c.entries {
		o.dir.Update(version, rows)
	}
}

// send sends one request through an entry and returns the whole answer.
func (e *testEntry) send(id string, repeatable bool, wait time.Duration) (string, error) {
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

func TestRequestThroughAnyEntryIsAnswered(t *testing.T) {
	c := newTestCluster(t, 100, "a", "b")
	c.announce(newStandIn(t, c.history, "x1", nil).spec(testService, 8, 60))
	for _, repeatable := range []bool{true, false} {
		for _, e := range c.entries {
			id := e.name + map[bool]string{true: "-r", false: "-n"}[repeatable]
			got, err := e.send(id, repeatable, 5*time.Second)
			assert.NilError(t, err)
			assert.Equal(t, got, "answer to "+id)
			assert.Equal(t, c.history.count(id), 1)
		}
	}
}
