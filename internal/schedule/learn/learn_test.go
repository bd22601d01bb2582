package learn

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/filbertmast/filbertmast/internal/model"
	"github.com/filbertmast/filbertmast/internal/testseed"
)

// TestMain fixes the seed of the random tests, so that runs are repeatable.
func TestMain(m *testing.M) { testseed.Run(m) }

var declared = model.Resources{CPU: 1000, Memory: 1024, Accelerators: 1}

func TestCodeRoundsUpByAtMostAThirtySecond(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		v := rapid.Int64Range(1, 1<<50).Draw(t, "v")
		got := encode(v).value()
		assert.Assert(t, got >= v && got <= v+v/32+1, "%d was encoded as %d", v, got)
	})
}

func TestCodePreservesOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := rapid.Int64Range(0, 1<<50).Draw(t, "a")
		b := rapid.Int64Range(a, 1<<50).Draw(t, "b")
		assert.Assert(t, encode(a) <= encode(b))
	})
}

func TestSize(t *testing.T) {
	for _, row := range []struct {
		name string
		used []int64 // thousandths of a core
		want int64
	}{
		{"too few observations change nothing", []int64{4000, 4000, 4000, 4000}, 1000},
		{"use below the declared size lowers nothing", []int64{10, 10, 10, 10, 10, 10}, 1000},
		{"use a little above the declared size raises nothing", []int64{1050, 1050, 1050, 1050, 1050}, 1000},
		{"four times the declared size is reserved", []int64{4000, 4000, 4000, 4000, 4000}, 4032},
		{"one outlier of five has no effect", []int64{900, 900, 900, 900, 64000}, 1000},
		{"a raise is limited", []int64{64000, 64000, 64000, 64000, 64000}, 8000},
	} {
		t.Run(row.name, func(t *testing.T) {
			table := New(1, nil)
			for _, cpu := range row.used {
				table.ObserveSize(1, model.Resources{CPU: cpu, Memory: 1})
			}
			want := declared
			want.CPU = row.want
			assert.Equal(t, table.Class(1).Size(declared), want)
		})
	}
}

func TestRunIsTrustedOnlyAfterEnoughTasksAndIgnoresTheLargestTenth(t *testing.T) {
	const usual = 32768 * time.Millisecond // exactly representable as a code
	table := New(1, nil)
	for range 7 {
		table.ObserveRunTime(1, usual)
	}
	_, ok := table.Class(1).RunTime()
	assert.Assert(t, !ok)
	table.ObserveRunTime(1, 10*time.Hour)
	run, ok := table.Class(1).RunTime()
	assert.Assert(t, ok)
	assert.Equal(t, run, usual)
}

func TestTableEvictsTheLeastRecentlyObservedClass(t *testing.T) {
	table := New(2, nil)
	table.ObserveRunTime(1, time.Second)
	table.ObserveRunTime(2, time.Second)
	table.ObserveRunTime(1, time.Second)
	table.ObserveRunTime(3, time.Second)
	assert.Equal(t, table.Len(), 2)
	assert.Assert(t, table.Class(2) == nil)
	assert.Assert(t, table.Class(1) != nil)
}
