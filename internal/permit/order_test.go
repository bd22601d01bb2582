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
				FreeCPU: small.Draw(t, "free"), Rank: rapid.IntRange(0, 2).Draw(t, "rank"), Reserved: rapid.Bool().Draw(t, "reserved")})
		}
		n := rapid.IntRange(0, 70).Draw(t, "first")
		sorted := slices.Clone(all)
		d.sortCandidates(sorted)
		d.sortFirst(all, n)
		n = min(n, len(all))
		assert.DeepEqual(t, all[:n], sorted[:n])
	})
}

// TestQueryNamesWorkersOfPreferredSpeed guards against permits for slow workers while fast ones
// have room, and against a job that waits for a fast worker though a slow one has room.
func TestQueryNamesWorkersOfPreferredSpeed(t *testing.T) {
	candidates := []schedule.Candidate{
		{Worker: "full fast", Room: 0, FreeCPU: 100, Rank: 0},
		{Worker: "almost full slow", Room: 0, FreeCPU: 200, Rank: 2},
		{Worker: "slow", Room: 3, FreeCPU: 3000, Rank: 2},
		{Worker: "empty fast", Room: 9, FreeCPU: 9000, Rank: 0},
		{Worker: "normal", Room: 1, FreeCPU: 1000, Rank: 1},
		{Worker: "tight fast", Room: 2, FreeCPU: 2000, Rank: 0},
		{Worker: "reserved slow", Room: 0, FreeCPU: 0, Rank: 2, Reserved: true},
	}
	for _, row := range []struct {
		allAtOnce bool
		want      []string
	}{
		{false, []string{"reserved slow", "tight fast", "empty fast", "normal", "slow", "almost full slow", "full fast"}},
		{true, []string{"reserved slow", "empty fast", "tight fast", "normal", "slow", "almost full slow", "full fast"}},
	} {
		sorted := slices.Clone(candidates)
		Demand{Tasks: 1, AllAtOnce: row.allAtOnce}.sortCandidates(sorted)
		var got []string
		for _, c := range sorted {
			got = append(got, string(c.Worker))
		}
		assert.DeepEqual(t, got, row.want)
	}
}
