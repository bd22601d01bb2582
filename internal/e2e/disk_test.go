package e2e

import (
	"context"
	"fmt"
	"os"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/filbertmast/filbertmast/internal/api"
	"github.com/filbertmast/filbertmast/internal/settings"
)

// replicas returns the members of the group by inner address.
func (c *cell) replicas(via *process) (map[string]api.ReplicaView, error) {
	st, err := c.clientOf(c.operator, via).Status(context.Background())
	if err != nil {
		return nil, err
	}
	out := make(map[string]api.ReplicaView)
	for _, r := range st.Replicas {
		out[r.Address] = r
	}
	if len(out) != len(st.Replicas) {
		return nil, fmt.Errorf("two replicas at one address: %+v", st.Replicas)
	}
	return out, nil
}

// awaitVoter waits until the replica of p is a voter in a group of n members,
// under another ID than old.
func (c *cell) awaitVoter(p *process, old string, n int, via *process) {
	c.t.Helper()
	c.await(p.name+" is a voter", func() error {
		members, err := c.replicas(via)
		if err != nil {
			return err
		}
		r := members[p.settings.Inner.Address]
		if !r.Voter || r.ID == old || len(members) != n {
			return fmt.Errorf("members: %+v", members)
		}
		return nil
	})
}

// rejoin starts p with an empty data folder, to replace the dead replica at the
// inner address replaces. If replaces is empty, it replaces the previous replica
// of p.
func (c *cell) rejoin(p *process, replaces string) {
	c.t.Helper()
	assert.NilError(c.t, os.RemoveAll(p.settings.Data.Dir))
	set := *p.settings
	set.Control.Join = true
	set.Control.Replaces = replaces
	q := c.addProcess(&set)
	c.processes = c.processes[:len(c.processes)-1]
	p.settings, p.args = q.settings, q.args
	p.start()
}

// TestDiskLossFollowedByLeaderLoss deletes the disk of one replica, lets a process
// with an empty folder replace it, and then kills the leader at once. All
// acknowledged jobs must succeed and the group must accept new ones.
func TestDiskLossFollowedByLeaderLoss(t *testing.T) {
	c := newCell(t, shape{control: 3, entries: 1})
	c.apply(c.baseDeclarations())
	c.awaitVersion()
	c.startStandin("worker", "w1", c.processes, "--task-time", "20ms")
	c.awaitWorkers(1)
	entry := c.processes[3]
	before := c.submitMany(20, []*process{entry}, noop)

	lost := c.others(c.leader(entry))[0]
	members, err := c.replicas(entry)
	assert.NilError(t, err)
	lost.kill()
	c.submitMany(20, []*process{entry}, noop)
	c.rejoin(lost, "")
	c.awaitVoter(lost, members[lost.settings.Inner.Address].ID, 3, entry)

	second := c.leader(entry)
	assert.Assert(t, second != lost)
	second.kill()
	assert.Assert(t, c.leader(entry) != second)
	cl := c.clientOf(c.keys["stands"], entry)
	for _, id := range before {
		assert.Equal(t, awaitJob(t, cl, id).Phase, "succeeded")
	}
	after := c.submitMany(20, []*process{entry}, noop)
	for _, id := range after {
		assert.Equal(t, awaitJob(t, cl, id).Phase, "succeeded")
	}
	c.checkHistory()
}

// TestNewVMReplacesDeadVM replaces the replica of a dead VM by one on a VM with
// another address and an empty disk. Only the settings of the new VM name the
// replica to replace.
func TestNewVMReplacesDeadVM(t *testing.T) {
	c := newCell(t, shape{control: 3, entries: 1, adjust: func(s *settings.Settings) {
		if s.Name == "p3" {
			s.Data.Dir = s.Inner.Certificate + "-data"
		}
	}})
	c.apply(c.baseDeclarations())
	c.awaitVersion()
	entry := c.processes[3]
	dead := c.others(c.leader(entry))[0]
	dead.kill()
	fresh := entry
	assert.NilError(t, fresh.terminate())
	fresh.settings.Roles = append(fresh.settings.Roles, settings.RoleControl)
	c.rejoin(fresh, dead.settings.Inner.Address)
	c.awaitReady(fresh)
	c.awaitVoter(fresh, "", 3, fresh)
	members, err := c.replicas(fresh)
	assert.NilError(t, err)
	_, listed := members[dead.settings.Inner.Address]
	assert.Assert(t, !listed, "the dead replica is still a member")
}
