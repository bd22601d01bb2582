package limit

import (
	"context"
	"fmt"
	"io"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"github.com/filbertmast/filbertmast/internal/errkind"
	"github.com/filbertmast/filbertmast/internal/model"
)

// demandOf returns the demand of a holder that uses all the permits it holds.
func demandOf(seq uint64, inUse, want int64) []Demand {
	return []Demand{{Team: simTeam, Seq: seq, Held: inUse, InUse: inUse, Want: want, DeadlineMS: 1000, Leased: true}}
}

func newTestGranter(limit int64) *Granter {
	g := NewGranter(Options{})
	g.SetLimit(simTeam, limit)
	return g
}

func TestLimitIsDividedFairly(t *testing.T) {
	for _, row := range []struct {
		name  string
		limit int64
		wants []int64
		got   []int64
	}{
		{"every need is met within the limit", 10, []int64{2, 3, 5}, []int64{2, 3, 5}},
		{"contended limit is divided evenly", 9, []int64{9, 9, 9}, []int64{3, 3, 3}},
		{"small need is met before large ones share the rest", 10, []int64{1, 50, 50}, []int64{1, 5, 4}},
		{"single permit goes to one of eight holders", 1, []int64{1, 1, 1, 1, 1, 1, 1, 1}, []int64{1, 0, 0, 0, 0, 0, 0, 0}},
		{"limit of zero grants nothing", 0, []int64{5}, []int64{0}},
	} {
		t.Run(row.name, func(t *testing.T) {
			g := newTestGranter(row.limit)
			held := make([]int64, len(row.wants))
			for round := range 6 {
				for i, want := range row.wants {
					name := fmt.Sprintf("e%d", i)
					grants := g.HandleDemands(name, 1, demandOf(uint64(round+1), held[i], want-held[i]), 0)
					held[i] = grants[0].Permits
				}
			}
			assert.DeepEqual(t, held, row.got)
		})
	}
}

// serveContended simulates eight entry processes that always have requests
// waiting, and returns how many requests each has served.
func serveContended(t *testing.T, limit int64) []int {
	t.Helper()
	const (
		step    = 5 * time.Millisecond
		service = 10 * time.Millisecond
		steps   = 20000
	)
	now := time.Unix(1000, 0)
	g := newTestGranter(limit)
	type client struct {
		pool  *Pool
		wait  *waiter
		until time.Time
	}
	clients := make([]*client, 8)
	for i := range clients {
		up := upstreamFunc(func(d []Demand) []Grant {
			return g.HandleDemands(fmt.Sprintf("e%d", i), 1, d, model.TimeOf(now))
		})
		clients[i] = &client{pool: NewPool(PoolOptions{Upstream: up, Now: func() time.Time { return now }})}
	}
	served := make([]int, len(clients))
	for n := range steps {
		now = now.Add(step)
		running := int64(0)
		for i, c := range clients {
			if !c.until.IsZero() && !now.Before(c.until) {
				c.pool.release(simTeam)
				c.until = time.Time{}
				served[i]++
			}
			if c.wait == nil && c.until.IsZero() {
				w, ok := c.pool.acquireOrWait(simTeam, now.Add(time.Second))
				c.wait = w
				if ok {
					c.until = now.Add(service)
				}
			}
			if n%4 == i%4 {
				c.pool.exchange(context.Background(), true)
			}
			if c.wait != nil {
				select {
				case <-c.wait.ready:
					c.wait, c.until = nil, now.Add(service)
				default:
				}
			}
			if !c.until.IsZero() {
				running++
			}
		}
		assert.Assert(t, running <= limit, "%d requests run at once", running)
	}
	return served
}

type upstreamFunc func([]Demand) []Grant

func (f upstreamFunc) RequestPermits(_ context.Context, d []Demand) ([]Grant, error) {
	return f(d), nil
}

func TestEntriesShareSmallLimitByTurns(t *testing.T) {
	for _, limit := range []int64{1, 2} {
		served := serveContended(t, limit)
		least, most := served[0], served[0]
		for _, n := range served {
			least, most = min(least, n), max(most, n)
		}
		t.Logf("limit %d: served %v", limit, served)
		assert.Assert(t, least > 0)
		assert.Assert(t, most <= 2*least, "requests served by entry process: %v", served)
	}
}

func TestIdlePermitsMoveToWaitingEntry(t *testing.T) {
	g := newTestGranter(10)
	assert.Equal(t, g.HandleDemands("a", 1, demandOf(1, 0, 10), 0)[0].Permits, int64(10))
	assert.Equal(t, g.HandleDemands("b", 1, demandOf(1, 0, 10), 0)[0].Permits, int64(0))
	// "a" has become idle: its permits are revoked, and stay counted until it
	// reports that it holds none.
	idle := []Demand{{Team: simTeam, Seq: 2, Held: 10, DeadlineMS: 1000}}
	assert.Equal(t, g.HandleDemands("a", 1, idle, 10)[0].Permits, int64(0))
	assert.Equal(t, g.HandleDemands("b", 1, demandOf(2, 0, 10), 20)[0].Permits, int64(0))
	g.HandleDemands("a", 1, demandOf(3, 0, 0), 30)
	assert.Equal(t, g.HandleDemands("b", 1, demandOf(3, 0, 10), 40)[0].Permits, int64(10))
}

func TestRequestPastMaxDeadlineWaitsForNextGrant(t *testing.T) {
	now := time.Unix(1000, 0)
	g := newTestGranter(10)
	up := upstreamFunc(func(d []Demand) []Grant { return g.HandleDemands("a", 1, d, model.TimeOf(now)) })
	p := NewPool(PoolOptions{Upstream: up, Now: func() time.Time { return now }})
	for range 2 {
		w, ok := p.acquireOrWait(simTeam, now.Add(100*time.Millisecond))
		assert.Assert(t, !ok)
		defer func() { <-w.ready }()
	}
	p.exchange(context.Background(), true)
	p.release(simTeam)
	permits, inUse := p.Held(simTeam)
	assert.Assert(t, inUse < permits, "a permit is free")
	long := now.Add(time.Minute)
	w, ok := p.acquireOrWait(simTeam, long)
	assert.Assert(t, !ok, "the leader has not been told of a deadline this late")
	p.exchange(context.Background(), true)
	<-w.ready
	g.MarkLost("a", model.TimeOf(now))
	g.Tick(model.TimeOf(long.Add(-time.Second)))
	assert.Assert(t, g.Outstanding(simTeam) >= 2)
	g.Tick(model.TimeOf(long.Add(time.Hour)))
	assert.Equal(t, g.Outstanding(simTeam), int64(0))
}

func TestPermitsWithoutLeaseAreNotDeductedFromUnknown(t *testing.T) {
	g := NewGranter(Options{Ceilings: true})
	g.SetLimit(simTeam, 8)
	g.SetCeiling(simTeam, 8)
	g.NewTerm(0, time.Minute)
	// The old leader had granted all eight permits to "b". "a" resumed after a pause
	// with requests past their deadlines.
	g.HandleDemands("a", 1, []Demand{{Team: simTeam, Seq: 9, Held: 4, InUse: 4}}, 1)
	g.HandleDemands("a", 1, []Demand{{Team: simTeam, Seq: 10}}, 2)
	assert.Equal(t, g.Headroom(simTeam), int64(0))
	g.HandleDemands("b", 1, demandOf(5, 8, 0), 3)
	assert.Equal(t, g.Headroom(simTeam), int64(0))
	assert.Equal(t, g.Outstanding(simTeam), int64(8))
}

func TestLowerCeilingBindsBeforeCommit(t *testing.T) {
	g := NewGranter(Options{Ceilings: true})
	g.SetLimit(simTeam, 1000)
	g.SetCeiling(simTeam, 512)
	lower := g.Ceilings()
	assert.DeepEqual(t, lower, []Ceiling{{simTeam, minCeiling}})
	assert.Equal(t, g.HandleDemands("a", 1, demandOf(1, 0, 300), 0)[0].Permits, int64(minCeiling))
	assert.DeepEqual(t, g.Ceilings(), lower)
	g.SetCeiling(simTeam, lower[0].Permits)
	raise := g.Ceilings()
	assert.DeepEqual(t, raise, []Ceiling{{simTeam, 512}})
	assert.Equal(t, g.HandleDemands("a", 1, demandOf(2, 1, 299), 0)[0].Permits, int64(minCeiling))
	g.SetCeiling(simTeam, raise[0].Permits)
	assert.Equal(t, g.HandleDemands("a", 1, demandOf(3, 1, 299), 0)[0].Permits, int64(300))
}

func TestNewLeaderReservesOnlyCommittedCeiling(t *testing.T) {
	g := NewGranter(Options{Ceilings: true})
	g.SetLimit(simTeam, 1000)
	g.SetCeiling(simTeam, 64)
	g.NewTerm(0, time.Minute)
	assert.Equal(t, g.Headroom(simTeam), int64(1000-64))
	g.Tick(model.Time(2 * time.Minute.Milliseconds()))
	assert.Equal(t, g.Headroom(simTeam), int64(1000))
}

func TestNewTermReservesNothingForTeamWithoutCeiling(t *testing.T) {
	g := NewGranter(Options{Ceilings: true})
	g.NewTerm(0, time.Minute)
	g.SetLimit(simTeam, 2)
	assert.Equal(t, g.Headroom(simTeam), int64(2))
	assert.Equal(t, g.HandleDemands("a", 1, demandOf(1, 0, 2), 0)[0].Permits, int64(0), "no permit before the ceiling is committed")
	assert.DeepEqual(t, g.Ceilings(), []Ceiling{{simTeam, 2}})
	g.SetCeiling(simTeam, 2)
	assert.Equal(t, g.HandleDemands("a", 1, demandOf(2, 0, 2), 0)[0].Permits, int64(2))
}

func TestDelayedDemandIsIgnored(t *testing.T) {
	g := newTestGranter(4)
	g.HandleDemands("a", 1, demandOf(2, 0, 4), 0)
	assert.Equal(t, len(g.HandleDemands("a", 1, demandOf(1, 0, 0), 1)), 0)
	assert.Equal(t, g.Outstanding(simTeam), int64(4))
}

// lockedGranter is an Upstream that serializes access to one granter.
type lockedGranter struct {
	mu      *sync.Mutex
	granter *Granter
	entry   string
}

func (l lockedGranter) RequestPermits(_ context.Context, d []Demand) ([]Grant, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.granter.HandleDemands(l.entry, 1, d, model.TimeOf(time.Now())), nil
}

func TestConcurrentEntriesStayWithinLimit(t *testing.T) {
	const (
		limit    = 3
		entries  = 8
		clients  = 4  // of one entry
		requests = 10 // of one client
	)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var mu sync.Mutex
	g := NewGranter(Options{TimeSlice: time.Millisecond})
	g.SetLimit(simTeam, limit)
	var running, peak atomic.Int64
	var wg sync.WaitGroup
	for i := range entries {
		p := NewPool(PoolOptions{Upstream: lockedGranter{&mu, g, fmt.Sprintf("e%d", i)}, UrgentPeriod: time.Millisecond})
		go p.Run(ctx)
		for range clients {
			wg.Go(func() {
				for range requests {
					permit, err := p.Acquire(ctx, simTeam, time.Now().Add(time.Minute))
					assert.Check(t, err)
					n := running.Add(1)
					for old := peak.Load(); n > old && !peak.CompareAndSwap(old, n); old = peak.Load() {
					}
					runtime.Gosched()
					running.Add(-1)
					permit.Release()
				}
			})
		}
	}
	wg.Wait()
	assert.Assert(t, peak.Load() <= limit, "%d requests ran at once", peak.Load())
}

func TestAcquireErrorKinds(t *testing.T) {
	for _, row := range []struct {
		name     string
		upstream Upstream
		want     errkind.Kind
	}{
		{"leader grants none", upstreamFunc(func(d []Demand) []Grant {
			return []Grant{{Team: simTeam, Seq: d[0].Seq, LeaseMS: 60000}}
		}), errkind.LimitReached},
		{"no leader answers", failingUpstream{}, errkind.NoLeader},
	} {
		t.Run(row.name, func(t *testing.T) {
			p := NewPool(PoolOptions{Upstream: row.upstream, Log: log.New(io.Discard)})
			w, ok := p.acquireOrWait(simTeam, time.Now().Add(time.Minute))
			assert.Assert(t, !ok)
			p.exchange(context.Background(), true)
			_, err := p.stopWaiting(simTeam, w)
			assert.Equal(t, errkind.Of(err), row.want)
			assert.Assert(t, errkind.RowOf(errkind.Of(err)).NotRun)
		})
	}
}

type failingUpstream struct{}

func (failingUpstream) RequestPermits(context.Context, []Demand) ([]Grant, error) {
	return nil, errkind.New(errkind.NoLeader, "no leader")
}

// BenchmarkHandleDemands measures the leader's cost of one demand of one entry
// process for a team that every entry process uses, with a contended limit.
func BenchmarkHandleDemands(b *testing.B) {
	for _, entries := range []int{6, 8, 47} {
		b.Run(fmt.Sprintf("entries=%d", entries), func(b *testing.B) {
			g := newTestGranter(int64(entries) * 10)
			names := make([]string, entries)
			held := make([]int64, entries)
			for i := range names {
				names[i] = fmt.Sprintf("e%d", i)
			}
			b.ReportAllocs()
			for n := 0; b.Loop(); n++ {
				i := n % entries
				d := demandOf(uint64(n+1), held[i], 20)
				held[i] = g.HandleDemands(names[i], 1, d, model.Time(n))[0].Permits
			}
		})
	}
}

func TestWaitingRequestIsServedAfterRecordedDurationsDecay(t *testing.T) {
	now := time.Unix(1000, 0)
	limit := int64(0)
	up := upstreamFunc(func(d []Demand) []Grant {
		return []Grant{{Team: simTeam, Seq: d[0].Seq, Permits: limit, LeaseMS: 3000}}
	})
	p := NewPool(PoolOptions{Upstream: up, Now: func() time.Time { return now }})
	w, _ := p.acquireOrWait(simTeam, now.Add(time.Minute))
	for range 8 {
		now = now.Add(DefaultPeriod)
		p.exchange(context.Background(), true)
	}
	limit = 1
	p.exchange(context.Background(), true)
	select {
	case <-w.ready:
	default:
		t.Fatal("the waiter got no permit")
	}
}

// BenchmarkDemandAndGrantBytes measures how many bytes one team adds to a permit
// request and its answer.
func BenchmarkDemandAndGrantBytes(b *testing.B) {
	demand := Demand{Team: "team-042", Seq: 123456, Held: 12, InUse: 9, Want: 1, Spare: 3, DeadlineMS: 12000, Leased: true}
	grant := Grant{Team: "team-042", Seq: 123456, Permits: 13, LeaseMS: 3000}
	var demandBytes, grantBytes []byte
	for b.Loop() {
		demandBytes, _ = cbor.Marshal(demand)
		grantBytes, _ = cbor.Marshal(grant)
	}
	b.ReportMetric(float64(len(demandBytes)), "ask-bytes")
	b.ReportMetric(float64(len(grantBytes)), "answer-bytes")
}
