package link

import (
	"context"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/filbertmast/filbertmast/internal/errkind"
	"github.com/filbertmast/filbertmast/internal/testseed"
	"github.com/filbertmast/filbertmast/internal/wire"
)

const (
	testRate    = 100_000 // bytes per second
	burstBytes  = testRate / 4
	testTimeout = 30 * time.Second
	north       = "north"
)

// TestMain fixes the seed of the randomized tests, so that a run is
// reproducible.
func TestMain(m *testing.M) { testseed.Run(m) }

type clock struct{ now time.Time }

func (c *clock) Now() time.Time { return c.now }

func newBudget() (*Budget, *clock) {
	c := &clock{now: time.Unix(1_700_000_000, 0)}
	return New(Options{Rate: testRate, Now: c.Now, Registerer: prometheus.NewRegistry()}), c
}

// tryCopy charges a copy and reports whether it is admitted at once.
func tryCopy(b *Budget, n int) bool { return b.tryCharge(wire.ClassSnapshot, north, n) <= 0 }

func tryRequest(b *Budget, n int) bool {
	return b.Admit(context.Background(), wire.ClassRequest, north, n) == nil
}

func TestSpentBudgetRefusesRequestsWithRetryAfter(t *testing.T) {
	b, c := newBudget()
	assert.Assert(t, tryRequest(b, burstBytes+1000))
	err := b.Admit(context.Background(), wire.ClassRequest, north, 1)
	assert.Equal(t, errkind.Of(err), errkind.Overloaded)
	assert.Assert(t, errkind.RowOf(errkind.Of(err)).NotRun)
	c.now = c.now.Add(errkind.RetryAfter(err) - time.Millisecond)
	assert.Assert(t, !tryRequest(b, 1))
	c.now = c.now.Add(2 * time.Millisecond)
	assert.Assert(t, tryRequest(b, 1))
}

func TestConsensusIsAdmittedOverBudgetAndCharged(t *testing.T) {
	b, c := newBudget()
	assert.Assert(t, tryRequest(b, burstBytes+1))
	for range 10 {
		assert.NilError(t, b.Admit(context.Background(), wire.ClassConsensus, north, testRate/10))
		assert.NilError(t, b.Continue(context.Background(), wire.ClassConsensus, north, 0))
	}
	c.now = c.now.Add(999 * time.Millisecond)
	assert.Assert(t, !tryRequest(b, 1))
	c.now = c.now.Add(2 * time.Millisecond)
	assert.Assert(t, tryRequest(b, 1))
}

func TestConsensusDebtIsBounded(t *testing.T) {
	b, c := newBudget()
	assert.NilError(t, b.Admit(context.Background(), wire.ClassConsensus, north, 100*testRate))
	c.now = c.now.Add(maxDebtTime + time.Millisecond)
	assert.Assert(t, tryRequest(b, 1))
}

func TestCopyLeavesReserve(t *testing.T) {
	b, c := newBudget()
	assert.Assert(t, tryCopy(b, burstBytes/2))
	assert.Assert(t, !tryCopy(b, 1))
	assert.Assert(t, tryRequest(b, 1))
	c.now = c.now.Add(burstTime)
	assert.Assert(t, tryCopy(b, 1))
}

func TestCopyYieldsToWaitingRequest(t *testing.T) {
	b, _ := newBudget()
	done := b.countWaiting(wire.ClassRequest, north)
	assert.Assert(t, !tryCopy(b, 1))
	assert.Assert(t, !tryRequest(b, 1)) // a new request has to wait as well
	done()
	assert.Assert(t, tryCopy(b, 1))
}

func TestCopyWaitsForBudgetUntilContextEnds(t *testing.T) {
	b := New(Options{Rate: testRate, Registerer: prometheus.NewRegistry()})
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	assert.Assert(t, tryRequest(b, burstBytes))
	assert.NilError(t, b.Admit(ctx, wire.ClassSnapshot, north, 1))
	assert.Assert(t, tryRequest(b, 100*testRate))
	ended, end := context.WithCancel(ctx)
	end()
	err := b.Admit(ended, wire.ClassSnapshot, north, 1)
	assert.Equal(t, errkind.Of(err), errkind.DeadlineExceeded)
}

func TestRegionsHaveSeparateBudgets(t *testing.T) {
	b, _ := newBudget()
	assert.Assert(t, tryRequest(b, 2*burstBytes))
	assert.Assert(t, !tryRequest(b, 1))
	assert.NilError(t, b.Admit(context.Background(), wire.ClassRequest, "south", 1))
}

// TestBudgetInvariantsUnderMixedTraffic checks that requests and copies never
// exceed the rate, that consensus is never refused, and that a request is
// refused only when the budget is spent.
func TestBudgetInvariantsUnderMixedTraffic(t *testing.T) {
	const maxMessage = 5000
	rapid.Check(t, func(t *rapid.T) {
		b, c := newBudget()
		start := c.now
		used, consensus := 0, 0
		t.Repeat(map[string]func(*rapid.T){
			"wait": func(t *rapid.T) {
				c.now = c.now.Add(time.Duration(rapid.IntRange(0, 50).Draw(t, "ms")) * time.Millisecond)
			},
			"consensus": func(t *rapid.T) {
				n := rapid.IntRange(1, maxMessage).Draw(t, "bytes")
				if err := b.Admit(context.Background(), wire.ClassConsensus, north, n); err != nil {
					t.Fatal(err)
				}
				consensus += n
			},
			"request": func(t *rapid.T) {
				n := rapid.IntRange(1, maxMessage).Draw(t, "bytes")
				if tryRequest(b, n) {
					used += n
				}
			},
			"copy": func(t *rapid.T) {
				n := rapid.IntRange(1, maxMessage).Draw(t, "bytes")
				if tryCopy(b, n) {
					used += n
				}
			},
			"": func(t *rapid.T) {
				allowed := int(c.now.Sub(start).Seconds()*testRate) + burstBytes + maxMessage + 1
				if used > allowed {
					t.Fatalf("%d bytes of requests and copies were admitted, want at most %d", used, allowed)
				}
				if consensus == 0 && used+maxMessage < int(c.now.Sub(start).Seconds()*testRate)/100 && !tryRequest(b, 1) {
					t.Fatal("a request was refused although the budget is not spent")
				}
			},
		})
	})
}

func TestUnusedBudgetIsCappedAtBurst(t *testing.T) {
	b, c := newBudget()
	assert.Assert(t, tryRequest(b, 1))
	c.now = c.now.Add(time.Hour)
	assert.Assert(t, tryRequest(b, burstBytes))
	assert.Assert(t, !tryRequest(b, 1))
}

func TestEachRegionHasItsOwnRate(t *testing.T) {
	c := &clock{now: time.Unix(1_700_000_000, 0)}
	b := New(Options{Rate: Unlimited, Rates: map[string]int64{north: testRate}, Now: c.Now, Registerer: prometheus.NewRegistry()})
	ctx := context.Background()
	for range 3 {
		assert.NilError(t, b.Admit(ctx, wire.ClassRequest, "west", 1<<40))
	}
	assert.Assert(t, tryRequest(b, 2*burstBytes))
	assert.Assert(t, !tryRequest(b, 1))
	c.now = c.now.Add(burstTime + time.Millisecond)
	assert.Assert(t, tryRequest(b, 1))
}
