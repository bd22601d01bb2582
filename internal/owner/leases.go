package owner

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/filbertmast/filbertmast/internal/model"
)

// Owned is one executor that this entry owns.
type Owned struct {
	Executor         model.ExecutorSpec
	Epoch            uint64
	Leaving          bool // gets no new requests
	ReleaseRequested bool // gets no new requests, and is released once none runs there
}

// Leases is an entry's view of the executors that it owns. A lease runs from when
// its renewal was sent. It is safe for concurrent use.
type Leases struct {
	entry       string
	address     string
	region      string
	incarnation uint64

	mu           sync.Mutex
	seq          uint64
	knownVersion uint64
	owned        map[string]Owned
	leaseEnd     time.Time
	maxDeadline  time.Time
	sendHeld     bool
	leaving      bool
	released     map[string]uint64 // epochs of released executors that the leader has not confirmed
	pending      sentRenewal
}

// sentRenewal is what a Leases needs to know of the last renewal to apply its response.
type sentRenewal struct {
	seq         uint64
	sent        time.Time
	maxDeadline time.Time
}

// NewLeases returns the Leases of an entry that owns no executor yet. Incarnation
// must be larger than that of any earlier process of the entry.
func NewLeases(entry, address, region string, incarnation uint64) *Leases {
	return &Leases{
		entry:       entry,
		address:     address,
		region:      region,
		incarnation: incarnation,
		owned:       make(map[string]Owned),
		released:    make(map[string]uint64),
	}
}

// Renewal returns the next renewal, to be sent at now. Load is the share of slots in
// use, 0 to 1. MaxRequest is how long after now a request may still run that has been
// sent or is sent before the response to the next renewal.
func (l *Leases) Renewal(now time.Time, load float64, maxRequest time.Duration) *Renewal {
	l.mu.Lock()
	defer l.mu.Unlock()
	maxRequest = max(maxRequest, l.maxDeadline.Sub(now))
	l.seq++
	l.pending = sentRenewal{seq: l.seq, sent: now, maxDeadline: now.Add(maxRequest)}
	r := &Renewal{
		Entry:        l.entry,
		Address:      l.address,
		Region:       l.region,
		Load:         load,
		Seq:          l.seq,
		Incarnation:  l.incarnation,
		KnownVersion: l.knownVersion,
		DeadlineMS:   maxRequest.Milliseconds() + 1,
		Leaving:      l.leaving,
	}
	if l.sendHeld {
		r.HasHeld = true
		r.Held = l.held(now)
	}
	for id, epoch := range l.released {
		r.Released = append(r.Released, Grant{Executor: id, Epoch: epoch})
	}
	sortGrants(r.Released)
	return r
}

// held returns the executors that are not released, or none if the lease has expired.
func (l *Leases) held(now time.Time) []Grant {
	if !now.Before(l.leaseEnd) {
		return nil
	}
	grants := make([]Grant, 0, len(l.owned))
	for id, o := range l.owned {
		if l.released[id] != o.Epoch {
			grants = append(grants, Grant{Executor: id, Epoch: o.Epoch})
		}
	}
	sortGrants(grants)
	return grants
}

func sortGrants(grants []Grant) {
	slices.SortFunc(grants, func(a, b Grant) int { return cmp.Compare(a.Executor, b.Executor) })
}

// Apply applies the response to the last renewal. It reports whether the set of owned
// executors may have changed. Responses to earlier renewals are ignored.
func (l *Leases) Apply(resp *RenewalResponse) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if resp.Seq != l.pending.seq {
		return false
	}
	l.sendHeld = resp.WantHeld
	if resp.WantHeld {
		return false
	}
	l.leaseEnd = l.pending.sent.Add(time.Duration(resp.LeaseMS) * time.Millisecond)
	l.maxDeadline = l.pending.maxDeadline
	l.knownVersion = resp.Version
	if !resp.Changed {
		return false
	}
	l.owned = make(map[string]Owned, len(resp.Owned))
	for _, o := range resp.Owned {
		l.owned[o.Executor.ID] = Owned(o)
	}
	l.dropConfirmedReleases()
	return true
}

// dropConfirmedReleases drops the releases that the leader has applied.
func (l *Leases) dropConfirmedReleases() {
	for id, epoch := range l.released {
		if o, ok := l.owned[id]; !ok || o.Epoch != epoch {
			delete(l.released, id)
		}
	}
}

// Release releases an executor that gets no more requests and runs none. The next
// renewals report the release until the leader has applied it.
func (l *Leases) Release(id string, epoch uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if o, ok := l.owned[id]; ok && o.Epoch == epoch {
		l.released[id] = epoch
	}
}

// Leave makes the next renewals say that this entry releases all that it owns.
func (l *Leases) Leave() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.leaving = true
}

// Owns reports whether this entry may, at now, send a request that ends by deadline
// to the executor under epoch.
func (l *Leases) Owns(id string, epoch uint64, now, deadline time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	o, ok := l.owned[id]
	if !ok || o.Epoch != epoch || o.Leaving || o.ReleaseRequested || l.released[id] == epoch {
		return false
	}
	return now.Before(l.leaseEnd) && !deadline.After(l.maxDeadline)
}

// Limits returns the latest deadline that a request sent now may have, and until when
// requests may be sent at all.
func (l *Leases) Limits() (maxDeadline, leaseEnd time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.maxDeadline, l.leaseEnd
}

// Owned returns the executors that this entry owns, sorted by ID.
func (l *Leases) Owned() []Owned {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make([]Owned, 0, len(l.owned))
	for _, o := range l.owned {
		out = append(out, o)
	}
	slices.SortFunc(out, func(a, b Owned) int { return cmp.Compare(a.Executor.ID, b.Executor.ID) })
	return out
}
