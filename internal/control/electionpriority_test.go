package control

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/filbertmast/filbertmast/internal/replica"
	"github.com/filbertmast/filbertmast/internal/state"
)

// Guards against a leader in a region with fewer voters than another one, whose commits wait
// for the link between regions.
func TestReplicaInRegionWithFewerVotersHasLowElectionPriority(t *testing.T) {
	members := []state.Member{
		{Inner: "a1", Region: "a"}, {Inner: "a2", Region: "a"}, {Inner: "a3", Region: "a"},
		{Inner: "b1", Region: "b"}, {Inner: "b2", Region: "b"}, {Inner: "entry", Region: "b"},
	}
	voters := func(addresses ...string) []replica.Member {
		var out []replica.Member
		for i, a := range addresses {
			out = append(out, replica.Member{ID: replica.ID(i + 1), Address: a, Voter: true})
		}
		return out
	}
	rows := []struct {
		name           string
		id             replica.ID
		members        []replica.Member
		smaller, known bool
	}{
		{"in the region with more voters", 1, voters("a1", "a2", "b1"), false, true},
		{"in the region with fewer voters", 3, voters("a1", "a2", "b1"), true, true},
		{"a replica that is not listed", 3, voters("a1", "b1"), false, false},
		{"equal regions of two", 2, voters("a1", "b1"), false, true},
		{"a voter whose region is not known", 1, voters("a1", "a2", "new"), false, false},
		{"learners do not count", 1, append(voters("b1", "a1", "b2"), replica.Member{ID: 9, Address: "a2"}), false, true},
		{"a replica that is no voter", 9, append(voters("a1"), replica.Member{ID: 9, Address: "a2"}), false, false},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			smaller, known := inSmallerRegion(replica.Status{ID: row.id, Members: row.members}, members)
			assert.Equal(t, known, row.known)
			assert.Equal(t, smaller && known, row.smaller)
		})
	}
}
