package replica

import (
	"fmt"
	"path/filepath"

	"github.com/filbertmast/filbertmast/internal/storage"
)

// Wipe empties the data folder of a replica that was removed from its group, so
// that the next start creates a new replica. The identity is removed last: a
// partially emptied folder is refused at start and can be wiped again.
func Wipe(fsys storage.FS, dir string) error {
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
	if err := fsys.Remove(filepath.Join(dir, identityName)); err != nil {
		return fmt.Errorf("replica: empty data folder: %w", err)
	}
	return fsys.SyncDir(dir)
}
