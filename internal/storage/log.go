package storage

import (
	"errors"
	"fmt"
	"path/filepath"
	"sync"
)

// FormatVersion is the format version of log segments.
const FormatVersion = 1

const (
	defaultSegmentBytes = 16 << 20
	defaultCacheBytes   = 4 << 20
)

// ErrCompacted is returned when a read starts before the first retained entry.
var ErrCompacted = errors.New("storage: requested log entries have been compacted")

// LogOptions configures a Log.
type LogOptions struct {
	Dir string
	FS  FS // nil: the operating system's
	// Owner is the identity of the replica. Segments of another owner are rejected.
	Owner uint64
	// SegmentBytes is the size at which a new segment is started. Zero: 16 MiB.
	SegmentBytes int64
	// CacheBytes limits the memory of the entries cached for reads. Zero: 4 MiB.
	CacheBytes int
}

// Batch is the content of one Append. Its fields take effect in this order.
type Batch struct {
	Reset   *Position // clears the log, which then starts after this position
	Entries []Entry   // an entry at an existing index first truncates the log from there
	State   []byte    // replaces the state of the owner; nil keeps it
}

// entryLocation is the location of an entry's item on disk.
type entryLocation struct {
	segment uint32
	offset  uint32 // of the item header
	size    uint32 // of the body
}

// Log is a segmented write-ahead log. Append and Compact may each be called
// from one goroutine, the read methods from any.
type Log struct {
	opts    LogOptions
	writeMu sync.Mutex // held by Append, and by Compact until it has detached the segments

	mu        sync.RWMutex // guards what follows
	segments  []*segment
	start     Position // the position before the first retained entry
	terms     []Position
	locations []entryLocation
	state     []byte
	cache     entryCache

	compactMu sync.Mutex // held by Compact
	detached  []*segment // out of the log, and not removed yet, oldest first; guarded by compactMu

	torn int64  // bytes that were cut off when the log was opened
	seq  uint64 // of the last frame; guarded by writeMu
	buf  []byte
}

// OpenLog opens and replays the log in opts.Dir, and starts an empty one if
// there is none. It truncates a torn last frame and returns a *CorruptError for
// any other corruption. What it has read, and the name of every file in the
// directory, is durable when it returns.
func OpenLog(opts LogOptions) (*Log, error) {
	if opts.FS == nil {
		opts.FS = OS{}
	}
	if opts.SegmentBytes == 0 {
		opts.SegmentBytes = defaultSegmentBytes
	}
	if opts.CacheBytes == 0 {
		opts.CacheBytes = defaultCacheBytes
	}
	l := &Log{opts: opts, cache: entryCache{limit: opts.CacheBytes}}
	if err := l.replay(); err != nil {
		_ = l.Close()
		return nil, err
	}
	if err := l.syncReplayed(); err != nil {
		_ = l.Close()
		return nil, err
	}
	if len(l.segments) == 0 {
		if err := l.roll(); err != nil {
			return nil, err
		}
	}
	return l, nil
}

// Append writes b as one frame and syncs it. If IsFull reports true for the
// error, nothing was written and the call may be retried. Any other error
// leaves the log unusable.
func (l *Log) Append(b Batch) error {
	l.writeMu.Lock()
	defer l.writeMu.Unlock()
	seg := l.segments[len(l.segments)-1]
	if seg.size >= l.opts.SegmentBytes {
		if err := l.roll(); err != nil {
			return err
		}
		seg = l.segments[len(l.segments)-1]
	}
	l.buf = startFrame(l.buf[:0])
	if b.Reset != nil {
		l.buf = appendPosition(l.buf, *b.Reset)
	}
	offsets := make([]uint32, len(b.Entries))
	for i, e := range b.Entries {
		offsets[i] = uint32(seg.size) + uint32(len(l.buf))
		l.buf = appendEntry(l.buf, e)
	}
	if b.State != nil {
		l.buf = appendItem(l.buf, itemState, b.State)
	}
	finishFrame(l.buf, 0, l.opts.Owner, l.seq+1)
	if err := seg.append(l.buf); err != nil {
		return err
	}
	l.seq++
	l.publish(b, seg, offsets)
	l.shrinkBuffer()
	return nil
}

// shrinkBuffer releases the buffer after an unusually large batch.
func (l *Log) shrinkBuffer() {
	const keep = 1 << 20
	if cap(l.buf) > keep {
		l.buf = nil
	}
}

// publish makes b visible to readers.
func (l *Log) publish(b Batch, seg *segment, offsets []uint32) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if b.Reset != nil {
		l.reset(*b.Reset)
	}
	for i, e := range b.Entries {
		size := uint32(entryPrefixSize + len(e.Data))
		l.indexEntry(e, entryLocation{segment: seg.header.number, offset: offsets[i], size: size})
		seg.maxIndex = max(seg.maxIndex, e.Index)
		l.cache.add(e)
	}
	if b.State != nil {
		l.state = append([]byte(nil), b.State...)
	}
}

func (l *Log) reset(p Position) {
	l.start = p
	l.terms = nil
	l.locations = nil
	l.cache.clear()
}

// indexEntry records the location of e and drops the entries that it replaces.
func (l *Log) indexEntry(e Entry, at entryLocation) {
	if e.Index <= l.start.Index {
		// The entry has been compacted since. Only the term at the start still matters.
		l.locations = nil
		l.terms = nil
		if e.Index == l.start.Index {
			l.start.Term = e.Term
		}
		return
	}
	keep := e.Index - l.start.Index - 1
	l.locations = append(l.locations[:keep], at)
	for len(l.terms) > 0 && l.terms[len(l.terms)-1].Index >= e.Index {
		l.terms = l.terms[:len(l.terms)-1]
	}
	if len(l.terms) == 0 || l.terms[len(l.terms)-1].Term != e.Term {
		l.terms = append(l.terms, Position{Index: e.Index, Term: e.Term})
	}
}

// Compact removes the segments whose entries all have an index of at most
// index, and returns the position after which the log now starts. After an error the next
// Compact removes the remaining ones first.
func (l *Log) Compact(index uint64) (Position, error) {
	l.compactMu.Lock()
	defer l.compactMu.Unlock()
	l.detached = append(l.detached, l.detachCompacted(index)...)
	for len(l.detached) > 0 {
		if err := l.removeSegment(l.detached[0]); err != nil {
			return l.Start(), err
		}
		l.detached = l.detached[1:]
	}
	return l.Start(), nil
}

// removeSegment removes the file of a detached segment. The removal is durable before the
// next one: a loss of power may undo any removal that is not, and a gap between two
// segments is damage.
func (l *Log) removeSegment(s *segment) error {
	if !s.closed {
		s.closed = true
		if err := s.f.Close(); err != nil {
			return fmt.Errorf("storage: close %s: %w", s.path, err)
		}
	}
	if err := l.opts.FS.Remove(s.path); err != nil {
		return fmt.Errorf("storage: remove %s: %w", s.path, err)
	}
	if err := l.opts.FS.SyncDir(l.opts.Dir); err != nil {
		return &SyncError{File: l.opts.Dir, Err: err}
	}
	return nil
}

// detachCompacted takes the segments with entries up to index out of the log, oldest first.
// Appends wait for it, and not for the removal of the files.
func (l *Log) detachCompacted(index uint64) []*segment {
	l.writeMu.Lock()
	defer l.writeMu.Unlock()
	n := 0
	for n < len(l.segments)-1 && l.segments[n].maxIndex <= index && l.segments[n+1].header.lastPosition.Index <= index {
		n++
	}
	if n == 0 {
		return nil
	}
	return l.detachSegments(n)
}

func (l *Log) detachSegments(n int) []*segment {
	l.mu.Lock()
	defer l.mu.Unlock()
	dropped := l.segments[:n]
	l.segments = append([]*segment(nil), l.segments[n:]...)
	at := l.segments[0].header.lastPosition.Index
	if at <= l.start.Index {
		return dropped
	}
	at = min(at, l.lastIndex())
	term := l.termAt(at)
	l.locations = append([]entryLocation(nil), l.locations[at-l.start.Index:]...)
	l.start = Position{Index: at, Term: term}
	l.pruneTerms()
	return dropped
}

// pruneTerms drops the terms of entries up to the start.
func (l *Log) pruneTerms() {
	n := 0
	for n+1 < len(l.terms) && l.terms[n+1].Index <= l.start.Index+1 {
		n++
	}
	if len(l.locations) == 0 {
		l.terms = nil
		return
	}
	l.terms = append([]Position(nil), l.terms[n:]...)
	l.terms[0].Index = max(l.terms[0].Index, l.start.Index+1)
}

// Start returns the position before the first retained entry.
func (l *Log) Start() Position {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return l.start
}

// StartOfLast returns the index after which the entries up to index take at most limit bytes.
func (l *Log) StartOfLast(index uint64, limit int64) uint64 {
	l.mu.RLock()
	defer l.mu.RUnlock()
	at := min(index, l.lastIndex())
	for at > l.start.Index {
		limit -= int64(l.locations[at-l.start.Index-1].size)
		if limit < 0 {
			break
		}
		at--
	}
	return at
}

// Last returns the position of the last entry, or Start if the log is empty.
func (l *Log) Last() Position {
	l.mu.RLock()
	defer l.mu.RUnlock()
	last := l.lastIndex()
	return Position{Index: last, Term: l.termAt(last)}
}

// Terms returns the first position of each run of entries with the same term.
func (l *Log) Terms() []Position {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return append([]Position(nil), l.terms...)
}

// State returns the last state that the owner wrote, or nil if there is none.
func (l *Log) State() []byte {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return l.state
}

// TornBytes returns the size of the torn last frame that was cut off when the log was opened.
func (l *Log) TornBytes() int64 { return l.torn }

func (l *Log) lastIndex() uint64 { return l.start.Index + uint64(len(l.locations)) }

func (l *Log) termAt(index uint64) uint64 {
	if index == l.start.Index {
		return l.start.Term
	}
	for i := len(l.terms) - 1; i >= 0; i-- {
		if l.terms[i].Index <= index {
			return l.terms[i].Term
		}
	}
	return 0
}

// Close closes the segment files. No sync is needed, since Append syncs.
func (l *Log) Close() error {
	l.compactMu.Lock()
	defer l.compactMu.Unlock()
	l.writeMu.Lock()
	defer l.writeMu.Unlock()
	l.mu.Lock()
	defer l.mu.Unlock()
	var first error
	for _, s := range append(l.detached, l.segments...) {
		if s.closed {
			continue
		}
		if err := s.f.Close(); err != nil && first == nil {
			first = fmt.Errorf("storage: close %s: %w", filepath.Base(s.path), err)
		}
	}
	l.segments, l.detached = nil, nil
	return first
}
