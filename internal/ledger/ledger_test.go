package ledger

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

func TestPriceFor(t *testing.T) {
	minute, hour := model.Duration(time.Minute), model.Duration(time.Hour)
	points := []model.PricePoint{{Patience: 0, MicroUnits: 90}, {Patience: minute, MicroUnits: 30}, {Patience: hour, MicroUnits: 5}}
	for _, row := range []struct {
		name     string
		points   []model.PricePoint
		patience model.Duration
		want     int64
	}{
		{"price without points is zero", nil, hour, 0},
		{"no patience costs the first price", points, 0, 90},
		{"point applies from its own patience on", points, minute, 30},
		{"between two points the one of shorter patience applies", points, hour - 1, 30},
		{"longer patience than the last point costs its price", points, 24 * hour, 5},
		{"shorter patience than the first point costs its price", points[1:], 0, 30},
	} {
		t.Run(row.name, func(t *testing.T) {
			assert.Equal(t, PriceFor(row.points, row.patience), row.want)
		})
	}
}

func TestChargeIsTheExactProductRoundedDown(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		price := rapid.Int64Min(0).Draw(t, "price")
		cpu := rapid.Int64Min(0).Draw(t, "cpu")
		ran := time.Duration(rapid.Int64Min(0).Draw(t, "ran"))
		want := big.NewInt(price)
		want.Mul(want, big.NewInt(cpu))
		want.Mul(want, big.NewInt(ran.Milliseconds()))
		want.Div(want, big.NewInt(1_000_000))
		if !want.IsInt64() {
			want.SetInt64(math.MaxInt64)
		}
		assert.Equal(t, Charge(price, model.Resources{CPU: cpu}, ran), want.Int64())
	})
}

func TestChargeOfNonPositiveAmountsIsZero(t *testing.T) {
	one := model.Resources{CPU: 1000}
	assert.Equal(t, Charge(7, one, time.Second), int64(7))
	assert.Equal(t, Charge(7, one, -time.Second), int64(0))
	assert.Equal(t, Charge(-7, one, time.Second), int64(0))
	assert.Equal(t, Charge(7, model.Resources{CPU: -1}, time.Second), int64(0))
}

func TestEstimateDoesNotOverflow(t *testing.T) {
	spec := model.JobSpec{Tasks: 3, Size: model.Resources{CPU: 2000}, RunTime: model.Duration(time.Minute)}
	assert.Equal(t, Estimate(10, &spec), int64(3600))
	assert.Equal(t, Estimate(math.MaxInt64/100, &spec), int64(math.MaxInt64))
}

func TestAccountNeverRefundsMoreThanCharged(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var a Account
		var charged, refunded int64
		for range rapid.IntRange(0, 50).Draw(t, "steps") {
			amount := rapid.Int64Range(-10, 1000).Draw(t, "amount")
			if rapid.Bool().Draw(t, "refund") {
				refunded += a.Refund(amount)
			} else {
				a.Charge(amount)
				charged += max(amount, 0)
			}
			assert.Assert(t, a.Balance() >= 0)
			assert.Equal(t, a.Balance(), charged-refunded)
		}
	})
}
