package capacity

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/filbertmast/filbertmast/internal/model"
	"github.com/filbertmast/filbertmast/internal/testseed"
)

// TestMain fixes the seed of the random tests, so that runs are repeatable.
func TestMain(m *testing.M) { testseed.Run(m) }

func amount(t *rapid.T, name string) model.Resources {
	return model.Resources{
		CPU:          rapid.Int64Range(-100, 8000).Draw(t, name),
		Memory:       rapid.Int64Range(-100, 16384).Draw(t, name),
		Accelerators: rapid.Int64Range(0, 2).Draw(t, name),
	}
}

// entry is a worker of the model that the index is compared with.
type entry struct {
	bin  int32
	free model.Resources
	tie  uint64
}

func TestBestReturnsTheLeastKeyThatFits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var x Index
		plain := map[int32]entry{}
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			slot := rapid.Int32Range(0, 40).Draw(t, "slot")
			if rapid.IntRange(0, 3).Draw(t, "remove") == 0 {
				x.Remove(slot)
				delete(plain, slot)
				continue
			}
			e := entry{rapid.Int32Range(0, 2).Draw(t, "bin"), amount(t, "free"), uint64(slot)}
			x.Put(slot, e.bin, e.free, e.tie)
			plain[slot] = e
		}
		for bin := range int32(4) {
			size := amount(t, "size")
			size = size.Max(model.Resources{})
			odd := rapid.Bool().Draw(t, "odd")
			accept := func(slot int32) bool { return !odd || slot%2 == 1 }
			want, fits := none, 0
			for slot, e := range plain {
				if e.bin != bin || !size.Fits(e.free) {
					continue
				}
				fits++
				if accept(slot) && (want == none || KeyOf(e.free, e.tie).Less(KeyOf(plain[want].free, plain[want].tie))) {
					want = slot
				}
			}
			got, _, ok := x.Best(bin, size, accept)
			assert.Equal(t, got, want)
			assert.Equal(t, ok, want != none)
			visited := 0
			x.Each(bin, size, func(int32, model.Resources) { visited++ })
			assert.Equal(t, visited, fits)
		}
	})
}

func TestDescendStartsAtTheEmptiestAndStopsWhenVisitReturnsFalse(t *testing.T) {
	var x Index
	for i := range int32(9) {
		x.Put(i, 0, model.Resources{CPU: int64(i) * 100}, uint64(i))
	}
	var seen []int32
	x.Descend(0, func(slot int32, _ model.Resources) bool {
		seen = append(seen, slot)
		return len(seen) < 3
	})
	assert.DeepEqual(t, seen, []int32{8, 7, 6})
}
