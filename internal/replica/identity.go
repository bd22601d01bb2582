package replica

import (
	"crypto/rand"
	"encoding/binary"
	"fmt"
	"path/filepath"

	"github.com/fxamacker/cbor/v2"

	"github.com/filbertmast/filbertmast/internal/replica/raft"
	"github.com/filbertmast/filbertmast/internal/storage"
)

const (
	identityName = "identity"
	lockName     = "lock"
)

func lockPath(dir string) string { return filepath.Join(dir, lockName) }

// identity ties a data folder to one replica for good.
type identity struct {
	ID ID `cbor:"1,keyasint"`
	// Agreed is the initial membership that this replica has agreed to. It never
	// agrees to a different one.
	Agreed *raft.Config `cbor:"2,keyasint,omitempty"`
	// Formed reports that the log has been started. From then on an empty log
	// means data loss.
	Formed bool `cbor:"3,keyasint,omitempty"`
	// Removed reports that the replica is no longer a member and that its folder is
	// being emptied.
	Removed bool `cbor:"4,keyasint,omitempty"`
}

// identityFile is the identity together with its place on disk.
type identityFile struct {
	identity
	fs      storage.FS
	dir     string
	created bool // the data folder was empty when it was opened
}

// openIdentity reads the identity, or creates a new one in an empty folder. It empties the
// folder of a replica that was removed.
func openIdentity(fsys storage.FS, dir string) (*identityFile, error) {
	f, ok, err := readIdentity(fsys, dir)
	if err != nil || ok && !f.Removed {
		return f, err
	}
	if ok {
		if err := emptyFolder(fsys, dir); err != nil {
			return nil, err
		}
	}
	if err := requireNoLogFiles(fsys, dir); err != nil {
		return nil, err
	}
	f.identity, f.created = identity{ID: newID()}, true
	return f, f.save(f.identity)
}

// readIdentity returns ok == false if the folder has no identity.
func readIdentity(fsys storage.FS, dir string) (f *identityFile, ok bool, err error) {
	f = &identityFile{fs: fsys, dir: dir}
	data, ok, err := storage.ReadFile(fsys, dir, identityName)
	if err != nil || !ok {
		return f, false, err
	}
	if err := cbor.Unmarshal(data, &f.identity); err != nil {
		return f, false, fmt.Errorf("replica: decode identity: %w", err)
	}
	return f, true, nil
}

// requireNoLogFiles returns a *storage.CorruptError if dir holds a log or a
// snapshot but no identity.
func requireNoLogFiles(fsys storage.FS, dir string) error {
	names, err := fsys.List(dir)
	if err != nil {
		return fmt.Errorf("replica: list data folder: %w", err)
	}
	for _, name := range names {
		if !storage.IsSegment(name) && !storage.IsSnapshot(name) {
			continue
		}
		return &storage.CorruptError{
			File:   filepath.Join(dir, identityName),
			Reason: fmt.Sprintf("is missing although %s exists", name),
		}
	}
	return nil
}

func newID() ID {
	var b [8]byte
	for {
		if _, err := rand.Read(b[:]); err != nil {
			panic(err) // crypto/rand does not fail on Linux
		}
		if id := binary.LittleEndian.Uint64(b[:]); id != uint64(raft.None) {
			return ID(id)
		}
	}
}

// save stores next. The caller changes its own copy only after that, so that nothing is
// told to others that a restart forgets.
func (f *identityFile) save(next identity) error {
	data, err := cbor.Marshal(next)
	if err != nil {
		return fmt.Errorf("replica: encode identity: %w", err)
	}
	return storage.WriteFile(f.fs, f.dir, identityName, data)
}

func (f *identityFile) agree(config raft.Config) error {
	next := f.identity
	next.Agreed = &config
	if err := f.save(next); err != nil {
		return err
	}
	f.Agreed = &config
	return nil
}

func (f *identityFile) form() error {
	next := f.identity
	next.Formed = true
	if err := f.save(next); err != nil {
		return err
	}
	f.Formed = true
	return nil
}

func (f *identityFile) remove() error {
	next := f.identity
	next.Removed = true
	return f.save(next)
}
