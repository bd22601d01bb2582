package owner

import (
	"cmp"
	"slices"

	"github.com/filbertmast/filbertmast/internal/model"
)

// Tick applies the passing of time: entries whose leases are over lose their
// executors, executors that became free are given out, and the division
// between the entries of a region is evened out. It looks at every executor
// only after a change.
func (t *Table) Tick(now model.Time) {
	for _, n := range t.sortedEntries() {
		if now >= n.leaseEnd {
			t.drop(n, now)
		}
	}
	for _, id := range sortedKeys(t.orphans) {
		if e := t.orphans[id]; now >= e.freeAt {
			t.free(e)
		}
	}
	if t.quietUntil != 0 && now >= t.quietUntil {
		t.endSilence()
	}
	if !t.dirty {
		return
	}
	entries := t.sortedEntries()
	ids := sortedKeys(t.executors)
	t.assign(ids, entries)
	t.balance(ids, entries)
	t.dirty = false
}

// endSilence ends the wait for owners of an earlier term.
func (t *Table) endSilence() {
	t.quietUntil = 0
	t.dirty = true
	for id, e := range t.executors {
		e.silent = false
		if e.withdrawn && e.owner == "" {
			delete(t.executors, id)
		}
	}
}

func (t *Table) sortedEntries() []*entry {
	out := make([]*entry, 0, len(t.entries))
	for _, n := range t.entries {
		out = append(out, n)
	}
	slices.SortFunc(out, func(a, b *entry) int { return cmp.Compare(a.id, b.id) })
	return out
}

// assign gives every free executor to an entry of its region.
func (t *Table) assign(ids []string, entries []*entry) {
	for _, id := range ids {
		e := t.executors[id]
		if e.owner != "" || e.silent || e.withdrawn || e.leaving {
			continue
		}
		if n := choose(e, entries); n != nil {
			t.counter++
			t.give(e, n, t.term<<termShift|t.counter)
		}
	}
}

// choose returns the entry with the fewest executors of the service, then the
// fewest at all, then the least load; one that comes last only where it is alone.
func choose(e *executor, entries []*entry) *entry {
	var best *entry
	for _, n := range entries {
		if !n.open() || n.region != e.region {
			continue
		}
		if best == nil || compare(n, best, e.spec.Service) < 0 {
			best = n
		}
	}
	return best
}

func compare(a, b *entry, service string) int {
	if a.last != b.last {
		if a.last {
			return 1
		}
		return -1
	}
	return cmp.Or(
		cmp.Compare(a.services[service], b.services[service]),
		cmp.Compare(a.owned, b.owned),
		cmp.Compare(a.load, b.load),
	)
}

// share names the executors of one service at one entry.
type share struct{ entry, service string }

// balance asks executors back from entries that own more of a service than
// another entry of the region, and everything from entries that leave.
func (t *Table) balance(ids []string, entries []*entry) {
	moves := make(map[string]int) // by region
	asked := make(map[share]int)
	for _, e := range t.executors {
		if e.release && !e.orphan() {
			moves[e.region]++
			asked[share{e.owner, e.spec.Service}]++
		}
	}
	for _, id := range ids {
		e := t.executors[id]
		n := t.entries[e.owner]
		if n == nil || e.orphan() || e.release {
			continue
		}
		from := share{n.id, e.spec.Service}
		if n.leaving || (moves[e.region] < t.opts.MaxMoves && uneven(e, n, entries, asked[from])) {
			e.release = true
			moves[e.region]++
			asked[from]++
			t.changed(e)
		}
	}
}

// uneven reports whether moving e away from n evens out its service, when n is
// about to release asked executors of it.
func uneven(e *executor, n *entry, entries []*entry, asked int) bool {
	to := choose(e, entries)
	if to == nil || to == n {
		return false
	}
	if n.last && !to.last {
		return true
	}
	return n.services[e.spec.Service]-asked-to.services[e.spec.Service] >= 2
}

func (t *Table) give(e *executor, n *entry, epoch uint64) {
	e.owner = n.id
	e.epoch = epoch
	e.release = false
	e.freeAt = 0
	e.silent = false
	n.owned++
	n.services[e.spec.Service]++
	t.changed(e)
}

// free takes e from its owner for good.
func (t *Table) free(e *executor) {
	if n := t.entries[e.owner]; n != nil && !e.orphan() {
		n.owned--
		n.services[e.spec.Service]--
		t.touch(n)
	}
	e.owner = ""
	e.release = false
	e.freeAt = 0
	delete(t.orphans, e.spec.ID)
	t.dirty = true
	t.version++
	if e.withdrawn {
		delete(t.executors, e.spec.ID)
	}
}

// changed notes a change of e for its owner and for the directory.
func (t *Table) changed(e *executor) {
	t.dirty = true
	t.version++
	if n := t.entries[e.owner]; n != nil && !e.orphan() {
		t.touch(n)
	}
}

// touch gives the set that n owns a version that no earlier set has had.
func (t *Table) touch(n *entry) {
	t.version++
	n.version = t.version
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
