package member

import (
	"fmt"
	"testing"

	"github.com/filbertmast/filbertmast/internal/declare"
	"github.com/filbertmast/filbertmast/internal/model"
)

// largeDeclarations returns declarations of 420 teams, as many as at the
// target, with ten keys and two queues each.
func largeDeclarations(changed int) *model.Declarations {
	d := &model.Declarations{}
	for i := range 420 {
		team := fmt.Sprintf("team%03d", i)
		d.Teams = append(d.Teams, model.Team{Name: team, Share: 1, MaxRunning: int64(1000 + changed)})
		for k := range 10 {
			digest := declare.DigestKey(fmt.Sprint(team, k))
			d.Keys = append(d.Keys, model.Key{Digest: digest, Team: team})
		}
		for q := range 2 {
			d.Queues = append(d.Queues, model.Queue{Name: fmt.Sprintf("%s-%d", team, q), Team: team, Workspace: "w"})
		}
	}
	return d
}

// BenchmarkUpdateAllEntries measures the leader's work to update 47 entries
// that are one change behind, with the delta cached and with it computed for
// each entry.
func BenchmarkUpdateAllEntries(b *testing.B) {
	const entries = 47
	before, now := largeDeclarations(0), largeDeclarations(0)
	now.Teams[7].MaxRunning++
	from, to := declare.Digest(before), declare.Digest(now)
	for _, keep := range []bool{true, false} {
		b.Run(fmt.Sprintf("kept=%v", keep), func(b *testing.B) {
			for b.Loop() {
				h := NewHistory(DefaultHistoryLength)
				h.Add(1, from, before)
				h.Add(2, to, now)
				for range entries {
					if u, ok := h.Update(1, from); !ok || u.Delta == nil {
						b.Fatal("no delta")
					}
					if !keep {
						clear(h.deltas)
					}
				}
			}
		})
	}
}
