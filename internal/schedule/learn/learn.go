// Package learn estimates the resource usage and the run time of tasks per job
// class. It keeps only the latest observations, on a logarithmic scale, and
// estimates a high quantile, so that single outliers have no effect and each class
// takes the same small amount of memory. It reads no clock.
package learn

import (
	"container/list"
	"time"

	"github.com/filbertmast/filbertmast/internal/model"
)

// Number of observations below which there is no estimate.
const (
	minSizes = 5
	minRuns  = 8
)

// maxRaise limits a learned size to this multiple of the declared one.
const maxRaise = 8

// raiseThresholdPercent is the estimated usage, in percent of the declared size,
// above which a size is raised.
const raiseThresholdPercent = 110

// Class holds the observations of one job class and the estimates based on them.
type Class struct {
	cpu, memory, run sample
	id               uint64
	estimates        estimates
}

// estimates holds the estimates of one class.
type estimates struct {
	cpu, memory, run int64 // in thousandths of a core, MiB and ms; zero with too few observations
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

// Table holds the most recently observed classes.
type Table struct {
	max     int
	changed func(id uint64)
	classes map[uint64]*list.Element
	order   list.List // of *Class, most recently observed first
	version uint64    // incremented when the estimates of any class change
}

// New returns a table of at most max classes. It calls changed, if not nil,
// whenever the estimates of a class have changed.
func New(max int, changed func(id uint64)) *Table {
	if changed == nil {
		changed = func(uint64) {}
	}
	return &Table{max: max, changed: changed, classes: map[uint64]*list.Element{}}
}

// Len returns the number of classes.
func (t *Table) Len() int { return len(t.classes) }

// Class returns the class with the given ID, or nil if there is none. A nil *Class
// has no estimates.
func (t *Table) Class(id uint64) *Class {
	e := t.classes[id]
	if e == nil {
		return nil
	}
	return e.Value.(*Class)
}

// ObserveSize records the peak usage of one task. It ignores zero usage.
func (t *Table) ObserveSize(id uint64, used model.Resources) {
	if used.CPU <= 0 && used.Memory <= 0 {
		return
	}
	c := t.getOrAdd(id)
	c.cpu.add(used.CPU)
	c.memory.add(used.Memory)
	t.updateEstimates(c)
}

// ObserveRunTime records the run time of one task that succeeded.
func (t *Table) ObserveRunTime(id uint64, ran time.Duration) {
	c := t.getOrAdd(id)
	c.run.add(ran.Milliseconds())
	t.updateEstimates(c)
}

// updateEstimates recomputes the estimates of a class after an observation.
func (t *Table) updateEstimates(c *Class) {
	if a := c.estimate(); a != c.estimates {
		c.estimates = a
		t.version++
		t.changed(c.id)
	}
}

// Version returns a number that changes whenever the estimates of any class do.
func (t *Table) Version() uint64 { return t.version }

// evict removes the least recently observed class.
func (t *Table) evict() {
	last := t.order.Back()
	t.order.Remove(last)
	id := last.Value.(*Class).id
	delete(t.classes, id)
	t.version++
	t.changed(id)
}

// getOrAdd returns the class and marks it as most recently observed. To add a
// class to a full table it evicts the least recently observed one.
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

// Size returns the size that a task of the class should reserve: the declared
// size, with CPU and memory raised where most tasks use clearly more. It is never
// less than declared, and accelerators stay as declared.
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

// RunTime returns a run time that most tasks of the class do not exceed, and false if
// there are too few observations.
func (c *Class) RunTime() (time.Duration, bool) {
	if c == nil || c.estimates.run == 0 {
		return 0, false
	}
	return time.Duration(c.estimates.run) * time.Millisecond, true
}
