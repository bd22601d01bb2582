package storage

import (
	"fmt"
	"path/filepath"
	"strings"
)

const (
	segmentPrefix = "log-"
	segmentSuffix = ".wal"
)

// segment is one file of the log.
type segment struct {
	path     string
	f        File
	size     int64
	header   segmentHeader
	maxIndex uint64 // highest entry index in the file
	closed   bool   // out of the log, and f is closed
}

func segmentName(number uint32) string {
	return fmt.Sprintf("%s%08x%s", segmentPrefix, number, segmentSuffix)
}

func parseSegmentName(name string) (uint32, bool) {
	if !strings.HasPrefix(name, segmentPrefix) || !strings.HasSuffix(name, segmentSuffix) {
		return 0, false
	}
	var n uint32
	if _, err := fmt.Sscanf(name, segmentPrefix+"%08x"+segmentSuffix, &n); err != nil {
		return 0, false
	}
	return n, segmentName(n) == name
}

// append writes a frame at the end of the file and syncs it. If the disk is
// full, it truncates the file to its previous size.
func (s *segment) append(frame []byte) error {
	if _, err := s.f.WriteAt(frame, s.size); err != nil {
		if !IsFull(err) {
			return fmt.Errorf("storage: write %s: %w", s.path, err)
		}
		if terr := s.f.Truncate(s.size); terr != nil {
			return &SyncError{File: s.path, Err: terr}
		}
		return fmt.Errorf("storage: write %s: %w", s.path, err)
	}
	if err := s.f.Sync(); err != nil {
		// After a failed sync the kernel may have dropped the dirty pages, and a
		// second sync would succeed without writing them.
		return &SyncError{File: s.path, Err: err}
	}
	s.size += int64(len(frame))
	return nil
}

// roll starts a new segment. Its first frame repeats the owner's state, so that
// earlier segments can be removed.
func (l *Log) roll() error {
	header := segmentHeader{version: FormatVersion, number: 1, owner: l.opts.Owner, lastPosition: l.Last()}
	if n := len(l.segments); n > 0 {
		prev := l.segments[n-1]
		header.number = prev.header.number + 1
		header.prevSize = uint64(prev.size)
	}
	buf := appendSegmentHeader(startFrame(nil), header)
	if l.state != nil {
		buf = appendItem(buf, itemState, l.state)
	}
	finishFrame(buf, 0, l.opts.Owner, l.seq+1)
	s, err := l.createSegment(header, buf)
	if err != nil {
		return err
	}
	l.seq++
	l.mu.Lock()
	l.segments = append(l.segments, s)
	l.mu.Unlock()
	return nil
}

func (l *Log) createSegment(header segmentHeader, first []byte) (*segment, error) {
	path := filepath.Join(l.opts.Dir, segmentName(header.number))
	temp := path + tempSuffix
	f, err := l.opts.FS.Create(temp)
	if err != nil {
		return nil, fmt.Errorf("storage: create %s: %w", path, err)
	}
	s := &segment{path: path, f: f, header: header}
	if err := s.append(first); err != nil {
		_ = f.Close()
		_ = l.opts.FS.Remove(temp)
		return nil, err
	}
	if err := l.opts.FS.Rename(temp, path); err != nil {
		_ = f.Close()
		return nil, fmt.Errorf("storage: rename %s: %w", path, err)
	}
	if err := l.opts.FS.SyncDir(l.opts.Dir); err != nil {
		_ = f.Close()
		return nil, &SyncError{File: l.opts.Dir, Err: err}
	}
	return s, nil
}

// IsSegment reports whether name is the file name of a log segment.
func IsSegment(name string) bool {
	_, ok := parseSegmentName(name)
	return ok
}
