package owner

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/filbertmast/filbertmast/internal/model"
)

const (
	simRegion     = "south"
	simMaxRequest = 4 * time.Second // longest request
)

// simEntry is one entry process. Its clock is off from the simulation's by offset.
type simEntry struct {
	name        string
	incarnation uint64
	leases      *Leases
	offset      time.Duration
	frozen      bool
}

// sender identifies the requests of one entry process at one executor.
type sender struct {
	entry       string
	incarnation uint64
	executor    string
}

type sim struct {
	now       time.Time
	term      uint64
	table     *Table
	entries   []*simEntry
	specs     []model.ExecutorSpec
	withdrawn map[string]bool      // by executor ID
	busyUntil map[sender]time.Time // latest deadline of a sender's requests, by the true clock
	delayed   []*Renewal
	epochs    map[string]uint64 // highest epoch under which requests were sent, by executor ID
}

func (s *sim) clock(e *simEntry) time.Time { return s.now.Add(e.offset) }

func newSim(t *rapid.T) *sim {
	s := &sim{
		now:       time.Unix(1000, 0),
		withdrawn: make(map[string]bool),
		busyUntil: make(map[sender]time.Time),
		epochs:    make(map[string]uint64),
	}
	for i := range rapid.IntRange(1, 6).Draw(t, "executors") {
		s.specs = append(s.specs, model.ExecutorSpec{ID: fmt.Sprintf("x%d", i), Service: fmt.Sprintf("s%d", i%2), Slots: 8})
	}
	for i := range rapid.IntRange(1, 4).Draw(t, "entries") {
		e := &simEntry{name: fmt.Sprintf("e%d", i), offset: time.Duration(rapid.Int64Range(-1e6, 1e6).Draw(t, "offset")) * time.Millisecond}
		s.restart(e)
		s.entries = append(s.entries, e)
	}
	s.elect(t)
	return s
}

func (s *sim) restart(e *simEntry) {
	e.incarnation++
	e.leases = NewLeases(e.name, e.name, simRegion, e.incarnation)
}

func (s *sim) elect(*rapid.T) {
	s.term++
	s.delayed = nil
	s.table = NewTable(Options{})
	for _, spec := range s.specs {
		if !s.withdrawn[spec.ID] {
			s.table.Announce(spec, simRegion, false)
		}
	}
	s.table.NewTerm(s.term, model.TimeOf(s.now), MaxResidualUse(simMaxRequest))
}

func (s *sim) renew(t *rapid.T, e *simEntry, outcome string) {
	r := e.leases.Renewal(s.clock(e), 0, simMaxRequest+2*DefaultLease/3)
	switch outcome {
	case "lost":
		return
	case "late":
		s.delayed = append(s.delayed, r)
		return
	}
	answer, ok := s.table.Renew(r, model.TimeOf(s.now))
	if ok && outcome != "answer lost" {
		e.leases.Apply(&answer)
	}
	s.releaseIdle(e)
}

// releaseIdle releases the executors whose release was requested and that run no
// request.
func (s *sim) releaseIdle(e *simEntry) {
	for _, o := range e.leases.Owned() {
		if o.ReleaseRequested && !s.busyUntil[sender{e.name, e.incarnation, o.Executor.ID}].After(s.now) {
			e.leases.Release(o.Executor.ID, o.Epoch)
		}
	}
}

// send lets an entry send a request to every executor that it may send to, and checks
// that no other process may still have a request running there.
func (s *sim) send(t *rapid.T, e *simEntry) {
	for _, o := range e.leases.Owned() {
		id := o.Executor.ID
		duration := time.Duration(rapid.Int64Range(1, simMaxRequest.Milliseconds()).Draw(t, "life")) * time.Millisecond
		if !e.leases.Owns(id, o.Epoch, s.clock(e), s.clock(e).Add(duration)) {
			continue
		}
		self := sender{e.name, e.incarnation, id}
		for other, until := range s.busyUntil {
			if other.executor == id && other != self && until.After(s.now) {
				t.Fatalf("%v sends to %s while a request of %v may still run there", self, id, other)
			}
		}
		if o.Epoch < s.epochs[id] {
			t.Fatalf("executor %s got a request under epoch %d after one under epoch %d", id, o.Epoch, s.epochs[id])
		}
		s.epochs[id] = o.Epoch
		if end := s.now.Add(duration); end.After(s.busyUntil[self]) {
			s.busyUntil[self] = end
		}
	}
}

func TestExecutorNeverHasTwoSenders(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSim(t)
		pick := func(t *rapid.T) *simEntry { return rapid.SampledFrom(s.entries).Draw(t, "entry") }
		rarely := func(f func(*rapid.T)) func(*rapid.T) {
			return func(t *rapid.T) {
				if rapid.IntRange(0, 5).Draw(t, "seldom") == 5 {
					f(t)
				}
			}
		}
		renewAll := func(t *rapid.T) {
			for _, e := range s.entries {
				if !e.frozen {
					s.renew(t, e, "ok")
					s.send(t, e)
				}
			}
		}
		advance := func(t *rapid.T) {
			s.now = s.now.Add(time.Duration(rapid.Int64Range(1, 2000).Draw(t, "ms")) * time.Millisecond)
			s.table.Tick(model.TimeOf(s.now))
		}
		t.Repeat(map[string]func(*rapid.T){
			"renew all":   renewAll,
			"renew all 2": renewAll,
			"pass":        advance,
			"pass 2":      advance,
			"send":        func(t *rapid.T) { s.send(t, pick(t)) },
			"renew": func(t *rapid.T) {
				s.renew(t, pick(t), rapid.SampledFrom([]string{"lost", "late", "answer lost"}).Draw(t, "fate"))
			},
			"late": func(t *rapid.T) {
				for _, r := range s.delayed {
					s.table.Renew(r, model.TimeOf(s.now))
				}
				s.delayed = nil
			},
			"freeze": func(t *rapid.T) { e := pick(t); e.frozen = !e.frozen; s.send(t, e) },
			"crash":  rarely(func(t *rapid.T) { s.restart(pick(t)) }),
			"lost":   rarely(func(t *rapid.T) { s.table.Lost(pick(t).name, model.TimeOf(s.now)) }),
			"elect":  rarely(s.elect),
			"withdraw": rarely(func(t *rapid.T) {
				spec := rapid.SampledFrom(s.specs).Draw(t, "executor")
				s.withdrawn[spec.ID] = true
				s.table.Withdraw(spec.ID)
			}),
			"announce": func(t *rapid.T) {
				for _, spec := range s.specs {
					delete(s.withdrawn, spec.ID)
					s.table.Announce(spec, simRegion, false)
				}
			},
			"": func(t *rapid.T) { checkCounts(t, s.table) },
		})
	})
}

// checkCounts compares the counter of each entry with the executors that it owns.
func checkCounts(t *rapid.T, table *Table) {
	owned := make(map[string]int)
	for _, e := range table.executors {
		if !e.orphan() {
			owned[e.owner]++
		}
	}
	for id, n := range table.entries {
		if n.owned != owned[id] {
			t.Fatalf("entry %s owns %d executors, but its counter is %d", id, owned[id], n.owned)
		}
	}
}

// region is a Table and the entries of one region, which renew in turn.
type region struct {
	table   *Table
	now     time.Time
	entries map[string]*Leases
}

func newRegion(executors int, entries ...string) *region {
	r := &region{table: NewTable(Options{}), now: time.Unix(1000, 0), entries: make(map[string]*Leases)}
	for i := range executors {
		r.table.Announce(model.ExecutorSpec{ID: fmt.Sprintf("x%02d", i), Service: "s", Slots: 8}, simRegion, false)
	}
	r.table.NewTerm(1, 0, 0)
	for _, e := range entries {
		r.entries[e] = NewLeases(e, e+":1", simRegion, 1)
	}
	return r
}

// settle renews all entries several times. No request ever runs, so executors are
// released as soon as that is requested.
func (r *region) settle() {
	for range 40 {
		for _, name := range sortedKeys(r.entries) {
			l := r.entries[name]
			if a, ok := r.table.Renew(l.Renewal(r.now, 0, time.Second), model.TimeOf(r.now)); ok {
				l.Apply(&a)
			}
			for _, o := range l.Owned() {
				if o.ReleaseRequested {
					l.Release(o.Executor.ID, o.Epoch)
				}
			}
		}
	}
}

func (r *region) counts() map[string]int {
	out := make(map[string]int)
	_, rows := r.table.Directory()
	for _, row := range rows {
		out[row.Owner]++
	}
	return out
}

func TestExecutorsAreDividedBetweenEntries(t *testing.T) {
	for _, row := range []struct {
		name string
		act  func(r *region)
		want map[string]int
	}{
		{"entries share the executors evenly", func(*region) {}, map[string]int{"a": 4, "b": 4, "c": 4}},
		{"an entry that joins later gets its share", func(r *region) {
			r.entries["d"] = NewLeases("d", "d:1", simRegion, 1)
		}, map[string]int{"a": 3, "b": 3, "c": 3, "d": 3}},
		{"the executors of an entry that leaves move at once", func(r *region) { r.entries["a"].Leave() }, map[string]int{"b": 6, "c": 6}},
		{"the executors of a failed entry wait for its requests to end", func(r *region) {
			delete(r.entries, "a")
			r.table.Lost("a", model.TimeOf(r.now))
		}, map[string]int{"": 4, "b": 4, "c": 4}},
		{"the executors of a failed entry move once its lease and requests have ended", func(r *region) {
			delete(r.entries, "a")
			r.table.Lost("a", model.TimeOf(r.now))
			r.now = r.now.Add(DefaultLease + DefaultMargin)
			r.table.Tick(model.TimeOf(r.now.Add(-time.Second)))
		}, map[string]int{"b": 6, "c": 6}},
		{"an entry of another region gets no executors", func(r *region) {
			r.entries["d"] = NewLeases("d", "d:1", "north", 1)
		}, map[string]int{"a": 4, "b": 4, "c": 4}},
	} {
		t.Run(row.name, func(t *testing.T) {
			r := newRegion(12, "a", "b", "c")
			r.settle()
			row.act(r)
			r.settle()
			assert.DeepEqual(t, r.counts(), row.want)
		})
	}
}

func TestLeavingExecutorGetsNoNewRequests(t *testing.T) {
	r := newRegion(1, "a")
	r.settle()
	l := r.entries["a"]
	o := l.Owned()[0]
	end := r.now.Add(100 * time.Millisecond)
	assert.Assert(t, l.Owns("x00", o.Epoch, r.now, end))
	r.table.Announce(o.Executor, simRegion, true)
	r.settle()
	assert.Assert(t, !l.Owns("x00", o.Epoch, r.now, end))
}

func TestUnchangedSetIsNotSentAgain(t *testing.T) {
	r := newRegion(8, "a")
	r.settle()
	l := r.entries["a"]
	a, ok := r.table.Renew(l.Renewal(r.now, 0, time.Second), model.TimeOf(r.now))
	assert.Assert(t, ok)
	assert.Assert(t, !a.Changed)
	assert.Equal(t, len(a.Owned), 0)
}

// BenchmarkRenew measures the leader's cost of one renewal, up to the size of one
// region of the target: 47 entries and 9,600 executors.
func BenchmarkRenew(b *testing.B) {
	for _, n := range []struct{ entries, executors int }{{8, 100}, {8, 600}, {47, 9600}} {
		b.Run(fmt.Sprintf("entries=%d/executors=%d", n.entries, n.executors), func(b *testing.B) {
			names := make([]string, n.entries)
			for i := range names {
				names[i] = fmt.Sprintf("e%02d", i)
			}
			r := newRegion(n.executors, names...)
			for _, name := range names {
				l := r.entries[name]
				for range 2 {
					a, _ := r.table.Renew(l.Renewal(r.now, 0, time.Second), model.TimeOf(r.now))
					l.Apply(&a)
				}
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				l := r.entries[names[i%len(names)]]
				a, _ := r.table.Renew(l.Renewal(r.now, 0, time.Second), model.TimeOf(r.now))
				l.Apply(&a)
			}
		})
	}
}
