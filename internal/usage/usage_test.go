package usage

import (
	"math"
	"math/big"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/filbertmast/filbertmast/internal/model"
	"github.com/filbertmast/filbertmast/internal/testseed"
)

// TestMain fixes the seed of the property tests, so that a run can be repeated.
func TestMain(m *testing.M) { testseed.Run(m) }

const hour = model.Duration(time.Hour)

// largest is what a team may have reserved at most: MaxResource on each of a million workers.
const largest = model.MaxResource * 1_000_000

func cpu(n int64) model.Resources { return model.Resources{CPU: n} }

// value returns the amount as a floating-point number.
func value(a Amount) float64 { return float64(a.Whole) + float64(a.Part)/math.Exp2(64) }

// bigAmount returns the amount in units of 2^-64.
func bigAmount(a Amount) *big.Int {
	v := new(big.Int).Lsh(new(big.Int).SetUint64(a.Whole), 64)
	return v.Add(v, new(big.Int).SetUint64(a.Part))
}

// Guards against an average that is wrong at the times at which its value is known exactly.
func TestAverageAtExactValues(t *testing.T) {
	rows := []struct {
		name     string
		before   int64 // reserved for so long that the average equals it
		after    int64 // reserved from then on
		elapsed  time.Duration
		halfLife model.Duration
		want     float64
	}{
		{"one half-life of use", 0, 1000, time.Hour, hour, 500},
		{"two half-lives of use", 0, 1000, 2 * time.Hour, hour, 750},
		{"ten half-lives of use", 0, 1024, 10 * time.Hour, hour, 1023},
		{"63 half-lives of use", 0, 1 << 62, 63 * time.Hour, hour, 1<<62 - 0.5},
		{"64 half-lives of use count as all", 0, largest, 64 * time.Hour, hour, largest},
		{"one half-life of idling", 1000, 0, time.Hour, hour, 500},
		{"half of a half-life", 0, 1000, 30 * time.Minute, hour, 1000 * (1 - math.Sqrt2/2)},
		{"one and a half half-lives of idling", 1000, 0, 90 * time.Minute, hour, 1000 * math.Sqrt2 / 4},
		{"a millisecond of a second", 0, 1_000_000, time.Millisecond, MinHalfLife, 1_000_000 * -math.Expm1(-math.Ln2/1000)},
		{"a millisecond of a year", 0, 1_000_000, time.Millisecond, MaxHalfLife, 1_000_000 * -math.Expm1(-math.Ln2/float64(MaxHalfLife.Millis()))},
		{"use that does not change", 700, 700, time.Minute, hour, 700},
		{"a decade at a half-life of a second", 1000, 3, 10 * 366 * 24 * time.Hour, MinHalfLife, 3},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			a := Average{At: 5, CPU: Amount{Whole: uint64(row.before)}}
			a.Advance(a.At.Add(row.elapsed), cpu(row.after), row.halfLife)
			assert.Assert(t, math.Abs(value(a.CPU)-row.want) <= 1e-9*max(row.want, 1e-3), "%v, want %v", value(a.CPU), row.want)
		})
	}
}

// Guards against a series that is too short or a constant that is off: every value is compared
// with one of 200 bits.
func TestWeightEqualsExactValue(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		x := rapid.Uint64().Draw(t, "x")
		got := new(big.Int).SetUint64(lostIn(x))
		diff := new(big.Int).Sub(got, exactLost(x))
		assert.Assert(t, diff.CmpAbs(big.NewInt(4)) <= 0, "1-2^-x for x=%d is off by %s x 2^-64", x, diff)
	})
}

// exactLost returns 1 - 2^-x in units of 2^-64, as a product of repeated square roots of a half.
func exactLost(x uint64) *big.Int {
	const precision = 200
	left := big.NewFloat(1).SetPrec(precision)
	root := big.NewFloat(0.5).SetPrec(precision)
	for bit := 63; bit >= 0; bit-- {
		root = new(big.Float).SetPrec(precision).Sqrt(root)
		if x&(1<<bit) != 0 {
			left.Mul(left, root)
		}
	}
	lost := new(big.Float).SetPrec(precision).Sub(big.NewFloat(1), left)
	out, _ := lost.SetMantExp(lost, 64).Int(nil)
	return out
}

// Guards against an overflow, or a value outside of what was ever reserved, at any amounts,
// durations and half-lives.
func TestAverageStaysBetweenWhatWasReserved(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := Average{}
		var most int64
		for range rapid.IntRange(1, 50).Draw(t, "updates") {
			halfLife := model.Duration(rapid.Int64Range(int64(MinHalfLife), int64(MaxHalfLife)).Draw(t, "half-life"))
			elapsed := rapid.Int64Range(0, 1<<42).Draw(t, "elapsed") >> rapid.IntRange(0, 42).Draw(t, "shift")
			reserved := rapid.Int64Range(0, largest).Draw(t, "reserved") >> rapid.IntRange(0, 60).Draw(t, "scale")
			most = max(most, reserved)
			before := bigAmount(a.CPU)
			a.Advance(a.At+model.Time(elapsed), cpu(reserved), halfLife)
			after, target := bigAmount(a.CPU), bigAmount(Amount{Whole: uint64(reserved)})
			low, high := before, target
			if low.Cmp(high) > 0 {
				low, high = high, low
			}
			assert.Assert(t, low.Cmp(after) <= 0 && after.Cmp(high) <= 0, "%s is not between %s and %s", after, low, high)
			assert.Assert(t, a.Resources().CPU <= most)
		}
	})
}

// Guards against rounding that adds up: a team whose tasks come and go in each millisecond has
// the same average as one that is computed at once.
func TestManySmallStepsEqualOneLargeStep(t *testing.T) {
	for _, halfLife := range []model.Duration{MinHalfLife, hour, MaxHalfLife} {
		for _, reserved := range []int64{1, 1000, model.MaxResource, largest} {
			steps, once := Average{}, Average{}
			const n = 100_000
			for i := range model.Time(n) {
				steps.Advance(i+1, cpu(reserved), halfLife)
			}
			once.Advance(n, cpu(reserved), halfLife)
			a, b := value(steps.CPU), value(once.CPU)
			assert.Assert(t, b > 0 && math.Abs(a-b) <= 1e-6*b, "half-life %s, reserved %d: %v in steps, %v at once", halfLife, reserved, a, b)
		}
	}
}

// Guards against time that goes backwards or stands still, which must change nothing.
func TestAverageIgnoresTimeThatDoesNotAdvance(t *testing.T) {
	a := Average{At: 1000, CPU: Amount{Whole: 7, Part: 9}}
	want := a
	a.Advance(1000, cpu(100), hour)
	assert.Equal(t, a, want)
	a.Advance(400, cpu(100), hour)
	assert.Equal(t, a, want)
}

// Guards against a record that is kept for ever, and against one that is dropped while it still
// counts: a single accelerator must be forgotten gradually.
func TestAverageBecomesNegligible(t *testing.T) {
	a := Average{Accelerators: Amount{Whole: 1}}
	a.Advance(a.At.Add(10*time.Hour), model.Resources{}, hour)
	assert.Assert(t, !a.Negligible())
	a.Advance(a.At.Add(7*time.Hour), model.Resources{}, hour)
	assert.Assert(t, a.Negligible())
}

func TestNegativeReservationCountsAsZero(t *testing.T) {
	a := Average{CPU: Amount{Whole: 8}}
	a.Advance(a.At.Add(time.Hour), cpu(-5), hour)
	assert.Equal(t, a.Resources().CPU, int64(4))
}

func BenchmarkAdvance(b *testing.B) {
	a := Average{}
	for b.Loop() {
		a.Advance(a.At+1, model.Resources{CPU: 64_000, Memory: 1 << 20, Accelerators: 8}, hour)
	}
}
