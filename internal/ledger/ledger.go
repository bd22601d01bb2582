// Package ledger does the arithmetic of prices and charges in whole micro-units.
// It is pure and keeps no fractions, so that sums are exact.
package ledger

import (
	"math"
	"math/big"
	"math/bits"
	"time"

	"github.com/filbertmast/filbertmast/internal/model"
)

// PriceFor returns the price of one core-second, in micro-units, for work that
// can wait patience. It is that of the last point whose patience is not longer;
// of the first point when all are longer; zero without points. The points are
// in ascending order of patience.
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

// milliCoreMillis is the number of thousandths of a core times milliseconds in a core-second.
const milliCoreMillis = 1000 * 1000

// Charge returns the charge in micro-units for a task of the given size that
// held its reservation for ran, at price micro-units a core-second. Run time
// counts in whole milliseconds, rounded down; the product is exact and then
// rounded down to a whole micro-unit. Memory and accelerators are not priced.
// Amounts below zero count as zero; a charge beyond the range of int64 is
// the largest int64.
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

// chargeBig is Charge where milli-cores times milliseconds pass 64 bits.
func chargeBig(price, cpu, ms int64) int64 {
	v := new(big.Int).Mul(big.NewInt(cpu), big.NewInt(ms))
	v.Mul(v, big.NewInt(price))
	v.Quo(v, big.NewInt(milliCoreMillis))
	if !v.IsInt64() {
		return math.MaxInt64
	}
	return v.Int64()
}

// Estimate returns the charge for a whole job at its declared run time.
func Estimate(price int64, spec *model.JobSpec) int64 {
	perTask := Charge(price, spec.Size, spec.RunTime.Std())
	tasks := int64(max(spec.Tasks, 0))
	if tasks != 0 && perTask > math.MaxInt64/tasks {
		return math.MaxInt64
	}
	return perTask * tasks
}

// Account sums the charges and refunds of one payer.
type Account struct {
	Charged  int64 `json:"charged_micro_units" cbor:"1,keyasint,omitempty"`
	Refunded int64 `json:"refunded_micro_units" cbor:"2,keyasint,omitempty"`
}

// Charge books amount, which is not below zero.
func (a *Account) Charge(amount int64) { a.Charged += max(amount, 0) }

// Refund gives back up to amount, never more than was charged and not yet
// refunded, and returns what was given back.
func (a *Account) Refund(amount int64) int64 {
	refunded := min(max(amount, 0), a.Balance())
	a.Refunded += refunded
	return refunded
}

// Balance returns the charges less the refunds.
func (a *Account) Balance() int64 { return a.Charged - a.Refunded }

// Add books the charges and refunds of o.
func (a *Account) Add(o Account) {
	a.Charged += o.Charged
	a.Refunded += o.Refunded
}
