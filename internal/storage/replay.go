package storage

import (
	"fmt"
	"path/filepath"
	"strings"
)

// maxSegmentBytes is the largest segment that is read. It leaves room for the
// roll size and one frame.
const maxSegmentBytes = 1 << 30

// replay rebuilds the in-memory index from all segments, in order.
func (l *Log) replay() error {
	numbers, err := l.segmentNumbers()
	if err != nil {
		return err
	}
	for i, n := range numbers {
		if i > 0 && n != numbers[i-1]+1 {
			return l.corruptError(segmentName(numbers[i-1]+1), 0, "segment is missing")
		}
		if err := l.replaySegment(n, i == len(numbers)-1); err != nil {
			return err
		}
	}
	return nil
}

func (l *Log) corruptError(name string, offset int64, format string, args ...any) error {
	return &CorruptError{
		File:   filepath.Join(l.opts.Dir, name),
		Offset: offset,
		Reason: fmt.Sprintf(format, args...),
	}
}

// segmentNumbers lists the segments and removes temporary files of segments
// that were never renamed into place.
func (l *Log) segmentNumbers() ([]uint32, error) {
	names, err := l.opts.FS.List(l.opts.Dir)
	if err != nil {
		return nil, fmt.Errorf("storage: list: %w", err)
	}
	var numbers []uint32
	for _, name := range names {
		if strings.HasPrefix(name, segmentPrefix) && strings.HasSuffix(name, tempSuffix) {
			if err := l.opts.FS.Remove(filepath.Join(l.opts.Dir, name)); err != nil {
				return nil, fmt.Errorf("storage: remove %s: %w", name, err)
			}
			continue
		}
		if n, ok := parseSegmentName(name); ok {
			numbers = append(numbers, n)
		}
	}
	return numbers, nil
}

func (l *Log) replaySegment(number uint32, last bool) error {
	name := segmentName(number)
	path := filepath.Join(l.opts.Dir, name)
	f, err := l.opts.FS.Open(path)
	if err != nil {
		return fmt.Errorf("storage: open %s: %w", name, err)
	}
	s := &segment{path: path, f: f}
	l.segments = append(l.segments, s)
	data, err := readAll(f, maxSegmentBytes)
	if err != nil {
		return fmt.Errorf("storage: read %s: %w", name, err)
	}
	for {
		fr, st := readFrame(data[s.size:], l.opts.Owner)
		if st == frameEnd {
			break
		}
		if st != frameOK {
			return l.truncateTornFrame(s, data, st, last)
		}
		if err := l.replayFrame(s, fr, number); err != nil {
			return err
		}
		s.size += int64(fr.size)
	}
	if s.size == 0 {
		return l.corruptError(name, 0, "segment is empty")
	}
	return nil
}

// truncateTornFrame removes a torn last frame of the last segment. Any other
// invalid frame is reported as corruption.
func (l *Log) truncateTornFrame(s *segment, data []byte, st frameStatus, last bool) error {
	name := filepath.Base(s.path)
	if s.size == 0 {
		return l.corruptError(name, 0, "segment header frame is invalid")
	}
	if !last {
		return l.corruptError(name, s.size, "frame is invalid, and the segment is not the last one")
	}
	if at := findValidFrame(data[s.size:], l.opts.Owner); at >= 0 {
		return l.corruptError(name, s.size, "frame is invalid, and a valid frame follows at offset %d", s.size+int64(at))
	}
	if err := s.f.Truncate(s.size); err != nil {
		return fmt.Errorf("storage: truncate %s: %w", name, err)
	}
	l.torn = int64(len(data)) - s.size
	return nil
}

// syncReplayed makes durable what the previous process may have written or renamed
// but not synced before it was killed. The owner will vote and acknowledge by it.
// Only the last segment can hold unsynced bytes.
func (l *Log) syncReplayed() error {
	if n := len(l.segments); n > 0 {
		last := l.segments[n-1]
		if err := last.f.Sync(); err != nil {
			return &SyncError{File: last.path, Err: err}
		}
	}
	if err := l.opts.FS.SyncDir(l.opts.Dir); err != nil {
		return &SyncError{File: l.opts.Dir, Err: err}
	}
	return nil
}

func (l *Log) replayFrame(s *segment, fr frame, number uint32) error {
	name := filepath.Base(s.path)
	first := s.size == 0
	if !first && fr.seq != l.seq+1 {
		return l.corruptError(name, s.size, "frame %d follows frame %d", fr.seq, l.seq)
	}
	prev := l.seq
	l.seq = fr.seq
	for offset := 0; offset < len(fr.payload); {
		it, next, ok := readItem(fr.payload, offset)
		if !ok {
			return l.corruptError(name, s.size, "item at offset %d of the frame payload is invalid", offset)
		}
		if first != (it.kind == itemSegment) && offset == 0 {
			return l.corruptError(name, s.size, "segment header is missing or not the first item of the segment")
		}
		at := s.size + frameHeaderSize + int64(offset)
		if err := l.replayItem(s, it, number, at); err != nil {
			return err
		}
		offset = next
	}
	if first && len(l.segments) > 1 && fr.seq != prev+1 {
		return l.corruptError(name, s.size, "frame %d follows frame %d", fr.seq, prev)
	}
	return nil
}

func (l *Log) replayItem(s *segment, it item, number uint32, at int64) error {
	name := filepath.Base(s.path)
	switch it.kind {
	case itemSegment:
		h, ok := decodeSegmentHeader(it.body)
		if !ok {
			return l.corruptError(name, at, "segment header is too short")
		}
		s.header = h
		return l.checkSegmentHeader(h, name, number)
	case itemEntry:
		e, ok := decodeEntry(it.body)
		if !ok {
			return l.corruptError(name, at, "entry is too short or has index 0")
		}
		if e.Index > l.lastIndex()+1 {
			return l.corruptError(name, at, "entry %d follows entry %d", e.Index, l.lastIndex())
		}
		l.indexEntry(e, entryLocation{segment: number, offset: uint32(at), size: uint32(len(it.body))})
		s.maxIndex = max(s.maxIndex, e.Index)
	case itemState:
		l.state = append([]byte(nil), it.body...)
	case itemReset:
		p, ok := decodePosition(it.body)
		if !ok {
			return l.corruptError(name, at, "reset position has the wrong size")
		}
		l.reset(p)
	default:
		return l.corruptError(name, at, "unknown item kind %d", it.kind)
	}
	return nil
}

func (l *Log) checkSegmentHeader(h segmentHeader, name string, number uint32) error {
	if h.version != FormatVersion {
		return l.corruptError(name, 0, "unknown format version %d", h.version)
	}
	if h.number != number || h.owner != l.opts.Owner {
		return l.corruptError(name, 0, "segment belongs to another log")
	}
	if len(l.segments) == 1 {
		l.start = h.lastPosition
		return nil
	}
	prev := l.segments[len(l.segments)-2]
	if int64(h.prevSize) != prev.size {
		return l.corruptError(filepath.Base(prev.path), prev.size, "segment size differs from the %d bytes recorded in the next segment", h.prevSize)
	}
	return nil
}
