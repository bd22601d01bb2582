// Package faultfs is an in-memory file system for tests. It can run full, fail
// or block syncs, lose its process and crash. A process that is killed leaves its
// files as they are. A crash of the machine keeps synced data and an arbitrary
// subset of the unsynced data, sector by sector and name by name.
package faultfs

import (
	"errors"
	"io"
	"io/fs"
	"maps"
	"path/filepath"
	"slices"
	"sync"
	"syscall"

	"github.com/filbertmast/filbertmast/internal/storage"
)

// sectorBytes is the unit in which a crash keeps or loses unsynced data.
const sectorBytes = 512

// ErrSync is the error of an injected sync failure.
var ErrSync = errors.New("faultfs: sync failed")

// ErrKilled is the error of every change after the process was killed.
var ErrKilled = errors.New("faultfs: process was killed")

// inode is the current and the last synced content of a file.
type inode struct {
	data   []byte
	synced []byte
}

// dirChange is an unsynced change of a directory.
type dirChange struct {
	name string
	node *inode // nil: removed
}

// FS is an in-memory file system. It is safe for concurrent use.
type FS struct {
	mu              sync.Mutex
	files           map[string]*inode
	durable         map[string]*inode // files as of the last directory sync
	unsyncedChanges []dirChange
	locked          map[string]bool
	capacity        int // bytes; negative: unlimited
	failSync        bool
	syncGate        chan struct{} // file syncs block until it is closed; nil: not blocked
	syncs           int
	changesLeft     int  // changes until the process is killed; negative: unlimited
	cutWrite        bool // the next change was under way when the process was killed
}

// New returns an empty file system without a capacity limit.
func New() *FS {
	return &FS{
		files:    map[string]*inode{},
		durable:  map[string]*inode{},
		locked:   map[string]bool{},
		capacity: -1,

		changesLeft: -1,
	}
}

// KillAfter kills the process after n further changes and syncs: all later ones fail,
// and the first of them, if it is a write, is cut short. Restart starts the next process.
func (f *FS) KillAfter(n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.changesLeft = n
	f.cutWrite = true
}

// Restart starts the next process after a kill. It finds all files as the killed
// one has left them, synced or not.
func (f *FS) Restart() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.changesLeft = -1
	f.locked = map[string]bool{}
}

// countChangeLocked returns ErrKilled if the process has been killed.
func (f *FS) countChangeLocked() error {
	if f.changesLeft == 0 {
		f.cutWrite = false
		return ErrKilled
	}
	if f.changesLeft > 0 {
		f.changesLeft--
	}
	return nil
}

// SetCapacity limits the total size of all files to n bytes. A negative n
// removes the limit.
func (f *FS) SetCapacity(n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.capacity = n
}

// Used returns the total size of all files in bytes.
func (f *FS) Used() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.usedLocked()
}

func (f *FS) usedLocked() int {
	n := 0
	for _, node := range f.files {
		n += len(node.data)
	}
	return n
}

// FailSyncs sets whether all syncs fail from now on.
func (f *FS) FailSyncs(fail bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.failSync = fail
}

// BlockSyncs blocks file syncs until release is called.
func (f *FS) BlockSyncs() (release func()) {
	gate := make(chan struct{})
	f.mu.Lock()
	defer f.mu.Unlock()
	f.syncGate = gate
	return sync.OnceFunc(func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.syncGate = nil
		close(gate)
	})
}

func (f *FS) waitForSyncGate() {
	f.mu.Lock()
	gate := f.syncGate
	f.mu.Unlock()
	if gate != nil {
		<-gate
	}
}

// Syncs returns the number of file syncs so far.
func (f *FS) Syncs() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.syncs
}

// Crash returns the file system as found on restart after a crash of the machine.
// choose returns a number in [0, n) and thereby selects which unsynced changes survive.
// Each name of a directory keeps or loses its changes independently of the others.
func (f *FS) Crash(choose func(n int) int) *FS {
	f.mu.Lock()
	defer f.mu.Unlock()
	names := maps.Clone(f.durable)
	changes := map[string][]dirChange{}
	for _, c := range f.unsyncedChanges {
		changes[c.name] = append(changes[c.name], c)
	}
	for _, name := range slices.Sorted(maps.Keys(changes)) {
		if kept := choose(len(changes[name]) + 1); kept > 0 {
			setName(names, changes[name][kept-1])
		}
	}
	next := New()
	for _, name := range slices.Sorted(maps.Keys(names)) {
		next.addDurable(name, contentAfterCrash(names[name], choose))
	}
	return next
}

// LosePower returns the file system after a crash that keeps nothing but what was synced.
func (f *FS) LosePower() *FS {
	f.mu.Lock()
	defer f.mu.Unlock()
	next := New()
	for name, node := range f.durable {
		next.addDurable(name, slices.Clone(node.synced))
	}
	return next
}

func setName(names map[string]*inode, c dirChange) {
	if c.node == nil {
		delete(names, c.name)
	} else {
		names[c.name] = c.node
	}
}

func (f *FS) addDurable(name string, data []byte) {
	node := &inode{data: data, synced: slices.Clone(data)}
	f.files[name] = node
	f.durable[name] = node
}

// contentAfterCrash mixes synced and unsynced content sector by sector.
func contentAfterCrash(n *inode, choose func(int) int) []byte {
	size := len(n.synced)
	if d := len(n.data) - size; d > 0 {
		size += choose(d + 1)
	} else if d < 0 && choose(2) == 0 {
		size = len(n.data)
	}
	out := make([]byte, size)
	copy(out, n.synced)
	for at := 0; at < size; at += sectorBytes {
		end := min(at+sectorBytes, size)
		if choose(2) == 0 && at < len(n.data) {
			copy(out[at:end], n.data[at:min(end, len(n.data))])
		}
	}
	return out
}

// EditContent changes the current and the synced content of a file, to simulate
// corruption.
func (f *FS) EditContent(name string, edit func([]byte) []byte) {
	f.mu.Lock()
	defer f.mu.Unlock()
	node := f.files[name]
	node.data = edit(slices.Clone(node.data))
	node.synced = slices.Clone(node.data)
}

// Content returns a copy of the content of a file.
func (f *FS) Content(name string) []byte {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.files[name].data)
}

// Clone returns a copy of the current file system, with everything synced.
func (f *FS) Clone() *FS {
	f.mu.Lock()
	defer f.mu.Unlock()
	next := New()
	for name, node := range f.files {
		next.addDurable(name, slices.Clone(node.data))
	}
	return next
}

// MkdirAll does nothing, since directories exist implicitly.
func (f *FS) MkdirAll(string) error { return nil }

// Create creates an empty file or replaces an existing one.
func (f *FS) Create(name string) (storage.File, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.countChangeLocked(); err != nil {
		return nil, err
	}
	node := &inode{}
	f.files[name] = node
	f.unsyncedChanges = append(f.unsyncedChanges, dirChange{name: name, node: node})
	return &file{fs: f, node: node}, nil
}

// Open opens an existing file.
func (f *FS) Open(name string) (storage.File, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	node := f.files[name]
	if node == nil {
		return nil, &fs.PathError{Op: "open", Path: name, Err: fs.ErrNotExist}
	}
	return &file{fs: f, node: node}, nil
}

// Rename moves a file.
func (f *FS) Rename(from, to string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	node := f.files[from]
	if node == nil {
		return &fs.PathError{Op: "rename", Path: from, Err: fs.ErrNotExist}
	}
	if err := f.countChangeLocked(); err != nil {
		return err
	}
	delete(f.files, from)
	f.files[to] = node
	f.unsyncedChanges = append(f.unsyncedChanges, dirChange{name: to, node: node}, dirChange{name: from})
	return nil
}

// Remove deletes a file.
func (f *FS) Remove(name string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.files[name] == nil {
		return &fs.PathError{Op: "remove", Path: name, Err: fs.ErrNotExist}
	}
	if err := f.countChangeLocked(); err != nil {
		return err
	}
	delete(f.files, name)
	f.unsyncedChanges = append(f.unsyncedChanges, dirChange{name: name})
	return nil
}

// List returns the names of the files in dir, sorted.
func (f *FS) List(dir string) ([]string, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []string
	for name := range f.files {
		if filepath.Dir(name) == filepath.Clean(dir) {
			out = append(out, filepath.Base(name))
		}
	}
	slices.Sort(out)
	return out, nil
}

// SyncDir makes the changes of all directories durable.
func (f *FS) SyncDir(string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.countChangeLocked(); err != nil {
		return err
	}
	if f.failSync {
		return ErrSync
	}
	f.unsyncedChanges = nil
	f.durable = maps.Clone(f.files)
	return nil
}

// FreeBytes returns how many bytes can still be written.
func (f *FS) FreeBytes(string) (uint64, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.capacity < 0 {
		return 1 << 40, nil
	}
	return uint64(max(0, f.capacity-f.usedLocked())), nil
}

type lock struct {
	fs   *FS
	name string
}

// Close releases the lock.
func (l lock) Close() error {
	l.fs.mu.Lock()
	defer l.fs.mu.Unlock()
	delete(l.fs.locked, l.name)
	return nil
}

// Lock takes an exclusive lock on name. Closing the result releases it.
func (f *FS) Lock(name string) (io.Closer, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.locked[name] {
		return nil, syscall.EWOULDBLOCK
	}
	f.locked[name] = true
	return lock{fs: f, name: name}, nil
}

// file is an open file.
type file struct {
	fs   *FS
	node *inode
}

// ReadAt implements io.ReaderAt.
func (f *file) ReadAt(p []byte, offset int64) (int, error) {
	f.fs.mu.Lock()
	defer f.fs.mu.Unlock()
	if offset >= int64(len(f.node.data)) {
		return 0, io.EOF
	}
	n := copy(p, f.node.data[offset:])
	if n < len(p) {
		return n, io.EOF
	}
	return n, nil
}

// WriteAt implements io.WriterAt. If the capacity does not suffice, it writes
// what fits and returns ENOSPC.
func (f *file) WriteAt(p []byte, offset int64) (int, error) {
	f.fs.mu.Lock()
	defer f.fs.mu.Unlock()
	cut := f.fs.cutWrite
	if err := f.fs.countChangeLocked(); err != nil {
		if cut {
			f.writeLocked(p[:len(p)/2], offset)
		}
		return 0, err
	}
	grow := int(offset) + len(p) - len(f.node.data)
	if f.fs.capacity >= 0 && grow > 0 {
		if room := f.fs.capacity - f.fs.usedLocked(); grow > room {
			n := max(0, len(p)-(grow-max(0, room)))
			f.writeLocked(p[:n], offset)
			return n, syscall.ENOSPC
		}
	}
	f.writeLocked(p, offset)
	return len(p), nil
}

func (f *file) writeLocked(p []byte, offset int64) {
	if need := int(offset) + len(p); need > len(f.node.data) {
		f.node.data = append(f.node.data, make([]byte, need-len(f.node.data))...)
	}
	copy(f.node.data[offset:], p)
}

// Truncate shortens the file to size bytes.
func (f *file) Truncate(size int64) error {
	f.fs.mu.Lock()
	defer f.fs.mu.Unlock()
	if err := f.fs.countChangeLocked(); err != nil {
		return err
	}
	f.node.data = slices.Clone(f.node.data[:min(int(size), len(f.node.data))])
	return nil
}

// Sync makes the content durable.
func (f *file) Sync() error {
	f.fs.waitForSyncGate()
	f.fs.mu.Lock()
	defer f.fs.mu.Unlock()
	if err := f.fs.countChangeLocked(); err != nil {
		return err
	}
	f.fs.syncs++
	if f.fs.failSync {
		return ErrSync
	}
	f.node.synced = slices.Clone(f.node.data)
	return nil
}

// Size returns the length of the file in bytes.
func (f *file) Size() (int64, error) {
	f.fs.mu.Lock()
	defer f.fs.mu.Unlock()
	return int64(len(f.node.data)), nil
}

// Close does nothing.
func (f *file) Close() error { return nil }
