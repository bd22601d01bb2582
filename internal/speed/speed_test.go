package speed

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestLogAndPermilleMatchFloatingPoint guards against errors of the integer arithmetic, which
// no replica would notice, since all of them compute the same.
func TestLogAndPermilleMatchFloatingPoint(t *testing.T) {
	for _, v := range []int64{1, 2, 3, 7, 299, 300, 850, 1900, 5300, 37_100, 86_400_000, 1<<31 - 1, 1 << 31, 1<<31 + 1, 1 << 40, math.MaxInt64} {
		want := math.Log2(float64(v))
		got := float64(LogOf(v)) / float64(One)
		assert.Assert(t, math.Abs(got-want) < 1.0/(1<<precisionBits)+1e-9, "%d: %f, want %f", v, got, want)
	}
	assert.Equal(t, LogOf(0), Log(0))
	assert.Equal(t, LogOf(-5), Log(0))
	for _, permille := range []int64{125, 200, 550, 999, 1000, 1001, 1200, 2000, 7999, 8000} {
		got := (LogOf(permille) - LogOf(Normal)).Permille()
		assert.Assert(t, math.Abs(float64(got-permille)) <= 1+float64(permille)/2000, "%d: %d", permille, got)
	}
	assert.Equal(t, Log(0).Permille(), int64(Normal))
	assert.Equal(t, Log(math.MinInt32).Permille(), int64(125))
	assert.Equal(t, Log(math.MaxInt32).Permille(), int64(8000))
}

// cell simulates the ends of tasks on workers of known speeds.
type cell struct {
	rng       *rand.Rand
	speeds    []float64
	estimates []*Estimate
	ends      []int // by worker
	slowTail  float64
	spread    float64
}

func newCell(seed uint64, speeds []float64) *cell {
	c := &cell{rng: rand.New(rand.NewPCG(seed, 1)), speeds: speeds, ends: make([]int, len(speeds)), slowTail: 0.03, spread: 0.25}
	for range speeds {
		c.estimates = append(c.estimates, &Estimate{})
	}
	return c
}

// mixed returns the speeds of a cell of which a quarter of the workers are slow.
func mixed(workers int) []float64 {
	var out []float64
	for i := range workers {
		out = append(out, []float64{0.55, 1.2, 1.2, 1.2}[i%4])
	}
	return out
}

func (c *cell) center() Log {
	sum, n := int64(0), int64(0)
	for _, e := range c.estimates {
		if e.Weight > 0 {
			sum, n = sum+int64(e.Log), n+1
		}
	}
	return Log(sum / max(n, 1))
}

// step runs one step with tasks on the given workers, which all start at once, and adds their
// runs in the order in which they end.
func (c *cell) step(base time.Duration, workers []int) {
	type end struct {
		worker int
		ran    int64
	}
	var ends []end
	for _, w := range workers {
		work := float64(base.Milliseconds()) * math.Exp(c.spread*c.rng.NormFloat64())
		if c.rng.Float64() < c.slowTail {
			work *= 7
		}
		ends = append(ends, end{w, int64(work/c.speeds[w]) + c.rng.Int64N(40)})
	}
	slices.SortStableFunc(ends, func(a, b end) int { return int(a.ran - b.ran) })
	var s Sample
	for _, e := range ends {
		s.Add(Run{Worker: int32(e.worker), Length: LogOf(e.ran)}, c.center(), func(r *Run) *Estimate { return c.estimates[r.Worker] })
		c.ends[e.worker]++
	}
}

// play runs steps of 3 to 40 tasks until the workers have ended so many tasks on average.
func (c *cell) play(ends int) {
	bases := []time.Duration{850 * time.Millisecond, 1900 * time.Millisecond, 5300 * time.Millisecond, 5300 * time.Millisecond}
	for total := 0; total < ends*len(c.speeds); {
		workers := c.rng.Perm(len(c.speeds))[:3+c.rng.IntN(38)]
		c.step(bases[c.rng.IntN(len(bases))], workers)
		total += len(workers)
	}
}

// within returns the fraction of workers whose estimate differs by at most the given part of
// the true one.
func (c *cell) within(part float64) float64 {
	n := 0
	for i, e := range c.estimates {
		if got := float64(e.Permille()) / Normal; math.Abs(got/c.speeds[i]-1) <= part {
			n++
		}
	}
	return float64(n) / float64(len(c.speeds))
}

// TestEstimateIsCloseAfterFewEnds guards against an estimate that needs too many tasks, that is
// biased by the order in which tasks end, or that drifts. The speeds are those of a cell of
// which a quarter of the workers are slow.
func TestEstimateIsCloseAfterFewEnds(t *testing.T) {
	for seed := range uint64(5) {
		c := newCell(seed, mixed(352))
		c.play(15)
		early := c.within(0.15)
		c.play(35)
		late := c.within(0.15)
		c.play(450)
		assert.Assert(t, early >= 0.90, "after 15 ends %.3f of the workers are within 15%%", early)
		assert.Assert(t, late >= 0.97, "after 50 ends %.3f of the workers are within 15%%", late)
		assert.Assert(t, c.within(0.15) >= 0.97, "after 500 ends %.3f of the workers are within 15%%", c.within(0.15))
	}
}
