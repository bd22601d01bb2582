package storage

import (
	"fmt"
	"io"
	"path/filepath"
)

// SnapshotReceiver stores the raw bytes of a snapshot sent by another replica.
type SnapshotReceiver struct {
	s      *SnapshotStore
	f      File
	index  uint64
	offset int64
}

// Receive starts a file for an incoming snapshot at index.
func (s *SnapshotStore) Receive(index uint64) (*SnapshotReceiver, error) {
	f, err := s.fs.Create(s.receivePath(index))
	if err != nil {
		return nil, fmt.Errorf("storage: create snapshot: %w", err)
	}
	return &SnapshotReceiver{s: s, f: f, index: index}, nil
}

func (s *SnapshotStore) receivePath(index uint64) string {
	return filepath.Join(s.dir, fmt.Sprintf("%s%016x", receivePrefix, index))
}

// Offset returns how many bytes have been written.
func (r *SnapshotReceiver) Offset() int64 { return r.offset }

// Write implements io.Writer. It appends p to the file.
func (r *SnapshotReceiver) Write(p []byte) (int, error) {
	n, err := r.f.WriteAt(p, r.offset)
	if err != nil {
		return n, fmt.Errorf("storage: write snapshot: %w", err)
	}
	r.offset += int64(n)
	return n, nil
}

// Abort discards the received bytes.
func (r *SnapshotReceiver) Abort() {
	_ = r.f.Close()
	_ = r.s.fs.Remove(r.s.receivePath(r.index))
}

// Commit verifies the whole file and makes it the newest snapshot. It discards
// the file if the check fails or if the snapshot has another index.
func (r *SnapshotReceiver) Commit() (SnapshotMeta, error) {
	from := r.s.receivePath(r.index)
	meta, err := verifySnapshot(r.s.fs, from)
	if err != nil {
		r.Abort()
		return SnapshotMeta{}, err
	}
	if meta.Index != r.index {
		r.Abort()
		return SnapshotMeta{}, fmt.Errorf("storage: received snapshot has index %d, want %d", meta.Index, r.index)
	}
	to := filepath.Join(r.s.dir, snapshotName(meta.Index))
	if err := commitFile(r.s.fs, r.f, from, to); err != nil {
		return SnapshotMeta{}, err
	}
	return meta, r.s.prune(meta.Index)
}

func verifySnapshot(fsys FS, path string) (SnapshotMeta, error) {
	r, err := openSnapshot(fsys, path)
	if err != nil {
		return SnapshotMeta{}, err
	}
	defer func() { _ = r.Close() }()
	if _, err := io.Copy(io.Discard, r); err != nil {
		return SnapshotMeta{}, err
	}
	return r.Meta, nil
}
