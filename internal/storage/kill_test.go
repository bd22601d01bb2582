package storage_test

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/filbertmast/filbertmast/internal/storage"
	"github.com/filbertmast/filbertmast/internal/storage/faultfs"
)

// content is what a process reads from its data folder.
type content struct {
	Start, Last storage.Position
	Entries     []storage.Entry
	State       string
	Identity    string
	Snapshot    storage.Position
}

// readFolder opens all that is stored in the data folder, as a replica does at its start.
func readFolder(fsys storage.FS) (*storage.Log, content, error) {
	var c content
	identity, _, err := storage.ReadFile(fsys, dir, "identity")
	if err != nil {
		return nil, c, err
	}
	snaps, err := storage.OpenSnapshotStore(fsys, dir)
	if err != nil {
		return nil, c, err
	}
	l, err := storage.OpenLog(options(fsys, 300))
	if err != nil {
		return nil, c, err
	}
	snapshot, ok, err := snaps.Newest()
	if err != nil {
		return nil, c, err
	}
	if ok {
		c.Snapshot = storage.Position{Index: snapshot.Meta.Index, Term: snapshot.Meta.Term}
	}
	c.Start, c.Last, c.State, c.Identity = l.Start(), l.Last(), string(l.State()), string(identity)
	c.Entries, err = readAll(l)
	return l, c, err
}

// useFolder appends, replaces the small file, saves and receives snapshots, compacts and
// resets the log, until it is done or the process is killed.
func useFolder(fsys storage.FS, l *storage.Log) error {
	snaps, err := storage.OpenSnapshotStore(fsys, dir)
	if err != nil {
		return err
	}
	for round := range uint64(3) {
		if err := appendSome(l, 12); err != nil {
			return err
		}
		if err := storage.WriteFile(fsys, dir, "identity", fmt.Appendf(nil, "identity %d", round)); err != nil {
			return err
		}
		if err := save(snaps, l.Last()); err != nil {
			return err
		}
		if _, err := l.Compact(l.Last().Index); err != nil {
			return err
		}
	}
	at := storage.Position{Index: l.Last().Index + 7, Term: 9}
	if err := receive(snaps, at); err != nil {
		return err
	}
	return l.Append(storage.Batch{Reset: &at, State: []byte("after the reset")})
}

func appendSome(l *storage.Log, n int) error {
	for range n {
		e := entry(l.Last().Index+1, 1+l.Last().Index/10)
		if err := l.Append(storage.Batch{Entries: []storage.Entry{e}, State: fmt.Appendf(nil, "state %d", e.Index)}); err != nil {
			return err
		}
	}
	return nil
}

func save(snaps *storage.SnapshotStore, at storage.Position) error {
	return snaps.Save(storage.SnapshotMeta{Index: at.Index, Term: at.Term}, func(w io.Writer) error {
		_, err := fmt.Fprintf(w, "state at %d", at.Index)
		return err
	})
}

// receive stores the snapshot at a position that another replica has saved.
func receive(snaps *storage.SnapshotStore, at storage.Position) error {
	sender := faultfs.New()
	from, err := storage.OpenSnapshotStore(sender, dir)
	if err != nil {
		return err
	}
	if err := save(from, at); err != nil {
		return err
	}
	r, err := snaps.Receive(at.Index)
	if err != nil {
		return err
	}
	path := filepath.Join(dir, fmt.Sprintf("snapshot-%016x.snap", at.Index))
	if _, err := r.Write(sender.Content(path)); err != nil {
		return err
	}
	_, err = r.Commit()
	return err
}

// killedFolder returns a data folder whose process was killed after n changes. done
// reports that it had ended before.
func killedFolder(t *testing.T, n int) (fsys *faultfs.FS, done bool) {
	t.Helper()
	fsys = faultfs.New()
	fsys.KillAfter(n)
	l, err := storage.OpenLog(options(fsys, 300))
	if err == nil {
		err = useFolder(fsys, l)
		_ = l.Close()
	}
	assert.Assert(t, err == nil || errors.Is(err, faultfs.ErrKilled), "%v", err)
	fsys.Restart()
	return fsys, err == nil
}

// forEachKill calls check with the data folder of a process that was killed after n changes,
// for each n.
func forEachKill(t *testing.T, check func(n int, fsys *faultfs.FS)) {
	t.Helper()
	for n := 0; ; n++ {
		fsys, done := killedFolder(t, n)
		check(n, fsys)
		if done {
			t.Logf("killed at %d points", n)
			return
		}
	}
}

func TestWhatIsReadAfterKillSurvivesPowerLoss(t *testing.T) {
	forEachKill(t, func(n int, fsys *faultfs.FS) {
		_, want, err := readFolder(fsys)
		assert.NilError(t, err, "killed after %d changes", n)
		_, got, err := readFolder(fsys.LosePower())
		assert.NilError(t, err, "killed after %d changes, then power lost", n)
		assert.DeepEqual(t, got, want)
	})
}

func TestWhatIsAppendedAfterKillSurvivesPowerLoss(t *testing.T) {
	forEachKill(t, func(n int, fsys *faultfs.FS) {
		l, _, err := readFolder(fsys)
		assert.NilError(t, err, "killed after %d changes", n)
		assert.NilError(t, appendSome(l, 1))
		want, err := readAll(l)
		assert.NilError(t, err)
		_, got, err := readFolder(fsys.LosePower())
		assert.NilError(t, err, "killed after %d changes, then power lost", n)
		assert.DeepEqual(t, got.Entries, want)
	})
}

func TestFolderOpensAfterPowerLossDuringAppendThatFollowsKill(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 3))
	forEachKill(t, func(n int, fsys *faultfs.FS) {
		l, before, err := readFolder(fsys)
		assert.NilError(t, err, "killed after %d changes", n)
		fsys.FailSyncs(true)
		assert.Assert(t, appendSome(l, 1) != nil)
		for range 10 {
			_, got, err := readFolder(fsys.Crash(rng.IntN))
			assert.NilError(t, err, "killed after %d changes, then power lost", n)
			assert.Assert(t, got.Last.Index >= before.Last.Index, "entries to %d of %d are left", got.Last.Index, before.Last.Index)
		}
	})
}

func TestFolderOpensAfterPowerLossAtAnyPoint(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 4))
	forEachKill(t, func(n int, fsys *faultfs.FS) {
		for range 10 {
			_, got, err := readFolder(fsys.Crash(rng.IntN))
			assert.NilError(t, err, "power lost after %d changes", n)
			assert.Assert(t, got.Start.Index <= got.Snapshot.Index, "the log starts after %d, the snapshot is at %d", got.Start.Index, got.Snapshot.Index)
		}
	})
}
