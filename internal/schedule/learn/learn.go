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

// raiseFrom is the use, in percent of the declared size, from which a size is raised.
const raiseFrom = 110

// Class is what is known of one job class.
type Class struct {
	cpu, memory, run sample
	id               uint64
	version          uint64
}

// Table holds the classes that were observed last.
type Table struct {
	max     int
	classes map[uint64]*list.Element
	order   list.List // of *Class, latest first
	version uint64
}

// New returns a table of at most max classes.
func New(max int) *Table {
	return &Table{max: max, classes: map[uint64]*list.Element{}}
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
	c := t.touch(id)
	c.cpu.add(used.CPU)
	c.memory.add(used.Memory)
}

// ObserveRun takes in the run time of one task that succeeded.
func (t *Table) ObserveRun(id uint64, ran time.Duration) {
	t.touch(id).run.add(ran.Milliseconds())
}

// touch returns the class to be changed; the one not observed for longest makes room.
func (t *Table) touch(id uint64) *Class {
	t.version++
	e := t.classes[id]
	if e == nil {
		if len(t.classes) >= t.max {
			last := t.order.Back()
			t.order.Remove(last)
			delete(t.classes, last.Value.(*Class).id)
		}
		e = t.order.PushFront(&Class{id: id})
		t.classes[id] = e
	}
	t.order.MoveToFront(e)
	c := e.Value.(*Class)
	c.version = t.version
	return c
}

// Version changes whenever the class has learned something. It is zero for nil.
func (c *Class) Version() uint64 {
	if c == nil {
		return 0
	}
	return c.version
}

// Size returns what a task of the class should reserve: the declared size, each
// component raised where most tasks were seen to use clearly more. It never
// returns less than declared, and accelerators as declared.
func (c *Class) Size(declared model.Resources) model.Resources {
	if c == nil || c.cpu.n < minSizes {
		return declared
	}
	declared.CPU = raise(declared.CPU, c.cpu.high())
	declared.Memory = raise(declared.Memory, c.memory.high())
	return declared
}

func raise(declared, seen int64) int64 {
	if seen*100 <= declared*raiseFrom {
		return declared
	}
	return min(seen, declared*maxRaise)
}

// Run returns a run time that most tasks of the class stay below; false while
// too few have been seen.
func (c *Class) Run() (time.Duration, bool) {
	if c == nil || c.run.n < minRuns {
		return 0, false
	}
	return time.Duration(c.run.high()) * time.Millisecond, true
}
