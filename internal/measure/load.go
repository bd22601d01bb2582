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
	runTime     = 8 * time.Second // of one size
	maxCalls    = 256             // calls of the load under way at once
)

// loadClient speaks the inner protocol to the leader of a deployment as an entry does.
type loadClient struct {
	d        *Deployment
	endpoint *wire.Endpoint
	leader   Process
	slots    chan struct{}

	mu     sync.Mutex
	failed map[string]int // calls by error
}

// connect finds the leader. The deployment's processes must be running.
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
		return nil, fmt.Errorf("the leader %s is not of this deployment", found.Leader)
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

// call calls the leader once.
func call[Req, Resp any](ctx context.Context, l *loadClient, k wire.Kind, req *Req) (*Resp, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	resp, err := wire.Call[Req, Resp](ctx, l.endpoint, l.leader.Inner, k, req)
	if err != nil {
		l.recordFailure(err)
	}
	return resp, err
}

// recordFailure counts a failed call.
func (l *loadClient) recordFailure(err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.failed[err.Error()]++
}

// operatorCaller is the caller of declarations.
func (l *loadClient) operatorCaller() proto.Caller {
	return proto.Caller{Team: teamName(0), Operator: true, Key: declare.DigestKey(l.d.Operator)}
}

// teamCaller is the holder of a team's first key.
func teamCaller(team int) proto.Caller {
	return proto.Caller{Team: teamName(team), Key: declare.DigestKey(keyName(team, 0))}
}

// limitedTeam may run one task at a time, so that its jobs wait.
const limitedTeam = 1

// declarations is the configuration of the target's teams with the operator's
// key and one team that is held back.
func (l *loadClient) declarations(seed int) model.Declarations {
	d := Declarations(stateTeams, seed)
	d.Teams[limitedTeam].MaxRunning = 1
	d.Keys = append(d.Keys, model.Key{
		Digest: declare.DigestKey(l.d.Operator), Team: teamName(0), Operator: true, Worker: true})
	return d
}

// declare puts a configuration in force and returns its version.
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

// runAtRate runs fn at the given rate for a time, several at once, and returns how
// often, once the time is over and all have ended.
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

// cost is what a load cost.
type cost struct {
	usage               // of the leader
	followerCPU float64 // processor seconds of one follower; zero where there is none
	hasFollower bool
}

// runMetered runs fn and returns what it cost, and its length in seconds.
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

// addUsage adds what the leader spent in a second at the rate x.
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

// packetCountWait is longer than the period at which processes count packets.
const packetCountWait = 12 * time.Second

// addPackets compares the bytes of packets with those of messages in them over
// a whole run.
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

// addFailures notes how many calls of the load failed.
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
