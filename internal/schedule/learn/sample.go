package learn

import (
	"math/bits"
	"slices"
)

// window is the number of observations of one quantity that are kept.
const window = 32

// code is a non-negative value on a logarithmic scale with five bits of mantissa.
// It is rounded up by at most a thirty-second of the value.
type code uint16

const mantissaBits = 5

func encode(v int64) code {
	if v <= 0 {
		return 0
	}
	u := uint64(v)
	shift := max(bits.Len64(u)-mantissaBits-1, 0)
	up := (u + 1<<shift - 1) >> shift
	if up == 1<<(mantissaBits+1) {
		up >>= 1
		shift++
	}
	return code(shift)<<(mantissaBits+1) | code(up)
}

func (c code) value() int64 {
	shift := c >> (mantissaBits + 1)
	return int64(c&(1<<(mantissaBits+1)-1)) << shift
}

// sample holds the latest observations of one quantity.
type sample struct {
	codes [window]code
	n     uint8 // number of observations
	next  uint8 // index that the next observation overwrites
}

func (s *sample) add(v int64) {
	s.codes[s.next] = encode(v)
	s.next = (s.next + 1) % window
	s.n = min(s.n+1, window)
}

// highQuantile returns a value that nine in ten observations do not exceed. The
// largest tenth of the observations, and at least the largest one of five, do not
// affect it.
func (s *sample) highQuantile() int64 {
	if s.n == 0 {
		return 0
	}
	sorted := s.codes
	kept := sorted[:s.n]
	slices.Sort(kept)
	return kept[int(s.n-1)*9/10].value()
}
