// Package usage computes decayed averages of the resources that teams have reserved. It
// uses fixed-point integers only, so that every replica computes the same bits, and reads
// no clock.
package usage

import (
	"math/bits"
	"time"

	"github.com/filbertmast/filbertmast/internal/model"
)

// The range of half-lives. Within it, and for amounts of up to MaxResource on a million
// workers, the relative error of an average is below one in a million.
const (
	MinHalfLife = model.Duration(time.Second)
	MaxHalfLife = model.Duration(366 * 24 * time.Hour)
)

// Average is the decayed average of what a team has reserved: the integral of the reserved
// resources over the past, in which the weight of a moment halves with each half-life since
// then, divided by the sum of all weights. The sum of weights is constant for one half-life,
// so that the average is the decayed integral in another unit; unlike the integral, it never
// exceeds the largest amount that was reserved and keeps its meaning when the half-life
// changes.
type Average struct {
	At           model.Time `cbor:"1,keyasint"` // up to which the average is computed
	CPU          Amount     `cbor:"2,keyasint"`
	Memory       Amount     `cbor:"3,keyasint"`
	Accelerators Amount     `cbor:"4,keyasint"`
}

// Amount is a non-negative number in units of 2^-64. An update after one millisecond at a
// half-life of a year moves the average by 2^-35 of the difference, which needs as many bits
// after the point.
type Amount struct {
	Whole uint64 `cbor:"1,keyasint,omitempty"`
	Part  uint64 `cbor:"2,keyasint,omitempty"` // in units of 2^-64
}

// Advance moves the average from its time to at, during which the given resources were
// reserved. It does nothing if at is not later. The half-life must be within its range.
func (a *Average) Advance(at model.Time, reserved model.Resources, halfLife model.Duration) {
	if at <= a.At {
		return
	}
	w := weightOf(uint64(at-a.At), uint64(halfLife.Millis()))
	a.At = at
	a.CPU = a.CPU.toward(reserved.CPU, w)
	a.Memory = a.Memory.toward(reserved.Memory, w)
	a.Accelerators = a.Accelerators.toward(reserved.Accelerators, w)
}

// Resources returns the average, rounded down.
func (a *Average) Resources() model.Resources {
	return model.Resources{CPU: a.CPU.whole(), Memory: a.Memory.whole(), Accelerators: a.Accelerators.whole()}
}

// Negligible reports whether every component is below 2^-16 of its unit.
func (a *Average) Negligible() bool {
	return a.CPU.negligible() && a.Memory.negligible() && a.Accelerators.negligible()
}

func (a Amount) whole() int64 { return int64(min(a.Whole, 1<<63-1)) }

func (a Amount) negligible() bool { return a.Whole == 0 && a.Part < 1<<48 }

// weight is the weight of the time since the last update in a new average, in units of 2^-64;
// all is set if it is one.
type weight struct {
	part uint64
	all  bool
}

// weightOf returns 1 - 2^(-elapsed/halfLife).
func weightOf(elapsed, halfLife uint64) weight {
	if halfLife == 0 || elapsed/halfLife >= 64 {
		return weight{all: true} // at most 2^-64 of the earlier average would be left
	}
	halvings, rest := elapsed/halfLife, elapsed%halfLife
	fraction, _ := bits.Div64(rest, 0, halfLife)
	lost := lostIn(fraction) // of the earlier average, before the halvings
	if halvings == 0 {
		return weight{part: lost}
	}
	if lost == 0 {
		return weight{part: -(uint64(1) << (64 - halvings))}
	}
	return weight{part: -(-lost >> halvings)}
}

// ln2 is the natural logarithm of two in units of 2^-64.
const ln2 = 0xB17217F7D1CF79AC

// terms is the length of the series of lostIn: the first term left out is below 2^-64, since
// ln2^20/20! < 2^-71.
const terms = 19

// lostIn returns 1 - 2^-x for x from zero to below one. Both are in units of 2^-64. With
// z = x*ln2 that is 1 - e^-z = z - z^2/2! + z^3/3! - ..., computed from the last term on.
func lostIn(x uint64) uint64 {
	z, _ := bits.Mul64(x, ln2)
	sum := uint64(0)
	for k := uint64(terms); k > 0; k-- {
		product, _ := bits.Mul64(z, sum)
		sum = (z - product) / k
	}
	return sum
}

// toward returns the amount moved toward v by the weight, rounded toward the amount. It lies
// between the two. A negative v counts as zero.
func (a Amount) toward(v int64, w weight) Amount {
	target := Amount{Whole: uint64(max(v, 0))}
	if w.all {
		return target
	}
	if a.less(target) {
		return a.add(target.sub(a).scaled(w.part))
	}
	return a.sub(a.sub(target).scaled(w.part))
}

func (a Amount) less(b Amount) bool {
	return a.Whole < b.Whole || a.Whole == b.Whole && a.Part < b.Part
}

func (a Amount) add(b Amount) Amount {
	part, carry := bits.Add64(a.Part, b.Part, 0)
	whole, _ := bits.Add64(a.Whole, b.Whole, carry)
	return Amount{Whole: whole, Part: part}
}

func (a Amount) sub(b Amount) Amount {
	part, borrow := bits.Sub64(a.Part, b.Part, 0)
	whole, _ := bits.Sub64(a.Whole, b.Whole, borrow)
	return Amount{Whole: whole, Part: part}
}

// scaled returns the amount times part, which is in units of 2^-64, rounded down.
func (a Amount) scaled(part uint64) Amount {
	whole, rest := bits.Mul64(a.Whole, part)
	below, _ := bits.Mul64(a.Part, part)
	return Amount{Whole: whole}.add(Amount{Part: rest}).add(Amount{Part: below})
}
