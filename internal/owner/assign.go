package owner

import (
	"cmp"
	"slices"

	"github.com/filbertmast/filbertmast/internal/model"
)

// Tick applies what has become due at now: entries whose leases have expired lose
// their executors, free executors are assigned, and ownership is rebalanced between
// the entries of a region. It visits every executor only after a change.
func (t *Table) Tick(now model.Time) {
	for _, n := range t.sortedEntries() {
		if now >= n.leaseEnd {
			t.dropEntry(n, now)
		}
	}
	for _, id := range sortedKeys(t.orphans) {
		if e := t.orphans[id]; now >= e.freeAt {
			t.free(e)
		}
	}
	if t.unknownUntil != 0 && now >= t.unknownUntil {
		t.forgetUnknownOwners()
	}
	if !t.dirty {
		return
	}
	entries := t.sortedEntries()
	ids := sortedKeys(t.executors)
	t.assignFree(ids, entries)
	t.requestMoves(ids, entries)
	t.dirty = false
}

// forgetUnknownOwners frees the executors whose owners from an earlier term have not
// renewed in this one.
func (t *Table) forgetUnknownOwners() {
	t.unknownUntil = 0
	t.dirty = true
	for id, e := range t.executors {
		e.ownerUnknown = false
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

// assignFree assigns every free executor to an entry of its region.
func (t *Table) assignFree(ids []string, entries []*entry) {
	for _, id := range ids {
		e := t.executors[id]
		if e.owner != "" || e.ownerUnknown || e.withdrawn || e.leaving {
			continue
		}
		if n := chooseEntry(e, entries); n != nil {
			t.epochCounter++
			t.grant(e, n, t.term<<termShift|t.epochCounter)
		}
	}
}

// chooseEntry returns the entry of the executor's region with the fewest executors
// of the service, then the fewest in all, then the least load. It returns the entry
// of last resort only if there is no other, and nil if there is none.
func chooseEntry(e *executor, entries []*entry) *entry {
	var best *entry
	for _, n := range entries {
		if !n.assignable() || n.region != e.region {
			continue
		}
		if best == nil || compareEntries(n, best, e.spec.Service) < 0 {
			best = n
		}
	}
	return best
}

func compareEntries(a, b *entry, service string) int {
	if a.lastResort != b.lastResort {
		if a.lastResort {
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

// entryService identifies the executors of one service that one entry owns.
type entryService struct{ entry, service string }

// requestMoves requests the release of executors by entries that own more of a
// service than another entry of the region, and of all executors by entries that
// leave.
func (t *Table) requestMoves(ids []string, entries []*entry) {
	moves := make(map[string]int) // by region
	releasing := make(map[entryService]int)
	for _, e := range t.executors {
		if e.releaseRequested && !e.orphan() {
			moves[e.region]++
			releasing[entryService{e.owner, e.spec.Service}]++
		}
	}
	for _, id := range ids {
		e := t.executors[id]
		n := t.entries[e.owner]
		if n == nil || e.orphan() || e.releaseRequested {
			continue
		}
		from := entryService{n.id, e.spec.Service}
		if n.leaving || (moves[e.region] < t.opts.MaxMoves && movingHelps(e, n, entries, releasing[from])) {
			e.releaseRequested = true
			moves[e.region]++
			releasing[from]++
			t.noteChange(e)
		}
	}
}

// movingHelps reports whether moving e away from n makes the division of its service
// more even. Releasing is how many executors of the service n is about to release.
func movingHelps(e *executor, n *entry, entries []*entry, releasing int) bool {
	to := chooseEntry(e, entries)
	if to == nil || to == n {
		return false
	}
	if n.lastResort && !to.lastResort {
		return true
	}
	return n.services[e.spec.Service]-releasing-to.services[e.spec.Service] >= 2
}

func (t *Table) grant(e *executor, n *entry, epoch uint64) {
	e.owner = n.id
	e.epoch = epoch
	e.releaseRequested = false
	e.freeAt = 0
	e.ownerUnknown = false
	n.owned++
	n.services[e.spec.Service]++
	t.noteChange(e)
}

// free ends the ownership of e, and removes e if it was withdrawn.
func (t *Table) free(e *executor) {
	if n := t.entries[e.owner]; n != nil && !e.orphan() {
		n.owned--
		n.services[e.spec.Service]--
		t.bumpVersion(n)
	}
	e.owner = ""
	e.releaseRequested = false
	e.freeAt = 0
	delete(t.orphans, e.spec.ID)
	t.dirty = true
	t.version++
	if e.withdrawn {
		delete(t.executors, e.spec.ID)
	}
}

// noteChange records a change of e for its owner and for the directory.
func (t *Table) noteChange(e *executor) {
	t.dirty = true
	t.version++
	if n := t.entries[e.owner]; n != nil && !e.orphan() {
		t.bumpVersion(n)
	}
}

// bumpVersion gives the set of executors that n owns a version that no earlier set
// has had.
func (t *Table) bumpVersion(n *entry) {
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
