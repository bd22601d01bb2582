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
		assert.Assert(t, early >= 0.93, "after 15 ends %.3f of the workers are within 15%%", early)
		assert.Assert(t, late >= 0.98, "after 50 ends %.3f of the workers are within 15%%", late)
		assert.Assert(t, c.within(0.15) >= 0.99, "after 500 ends %.3f of the workers are within 15%%", c.within(0.15))
		misjudged := 0
		for i, e := range c.estimates {
			want := Fast
			if c.speeds[i] < 1 {
				want = Slow
			}
			if ClassOf(e.Permille(), want) != want {
				misjudged++
			}
		}
		assert.Assert(t, misjudged <= 2, "%d of %d workers are in the wrong class", misjudged, len(c.speeds))
	}
}

// TestEqualWorkersStayNormal guards against preferences among workers that do not differ, and
// against a class that changes all the time: each change moves a worker in the index.
func TestEqualWorkersStayNormal(t *testing.T) {
	c := newCell(3, slices.Repeat([]float64{2.5}, 120))
	classes := make([]Class, len(c.speeds))
	published, moved, steps := 0, 0, 0
	for c.ends[0] < 400 {
		c.play(1)
		steps++
		for i, e := range c.estimates {
			if e.Publish() {
				published++
			}
			if class := ClassOf(e.PublishedPermille(), classes[i]); class != classes[i] {
				classes[i] = class
				moved++
			}
		}
	}
	abnormal := 0
	for _, class := range classes {
		if class != Average {
			abnormal++
		}
	}
	assert.Assert(t, abnormal <= 1, "%d workers are not of the normal class", abnormal)
	assert.Assert(t, moved < 120, "%d changes of the class", moved)
	assert.Assert(t, published < 10*120, "%d published estimates after 400 tasks on each of 120 workers", published)
}

// pair returns two workers with the given weight of evidence, and a function that compares one
// run of the first, which took so many times as long as one of the second.
func pair(weight int32) (a, b *Estimate, compare func(times float64)) {
	a, b = &Estimate{Weight: weight}, &Estimate{Weight: weight}
	both := []*Estimate{a, b}
	return a, b, func(times float64) {
		var s Sample
		s.Add(Run{Worker: 1, Length: LogOf(1000)}, 0, func(r *Run) *Estimate { return both[r.Worker] })
		s.Add(Run{Worker: 0, Length: LogOf(int64(1000 * times))}, 0, func(r *Run) *Estimate { return both[r.Worker] })
	}
}

// TestOutlierHasBoundedInfluence guards against a task that takes much longer than the others
// of its step: it must not make its worker look slow.
func TestOutlierHasBoundedInfluence(t *testing.T) {
	rows := []struct {
		name   string
		weight int32
		times  float64
		least  int64 // the estimate after it, from 1000, with one task to compare it with
	}{
		{"seven times as long, without evidence", 0, 7, 750},
		{"a thousand times as long, without evidence", 0, 1000, 750},
		{"seven times as long, after some fifteen tasks", 1000, 7, 970},
		{"a thousand times as long, after some fifteen tasks", 1000, 1000, 970},
		{"seven times as long, with all the evidence there may be", maxWeight, 7, 990},
	}
	for _, tt := range rows {
		t.Run(tt.name, func(t *testing.T) {
			a, b, compare := pair(tt.weight)
			compare(tt.times)
			got := a.Permille()
			assert.Assert(t, got >= tt.least && got < Normal, "%d", got)
			assert.Equal(t, a.Log, -b.Log, "the average must not move")
		})
	}

	// Many tasks to compare it with have more weight, which is bounded, too.
	estimates := make([]Estimate, maxRuns+1)
	var s Sample
	for i := range estimates {
		estimates[i].Weight = 1500 // that of some fifteen tasks
		length := int64(1000)
		if i == maxRuns {
			length = 1_000_000
		}
		s.Add(Run{Worker: int32(i), Length: LogOf(length)}, 0, func(r *Run) *Estimate { return &estimates[r.Worker] })
	}
	assert.Assert(t, estimates[maxRuns].Permille() >= 970, "%d", estimates[maxRuns].Permille())
	assert.Assert(t, estimates[0].Permille() <= 1002, "%d", estimates[0].Permille())
}

// TestEstimateIsShrunkTowardsOne guards against an estimate that trusts its first task.
func TestEstimateIsShrunkTowardsOne(t *testing.T) {
	a, b, compare := pair(0)
	compare(1.9)
	// Each worker is the square root of 1.9 from the average, 725 and 1378, once that is known.
	assert.Assert(t, a.Permille() > 755 && a.Permille() < 800, "%d", a.Permille())
	assert.Assert(t, b.Permille() > 1250 && b.Permille() < 1325, "%d", b.Permille())
	for range 200 {
		compare(1.9)
	}
	assert.Assert(t, a.Permille() > 720 && a.Permille() < 732, "%d", a.Permille())
	assert.Assert(t, b.Permille() > 1365 && b.Permille() < 1390, "%d", b.Permille())
}

// TestChangedWorkerIsEstimatedAnew guards against history that outweighs what a worker is now.
func TestChangedWorkerIsEstimatedAnew(t *testing.T) {
	c := newCell(4, mixed(100))
	c.play(200)
	c.speeds[1] = 0.55
	c.play(60)
	assert.Equal(t, ClassOf(c.estimates[1].Permille(), Fast), Slow, "%d after 60 more tasks", c.estimates[1].Permille())

	c = newCell(4, mixed(100))
	c.play(200)
	c.speeds[1] = 0.55
	c.estimates[1].Restart()
	c.play(20)
	assert.Equal(t, ClassOf(c.estimates[1].Permille(), Fast), Slow, "%d after a restart and 20 more tasks", c.estimates[1].Permille())
}

// TestRunsOfVanishedWorkersAreIgnored guards against runs of an earlier incarnation, and
// against a sample that grows without bound.
func TestRunsOfVanishedWorkersAreIgnored(t *testing.T) {
	own := &Estimate{}
	var s Sample
	for i := range int32(3 * maxRuns) {
		change := s.Add(Run{Worker: i, Length: LogOf(1000 + int64(i))}, 0, func(r *Run) *Estimate {
			if r.Worker != i {
				return nil
			}
			return own
		})
		assert.Equal(t, change, int64(0))
		assert.Assert(t, len(s.Runs) <= maxRuns)
	}
	assert.Equal(t, *own, Estimate{})
	assert.Equal(t, s.Add(Run{}, 0, func(*Run) *Estimate { return nil }), int64(0))
}

func TestClassHasHysteresis(t *testing.T) {
	rows := []struct {
		permille int64
		before   Class
		want     Class
	}{
		{1000, Average, Average}, {550, Average, Slow}, {1200, Average, Fast}, {850, Average, Slow}, {851, Average, Average},
		{929, Slow, Slow}, {930, Slow, Average}, {1129, Average, Average}, {1130, Average, Fast}, {1041, Fast, Fast},
		{1040, Fast, Average}, {800, Fast, Slow}, {1300, Slow, Fast},
	}
	for _, tt := range rows {
		assert.Equal(t, ClassOf(tt.permille, tt.before), tt.want, "%d from %s", tt.permille, tt.before)
	}
	assert.Equal(t, Slow.String()+Average.String()+Fast.String(), "slownormalfast")
}

func TestScaleAndNormalizeAreInverse(t *testing.T) {
	assert.Equal(t, Scale(time.Minute, Normal), time.Minute)
	assert.Equal(t, Scale(time.Minute, 500), 2*time.Minute)
	assert.Equal(t, Normalize(2*time.Minute, 500), time.Minute)
	assert.Equal(t, Normalize(time.Minute, 1200), 72*time.Second)
	assert.Equal(t, Scale(time.Minute, 0), time.Minute, "an unknown speed")
}

// BenchmarkAdd adds a run to a full sample, as each end of a task does.
func BenchmarkAdd(b *testing.B) {
	estimates := make([]Estimate, maxRuns+1)
	var s Sample
	for i := range b.N {
		r := Run{Worker: int32(i % len(estimates)), Length: LogOf(int64(1000 + i%500))}
		s.Add(r, 0, func(r *Run) *Estimate { return &estimates[r.Worker] })
	}
}
