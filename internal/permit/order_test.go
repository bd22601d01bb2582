package permit

import (
	"fmt"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/filbertmast/filbertmast/internal/model"
	"github.com/filbertmast/filbertmast/internal/schedule"
)

func TestFirstCandidatesAreThoseOfFullSort(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := Demand{Tasks: 1, AllAtOnce: rapid.Bool().Draw(t, "all at once")}
		var all []schedule.Candidate
		for i := range rapid.IntRange(0, 60).Draw(t, "candidates") {
			small := rapid.Int64Range(0, 3)
			all = append(all, schedule.Candidate{Worker: model.WorkerID(fmt.Sprint("w", i)), Room: small.Draw(t, "room"),
				FreeCPU: small.Draw(t, "free"), Reserved: rapid.Bool().Draw(t, "reserved")})
		}
		n := rapid.IntRange(0, 70).Draw(t, "first")
		sorted := slices.Clone(all)
		d.sortCandidates(sorted)
		d.sortFirst(all, n)
		n = min(n, len(all))
		assert.DeepEqual(t, all[:n], sorted[:n])
	})
}
