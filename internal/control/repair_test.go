package control

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/filbertmast/filbertmast/internal/replica"
)

func TestDeadReplicasAreSuperseded(t *testing.T) {
	voter := func(id replica.ID, address string, silent time.Duration) replica.Member {
		return replica.Member{ID: id, Address: address, Voter: true, SinceContact: silent}
	}
	whole := []replica.Member{voter(1, "a", 0), voter(2, "b", 0), voter(3, "c", 0)}
	rows := []struct {
		name     string
		members  []replica.Member
		tolerate int
		want     replica.ID
	}{
		{"a whole group keeps all", whole, 1, 0},
		{"a silent one is kept where it is needed", []replica.Member{voter(1, "a", 0), voter(2, "b", 0), voter(3, "c", time.Hour)}, 1, 0},
		{"one that lost its disk goes once its successor votes", append([]replica.Member{voter(9, "c", 2*time.Second)}, whole...), 1, 9},
		{"but not while the successor learns", []replica.Member{
			voter(1, "a", 0), voter(2, "b", 0), voter(9, "c", time.Hour), {ID: 3, Address: "c"},
		}, 1, 0},
		{"a silent one goes once another has taken its place", append([]replica.Member{voter(9, "d", 4*time.Second)}, whole...), 1, 9},
		{"unless it was heard lately", append([]replica.Member{voter(9, "d", time.Second)}, whole...), 1, 0},
		{"without a declared tolerance only the address counts", append([]replica.Member{voter(9, "d", time.Hour)}, whole...), 0, 0},
		{"the leader itself stays", append([]replica.Member{voter(9, "c", time.Hour)}, whole...), 1, 9},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			got, why := superseded(row.members, 1, row.tolerate)
			assert.Equal(t, got, row.want)
			assert.Equal(t, why == "", row.want == 0)
		})
	}
}
