// Package storage keeps the durable state of one replica in one data
// directory: a segmented write-ahead log, snapshots and checksummed small files.
// All access goes through FS, so that tests can inject faults at that interface.
package storage

import (
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"syscall"

	"golang.org/x/sys/unix"
)

// File is an open file. Reads and writes take an explicit offset in bytes.
type File interface {
	io.ReaderAt
	io.WriterAt
	io.Closer
	Sync() error
	Truncate(size int64) error
	Size() (int64, error)
}

// FS is the set of file system operations that the package uses.
type FS interface {
	MkdirAll(dir string) error
	// Create creates an empty file or truncates an existing one.
	Create(name string) (File, error)
	// Open opens an existing file for reading and writing.
	Open(name string) (File, error)
	Rename(from, to string) error
	Remove(name string) error
	// List returns the names of the files in dir, sorted.
	List(dir string) ([]string, error)
	// SyncDir makes creations, renames and removals in dir durable.
	SyncDir(dir string) error
	// FreeBytes returns how many bytes can still be written under dir.
	FreeBytes(dir string) (uint64, error)
	// Lock takes an exclusive lock on file name, without waiting. Closing the
	// result releases it.
	Lock(name string) (io.Closer, error)
}

// OS is the file system of the operating system.
type OS struct{}

type osFile struct{ *os.File }

// Size returns the length of f in bytes.
func (f osFile) Size() (int64, error) {
	info, err := f.Stat()
	if err != nil {
		return 0, err
	}
	return info.Size(), nil
}

// MkdirAll creates dir and its parents.
func (OS) MkdirAll(dir string) error { return os.MkdirAll(dir, 0o700) }

// Create creates an empty file or truncates an existing one.
func (OS) Create(name string) (File, error) {
	f, err := os.OpenFile(name, os.O_RDWR|os.O_CREATE|os.O_TRUNC, 0o600)
	if err != nil {
		return nil, err
	}
	return osFile{f}, nil
}

// Open opens an existing file for reading and writing.
func (OS) Open(name string) (File, error) {
	f, err := os.OpenFile(name, os.O_RDWR, 0)
	if err != nil {
		return nil, err
	}
	return osFile{f}, nil
}

// Rename moves a file within its file system.
func (OS) Rename(from, to string) error { return os.Rename(from, to) }

// Remove deletes a file.
func (OS) Remove(name string) error { return os.Remove(name) }

// List returns the names of the files in dir, sorted.
func (OS) List(dir string) ([]string, error) {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return nil, err
	}
	names := make([]string, 0, len(entries))
	for _, e := range entries {
		names = append(names, e.Name())
	}
	return names, nil
}

// SyncDir makes creations, renames and removals in dir durable.
func (OS) SyncDir(dir string) error {
	d, err := os.Open(dir)
	if err != nil {
		return err
	}
	if err := d.Sync(); err != nil {
		_ = d.Close()
		return err
	}
	return d.Close()
}

// FreeBytes returns how many bytes an unprivileged process can still write under dir.
func (OS) FreeBytes(dir string) (uint64, error) {
	var st unix.Statfs_t
	if err := unix.Statfs(dir, &st); err != nil {
		return 0, err
	}
	return st.Bavail * uint64(st.Bsize), nil
}

// Lock takes an exclusive lock on file name, without waiting. Closing the
// result releases it.
func (OS) Lock(name string) (io.Closer, error) {
	f, err := os.OpenFile(name, os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, err
	}
	if err := unix.Flock(int(f.Fd()), unix.LOCK_EX|unix.LOCK_NB); err != nil {
		_ = f.Close()
		return nil, fmt.Errorf("storage: %s is locked by another process: %w", filepath.Base(name), err)
	}
	return f, nil
}

// IsFull reports whether err means that the disk or the disk quota is full.
func IsFull(err error) bool {
	return errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT)
}

// isNotExist reports whether err means that a file does not exist.
func isNotExist(err error) bool { return errors.Is(err, fs.ErrNotExist) }

// CorruptError reports stored data that fails its checksum or has an invalid
// format.
type CorruptError struct {
	File   string
	Offset int64
	Reason string
}

// Error implements error. It names the file, the offset in bytes and the reason.
func (e *CorruptError) Error() string {
	return fmt.Sprintf("storage: %s is corrupt at offset %d: %s", e.File, e.Offset, e.Reason)
}
