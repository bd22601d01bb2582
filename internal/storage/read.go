package storage

import (
	"fmt"
	"path/filepath"
)

// Read returns the entries from index lo through index hi, and stops before the
// total data would exceed limit bytes, but returns at least one entry. It
// returns ErrCompacted if lo has been compacted, no entries if lo is past the
// last one, and a *CorruptError if a stored entry fails its checksum.
func (l *Log) Read(lo, hi uint64, limit int) ([]Entry, error) {
	l.mu.RLock()
	defer l.mu.RUnlock()
	if lo <= l.start.Index {
		return nil, ErrCompacted
	}
	hi = min(hi, l.lastIndex())
	var out []Entry
	size := 0
	for i := lo; i <= hi; i++ {
		e, ok := l.cache.get(i)
		if !ok {
			var err error
			if e, err = l.readEntry(i); err != nil {
				return nil, err
			}
		}
		size += len(e.Data)
		if len(out) > 0 && size > limit {
			break
		}
		out = append(out, e)
	}
	return out, nil
}

// readEntry reads entry index from its segment.
func (l *Log) readEntry(index uint64) (Entry, error) {
	at := l.locations[index-l.start.Index-1]
	s := l.segments[at.segment-l.segments[0].header.number]
	buf := make([]byte, itemHeaderSize+int(at.size))
	if _, err := s.f.ReadAt(buf, int64(at.offset)); err != nil {
		return Entry{}, fmt.Errorf("storage: read %s: %w", filepath.Base(s.path), err)
	}
	it, _, ok := readItem(buf, 0)
	if !ok {
		return Entry{}, &CorruptError{File: s.path, Offset: int64(at.offset), Reason: "checksum mismatch"}
	}
	e, ok := decodeEntry(it.body)
	if !ok || e.Index != index {
		return Entry{}, &CorruptError{File: s.path, Offset: int64(at.offset), Reason: "entry does not have the expected index"}
	}
	return e, nil
}

// entryCache caches the newest entries up to a limit in bytes.
type entryCache struct {
	limit   int
	size    int
	entries []Entry // consecutive indexes
}

func (c *entryCache) clear() {
	c.entries = nil
	c.size = 0
}

func (c *entryCache) add(e Entry) {
	for n := len(c.entries); n > 0 && c.entries[n-1].Index >= e.Index; n-- {
		c.size -= c.entryBytes(c.entries[n-1])
		c.entries = c.entries[:n-1]
	}
	if n := len(c.entries); n > 0 && c.entries[n-1].Index+1 != e.Index {
		c.clear()
	}
	c.entries = append(c.entries, e)
	c.size += c.entryBytes(e)
	drop := 0
	for c.size > c.limit && drop < len(c.entries) {
		c.size -= c.entryBytes(c.entries[drop])
		c.entries[drop] = Entry{}
		drop++
	}
	c.entries = c.entries[drop:]
}

// entryBytes returns the approximate memory use of e in bytes.
func (c *entryCache) entryBytes(e Entry) int {
	const overhead = 48
	return overhead + len(e.Data)
}

func (c *entryCache) get(index uint64) (Entry, bool) {
	if len(c.entries) == 0 || index < c.entries[0].Index {
		return Entry{}, false
	}
	i := index - c.entries[0].Index
	if i >= uint64(len(c.entries)) {
		return Entry{}, false
	}
	return c.entries[i], true
}

// Term returns the term of the entry at index, or ok == false if the log does
// not contain it.
func (l *Log) Term(index uint64) (term uint64, ok bool) {
	l.mu.RLock()
	defer l.mu.RUnlock()
	if index < l.start.Index || index > l.lastIndex() {
		return 0, false
	}
	return l.termAt(index), true
}
