package owner

import (
	"cmp"
	"slices"

	"github.com/filbertmast/filbertmast/internal/model"
)

// Tick applies the passing of time: entries whose leases are over lose their
// executors, executors that became free are given out, and the division
// between the entries of a region is evened out.
func (t *Table) Tick(now model.Time) {
	for _, id := range sortedKeys(t.entries) {
		if n := t.entries[id]; now >= n.leaseEnd {
			t.drop(n, now)
		}
	}
	for _, id := range sortedKeys(t.executors) {
		e := t.executors[id]
		if e.orphan() && now >= e.freeAt {
			t.free(e)
		}
		if e.silentUntil != 0 && now >= e.silentUntil {
			t.endSilence(e)
		}
	}
	t.assign()
	t.balance()
}

// endSilence ends the wait for an owner of an earlier term.
func (t *Table) endSilence(e *executor) {
	e.silentUntil = 0
	if e.withdrawn && e.owner == "" {
		delete(t.executors, e.spec.ID)
	}
}

// assign gives every free executor to an entry of its region.
func (t *Table) assign() {
	for _, id := range sortedKeys(t.executors) {
		e := t.executors[id]
		if e.owner != "" || e.silentUntil != 0 || e.withdrawn || e.leaving {
			continue
		}
		if n := t.choose(e); n != nil {
			t.counter++
			t.give(e, n, t.term<<termShift|t.counter)
		}
	}
}

// choose returns the entry with the fewest executors of the service, then the
// fewest at all, then the least load; the avoided entry only where it is alone.
func (t *Table) choose(e *executor) *entry {
	var best *entry
	for _, id := range sortedKeys(t.entries) {
		n := t.entries[id]
		if !n.open() || n.region != e.region {
			continue
		}
		if best == nil || t.compare(n, best, e.spec.Service) < 0 {
			best = n
		}
	}
	return best
}

// compare orders the avoided entry behind all others, then by load.
func (t *Table) compare(a, b *entry, service string) int {
	if a.id == t.avoided || b.id == t.avoided {
		return cmp.Compare(boolRank(a.id == t.avoided), boolRank(b.id == t.avoided))
	}
	return compareLoad(a, b, service)
}

func boolRank(b bool) int {
	if b {
		return 1
	}
	return 0
}

func compareLoad(a, b *entry, service string) int {
	return cmp.Or(
		cmp.Compare(a.services[service], b.services[service]),
		cmp.Compare(a.owned, b.owned),
		cmp.Compare(a.load, b.load),
	)
}

// balance asks executors back from entries that own more of a service than
// another entry of the region, and everything from entries that leave.
func (t *Table) balance() {
	moves := make(map[string]int) // by region
	for _, e := range t.executors {
		if e.release && !e.orphan() {
			moves[e.region]++
		}
	}
	for _, id := range sortedKeys(t.executors) {
		e := t.executors[id]
		n := t.entries[e.owner]
		if n == nil || e.orphan() || e.release {
			continue
		}
		if n.leaving || (moves[e.region] < t.opts.MaxMoves && t.uneven(e, n)) {
			e.release = true
			moves[e.region]++
			t.changed(e)
		}
	}
}

// uneven reports whether moving e away from n evens out its service.
func (t *Table) uneven(e *executor, n *entry) bool {
	to := t.choose(e)
	if to == nil || to == n {
		return false
	}
	if n.id == t.avoided {
		return true
	}
	asked := t.askedBack(n, e.spec.Service)
	return n.services[e.spec.Service]-asked-to.services[e.spec.Service] >= 2
}

// askedBack counts the executors of a service that n is about to release.
func (t *Table) askedBack(n *entry, service string) int {
	count := 0
	for _, e := range t.executors {
		if e.owner == n.id && e.release && !e.orphan() && e.spec.Service == service {
			count++
		}
	}
	return count
}

func (t *Table) give(e *executor, n *entry, epoch uint64) {
	e.owner = n.id
	e.epoch = epoch
	e.release = false
	e.freeAt = 0
	e.silentUntil = 0
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
	t.version++
	if e.withdrawn {
		delete(t.executors, e.spec.ID)
	}
}

// changed notes a change of e for its owner and for the directory.
func (t *Table) changed(e *executor) {
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
