package storage

import (
	"encoding/binary"
	"fmt"
	"path/filepath"
)

// fileFormatVersion is the format version of checksummed small files and snapshots.
const fileFormatVersion = 1

// maxSmallFileBytes limits the size of a checksummed small file.
const maxSmallFileBytes = 1 << 20

// tempSuffix marks files that are incomplete and not yet renamed into place.
const tempSuffix = ".tmp"

// WriteFile durably and atomically replaces the content of file name in dir:
// after a crash the file has either the old or the new content. A failed sync
// is reported as a *SyncError.
func WriteFile(fsys FS, dir, name string, data []byte) error {
	buf := make([]byte, 4, 4+frameHeaderSize+len(data))
	binary.LittleEndian.PutUint32(buf, fileFormatVersion)
	buf = startFrame(buf)
	buf = append(buf, data...)
	finishFrame(buf, 4, 0, 0)
	temp := filepath.Join(dir, name+tempSuffix)
	f, err := fsys.Create(temp)
	if err != nil {
		return fmt.Errorf("storage: create %s: %w", name, err)
	}
	if _, err := f.WriteAt(buf, 0); err != nil {
		_ = f.Close()
		_ = fsys.Remove(temp)
		return fmt.Errorf("storage: write %s: %w", name, err)
	}
	return commitFile(fsys, f, temp, filepath.Join(dir, name))
}

// commitFile syncs and closes f, renames it from temp to name and syncs the
// directory.
func commitFile(fsys FS, f File, temp, name string) error {
	if err := f.Sync(); err != nil {
		_ = f.Close()
		return &SyncError{File: name, Err: err}
	}
	if err := f.Close(); err != nil {
		return fmt.Errorf("storage: close %s: %w", name, err)
	}
	if err := fsys.Rename(temp, name); err != nil {
		return fmt.Errorf("storage: rename %s: %w", name, err)
	}
	if err := fsys.SyncDir(filepath.Dir(name)); err != nil {
		return &SyncError{File: filepath.Dir(name), Err: err}
	}
	return nil
}

// ReadFile returns the content that WriteFile stored as name in dir. It returns
// ok == false if the file does not exist, and a *CorruptError if its checksum
// or format version is wrong.
func ReadFile(fsys FS, dir, name string) (data []byte, ok bool, err error) {
	path := filepath.Join(dir, name)
	f, err := fsys.Open(path)
	if isNotExist(err) {
		return nil, false, nil
	}
	if err != nil {
		return nil, false, fmt.Errorf("storage: open %s: %w", name, err)
	}
	defer func() { _ = f.Close() }()
	raw, err := readAll(f, maxSmallFileBytes)
	if err != nil {
		return nil, false, fmt.Errorf("storage: read %s: %w", name, err)
	}
	if len(raw) < 4 {
		return nil, false, &CorruptError{File: path, Offset: 0, Reason: "file is shorter than its version field"}
	}
	if v := binary.LittleEndian.Uint32(raw); v != fileFormatVersion {
		return nil, false, &CorruptError{File: path, Offset: 0, Reason: fmt.Sprintf("unknown format version %d", v)}
	}
	fr, st := readFrame(raw[4:], 0)
	if st != frameOK {
		return nil, false, &CorruptError{File: path, Offset: 4, Reason: "checksum mismatch"}
	}
	return fr.payload, true, nil
}

func readAll(f File, limit int64) ([]byte, error) {
	size, err := f.Size()
	if err != nil {
		return nil, err
	}
	if size > limit {
		return nil, fmt.Errorf("size of %d bytes exceeds the limit of %d", size, limit)
	}
	buf := make([]byte, size)
	if size == 0 {
		return buf, nil
	}
	if _, err := f.ReadAt(buf, 0); err != nil {
		return nil, err
	}
	return buf, nil
}

// SyncError reports a failed sync. Earlier writes may or may not be durable, so
// the owner must stop.
type SyncError struct {
	File string
	Err  error
}

// Error implements error. It names the file and the cause.
func (e *SyncError) Error() string { return fmt.Sprintf("storage: sync %s: %v", e.File, e.Err) }

// Unwrap returns the cause.
func (e *SyncError) Unwrap() error { return e.Err }
