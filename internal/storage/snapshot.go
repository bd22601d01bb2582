package storage

import (
	"encoding/binary"
	"fmt"
	"io"
	"path/filepath"
	"strings"
)

const (
	snapshotPrefix = "snapshot-"
	snapshotSuffix = ".snap"
	receivePrefix  = "receive-"
	versionSize    = 4
	// snapshotBlockBytes is the payload size of one snapshot frame, in bytes.
	snapshotBlockBytes = 64 << 10
)

// SnapshotMeta describes a snapshot by the position of its last entry. Config
// is opaque to the package.
type SnapshotMeta struct {
	Index  uint64
	Term   uint64
	Config []byte
}

func snapshotName(index uint64) string {
	return fmt.Sprintf("%s%016x%s", snapshotPrefix, index, snapshotSuffix)
}

// SnapshotStore keeps the newest snapshot in a data directory.
type SnapshotStore struct {
	dir string
	fs  FS
}

// OpenSnapshotStore opens the snapshots in dir and removes the unfinished ones
// that earlier runs left. A nil fsys is the file system of the operating system.
func OpenSnapshotStore(fsys FS, dir string) (*SnapshotStore, error) {
	if fsys == nil {
		fsys = OS{}
	}
	s := &SnapshotStore{dir: dir, fs: fsys}
	names, err := fsys.List(dir)
	if err != nil {
		return nil, fmt.Errorf("storage: list: %w", err)
	}
	for _, n := range names {
		unfinished := strings.HasPrefix(n, receivePrefix) ||
			strings.HasPrefix(n, snapshotPrefix) && strings.HasSuffix(n, tempSuffix)
		if !unfinished {
			continue
		}
		if err := fsys.Remove(filepath.Join(dir, n)); err != nil {
			return nil, fmt.Errorf("storage: remove %s: %w", n, err)
		}
	}
	return s, nil
}

// Newest opens the newest snapshot. It returns ok == false if there is none.
func (s *SnapshotStore) Newest() (r *SnapshotReader, ok bool, err error) {
	names, err := s.names()
	if err != nil || len(names) == 0 {
		return nil, false, err
	}
	r, err = openSnapshot(s.fs, filepath.Join(s.dir, names[len(names)-1]))
	return r, err == nil, err
}

func (s *SnapshotStore) names() ([]string, error) {
	all, err := s.fs.List(s.dir)
	if err != nil {
		return nil, fmt.Errorf("storage: list: %w", err)
	}
	var names []string
	for _, n := range all {
		if IsSnapshot(n) {
			names = append(names, n)
		}
	}
	return names, nil
}

// Save writes a snapshot and makes it the newest. If IsFull reports true for
// the error, the previous snapshot is still in place.
func (s *SnapshotStore) Save(meta SnapshotMeta, write func(io.Writer) error) error {
	path := filepath.Join(s.dir, snapshotName(meta.Index))
	temp := path + tempSuffix
	f, err := s.fs.Create(temp)
	if err != nil {
		return fmt.Errorf("storage: create snapshot: %w", err)
	}
	w := &snapshotWriter{f: f}
	if err := w.run(meta, write); err != nil {
		_ = f.Close()
		_ = s.fs.Remove(temp)
		return fmt.Errorf("storage: write snapshot: %w", err)
	}
	if err := commitFile(s.fs, f, temp, path); err != nil {
		return err
	}
	return s.prune(meta.Index)
}

// prune removes the snapshots with an index below index.
func (s *SnapshotStore) prune(index uint64) error {
	names, err := s.names()
	if err != nil {
		return err
	}
	for _, n := range names {
		if n >= snapshotName(index) {
			continue
		}
		if err := s.fs.Remove(filepath.Join(s.dir, n)); err != nil {
			return fmt.Errorf("storage: remove %s: %w", n, err)
		}
	}
	return nil
}

// snapshotWriter writes one frame per block, followed by an empty frame as the
// end marker.
type snapshotWriter struct {
	f      File
	offset int64
	seq    uint64
	buf    []byte // the frame being filled
}

func (w *snapshotWriter) run(meta SnapshotMeta, write func(io.Writer) error) error {
	var version [versionSize]byte
	binary.LittleEndian.PutUint32(version[:], fileFormatVersion)
	if _, err := w.f.WriteAt(version[:], 0); err != nil {
		return err
	}
	w.offset = versionSize
	w.buf = startFrame(w.buf)
	w.buf = binary.LittleEndian.AppendUint64(w.buf, meta.Index)
	w.buf = binary.LittleEndian.AppendUint64(w.buf, meta.Term)
	w.buf = append(w.buf, meta.Config...)
	if err := w.flush(); err != nil {
		return err
	}
	if err := write(w); err != nil {
		return err
	}
	if len(w.buf) > frameHeaderSize {
		if err := w.flush(); err != nil {
			return err
		}
	}
	return w.flush()
}

// Write implements io.Writer. It appends p to the snapshot's data.
func (w *snapshotWriter) Write(p []byte) (int, error) {
	written := 0
	for len(p) > 0 {
		n := min(len(p), frameHeaderSize+snapshotBlockBytes-len(w.buf))
		w.buf = append(w.buf, p[:n]...)
		p = p[n:]
		written += n
		if len(w.buf) == frameHeaderSize+snapshotBlockBytes {
			if err := w.flush(); err != nil {
				return written, err
			}
		}
	}
	return written, nil
}

// flush writes the current frame and starts the next one.
func (w *snapshotWriter) flush() error {
	finishFrame(w.buf, 0, 0, w.seq)
	if _, err := w.f.WriteAt(w.buf, w.offset); err != nil {
		return err
	}
	w.offset += int64(len(w.buf))
	w.seq++
	w.buf = startFrame(w.buf[:0])
	return nil
}

// SnapshotReader reads the data of a snapshot and verifies its checksums. It
// also gives access to the raw bytes of the file, which are sent to other
// replicas.
type SnapshotReader struct {
	Meta SnapshotMeta

	f      File
	path   string
	size   int64
	offset int64
	seq    uint64
	block  []byte
	done   bool
}

func openSnapshot(fsys FS, path string) (*SnapshotReader, error) {
	f, err := fsys.Open(path)
	if err != nil {
		return nil, fmt.Errorf("storage: open %s: %w", filepath.Base(path), err)
	}
	r := &SnapshotReader{f: f, path: path}
	if err := r.readHeader(); err != nil {
		_ = f.Close()
		return nil, err
	}
	return r, nil
}

func (r *SnapshotReader) corruptError(reason string) error {
	return &CorruptError{File: r.path, Offset: r.offset, Reason: reason}
}

func (r *SnapshotReader) readHeader() error {
	size, err := r.f.Size()
	if err != nil {
		return err
	}
	r.size = size
	var version [versionSize]byte
	if size < versionSize {
		return r.corruptError("file is shorter than its version field")
	}
	if _, err := r.f.ReadAt(version[:], 0); err != nil {
		return err
	}
	if v := binary.LittleEndian.Uint32(version[:]); v != fileFormatVersion {
		return r.corruptError(fmt.Sprintf("unknown format version %d", v))
	}
	r.offset = versionSize
	head, err := r.next()
	if err != nil {
		return err
	}
	if len(head) < positionSize {
		return r.corruptError("header is too short")
	}
	r.Meta = SnapshotMeta{
		Index:  binary.LittleEndian.Uint64(head[0:]),
		Term:   binary.LittleEndian.Uint64(head[8:]),
		Config: append([]byte(nil), head[16:]...),
	}
	return nil
}

// next returns the payload of the next frame.
func (r *SnapshotReader) next() ([]byte, error) {
	left := r.size - r.offset
	if left < frameHeaderSize {
		return nil, r.corruptError("file is truncated")
	}
	buf := make([]byte, min(left, frameHeaderSize+max(snapshotBlockBytes, maxSmallFileBytes)))
	if left > frameHeaderSize+snapshotBlockBytes && r.seq > 0 {
		buf = buf[:frameHeaderSize+snapshotBlockBytes]
	}
	if _, err := r.f.ReadAt(buf, r.offset); err != nil {
		return nil, err
	}
	fr, st := readFrame(buf, 0)
	if st != frameOK || fr.seq != r.seq {
		return nil, r.corruptError("block is invalid or out of sequence")
	}
	r.offset += int64(fr.size)
	r.seq++
	return fr.payload, nil
}

// Read implements io.Reader. It returns io.EOF after the last byte of the data
// and a *CorruptError if a block is invalid.
func (r *SnapshotReader) Read(p []byte) (int, error) {
	for len(r.block) == 0 {
		if r.done {
			return 0, io.EOF
		}
		block, err := r.next()
		if err != nil {
			return 0, err
		}
		if len(block) == 0 {
			r.done = true
			if r.offset != r.size {
				return 0, r.corruptError("data follows the end marker")
			}
		}
		r.block = block
	}
	n := copy(p, r.block)
	r.block = r.block[n:]
	return n, nil
}

// Close closes the file.
func (r *SnapshotReader) Close() error { return r.f.Close() }

// RawSize returns the length of the file in bytes.
func (r *SnapshotReader) RawSize() int64 { return r.size }

// ReadRawAt reads raw bytes of the file at offset, as io.ReaderAt does.
func (r *SnapshotReader) ReadRawAt(p []byte, offset int64) (int, error) {
	return r.f.ReadAt(p, offset)
}

// IsSnapshot reports whether name is the file name of a snapshot.
func IsSnapshot(name string) bool {
	return strings.HasPrefix(name, snapshotPrefix) && strings.HasSuffix(name, snapshotSuffix)
}
