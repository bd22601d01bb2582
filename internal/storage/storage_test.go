package storage_test

import (
	"bytes"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/filbertmast/filbertmast/internal/storage"
	"github.com/filbertmast/filbertmast/internal/storage/faultfs"
	"github.com/filbertmast/filbertmast/internal/testseed"
)

const (
	dir   = "/data"
	owner = 7
)

// TestMain fixes the seed of the random tests, so that runs are reproducible.
func TestMain(m *testing.M) { testseed.Run(m) }

func options(fsys storage.FS, segment int64) storage.LogOptions {
	return storage.LogOptions{Dir: dir, FS: fsys, Owner: owner, SegmentBytes: segment, CacheBytes: 200}
}

func open(t testing.TB, fsys storage.FS, segment int64) *storage.Log {
	t.Helper()
	l, err := storage.OpenLog(options(fsys, segment))
	assert.NilError(t, err)
	return l
}

func entry(index, term uint64) storage.Entry {
	return storage.Entry{Index: index, Term: term, Data: fmt.Appendf(nil, "entry %d of term %d", index, term)}
}

// fill appends n entries in batches of three.
func fill(t testing.TB, l *storage.Log, n uint64) {
	t.Helper()
	for i := l.Last().Index + 1; i <= n; i += 3 {
		var b storage.Batch
		for j := i; j < min(i+3, n+1); j++ {
			b.Entries = append(b.Entries, entry(j, 1+j/10))
		}
		b.State = fmt.Appendf(nil, "state %d", i)
		assert.NilError(t, l.Append(b))
	}
}

func readAll(l *storage.Log) ([]storage.Entry, error) {
	return l.Read(l.Start().Index+1, math.MaxUint64, math.MaxInt)
}

func TestLogReopensWithTheSameEntriesAndState(t *testing.T) {
	for _, segment := range []int64{100, 1 << 20} {
		fsys := faultfs.New()
		l := open(t, fsys, segment)
		fill(t, l, 50)
		want, err := readAll(l)
		assert.NilError(t, err)
		assert.Equal(t, len(want), 50)
		l = open(t, fsys, segment)
		got, err := readAll(l)
		assert.NilError(t, err)
		assert.DeepEqual(t, got, want)
		assert.Equal(t, string(l.State()), "state 49")
	}
}

// corruption is one way to corrupt a file at an offset.
type corruption struct {
	name string
	edit func([]byte, int) []byte
}

var corruptions = []corruption{
	{"truncated at the offset", func(b []byte, at int) []byte { return b[:at] }},
	{"flipped", func(b []byte, at int) []byte { b[at%len(b)] ^= 0x10; return b }},
	{"zeroed to the end", func(b []byte, at int) []byte { clear(b[at:]); return b }},
	{"zeroed sector", func(b []byte, at int) []byte { clear(b[at:min(at+64, len(b))]); return b }},
	{"bytes appended", func(b []byte, at int) []byte { return append(b, b[:at%50]...) }},
}

// Corruption at any byte of any segment must either be reported with its file,
// or only remove entries at the end of the last segment. The remaining entries
// must be unchanged.
func TestCorruptionAtEveryOffsetIsDetectedOrTruncatesTheLog(t *testing.T) {
	base := faultfs.New()
	fill(t, open(t, base, 300), 30)
	names, err := base.List(dir)
	assert.NilError(t, err)
	assert.Assert(t, len(names) > 2)
	accepted, detected := 0, 0
	for i, name := range names {
		path := filepath.Join(dir, name)
		last := i == len(names)-1
		for _, d := range corruptions {
			for at := range base.Content(path) {
				fsys := base.Clone()
				fsys.EditContent(path, func(b []byte) []byte { return d.edit(b, at) })
				kept, rejected := reopenCorrupted(t, fsys, path)
				if rejected {
					detected++
					continue
				}
				accepted++
				same := bytes.Equal(fsys.Content(path), base.Content(path))
				assert.Assert(t, last || same, "%s %s at %d was accepted", name, d.name, at)
				assert.Assert(t, kept <= 30)
			}
		}
	}
	t.Logf("%d corruptions reported, %d accepted", detected, accepted)
	assert.Assert(t, accepted > 0 && detected > 0)
}

func reopenCorrupted(t *testing.T, fsys *faultfs.FS, path string) (kept int, rejected bool) {
	t.Helper()
	l, err := storage.OpenLog(options(fsys, 300))
	var corrupt *storage.CorruptError
	if errors.As(err, &corrupt) {
		assert.Equal(t, corrupt.File, path)
		return 0, true
	}
	assert.NilError(t, err)
	got, err := readAll(l)
	assert.NilError(t, err)
	for i, e := range got {
		assert.DeepEqual(t, e, entry(uint64(i+1), 1+uint64(i+1)/10))
	}
	fill(t, l, 40)
	assert.Equal(t, open(t, fsys, 300).Last().Index, uint64(40))
	return len(got), false
}

// A valid frame after a corrupt one shows that the corrupt one was durable.
func TestCorruptionBeforeTheLastFrameIsDetected(t *testing.T) {
	base := faultfs.New()
	l := open(t, base, 1<<20)
	fill(t, l, 9)
	before := base.Used()
	fill(t, l, 12)
	path := filepath.Join(dir, "log-00000001.wal")
	for at := range before {
		fsys := base.Clone()
		fsys.EditContent(path, func(b []byte) []byte { b[at] ^= 0x10; return b })
		_, err := storage.OpenLog(options(fsys, 1<<20))
		var corrupt *storage.CorruptError
		assert.Assert(t, errors.As(err, &corrupt), "flip at %d: %v", at, err)
		assert.Assert(t, corrupt.Offset <= int64(at))
	}
}

func TestReadDetectsCorruptionOfAnOpenLog(t *testing.T) {
	fsys := faultfs.New()
	l := open(t, fsys, 1<<20)
	fill(t, l, 30)
	path := filepath.Join(dir, "log-00000001.wal")
	at := bytes.Index(fsys.Content(path), []byte("entry 4 of"))
	fsys.EditContent(path, func(b []byte) []byte { b[at] ^= 0x10; return b })
	_, err := l.Read(4, 4, 1)
	var corrupt *storage.CorruptError
	assert.Assert(t, errors.As(err, &corrupt), "%v", err)
}

func TestOpenLogDetectsAMissingSegment(t *testing.T) {
	fsys := faultfs.New()
	fill(t, open(t, fsys, 300), 30)
	names, _ := fsys.List(dir)
	assert.NilError(t, fsys.Remove(filepath.Join(dir, names[1])))
	_, err := storage.OpenLog(options(fsys, 300))
	var corrupt *storage.CorruptError
	assert.Assert(t, errors.As(err, &corrupt), "%v", err)
}

// Guards against a log that is refused as damaged: a segment could not be removed, and a later compaction removed those after it.
func TestLogOpensAfterCompactionThatFollowsFailedRemoval(t *testing.T) {
	fsys := faultfs.New()
	l := open(t, fsys, 300)
	fill(t, l, 60)
	fsys.KillAfter(2) // the first segment is removed, the second is not
	_, err := l.Compact(30)
	assert.ErrorIs(t, err, faultfs.ErrKilled)
	fsys.Restart()
	start, err := l.Compact(45)
	assert.NilError(t, err)
	assert.Assert(t, start.Index > 30)
	entries, err := readAll(open(t, fsys, 300))
	assert.NilError(t, err)
	assert.Equal(t, entries[len(entries)-1].Index, uint64(60))
}

func TestOpenLogRejectsTheLogOfAnotherOwner(t *testing.T) {
	fsys := faultfs.New()
	fill(t, open(t, fsys, 300), 30)
	o := options(fsys, 300)
	o.Owner++
	_, err := storage.OpenLog(o)
	var corrupt *storage.CorruptError
	assert.Assert(t, errors.As(err, &corrupt), "%v", err)
}

func TestAppendCanBeRetriedAfterAFullDisk(t *testing.T) {
	for room := range 400 {
		fsys := faultfs.New()
		l := open(t, fsys, 300)
		fill(t, l, 9)
		fsys.SetCapacity(fsys.Used() + room)
		b := storage.Batch{Entries: []storage.Entry{entry(10, 2), entry(11, 2)}}
		if err := l.Append(b); err != nil {
			assert.Assert(t, storage.IsFull(err), "%v", err)
			got, err := readAll(l)
			assert.NilError(t, err)
			assert.Equal(t, len(got), 9)
			assert.Equal(t, open(t, fsys.Clone(), 300).Last().Index, uint64(9))
			fsys.SetCapacity(-1)
			assert.NilError(t, l.Append(b))
		}
		assert.Equal(t, open(t, fsys.Clone(), 300).Last().Index, uint64(11))
	}
}

func TestFailedSyncIsNotReportedAsAFullDisk(t *testing.T) {
	fsys := faultfs.New()
	l := open(t, fsys, 300)
	fsys.FailSyncs(true)
	err := l.Append(storage.Batch{Entries: []storage.Entry{entry(1, 1)}})
	var sync *storage.SyncError
	assert.Assert(t, errors.As(err, &sync), "%v", err)
	assert.Assert(t, !storage.IsFull(err))
	assert.Equal(t, l.Last().Index, uint64(0))
}

// model is the expected content of a log.
type model struct {
	start   storage.Position
	entries []storage.Entry
	state   string
}

func (m *model) append(b storage.Batch) {
	if b.Reset != nil {
		m.start, m.entries = *b.Reset, nil
	}
	for _, e := range b.Entries {
		m.entries = append(m.entries[:e.Index-m.start.Index-1:e.Index-m.start.Index-1], e)
	}
	if b.State != nil {
		m.state = string(b.State)
	}
}

func (m *model) last() uint64 { return m.start.Index + uint64(len(m.entries)) }

// check compares a log with the model. The log may have compacted a prefix.
func (m *model) check(l *storage.Log) error {
	got, err := readAll(l)
	if err != nil {
		return err
	}
	if l.Last().Index != m.last() || string(l.State()) != m.state {
		return fmt.Errorf("last index %d, state %q; want %d, %q", l.Last().Index, l.State(), m.last(), m.state)
	}
	skip := l.Start().Index - m.start.Index
	for i, e := range got {
		want := m.entries[skip+uint64(i)]
		if e.Index != want.Index || e.Term != want.Term || !bytes.Equal(e.Data, want.Data) {
			return fmt.Errorf("entry %d differs", e.Index)
		}
		if term, ok := l.Term(e.Index); !ok || term != e.Term {
			return fmt.Errorf("term of entry %d is %d", e.Index, term)
		}
	}
	return nil
}

// After a crash at any point the log must open again and equal the model, with
// or without the batch that was being written.
func TestLogMatchesModelAcrossCrashes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		fsys := faultfs.New()
		l, err := storage.OpenLog(options(fsys, 400))
		assert.NilError(t, err)
		var m model
		for range 200 {
			switch k := rng.IntN(20); {
			case k < 15:
				b := randomBatch(rng, &m)
				if rng.IntN(10) == 0 {
					// The sync fails, as in a power failure during the write.
					fsys.FailSyncs(true)
					assert.Assert(t, l.Append(b) != nil)
					fsys = fsys.Crash(rng.IntN)
					l = reopen(t, fsys, &m, b)
					continue
				}
				assert.NilError(t, l.Append(b))
				m.append(b)
			case k < 18:
				// Compacted entries are committed, so they are never replaced.
				_, err := l.Compact(m.start.Index + uint64(rng.IntN(max(1, len(m.entries)-3))))
				assert.NilError(t, err)
			default:
				fsys = fsys.Crash(rng.IntN)
				l = reopen(t, fsys, &m, storage.Batch{})
			}
			assert.NilError(t, m.check(l))
		}
	})
}

func reopen(t *rapid.T, fsys *faultfs.FS, m *model, b storage.Batch) *storage.Log {
	l, err := storage.OpenLog(options(fsys, 400))
	assert.NilError(t, err)
	if m.check(l) == nil {
		return l
	}
	m.append(b)
	return l
}

func randomBatch(rng *rand.Rand, m *model) storage.Batch {
	var b storage.Batch
	next := m.last() + 1
	if rng.IntN(30) == 0 {
		b.Reset = &storage.Position{Index: m.last() + uint64(rng.IntN(5)), Term: 3}
		next = b.Reset.Index + 1
	} else if rng.IntN(5) == 0 && len(m.entries) > 0 {
		next = m.last() - uint64(rng.IntN(min(3, len(m.entries))))
	}
	for i := range uint64(rng.IntN(4)) {
		e := entry(next+i, 3+uint64(rng.IntN(2)))
		e.Data = append(e.Data, make([]byte, rng.IntN(600))...)
		b.Entries = append(b.Entries, e)
	}
	b.State = fmt.Appendf(nil, "state %d", rng.Uint32())
	return b
}

func FuzzOpenLog(f *testing.F) {
	base := faultfs.New()
	fill(f, open(f, base, 1<<20), 10)
	names, _ := base.List(dir)
	path := filepath.Join(dir, names[0])
	f.Add(base.Content(path))
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, data []byte) {
		fsys := base.Clone()
		fsys.EditContent(path, func([]byte) []byte { return data })
		l, err := storage.OpenLog(options(fsys, 1<<20))
		if err != nil {
			return
		}
		_, err = readAll(l)
		assert.NilError(t, err)
	})
}
