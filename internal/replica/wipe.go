package replica

import (
	"fmt"
	"path/filepath"
	"slices"

	"github.com/filbertmast/filbertmast/internal/storage"
)

// Wipe empties the data folder of a replica that was removed from its group, so
// that the next start creates a new replica. The identity records the removal first, and
// is removed last: a start finds either the whole replica or that its folder is to be
// emptied, even if the process is killed or power is lost at any point.
func Wipe(fsys storage.FS, dir string) error {
	f, ok, err := readIdentity(fsys, dir)
	if err != nil {
		return err
	}
	if ok {
		// A full disk has no room for the record; emptying it is what makes room.
		if err := f.remove(); err != nil && !storage.IsFull(err) {
			return err
		}
	}
	return emptyFolder(fsys, dir)
}

// emptyFolder removes all files but the lock. Only when the others are gone for good does
// it remove the identity.
func emptyFolder(fsys storage.FS, dir string) error {
	names, err := fsys.List(dir)
	if err != nil {
		return fmt.Errorf("replica: list data folder: %w", err)
	}
	for _, name := range names {
		if name == identityName || name == lockName {
			continue
		}
		if err := fsys.Remove(filepath.Join(dir, name)); err != nil {
			return fmt.Errorf("replica: empty data folder: %w", err)
		}
	}
	if err := fsys.SyncDir(dir); err != nil {
		return &storage.SyncError{File: dir, Err: err}
	}
	if slices.Contains(names, identityName) {
		if err := fsys.Remove(filepath.Join(dir, identityName)); err != nil {
			return fmt.Errorf("replica: empty data folder: %w", err)
		}
	}
	return fsys.SyncDir(dir)
}
