package replica

import (
	"errors"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/filbertmast/filbertmast/internal/storage/faultfs"
)

// formedFolder returns a data folder of several segments and a snapshot, and its replica.
func formedFolder(t *testing.T) (Options, ID) {
	t.Helper()
	o := groupOptions(1)[0]
	m := startMember(t, newNetwork(), o)
	proposeMany(150, m)
	m.awaitEntries(150)
	m.save(t)
	m.stop()
	o.FS = disk(o).Clone()
	o.Join = true
	return o, m.Status().ID
}

func TestFolderIsUsableAfterPowerLossDuringWipe(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 0))
	formed, old := formedFolder(t)
	for n := 0; ; n++ {
		fsys := disk(formed).Clone()
		fsys.KillAfter(n)
		wiped := Wipe(fsys, formed.Dir)
		assert.Assert(t, wiped == nil || errors.Is(wiped, faultfs.ErrKilled), "%v", wiped)
		for range 10 {
			o := formed
			o.FS = fsys.Crash(rng.IntN)
			m := startMember(t, newNetwork(), o)
			if m.Status().ID == old {
				m.awaitEntries(150) // and perhaps the first entry of its next term
			}
			m.stop()
		}
		if wiped == nil {
			names, err := fsys.List(formed.Dir)
			assert.NilError(t, err)
			assert.Equal(t, len(names), 0, "%v", names)
			return
		}
	}
}
