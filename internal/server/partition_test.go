package server

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/filbertmast/filbertmast/internal/api"
	"github.com/filbertmast/filbertmast/internal/certs"
	"github.com/filbertmast/filbertmast/internal/client"
	"github.com/filbertmast/filbertmast/internal/declare"
	"github.com/filbertmast/filbertmast/internal/errkind"
	"github.com/filbertmast/filbertmast/internal/model"
	"github.com/filbertmast/filbertmast/internal/settings"
	"github.com/filbertmast/filbertmast/internal/testwait"
	"github.com/filbertmast/filbertmast/internal/wire"
)

// eventTimeout bounds each wait for an event; the test fails once it has passed.
const eventTimeout = 60 * time.Second

// node is one process of a group; it runs inside the test process.
type node struct {
	process *Process
	faults  *wire.Faults
	inner   string
	log     bytes.Buffer
}

// group is a cell of processes that each have both roles. The test partitions
// the network between them.
type group struct {
	t           *testing.T
	nodes       []*node
	operatorKey string
	callerKey   string
	version     uint64
}

// startGroup starts n processes with default settings, changed by adjust.
func startGroup(t *testing.T, n int, adjust ...func(*settings.Settings)) *group {
	t.Helper()
	g := &group{t: t}
	var digest model.KeyDigest
	g.operatorKey, digest = declare.NewKey()
	conf, err := certs.SelfSigned(net.IPv4(127, 0, 0, 1))
	assert.NilError(t, err)
	var founders []string
	for range n {
		addr, err := freeUDP()
		assert.NilError(t, err)
		founders = append(founders, addr)
	}
	dir := t.TempDir()
	for i, addr := range founders {
		set := settings.Default()
		set.Name = fmt.Sprintf("n%d", i)
		set.Roles = []settings.Role{settings.RoleControl, settings.RoleEntry}
		set.Region, set.FailureDomain = "south", "selfoss"
		set.Inner.Address, set.Outer.Address = addr, "127.0.0.1:0"
		set.Data.Dir = filepath.Join(dir, set.Name)
		set.Control.Founders = founders
		set.Limits.Freshness = model.Duration(2 * time.Second)
		set.Limits.ShutdownDelay = 0
		set.Bootstrap.OperatorKeyDigest = string(digest)
		for _, fn := range adjust {
			fn(set)
		}
		nd := &node{faults: &wire.Faults{}, inner: addr}
		nd.process, err = Start(set, Options{TLS: conf, Log: &nd.log, Faults: nd.faults})
		assert.NilError(t, err)
		g.nodes = append(g.nodes, nd)
	}
	t.Cleanup(func() {
		for _, nd := range g.nodes {
			nd.process.Close()
			if t.Failed() {
				t.Logf("--- %s\n%s", nd.inner, nd.log.String())
			}
		}
	})
	g.applyDeclarations()
	return g
}

func (g *group) clientOf(key string, nd *node) *client.Client {
	g.t.Helper()
	c, err := client.New(client.Options{Addresses: []string{"http://" + nd.process.OuterAddress()}, Key: key, Attempts: 1})
	assert.NilError(g.t, err)
	return c
}

func (g *group) await(what string, check func() error) {
	g.t.Helper()
	testwait.Until(g.t, eventTimeout, what, check)
}

func (g *group) applyDeclarations() {
	var digest model.KeyDigest
	g.callerKey, digest = declare.NewKey()
	d := model.Declarations{
		Teams:  []model.Team{{Name: "stands", Share: 1, MaxRunning: 10}},
		Queues: []model.Queue{{Name: "rows", Workspace: "plans", Team: "stands"}},
		Keys: []model.Key{
			{Digest: digest, Team: "stands"},
			{Digest: declare.DigestKey(g.operatorKey), Team: "stands", Operator: true},
		},
	}
	g.await("the first apply", func() error {
		got, err := g.clientOf(g.operatorKey, g.nodes[0]).Apply(context.Background(), api.Apply{ApplyID: "first", Declarations: d})
		g.version = got.Version
		return err
	})
	for _, nd := range g.nodes {
		g.await("a submission with the caller's key", func() error { return g.submit(nd, "warm-"+nd.inner) })
	}
}

func (g *group) submit(nd *node, key string) error {
	spec := model.JobSpec{Name: key, Policy: model.PolicyBatch, Tasks: 1, Size: model.Resources{CPU: 100}}
	_, err := g.clientOf(g.callerKey, nd).Submit(context.Background(), spec, key)
	return err
}

// leader waits until via reports a leader of the group and returns that node.
func (g *group) leader(via *node) *node {
	g.t.Helper()
	var out *node
	g.await("a leader", func() error {
		st, err := g.clientOf(g.operatorKey, via).Status(context.Background())
		if err != nil {
			return err
		}
		i := slices.IndexFunc(g.nodes, func(n *node) bool { return n.inner == st.Leader })
		if i < 0 {
			return fmt.Errorf("leader %q", st.Leader)
		}
		out = g.nodes[i]
		return nil
	})
	return out
}

func (g *group) others(nd *node) []*node {
	return slices.DeleteFunc(slices.Clone(g.nodes), func(n *node) bool { return n == nd })
}

// awaitStaleRefusal waits until a node refuses submissions with the kind
// SettingsStale and marks them as not run.
func (g *group) awaitStaleRefusal(nd *node) {
	g.t.Helper()
	g.await("the partitioned node refuses submissions", func() error {
		err := g.submit(nd, "cut-off")
		if err == nil {
			return fmt.Errorf("a submission was accepted")
		}
		if b := client.BodyOf(err); b.Kind != errkind.SettingsStale || !b.NotRun {
			return err
		}
		return nil
	})
}

// TestLeaderPartition partitions the leader, in both directions or in one, until
// another node leads, and then heals the partition. The majority must keep
// accepting jobs, the old leader must refuse them as not run, and afterwards all
// nodes must show the same configuration and jobs.
func TestLeaderPartition(t *testing.T) {
	tests := []struct {
		name string
		cut  func(leader *node, other *node)
	}{
		{"no traffic in either direction", func(leader, other *node) { leader.faults.Partition(other.inner) }},
		{"nothing reaches the leader", func(leader, other *node) { leader.faults.DropFrom(other.inner) }},
		{"nothing leaves the leader", func(leader, other *node) { leader.faults.DropTo(other.inner) }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g := startGroup(t, 3)
			old := g.leader(g.nodes[0])
			rest := g.others(old)
			for _, nd := range rest {
				tt.cut(old, nd)
			}
			g.await("a new leader", func() error {
				if g.leader(rest[0]) == old {
					return fmt.Errorf("the old leader still leads")
				}
				return nil
			})
			g.await("the majority accepts a job", func() error { return g.submit(rest[0], "during-the-cut") })
			g.awaitStaleRefusal(old)
			old.faults.Heal()
			g.await("the old leader accepts a job after healing", func() error { return g.submit(old, "after-the-cut") })
			g.awaitSameState()
		})
	}
}

// awaitSameState waits until every node shows the same jobs and configuration.
func (g *group) awaitSameState() {
	g.t.Helper()
	for _, nd := range g.nodes {
		g.await("the same state on every node", func() error {
			jobs, err := g.clientOf(g.callerKey, nd).Jobs(context.Background(), "")
			if err != nil {
				return err
			}
			names := make(map[string]int)
			for _, j := range jobs {
				names[j.Spec.Name]++
			}
			for _, want := range []string{"during-the-cut", "after-the-cut"} {
				if names[want] != 1 {
					return fmt.Errorf("job %q is listed %d times, want 1", want, names[want])
				}
			}
			d, err := g.clientOf(g.operatorKey, nd).Declarations(context.Background())
			if err == nil && d.Version != g.version {
				err = fmt.Errorf("version %d", d.Version)
			}
			return err
		})
	}
}

// TestConfigurationChangesDuringMinorityPartition partitions one follower,
// changes the configuration hundreds of times, withdraws a key and heals the
// partition. Once the follower's entry has refused callers as stale, it must not
// accept the withdrawn key again, and it must reach the current version.
func TestConfigurationChangesDuringMinorityPartition(t *testing.T) {
	const changes = 300
	g := startGroup(t, 3)
	minority := g.others(g.leader(g.nodes[0]))[0]
	rest := g.others(minority)
	for _, nd := range rest {
		minority.faults.Partition(nd.inner)
	}
	operator := g.clientOf(g.operatorKey, g.leader(rest[0]))
	for i := range changes {
		digest := model.KeyDigest(fmt.Sprintf("%064x", i+1))
		got, err := operator.GrantKey(context.Background(), model.Key{Digest: digest, Team: "stands"})
		assert.NilError(t, err)
		g.version = got.Version
	}
	got, err := operator.WithdrawKey(context.Background(), declare.DigestKey(g.callerKey))
	assert.NilError(t, err)
	g.version = got.Version
	g.awaitStaleRefusal(minority)
	minority.faults.Heal()
	g.await("the key is refused as withdrawn", func() error {
		err := g.submit(minority, "late")
		assert.Assert(t, err != nil, "a withdrawn key was accepted")
		if kind := client.BodyOf(err).Kind; kind != errkind.KeyWithdrawn {
			return err
		}
		return nil
	})
	d, err := g.clientOf(g.operatorKey, minority).Declarations(context.Background())
	assert.NilError(t, err)
	assert.Equal(t, d.Version, g.version)
}
