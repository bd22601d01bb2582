package measure

import (
	"context"
	"fmt"
	"io"
	"slices"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"github.com/filbertmast/filbertmast/internal/api"
	"github.com/filbertmast/filbertmast/internal/certs"
	"github.com/filbertmast/filbertmast/internal/declare"
	"github.com/filbertmast/filbertmast/internal/discover"
	"github.com/filbertmast/filbertmast/internal/model"
	"github.com/filbertmast/filbertmast/internal/proto"
	"github.com/filbertmast/filbertmast/internal/wire"
)

const (
	callTimeout = 5 * time.Second
	runTime     = 8 * time.Second // duration of the load at one size
	maxCalls    = 256             // maximum calls in flight
)

// loadClient calls the leader of a deployment over the inner protocol, as an
// entry does.
type loadClient struct {
	d        *Deployment
	endpoint *wire.Endpoint
	leader   Process
	slots    chan struct{}

	mu     sync.Mutex
	failed map[string]int // calls by error
}

// connect opens an endpoint and finds the leader. The processes of the deployment
// must be running.
func connect(ctx context.Context, d *Deployment) (*loadClient, error) {
	conf, err := certs.LoadTLS(d.certificate(loadName))
	if err != nil {
		return nil, err
	}
	endpoint, err := wire.Listen(wire.Options{
		Address: loopback + ":0", Name: loadName, Region: loadRegion, TLS: conf, Logger: log.New(io.Discard)})
	if err != nil {
		return nil, err
	}
	found, err := discover.Leader(ctx, endpoint, d.founders())
	if err != nil {
		endpoint.Close()
		return nil, err
	}
	i := slices.IndexFunc(d.Control, func(p Process) bool { return p.Inner == found.Leader })
	if i < 0 {
		endpoint.Close()
		return nil, fmt.Errorf("the leader %s is not a process of this deployment", found.Leader)
	}
	return &loadClient{
		d:        d,
		endpoint: endpoint,
		leader:   d.Control[i],
		slots:    make(chan struct{}, maxCalls),
		failed:   make(map[string]int),
	}, nil
}

func (l *loadClient) close() { l.endpoint.Close() }

// call makes one call to the leader and counts it if it fails.
func call[Req, Resp any](ctx context.Context, l *loadClient, k wire.Kind, req *Req) (*Resp, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	resp, err := wire.Call[Req, Resp](ctx, l.endpoint, l.leader.Inner, k, req)
	if err != nil {
		l.recordFailure(err)
	}
	return resp, err
}

// recordFailure counts a failed call by the text of its error.
func (l *loadClient) recordFailure(err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.failed[err.Error()]++
}

// operatorCaller returns the identity of the operator.
func (l *loadClient) operatorCaller() proto.Caller {
	return proto.Caller{Team: teamName(0), Operator: true, Key: declare.DigestKey(l.d.Operator)}
}

// teamCaller returns the identity of the holder of a team's first key.
func teamCaller(team int) proto.Caller {
	return proto.Caller{Team: teamName(team), Key: declare.DigestKey(keyName(team, 0))}
}

// limitedTeam is a team with a limit of one running task, so that its jobs wait.
const limitedTeam = 1

// declarations returns the configuration of all teams, with the operator's key
// and the limit of limitedTeam.
func (l *loadClient) declarations(seed int) model.Declarations {
	d := Declarations(stateTeams, seed)
	d.Teams[limitedTeam].MaxRunning = 1
	d.Keys = append(d.Keys, model.Key{
		Digest: declare.DigestKey(l.d.Operator), Team: teamName(0), Operator: true, Worker: true})
	return d
}

// declare applies a configuration and returns its version.
func (l *loadClient) declare(ctx context.Context, d model.Declarations) (uint64, error) {
	now, err := call[proto.Empty, api.DeclarationsView](ctx, l, wire.KindDeclarations, &proto.Empty{})
	if err != nil {
		return 0, err
	}
	req := &proto.Declare{Caller: l.operatorCaller(), Apply: api.Apply{
		Base: now.Version, ApplyID: fmt.Sprint("measure-", time.Now().UnixNano()), Declarations: d}}
	done, err := call[proto.Declare, api.Applied](ctx, l, wire.KindDeclare, req)
	if err != nil {
		return 0, err
	}
	return done.Version, nil
}

// runAtRate starts calls of fn at the given rate per second for the given time,
// with at most maxCalls in flight. It returns the number of calls after the time
// has passed and all of them have returned.
func (l *loadClient) runAtRate(ctx context.Context, rate float64, length time.Duration, fn func(i int)) int {
	var wg sync.WaitGroup
	began := time.Now()
	n := 0
	for ; ctx.Err() == nil; n++ {
		due := began.Add(time.Duration(float64(n) / rate * float64(time.Second)))
		if due.Sub(began) >= length {
			break
		}
		time.Sleep(time.Until(due))
		l.slots <- struct{}{}
		wg.Add(1)
		go func(i int) {
			defer wg.Done()
			defer func() { <-l.slots }()
			fn(i)
		}(n)
	}
	wg.Wait()
	time.Sleep(time.Until(began.Add(length)))
	return n
}

// cost is the resource usage of control processes during a load.
type cost struct {
	usage               // usage of the leader
	followerCPU float64 // processor seconds of one follower; zero if there is none
	hasFollower bool
}

// runMetered runs fn and returns the resource usage meanwhile and the duration
// in seconds.
func (l *loadClient) runMetered(ctx context.Context, fn func()) (cost, float64, error) {
	before, err := l.readCost(ctx)
	if err != nil {
		return cost{}, 0, err
	}
	began := time.Now()
	fn()
	length := time.Since(began).Seconds()
	after, err := l.readCost(ctx)
	after.usage = after.since(before.usage)
	after.followerCPU -= before.followerCPU
	return after, length, err
}

func (l *loadClient) readCost(ctx context.Context) (cost, error) {
	var s cost
	var err error
	if s.usage, err = usageOf(ctx, l.leader); err != nil {
		return s, err
	}
	for _, p := range l.d.Control {
		if p == l.leader {
			continue
		}
		u, err := usageOf(ctx, p)
		s.followerCPU, s.hasFollower = u.cpu, true
		return s, err
	}
	return s, nil
}

// addUsage adds the resource usage per second at the rate x to the series of
// what. The length is in seconds.
func (r *Report) addUsage(what string, x float64, u cost, length float64) {
	if u.hasFollower {
		r.add("follower CPU by "+what, "ms", what, x, 1e3*u.followerCPU/length)
	}
	r.add("leader CPU by "+what, "ms", what, x, 1e3*u.cpu/length)
	r.add("bytes to leader by "+what, "B", what, x, u.loadReceived/length)
	r.add("bytes from leader by "+what, "B", what, x, u.loadSent/length)
	r.add("bytes to followers by "+what, "B", what, x, u.peersSent/length)
	r.add("bytes from followers by "+what, "B", what, x, u.peersReceived/length)
	r.add("plans by "+what, "1", what, x, u.plans/length)
	r.add("plan time by "+what, "ms", what, x, 1e3*u.planSeconds/length)
	r.add("log syncs by "+what, "1", what, x, u.appends/length)
}

// packetCountWait is longer than the interval at which processes update their
// packet counters.
const packetCountWait = 12 * time.Second

// addPackets adds the ratio of packet bytes to message bytes over a whole run,
// and the resident memory of the leader at its end.
func (l *loadClient) addPackets(ctx context.Context, r *Report, before usage) error {
	time.Sleep(packetCountWait)
	after, err := usageOf(ctx, l.leader)
	if err != nil {
		return err
	}
	u := after.since(before)
	if load := u.loadSent + u.loadReceived; load > 0 {
		r.addCount("packet bytes a message byte, load and leader", 0, u.loadPackets/load)
	}
	if peers := u.peersSent + u.peersReceived; peers > 0 {
		r.addCount("packet bytes a message byte, leader and other processes", 0, u.peersPackets/peers)
	}
	r.addCount("resident bytes of the leader at the end", 0, after.resident)
	return nil
}

// addFailures adds the number of failed calls of the load by error.
func (l *loadClient) addFailures(r *Report) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for why, n := range l.failed {
		r.addCount("failed calls: "+why, 0, float64(n))
	}
	if len(l.failed) == 0 {
		r.addCount("failed calls", 0, 0)
	}
}
