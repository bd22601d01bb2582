// Package ledger computes prices and charges in whole micro-units. It keeps no
// fractions, so that sums are exact, and its functions have no side effects.
package ledger

import (
	"math"
	"math/big"
	"math/bits"
	"time"

	"github.com/filbertmast/filbertmast/internal/model"
)

// PriceFor returns the price of one core-second, in micro-units, for work that
// can wait for patience. It is the price of the last point whose patience is not
// longer, or of the first point if all are longer. Without points the price is
// zero. The points must be in ascending order of patience.
func PriceFor(points []model.PricePoint, patience model.Duration) int64 {
	if len(points) == 0 {
		return 0
	}
	price := points[0].MicroUnits
	for _, p := range points {
		if p.Patience > patience {
			break
		}
		price = p.MicroUnits
	}
	return price
}

// milliCoreMillis is a core-second in thousandths of a core times milliseconds.
const milliCoreMillis = 1000 * 1000

// Charge returns the charge in micro-units for a task of the given size that
// held its resources for ran, at price micro-units a core-second. Run time counts
// in whole milliseconds, rounded down. The product is computed exactly and then
// rounded down to a whole micro-unit. Memory and accelerators are free. Negative
// arguments count as zero; a charge beyond the range of int64 is math.MaxInt64.
func Charge(price int64, size model.Resources, ran time.Duration) int64 {
	ms := ran.Milliseconds()
	if price <= 0 || size.CPU <= 0 || ms <= 0 {
		return 0
	}
	hi, coreMillis := bits.Mul64(uint64(size.CPU), uint64(ms))
	if hi != 0 {
		return chargeBig(price, size.CPU, ms)
	}
	hi, lo := bits.Mul64(coreMillis, uint64(price))
	if hi >= milliCoreMillis {
		return math.MaxInt64
	}
	quo, _ := bits.Div64(hi, lo, milliCoreMillis)
	return int64(min(quo, math.MaxInt64))
}

// chargeBig computes Charge if milli-cores times milliseconds exceed 64 bits.
func chargeBig(price, cpu, ms int64) int64 {
	v := new(big.Int).Mul(big.NewInt(cpu), big.NewInt(ms))
	v.Mul(v, big.NewInt(price))
	v.Quo(v, big.NewInt(milliCoreMillis))
	if !v.IsInt64() {
		return math.MaxInt64
	}
	return v.Int64()
}

// Estimate returns the charge in micro-units for all tasks of a job at its
// declared run time, or math.MaxInt64 if it is larger.
func Estimate(price int64, spec *model.JobSpec) int64 {
	perTask := Charge(price, spec.Size, spec.RunTime.Std())
	tasks := int64(max(spec.Tasks, 0))
	if tasks != 0 && perTask > math.MaxInt64/tasks {
		return math.MaxInt64
	}
	return perTask * tasks
}

// Account holds the sums of one payer's charges and refunds in micro-units.
type Account struct {
	Charged  int64 `json:"charged_micro_units" cbor:"1,keyasint,omitempty"`
	Refunded int64 `json:"refunded_micro_units" cbor:"2,keyasint,omitempty"`
}

// Charge adds amount to the charges. A negative amount counts as zero.
func (a *Account) Charge(amount int64) { a.Charged += max(amount, 0) }

// Refund refunds amount, but at most the balance, and returns what it refunded.
// A negative amount counts as zero.
func (a *Account) Refund(amount int64) int64 {
	refunded := min(max(amount, 0), a.Balance())
	a.Refunded += refunded
	return refunded
}

// Balance returns the charges minus the refunds.
func (a *Account) Balance() int64 { return a.Charged - a.Refunded }

// Add adds the charges and refunds of o.
func (a *Account) Add(o Account) {
	a.Charged += o.Charged
	a.Refunded += o.Refunded
}
