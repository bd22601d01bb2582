package control

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/filbertmast/filbertmast/internal/replica"
)

func TestRemovableReplica(t *testing.T) {
	voter := func(id replica.ID, address string, sinceHeard time.Duration) replica.Member {
		return replica.Member{ID: id, Address: address, Voter: true, SinceContact: sinceHeard}
	}
	whole := []replica.Member{voter(1, "a", 0), voter(2, "b", 0), voter(3, "c", 0)}
	rows := []struct {
		name     string
		members  []replica.Member
		tolerate int
		want     replica.ID
	}{
		{"a complete group keeps all replicas", whole, 1, 0},
		{"an unresponsive replica stays if it is needed", []replica.Member{voter(1, "a", 0), voter(2, "b", 0), voter(3, "c", time.Hour)}, 1, 0},
		{"a replica that lost its disk is removed once its successor is a voter", append([]replica.Member{voter(9, "c", 2*time.Second)}, whole...), 1, 9},
		{"a replica that lost its disk stays while its successor is a learner", []replica.Member{
			voter(1, "a", 0), voter(2, "b", 0), voter(9, "c", time.Hour), {ID: 3, Address: "c"},
		}, 1, 0},
		{"an unresponsive replica is removed once another has replaced it", append([]replica.Member{voter(9, "d", 4*time.Second)}, whole...), 1, 9},
		{"a replaced replica stays if it has responded recently", append([]replica.Member{voter(9, "d", time.Second)}, whole...), 1, 0},
		{"without a configured tolerance only replicas with a taken address are removed", append([]replica.Member{voter(9, "d", time.Hour)}, whole...), 0, 0},
		{"the leader is never removed", append([]replica.Member{voter(9, "c", time.Hour)}, whole...), 1, 9},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			got, why := removableReplica(row.members, 1, row.tolerate)
			assert.Equal(t, got, row.want)
			assert.Equal(t, why == "", row.want == 0)
		})
	}
}
