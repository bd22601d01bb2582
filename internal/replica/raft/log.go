package raft

import (
	"math"
	"slices"
)

// raftLog holds the terms of all entries, in memory or on disk, and a tail of the
// entries themselves: all that are not yet committed and durable, and older ones
// up to a limit in bytes.
type raftLog struct {
	start     Position   // position before the first entry on disk
	terms     []Position // first position of each run of entries with equal terms
	last      uint64
	persisted uint64 // highest index known to be durable here
	committed uint64

	tail      []Entry // ends at last
	tailBytes int
	maxTail   int

	uncommittedBytes int
}

// entryCost returns the approximate memory of an entry in bytes.
func entryCost(e Entry) int {
	const overhead = 48
	return overhead + len(e.Data)
}

func (l *raftLog) lastPosition() Position {
	return Position{Index: l.last, Term: l.lastTerm()}
}

func (l *raftLog) lastTerm() uint64 {
	term, _ := l.term(l.last)
	return term
}

// term returns the term of the entry at index. ok is false if it is unknown.
func (l *raftLog) term(index uint64) (term uint64, ok bool) {
	if index == l.start.Index {
		return l.start.Term, true
	}
	if index < l.start.Index || index > l.last {
		return 0, false
	}
	for i := len(l.terms) - 1; i >= 0; i-- {
		if l.terms[i].Index <= index {
			return l.terms[i].Term, true
		}
	}
	return 0, false
}

// matches reports whether the log contains p. Committed positions always match.
func (l *raftLog) matches(p Position) bool {
	term, ok := l.term(p.Index)
	return ok && term == p.Term
}

// firstOfTerm returns the first index of the run of equal terms that contains
// index.
func (l *raftLog) firstOfTerm(index uint64) uint64 {
	for i := len(l.terms) - 1; i >= 0; i-- {
		if l.terms[i].Index <= index {
			return l.terms[i].Index
		}
	}
	return l.start.Index + 1
}

// append adds consecutive entries, the first at most one past the end of the log.
// Existing entries from that index on are replaced.
func (l *raftLog) append(entries []Entry) {
	if len(entries) == 0 {
		return
	}
	l.truncate(entries[0].Index - 1)
	for _, e := range entries {
		l.tail = append(l.tail, e)
		l.tailBytes += entryCost(e)
		l.uncommittedBytes += entryCost(e)
		if n := len(l.terms); n == 0 || l.terms[n-1].Term != e.Term {
			l.terms = append(l.terms, Position{Index: e.Index, Term: e.Term})
		}
	}
	l.last = entries[len(entries)-1].Index
}

// truncate removes all entries after index.
func (l *raftLog) truncate(index uint64) {
	if index >= l.last {
		return
	}
	keep := len(l.tail)
	for keep > 0 && l.tail[keep-1].Index > index {
		keep--
		l.tailBytes -= entryCost(l.tail[keep])
		l.uncommittedBytes -= entryCost(l.tail[keep])
	}
	// Messages in flight share the old array, so it must not be written again.
	l.tail = slices.Clone(l.tail[:keep])
	for n := len(l.terms); n > 0 && l.terms[n-1].Index > index; n-- {
		l.terms = l.terms[:n-1]
	}
	l.last = index
	l.persisted = min(l.persisted, index)
}

// reset empties the log, which then starts after p. The persisted index does not
// advance until the reset is durable: until then the disk may still hold other
// entries up to p.
func (l *raftLog) reset(p Position) {
	l.persisted = min(l.persisted, l.committed)
	l.start = p
	l.terms = nil
	l.tail = nil
	l.tailBytes = 0
	l.uncommittedBytes = 0
	l.last = p.Index
	l.committed = p.Index
}

// commitTo advances the commit index and subtracts the newly committed entries
// from uncommittedBytes.
func (l *raftLog) commitTo(index uint64) {
	if index <= l.committed {
		return
	}
	entries, _ := l.slice(l.committed+1, math.MaxInt)
	for _, e := range entries {
		if e.Index > index {
			break
		}
		l.uncommittedBytes -= entryCost(e)
	}
	l.committed = index
}

// compact drops the terms of entries up to p.
func (l *raftLog) compact(p Position) {
	if p.Index <= l.start.Index || p.Index > l.last {
		return
	}
	l.start = p
	n := 0
	for n+1 < len(l.terms) && l.terms[n+1].Index <= p.Index+1 {
		n++
	}
	l.terms = append([]Position(nil), l.terms[n:]...)
	if p.Index == l.last {
		l.terms = nil
	} else {
		l.terms[0].Index = max(l.terms[0].Index, p.Index+1)
	}
}

// trim drops the oldest entries of the tail beyond its limit. Entries that are
// not both committed and durable are kept.
func (l *raftLog) trim() {
	safe := min(l.committed, l.persisted)
	drop := 0
	for l.tailBytes > l.maxTail && drop < len(l.tail) && l.tail[drop].Index <= safe {
		l.tailBytes -= entryCost(l.tail[drop])
		drop++
	}
	l.tail = l.tail[drop:]
	if len(l.tail) == 0 {
		l.tail = nil
	}
}

// slice returns entries starting at index lo: at least one, and further ones up
// to limit bytes in total. ok is false if they are not in memory.
func (l *raftLog) slice(lo uint64, limit int) (entries []Entry, ok bool) {
	if lo > l.last {
		return nil, true
	}
	if len(l.tail) == 0 || lo < l.tail[0].Index {
		return nil, false
	}
	from := int(lo - l.tail[0].Index)
	to := from
	size := 0
	for to < len(l.tail) {
		size += entryCost(l.tail[to])
		if to > from && size > limit {
			break
		}
		to++
	}
	return l.tail[from:to:to], true
}
