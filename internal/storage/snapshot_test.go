package storage_test

import (
	"bytes"
	"errors"
	"io"
	"math/rand/v2"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/filbertmast/filbertmast/internal/storage"
	"github.com/filbertmast/filbertmast/internal/storage/faultfs"
)

func TestSnapshotIsReadBackAndCorruptionIsDetected(t *testing.T) {
	data := bytes.Repeat([]byte("state of the cell\n"), 9000)
	fsys := faultfs.New()
	s, err := storage.OpenSnapshotStore(fsys, dir)
	assert.NilError(t, err)
	meta := storage.SnapshotMeta{Index: 12, Term: 3, Config: []byte("members")}
	save := func(w io.Writer) error { _, err := w.Write(data); return err }
	assert.NilError(t, s.Save(meta, save))
	got, err := readSnapshot(s)
	assert.NilError(t, err)
	assert.Assert(t, bytes.Equal(got, data))

	path := filepath.Join(dir, "snapshot-000000000000000c.snap")
	size := len(fsys.Content(path))
	for at := 0; at < size; at += 97 {
		for _, d := range corruptions[:2] {
			copied := fsys.Clone()
			copied.EditContent(path, func(b []byte) []byte { return d.edit(b, at) })
			s, err := storage.OpenSnapshotStore(copied, dir)
			assert.NilError(t, err)
			_, err = readSnapshot(s)
			var corrupt *storage.CorruptError
			assert.Assert(t, errors.As(err, &corrupt), "%s at %d: %v", d.name, at, err)
		}
	}
}

func readSnapshot(s *storage.SnapshotStore) ([]byte, error) {
	r, ok, err := s.Newest()
	if err != nil || !ok {
		return nil, err
	}
	return io.ReadAll(r)
}

func TestFailedSaveKeepsThePreviousSnapshot(t *testing.T) {
	rows := []struct {
		name  string
		fault func(*faultfs.FS)
	}{
		{"disk full", func(f *faultfs.FS) { f.SetCapacity(f.Used() + 100) }},
		{"sync failure followed by a crash", func(f *faultfs.FS) { f.FailSyncs(true) }},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			fsys := faultfs.New()
			s, err := storage.OpenSnapshotStore(fsys, dir)
			assert.NilError(t, err)
			write := func(text string) func(io.Writer) error {
				return func(w io.Writer) error { _, err := io.WriteString(w, text); return err }
			}
			assert.NilError(t, s.Save(storage.SnapshotMeta{Index: 1, Term: 1}, write("old")))
			row.fault(fsys)
			assert.Assert(t, s.Save(storage.SnapshotMeta{Index: 2, Term: 1}, write(string(make([]byte, 5000)))) != nil)
			rng := rand.New(rand.NewPCG(1, 1))
			for range 50 {
				s, err = storage.OpenSnapshotStore(fsys.Crash(rng.IntN), dir)
				assert.NilError(t, err)
				got, err := readSnapshot(s)
				assert.NilError(t, err)
				assert.Equal(t, string(got), "old")
			}
		})
	}
}

func TestWriteFileKeepsTheOldContentAfterAFailedSync(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	for range 200 {
		fsys := faultfs.New()
		assert.NilError(t, storage.WriteFile(fsys, dir, "identity", []byte("old")))
		fsys.FailSyncs(true)
		assert.Assert(t, storage.WriteFile(fsys, dir, "identity", []byte("new")) != nil)
		got, ok, err := storage.ReadFile(fsys.Crash(rng.IntN), dir, "identity")
		assert.NilError(t, err)
		assert.Assert(t, ok)
		assert.Equal(t, string(got), "old")
	}
}

func FuzzReadSnapshot(f *testing.F) {
	base := faultfs.New()
	s, err := storage.OpenSnapshotStore(base, dir)
	assert.NilError(f, err)
	write := func(w io.Writer) error { _, err := io.WriteString(w, "state"); return err }
	assert.NilError(f, s.Save(storage.SnapshotMeta{Index: 1, Term: 1}, write))
	path := filepath.Join(dir, "snapshot-0000000000000001.snap")
	f.Add(base.Content(path))
	f.Fuzz(func(_ *testing.T, data []byte) {
		fsys := base.Clone()
		fsys.EditContent(path, func([]byte) []byte { return data })
		s, err := storage.OpenSnapshotStore(fsys, dir)
		if err != nil {
			return
		}
		_, _ = readSnapshot(s)
	})
}
