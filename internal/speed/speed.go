// Package speed estimates how fast workers are relative to one another, from the run times
// of tasks that do about the same work. It uses integers only, so that every replica of the
// state computes the same estimates.
//
// For each two tasks of a step that have ended on different workers, the estimates of both
// workers move by the same rule in opposite directions. Comparing a task only with those that
// ended before it, and moving only its own worker, would make every worker look slow, since
// tasks that take long end last.
package speed

import (
	"math/bits"
	"time"
)

// Log is a binary logarithm in units of 1/One.
type Log int32

// One is the logarithm of two.
const One Log = 1 << fractionBits

const (
	fractionBits = 20
	// precisionBits is the number of fraction bits that LogOf and Permille compute: an error of
	// 0.02%, far below the noise of run times.
	precisionBits = 12
)

// Normal is the speed of an average worker, in thousandths.
const Normal = 1000

const (
	// MinRun is the shortest run that is evidence. The times of the start and the end of a
	// task are those of commits, which are tens of milliseconds apart from the events.
	MinRun = 300 * time.Millisecond
	// maxDifference bounds the influence of one comparison: a task that takes seven times as
	// long counts as one that takes twice as long.
	maxDifference = One
	// maxLog bounds estimates to an eighth and to eight times the normal speed.
	maxLog = 3 * One
	// fullWeight is the weight of a comparison with many tasks.
	fullWeight = 64
	// priorWeight is the weight of the assumption that a worker is of normal speed. With twice
	// as much, 90% rather than 94% of the workers of a mixed cell are within 15% of their speed
	// after 15 tasks.
	priorWeight = 48
	// maxWeight bounds the weight of the past, so that a worker whose speed changes is
	// estimated anew within some fifty tasks.
	maxWeight = 4096
	// restartFactor divides the weight of what was learned before a worker started again,
	// since it may be another kind of machine.
	restartFactor = 4
	// publishStep is the change from which on an estimate is published anew: 6.7%. The random
	// part of an estimate is half of that, so that a settled estimate is hardly published.
	publishStep = One * 3 / 32
)

// Estimate is the estimated speed of one worker.
type Estimate struct {
	Log    Log   `cbor:"1,keyasint,omitempty"`
	Weight int32 `cbor:"2,keyasint,omitempty"` // of the observations
	// Published is the value of Log that is in use. It follows Log in steps, so that users
	// need not handle every small change.
	Published Log `cbor:"3,keyasint,omitempty"`
}

// Permille returns the estimated speed in thousandths of the normal one.
func (e *Estimate) Permille() int64 {
	if e == nil {
		return Normal
	}
	return e.Log.Permille()
}

// PublishedPermille returns the published speed in thousandths of the normal one.
func (e *Estimate) PublishedPermille() int64 {
	if e == nil {
		return Normal
	}
	return e.Published.Permille()
}

// Publish updates the published value if it is too far from the estimate, and reports
// whether it did.
func (e *Estimate) Publish() bool {
	if d := e.Log - e.Published; -publishStep < d && d < publishStep {
		return false
	}
	e.Published = e.Log
	return true
}

// Restart reduces the weight of earlier observations, since the worker has started again.
func (e *Estimate) Restart() { e.Weight /= restartFactor }

// observe moves the estimate after an observation of the given weight: the work of a task,
// by the estimate, was larger by difference than that of others. Center is the average of all
// estimates. Each observation subtracts it, since comparisons determine only ratios: without
// that, the average would drift from one.
//
// It returns by how much the estimate has changed.
func (e *Estimate) observe(difference, center Log, weight int32) int64 {
	before := e.Log
	d := int64(difference) + int64(center)
	move := d * int64(weight) / int64(e.Weight+weight+priorWeight)
	e.Log = min(max(e.Log-Log(move), -maxLog), maxLog)
	e.Weight = min(e.Weight+weight, maxWeight)
	return int64(e.Log - before)
}

// Run is one run of a task that has ended.
type Run struct {
	_       struct{} `cbor:",toarray"`
	Worker  int32    // as the caller numbers workers
	Session uint64   // of the worker
	Length  Log      // logarithm of the run time in milliseconds
}

// maxRuns is the number of runs that a Sample holds: those of most steps.
const maxRuns = 32

// Sample holds the latest runs of the tasks of one step.
type Sample struct {
	Runs []Run `cbor:"1,keyasint"`
	Next int32 `cbor:"2,keyasint,omitempty"` // index that the next run replaces once the sample is full
}

// Add adds a run and compares it with the others of the sample. Estimate returns the
// estimate of the worker of a run, or nil if the run is no evidence any more; it must return
// the same pointer for the same worker. Center is the average of all estimates. It returns the
// sum of the changes of the estimates.
func (s *Sample) Add(r Run, center Log, estimate func(*Run) *Estimate) (change int64) {
	own := estimate(&r)
	if own == nil {
		return 0
	}
	peers := int32(0)
	for i := range s.Runs {
		if s.Runs[i].Worker != r.Worker && estimate(&s.Runs[i]) != nil {
			peers++
		}
	}
	if peers > 0 {
		change = s.compare(&r, own, peers, center, estimate)
	}
	if len(s.Runs) < maxRuns {
		s.Runs = append(s.Runs, r)
		return change
	}
	s.Runs[s.Next] = r
	s.Next = (s.Next + 1) % maxRuns
	return change
}

// compare compares a run with those of peers on other workers. The result has the weight of a
// mean: with one peer half of it is the noise of that peer.
func (s *Sample) compare(r *Run, own *Estimate, peers int32, center Log, estimate func(*Run) *Estimate) (change int64) {
	weight := fullWeight / (peers + 1)
	work := r.Length + own.Log
	sum := int64(0)
	for i := range s.Runs {
		o := &s.Runs[i]
		e := estimate(o)
		if o.Worker == r.Worker || e == nil {
			continue
		}
		d := min(max(work-o.Length-e.Log, -maxDifference), maxDifference)
		sum += int64(d)
		change += e.observe(-d, center, weight)
	}
	return change + own.observe(Log(sum/int64(peers)), center, fullWeight*peers/(peers+1))
}

// LogOf returns the binary logarithm of a positive number, rounded down; zero for others.
func LogOf(v int64) Log {
	if v <= 0 {
		return 0
	}
	whole := bits.Len64(uint64(v)) - 1
	// x is v scaled to one up to two, with 31 fraction bits. Each square yields one more bit
	// of the logarithm.
	x := uint64(v)
	if whole > 31 {
		x >>= whole - 31
	} else {
		x <<= 31 - whole
	}
	fraction := Log(0)
	for range precisionBits {
		x = x * x >> 31
		fraction <<= 1
		if x >= 1<<32 {
			x >>= 1
			fraction |= 1
		}
	}
	return Log(whole)*One + fraction<<(fractionBits-precisionBits)
}

// roots holds two to the power of 1/2, 1/4 and so on, with 30 fraction bits.
var roots = [precisionBits]uint64{
	1518500250, 1276901417, 1170923762, 1121280436, 1097253708, 1085434106,
	1079572136, 1076653033, 1075196443, 1074468888, 1074105294, 1073923544,
}

// Permille returns a thousand times two to the power of l.
func (l Log) Permille() int64 {
	l = min(max(l, -maxLog), maxLog) + maxLog
	x := uint64(Normal) << 30
	for i, root := range roots {
		if l&(One>>(i+1)) != 0 {
			// x is below 2^41 and root below 2^31: the product needs 72 bits.
			high, low := bits.Mul64(x, root)
			x = high<<34 | low>>30
		}
	}
	x = x << (l >> fractionBits) >> (maxLog >> fractionBits)
	return int64((x + 1<<29) >> 30)
}

// Class is a coarse speed of a worker, by which workers are indexed.
type Class int8

// The classes, from the slowest to the fastest. The zero value is that of a worker of unknown
// speed.
const (
	Slow    Class = -1
	Average Class = 0
	Fast    Class = 1
)

// String returns the name of c as metrics and logs show it.
func (c Class) String() string {
	switch c {
	case Slow:
		return "slow"
	case Fast:
		return "fast"
	}
	return "normal"
}

// The speeds at which a worker enters and leaves a class, in thousandths. The difference
// between them is larger than publishStep, so that a worker does not move between classes with
// every change that is published.
const (
	enterSlow = 850
	leaveSlow = 930
	enterFast = 1130
	leaveFast = 1040
)

// ClassOf returns the class of a worker of the given speed that was in class before.
func ClassOf(permille int64, before Class) Class {
	switch {
	case permille <= enterSlow || before == Slow && permille < leaveSlow:
		return Slow
	case permille >= enterFast || before == Fast && permille > leaveFast:
		return Fast
	}
	return Average
}

// Scale returns how long a run takes at the given speed that takes d at normal speed.
func Scale(d time.Duration, permille int64) time.Duration {
	if permille == Normal || permille <= 0 {
		return d
	}
	return d * Normal / time.Duration(permille)
}

// Normalize returns how long a run takes at normal speed that took d at the given speed.
func Normalize(d time.Duration, permille int64) time.Duration {
	if permille == Normal || permille <= 0 {
		return d
	}
	return d / Normal * time.Duration(permille)
}
