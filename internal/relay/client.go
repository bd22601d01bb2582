package relay

import (
	"context"
	"hash/maphash"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"

	"github.com/filbertmast/filbertmast/internal/wire"
	"github.com/filbertmast/filbertmast/internal/workerclient"
)

// Relay is a process that makes calls to workers for others.
type Relay struct {
	Address string // inner address
	Region  string
}

// Client implements workerclient.Client. It calls a worker through a relay in the worker's
// region, always the same one while it answers, and directly where there is none.
type Client struct {
	endpoint *wire.Endpoint
	direct   workerclient.Client
	clock    func() time.Duration
	calls    *prometheus.CounterVec
	seed     maphash.Seed
	// ids numbers the calls, from a random number on: results of an earlier run of the process
	// at this address may still arrive.
	ids atomic.Uint64

	mu     sync.Mutex
	relays []Relay
	paths  map[string]*path // by address of the relay
}

// The ways of calls, as metrics name them.
const (
	wayRelay  = "relay"
	wayDirect = "direct"
	wayLost   = "lost" // the relay did not answer
)

// NewClient returns a Client that calls workers directly until Use names relays. The clock
// must count time for which the machine is suspended.
func NewClient(e *wire.Endpoint, direct workerclient.Client, clock func() time.Duration, r prometheus.Registerer) *Client {
	c := &Client{
		endpoint: e, direct: direct, clock: clock, seed: maphash.MakeSeed(), paths: map[string]*path{},
		calls: promauto.With(r).NewCounterVec(prometheus.CounterOpts{
			Name: "filbertmast_relay_calls_total", Help: "Calls to workers, by the way that they took: through a relay, directly, or through one that did not answer."},
			[]string{"way"}),
	}
	c.ids.Store(rand.Uint64())
	for _, way := range [...]string{wayRelay, wayDirect, wayLost} {
		c.calls.WithLabelValues(way)
	}
	wire.HandlePost(e, wire.KindRelayResults, c.receive)
	return c
}

// Use names the relays for the calls that follow.
func (c *Client) Use(relays []Relay) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.relays = relays
	for address, p := range c.paths {
		if p.idle() && !slices.ContainsFunc(relays, func(r Relay) bool { return r.Address == address }) {
			delete(c.paths, address)
		}
	}
}

func (c *Client) receive(from wire.Peer, m *results) {
	c.mu.Lock()
	p := c.paths[from.Address]
	c.mu.Unlock()
	if p != nil {
		p.receive(m.Results)
	}
}

// pathTo returns the path to a worker, or nil if it is called directly.
func (c *Client) pathTo(to workerclient.Target) *path {
	c.mu.Lock()
	defer c.mu.Unlock()
	var best *path
	var highest uint64
	for _, r := range c.relays {
		if r.Region != to.Region {
			continue
		}
		p := c.paths[r.Address]
		if p == nil {
			p = newPath(c.endpoint, r.Address, c.clock, &c.ids)
			c.paths[r.Address] = p
		}
		if weight := c.weight(r.Address, string(to.Worker)); p.usable(to.Again) && (best == nil || weight > highest) {
			best, highest = p, weight
		}
	}
	if best == nil {
		c.calls.WithLabelValues(wayDirect).Inc()
	} else {
		c.calls.WithLabelValues(wayRelay).Inc()
	}
	return best
}

// weight returns the weight of a relay for a worker, which is called through the relay with
// the highest one: if a relay is added or removed, only its own workers move.
func (c *Client) weight(relay, worker string) uint64 {
	var h maphash.Hash
	h.SetSeed(c.seed)
	_, _ = h.WriteString(relay)
	_ = h.WriteByte(0)
	_, _ = h.WriteString(worker)
	return h.Sum64()
}

// Start implements workerclient.Client.
func (c *Client) Start(ctx context.Context, to workerclient.Target, cmd *workerclient.StartCommand) workerclient.Response {
	p := c.pathTo(to)
	if p == nil {
		return c.direct.Start(ctx, to, cmd)
	}
	return c.command(p.do(ctx, &call{Target: to, Start: cmd}, 0))
}

// Stop implements workerclient.Client.
func (c *Client) Stop(ctx context.Context, to workerclient.Target, cmd *workerclient.StopCommand) workerclient.Response {
	p := c.pathTo(to)
	if p == nil {
		return c.direct.Stop(ctx, to, cmd)
	}
	return c.command(p.do(ctx, &call{Target: to, Stop: cmd}, 0))
}

// command returns the response to a command. Without a result it may have been executed.
func (c *Client) command(r *result, err error) workerclient.Response {
	if err == nil && r.Command != nil {
		return *r.Command
	}
	out := workerclient.Response{Verdict: workerclient.Unknown, Reason: "the relay sent another result", NotSent: err == errNotMade}
	if err != nil {
		out.Reason = err.Error()
		c.calls.WithLabelValues(wayLost).Inc()
	}
	return out
}

// Poll implements workerclient.Client. A poll whose relay does not answer is sent again,
// directly. It acknowledges and renews nothing, since another incarnation may answer by then.
func (c *Client) Poll(ctx context.Context, to workerclient.Target, req *workerclient.PollRequest) (*workerclient.PollResponse, error) {
	p := c.pathTo(to)
	if p == nil {
		return c.direct.Poll(ctx, to, req)
	}
	r, err := p.do(ctx, &call{Target: to, Poll: req}, req.Wait)
	switch {
	case err == nil && r.Poll != nil:
		return r.Poll.result()
	case err == errNotMade:
		return c.direct.Poll(ctx, to, req)
	case ctx.Err() != nil:
		return nil, err
	}
	c.calls.WithLabelValues(wayLost).Inc()
	again := *req
	again.Wait, again.Cursor, again.LeaseUntil = 0, 0, 0
	return c.direct.Poll(ctx, to, &again)
}
