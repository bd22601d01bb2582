package control

import (
	"slices"
	"time"

	"github.com/filbertmast/filbertmast/internal/model"
	"github.com/filbertmast/filbertmast/internal/relay"
	"github.com/filbertmast/filbertmast/internal/replica"
)

const (
	// minRelayedWorkers is the number of polled workers from which on other control processes
	// call them for the leader: calls to fewer cost it less than the messages.
	minRelayedWorkers = 100
	// workersPerRelay is how many workers of a region one relay calls. Few relays get many
	// calls with one message.
	workersPerRelay = 250
	// relayInterval is the time between choices of the relays.
	relayInterval = 250 * time.Millisecond
)

// Relays takes the processes through which workers are called.
type Relays interface {
	Use([]relay.Relay)
}

// chooseRelays lets other control processes that have renewed recently call the workers of
// their regions.
func (l *leader) chooseRelays(now model.Time) {
	relays := l.c.s.opts.Relays
	if relays == nil || now < l.nextRelays {
		return
	}
	l.nextRelays = now.Add(relayInterval)
	if len(l.polled.workers) < minRelayedWorkers {
		relays.Use(nil)
		return
	}
	needed := l.polled.relaysNeeded()
	var out []relay.Relay
	for _, e := range l.members.Entries(now) {
		m := &e.Member
		if needed[m.Region] > 0 && !e.Leaving && e.Age < l.c.s.opts.Times.RequestLease/2 && l.isFollower(m.Inner) {
			needed[m.Region]--
			out = append(out, relay.Relay{Address: m.Inner, Region: m.Region})
		}
	}
	relays.Use(out)
}

// relaysNeeded returns how many relays the workers of each region need.
func (p *polledWorkers) relaysNeeded() map[string]int {
	workers := map[string]int{}
	for _, pw := range p.workers {
		workers[pw.target.Region]++
	}
	for region, n := range workers {
		workers[region] = (n + workersPerRelay - 1) / workersPerRelay
	}
	return workers
}

// isFollower reports whether another replica of the group is at an inner address.
func (l *leader) isFollower(address string) bool {
	return address != l.c.s.opts.Endpoint.Address() &&
		slices.ContainsFunc(l.c.s.opts.Log.Status().Members, func(m replica.Member) bool { return m.Address == address })
}
