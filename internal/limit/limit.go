// Package limit holds a team's requests to its upper limit across all entry
// processes. The leader hands out permits under leases (Granter); each entry
// lets a request go only with a permit (Pool). The sum of the permits that any
// entry could be using, and of the team's running tasks, stays within the limit.
package limit

import "github.com/filbertmast/filbertmast/internal/model"

// Demand is what one entry holds and wants of one team's permits. It promises
// that until a grant with this Seq or a later one arrives, the entry lets no
// more than Held requests run, none with a deadline later than DeadlineMS.
type Demand struct {
	Team  string `cbor:"1,keyasint"`
	Seq   uint64 `cbor:"2,keyasint"`           // rises with each ask of one entry
	Held  int64  `cbor:"3,keyasint,omitempty"` // permits that the entry may use now
	InUse int64  `cbor:"4,keyasint,omitempty"` // requests that run
	Want  int64  `cbor:"5,keyasint,omitempty"` // requests that wait for a permit
	Spare int64  `cbor:"6,keyasint,omitempty"` // further permits that the entry expects to need soon
	// DeadlineMS is how long after the ask the last of the entry's requests may
	// still run, in milliseconds. It covers all that start until the next ask.
	DeadlineMS int64 `cbor:"7,keyasint,omitempty"`
	Leased     bool  `cbor:"8,keyasint,omitempty"` // Held is under a lease that is not over
}

// held returns the permits that the demand speaks for.
func (d *Demand) held() int64 { return max(d.Held, d.InUse, 0) }

// Grant is the number of permits that an entry may use.
type Grant struct {
	Team    string `cbor:"1,keyasint"`
	Seq     uint64 `cbor:"2,keyasint"` // of the demand that it answers
	Permits int64  `cbor:"3,keyasint,omitempty"`
	LeaseMS int64  `cbor:"4,keyasint"` // counted by the entry from when it sent the ask
	// Contended says that requests wait for the team's permits elsewhere.
	Contended bool `cbor:"5,keyasint,omitempty"`
}

// holder is one incarnation of one entry process.
type holder struct {
	entry       string
	incarnation uint64
}

// holding is what the leader knows of one holder's permits of one team.
type holding struct {
	seq     uint64
	counted int64 // upper bound of what the holder may be using
	inUse   int64
	want    int64
	spare   int64
	// leaseEnd is when the holder can start nothing more, margin included.
	leaseEnd model.Time
	// lastEnd is when its last request is surely over.
	lastDeadline model.Time
	lost         bool
	// turn is when the holder last got a permit under contention; the holder
	// with the oldest turn is served first.
	lastTurn model.Time
}

// over reports whether nothing of the holding can be in use at now.
func (h *holding) expired(now model.Time) bool {
	return now >= h.leaseEnd && now >= h.lastDeadline
}

// needs returns the permits that the holder could put to use at once.
func (h *holding) needs() int64 {
	if h.lost {
		return 0
	}
	return h.inUse + h.want
}
