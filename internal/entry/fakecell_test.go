package entry

import (
	"context"
	"io"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/prometheus/client_golang/prometheus"
	"gotest.tools/v3/assert"

	"github.com/filbertmast/filbertmast/internal/errkind"
	"github.com/filbertmast/filbertmast/internal/model"
	"github.com/filbertmast/filbertmast/internal/proto"
	"github.com/filbertmast/filbertmast/internal/wire"
)

const (
	fakeCommitTime   = 15 * time.Millisecond  // from a submission to its commit
	fakeElectionTime = 700 * time.Millisecond // without a leader, once a majority runs
)

// fakeCell is a group of control processes that elect a leader and commit submissions. They
// use the inner protocol on real sockets; the log between them is a map.
type fakeCell struct {
	t *testing.T

	mu        sync.Mutex
	processes []*fakeControl
	leader    int // -1: none
	term      uint64
	stored    map[model.WorkflowID]bool
	refuse    error // the answer to submissions that are not stored yet; nil: accept them
}

// fakeControl is one control process. The fields are guarded by fakeCell.mu.
type fakeControl struct {
	cell     *fakeCell
	index    int
	address  string
	endpoint *wire.Endpoint
	faults   *wire.Faults
	life     int // counts the losses of power
	running  bool
}

func newFakeCell(t *testing.T, n int) *fakeCell {
	t.Helper()
	c := &fakeCell{t: t, term: 1, stored: map[model.WorkflowID]bool{}}
	for i := range n {
		p := &fakeControl{cell: c, index: i, address: "127.0.0.1:0"}
		c.processes = append(c.processes, p)
		p.start()
	}
	t.Cleanup(func() {
		for _, p := range c.processes {
			p.endpoint.Close()
		}
	})
	return c
}

func (p *fakeControl) start() {
	faults := &wire.Faults{}
	e, err := wire.Listen(wire.Options{Address: p.address, Name: "core", Logger: log.New(io.Discard), Faults: faults})
	assert.NilError(p.cell.t, err)
	p.cell.mu.Lock()
	p.endpoint, p.faults, p.address, p.running = e, faults, e.Address(), true
	life := p.life
	p.cell.mu.Unlock()
	wire.Handle(e, wire.KindProbe, func(context.Context, wire.Peer, *proto.Empty) (*proto.Probe, error) { return p.probe(), nil })
	wire.Handle(e, wire.KindHeartbeats, func(context.Context, wire.Peer, *proto.Heartbeats) (*proto.HeartbeatsRecorded, error) {
		return p.heartbeats()
	})
	wire.Handle(e, wire.KindSubmitWorkflow, func(ctx context.Context, _ wire.Peer, req *proto.SubmitWorkflow) (*proto.WorkflowView, error) {
		return p.submit(req.Spec.ID, life)
	})
}

func (p *fakeControl) probe() *proto.Probe {
	p.cell.mu.Lock()
	defer p.cell.mu.Unlock()
	out := &proto.Probe{Term: p.cell.term, Peers: p.cell.addressesLocked()}
	if p.cell.leader >= 0 {
		out.Leader = p.cell.processes[p.cell.leader].address
		out.Ready = p.cell.leader == p.index
	}
	return out
}

func (p *fakeControl) heartbeats() (*proto.HeartbeatsRecorded, error) {
	p.cell.mu.Lock()
	defer p.cell.mu.Unlock()
	if p.cell.leader != p.index {
		return nil, errkind.New(errkind.NotLeader, "does not lead")
	}
	return &proto.HeartbeatsRecorded{}, nil
}

func (p *fakeControl) submit(id model.WorkflowID, life int) (*proto.WorkflowView, error) {
	c := p.cell
	c.mu.Lock()
	term, leads, existing, refuse := c.term, c.leader == p.index, c.stored[id], c.refuse
	c.mu.Unlock()
	switch {
	case !leads:
		return nil, errkind.New(errkind.NotLeader, "does not lead")
	case existing:
		return &proto.WorkflowView{Existing: true}, nil
	case refuse != nil:
		return nil, refuse
	}
	time.Sleep(fakeCommitTime)
	c.mu.Lock()
	defer c.mu.Unlock()
	if p.life != life || c.term != term {
		return nil, errkind.New(errkind.OutcomeUnknown, "leadership was lost")
	}
	c.stored[id] = true
	return &proto.WorkflowView{}, nil
}

// cutPower stops a process at once: nothing that it sends or that is sent to it arrives any more.
func (p *fakeControl) cutPower() {
	p.cell.mu.Lock()
	p.life++
	p.running = false
	p.cell.mu.Unlock()
	p.faults.Isolate()
	p.endpoint.Close()
}

// elect makes a process the leader of the next term; -1: none leads.
func (c *fakeCell) elect(leader int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.term++
	c.leader = leader
}

func (c *fakeCell) setRefusal(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.refuse = err
}

func (c *fakeCell) isStored(id model.WorkflowID) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.stored[id]
}

func (c *fakeCell) addressesLocked() []string {
	var out []string
	for _, p := range c.processes {
		out = append(out, p.address)
	}
	return out
}

// loseAllPower stops all processes for d, then elects another leader.
func (c *fakeCell) loseAllPower(d time.Duration) {
	for _, p := range c.processes {
		p.cutPower()
	}
	c.elect(-1)
	time.Sleep(d)
	for _, p := range c.processes {
		p.start()
	}
	time.Sleep(fakeElectionTime)
	c.elect(1)
}

// fakeEntry is an entry's client of the leader, with the faults of its socket.
type fakeEntry struct {
	client *leaderClient
	faults *wire.Faults
}

func (c *fakeCell) newEntry(founders int) *fakeEntry {
	c.t.Helper()
	faults := &wire.Faults{}
	e, err := wire.Listen(wire.Options{Address: "127.0.0.1:0", Name: "front", Logger: log.New(io.Discard), Faults: faults})
	assert.NilError(c.t, err)
	c.t.Cleanup(func() { e.Close() })
	c.mu.Lock()
	addresses := slices.Clone(c.addressesLocked()[:founders])
	c.mu.Unlock()
	return &fakeEntry{client: newTestClient(e, addresses), faults: faults}
}

func newTestClient(e *wire.Endpoint, control []string) *leaderClient {
	return newLeaderClient(e, control, newMetrics(prometheus.NewRegistry()), log.New(io.Discard))
}

// sendHeartbeats sends ten batches of heartbeats a second until the test ends.
func (e *fakeEntry) sendHeartbeats(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		for sleep(ctx, 100*time.Millisecond) {
			go func() {
				ctx, cancel := context.WithTimeout(ctx, heartbeatsTimeout)
				defer cancel()
				_, _ = tryLeader[proto.Heartbeats, proto.HeartbeatsRecorded](ctx, e.client, wire.KindHeartbeats, &proto.Heartbeats{}, 0)
			}()
		}
	}()
	t.Cleanup(func() { cancel(); <-done })
}

// submit submits a workflow as a caller with a timeout does.
func (e *fakeEntry) submit(id model.WorkflowID, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	req := &proto.SubmitWorkflow{Spec: model.WorkflowSpec{ID: id}}
	_, err := callLeader[proto.SubmitWorkflow, proto.WorkflowView](ctx, e.client, wire.KindSubmitWorkflow, req, 0)
	return err
}
