// Package learn keeps what the tasks of a job class were seen to use and how
// long they ran. It holds the latest observations only, on a logarithmic scale,
// and answers with a high quantile, so that single outliers change nothing and
// each class takes the same small memory. It reads no clock.
package learn

import (
	"container/list"
	"time"

	"github.com/filbertmast/filbertmast/internal/model"
)

// Observations needed before an answer is trusted.
const (
	minSizes = 5
	minRuns  = 8
)

// maxRaise bounds a learned size to this multiple of the declared one.
const maxRaise = 8

// raiseThresholdPercent is the use, in percent of the declared size, from which a size is raised.
const raiseThresholdPercent = 110

// Class is what is known of one job class.
type Class struct {
	cpu, memory, run sample
	id               uint64
	estimates        estimates
}

// answers is all that a class is asked for.
type estimates struct {
	cpu, memory, run int64 // zero while too little was observed
}

func (c *Class) estimate() estimates {
	var a estimates
	if c.cpu.n >= minSizes {
		a.cpu, a.memory = c.cpu.highQuantile(), c.memory.highQuantile()
	}
	if c.run.n >= minRuns {
		a.run = c.run.highQuantile()
	}
	return a
}

// Table holds the classes that were observed last.
type Table struct {
	max     int
	changed func(id uint64)
	classes map[uint64]*list.Element
	order   list.List // of *Class, latest first
	version uint64    // of all answers
}

// New returns a table of at most max classes. It calls changed, if not nil,
// whenever the answers of a class have changed.
func New(max int, changed func(id uint64)) *Table {
	if changed == nil {
		changed = func(uint64) {}
	}
	return &Table{max: max, changed: changed, classes: map[uint64]*list.Element{}}
}

// Len returns the number of classes held.
func (t *Table) Len() int { return len(t.classes) }

// Class returns what is known of a class; nil for nothing.
func (t *Table) Class(id uint64) *Class {
	e := t.classes[id]
	if e == nil {
		return nil
	}
	return e.Value.(*Class)
}

// ObserveSize takes in the peak use of one task. Zero use is no observation.
func (t *Table) ObserveSize(id uint64, used model.Resources) {
	if used.CPU <= 0 && used.Memory <= 0 {
		return
	}
	c := t.getOrAdd(id)
	c.cpu.add(used.CPU)
	c.memory.add(used.Memory)
	t.updateEstimates(c)
}

// ObserveRun takes in the run time of one task that succeeded.
func (t *Table) ObserveRun(id uint64, ran time.Duration) {
	c := t.getOrAdd(id)
	c.run.add(ran.Milliseconds())
	t.updateEstimates(c)
}

// settle works out the answers of a class that has changed.
func (t *Table) updateEstimates(c *Class) {
	if a := c.estimate(); a != c.estimates {
		c.estimates = a
		t.version++
		t.changed(c.id)
	}
}

// Version changes whenever the answer of some class does.
func (t *Table) Version() uint64 { return t.version }

// evict drops the class that was not observed for longest.
func (t *Table) evict() {
	last := t.order.Back()
	t.order.Remove(last)
	id := last.Value.(*Class).id
	delete(t.classes, id)
	t.version++
	t.changed(id)
}

// touch returns the class to be changed; the one not observed for longest makes room.
func (t *Table) getOrAdd(id uint64) *Class {
	e := t.classes[id]
	if e == nil {
		if len(t.classes) >= t.max {
			t.evict()
		}
		e = t.order.PushFront(&Class{id: id})
		t.classes[id] = e
	}
	t.order.MoveToFront(e)
	return e.Value.(*Class)
}

// Size returns what a task of the class should reserve: the declared size, each
// component raised where most tasks were seen to use clearly more. It never
// returns less than declared, and accelerators as declared.
func (c *Class) Size(declared model.Resources) model.Resources {
	if c == nil {
		return declared
	}
	declared.CPU = raise(declared.CPU, c.estimates.cpu)
	declared.Memory = raise(declared.Memory, c.estimates.memory)
	return declared
}

func raise(declared, seen int64) int64 {
	if seen*100 <= declared*raiseThresholdPercent {
		return declared
	}
	return min(seen, declared*maxRaise)
}

// Run returns a run time that most tasks of the class stay below; false while
// too few have been seen.
func (c *Class) Run() (time.Duration, bool) {
	if c == nil || c.estimates.run == 0 {
		return 0, false
	}
	return time.Duration(c.estimates.run) * time.Millisecond, true
}
