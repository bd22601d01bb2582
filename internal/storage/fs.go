// Package storage keeps the durable state of one replica under one data
// folder: a segmented write-ahead log, snapshots and small checked files. All
// access goes through FS, so that tests can cause faults at that interface.
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

// File is an open file. Reads and writes name their offset in bytes.
type File interface {
	io.ReaderAt
	io.WriterAt
	io.Closer
	Sync() error
	Truncate(size int64) error
	Size() (int64, error)
}

// FS is the part of a file system that the package uses.
type FS interface {
	MkdirAll(dir string) error
	// Create makes an empty file, or empties an existing one.
	Create(name string) (File, error)
	// Open opens an existing file for reading and writing.
	Open(name string) (File, error)
	Rename(from, to string) error
	Remove(name string) error
	// List returns the names of the files in dir, sorted.
	List(dir string) ([]string, error)
	// SyncDir makes creations, renames and removals in dir durable.
	SyncDir(dir string) error
	// FreeBytes returns the bytes that may still be written under dir.
	FreeBytes(dir string) (uint64, error)
	// Lock holds name for this process until the result is closed.
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

// MkdirAll makes dir and its parents.
func (OS) MkdirAll(dir string) error { return os.MkdirAll(dir, 0o700) }

// Create makes an empty file, or empties an existing one.
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

// FreeBytes returns the bytes that an unprivileged process may still write under dir.
func (OS) FreeBytes(dir string) (uint64, error) {
	var st unix.Statfs_t
	if err := unix.Statfs(dir, &st); err != nil {
		return 0, err
	}
	return st.Bavail * uint64(st.Bsize), nil
}

// Lock holds name for this process until the result is closed.
func (OS) Lock(name string) (io.Closer, error) {
	f, err := os.OpenFile(name, os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, err
	}
	if err := unix.Flock(int(f.Fd()), unix.LOCK_EX|unix.LOCK_NB); err != nil {
		_ = f.Close()
		return nil, fmt.Errorf("storage: %s is held by another process: %w", filepath.Base(name), err)
	}
	return f, nil
}

// IsFull reports whether err says that no space is left on the disk.
func IsFull(err error) bool {
	return errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT)
}

// isNotExist reports whether err says that a file does not exist.
func isNotExist(err error) bool { return errors.Is(err, fs.ErrNotExist) }

// CorruptError reports bytes that were durable once and now fail their checksum.
type CorruptError struct {
	File   string
	Offset int64
	Reason string
}

// Error returns the file, the offset and the reason.
func (e *CorruptError) Error() string {
	return fmt.Sprintf("storage: %s is corrupt at offset %d: %s", e.File, e.Offset, e.Reason)
}
