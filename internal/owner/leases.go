package owner

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/filbertmast/filbertmast/internal/model"
)

// Owned is one executor that this entry owns, and until when.
type Owned struct {
	Executor         model.ExecutorSpec
	Epoch            uint64
	Leaving          bool // gets nothing new
	ReleaseRequested bool // gets nothing new, and is released once nothing runs there
}

// Leases is an entry's view of the executors that it owns. A lease counts from
// when the renewal was sent. It is safe for concurrent use.
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
	released     map[string]uint64 // epoch of executors given up but not yet confirmed
	pending      sentRenewal
}

// asked is what the last renewal promised.
type sentRenewal struct {
	seq         uint64
	sent        time.Time
	maxDeadline time.Time
}

// NewLeases returns the view of a process that owns nothing yet. Process must
// be larger than that of any earlier process of the same entry.
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

// Renewal returns the next renewal, to be sent at now. Load is the share of
// slots in use. Life is how long after now the last request may still run that
// was sent or is sent before the answer to the next renewal.
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

// held returns the executors under a lease that is not over.
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

// Apply takes the answer to the last renewal. It reports whether the set of
// owned executors may have changed. Answers to earlier renewals are dropped.
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

// dropConfirmedReleases drops the releases that the leader has taken.
func (l *Leases) dropConfirmedReleases() {
	for id, epoch := range l.released {
		if o, ok := l.owned[id]; !ok || o.Epoch != epoch {
			delete(l.released, id)
		}
	}
}

// Released gives up an executor to which nothing more is sent and where nothing
// runs. The next renewals tell the leader until it has taken it.
func (l *Leases) Release(id string, epoch uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if o, ok := l.owned[id]; ok && o.Epoch == epoch {
		l.released[id] = epoch
	}
}

// Leave makes the next renewals say that this entry gives up all it owns.
func (l *Leases) Leave() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.leaving = true
}

// Owns reports whether this entry may, at now, send to the executor under epoch
// a request that ends by deadline.
func (l *Leases) Owns(id string, epoch uint64, now, deadline time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	o, ok := l.owned[id]
	if !ok || o.Epoch != epoch || o.Leaving || o.ReleaseRequested || l.released[id] == epoch {
		return false
	}
	return now.Before(l.leaseEnd) && !deadline.After(l.maxDeadline)
}

// Horizon returns the latest deadline that a request sent now may have, and
// until when anything may be sent at all.
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
