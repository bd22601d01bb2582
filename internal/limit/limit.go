// Package limit enforces a team's upper limit of concurrent requests and tasks
// across all entry processes. The leader grants permits under leases (Granter);
// an entry process starts a request only with a permit (Pool). The sum of the
// permits that entry processes could be using and of the team's running tasks
// stays within the limit.
package limit

import "github.com/filbertmast/filbertmast/internal/model"

// Demand states how many permits of one team an entry process holds and wants.
// It guarantees that until a grant with this Seq or a later one arrives, the
// entry process runs no more than Held requests, and none that ends later than
// DeadlineMS.
type Demand struct {
	Team  string `cbor:"1,keyasint"`
	Seq   uint64 `cbor:"2,keyasint"`           // increases with each demand of one entry process
	Held  int64  `cbor:"3,keyasint,omitempty"` // permits that the entry process may use now
	InUse int64  `cbor:"4,keyasint,omitempty"` // requests that run
	Want  int64  `cbor:"5,keyasint,omitempty"` // requests that wait for a permit
	Spare int64  `cbor:"6,keyasint,omitempty"` // further permits expected to be needed soon
	// DeadlineMS is how long after the sending of the demand requests of the entry
	// process may still run, in milliseconds. It covers all requests that start
	// before the next demand.
	DeadlineMS int64 `cbor:"7,keyasint,omitempty"`
	Leased     bool  `cbor:"8,keyasint,omitempty"` // Held is under a lease that has not expired
}

// held returns the number of permits that the sender may be using.
func (d *Demand) held() int64 { return max(d.Held, d.InUse, 0) }

// Grant is the number of permits of one team that an entry process may use.
type Grant struct {
	Team    string `cbor:"1,keyasint"`
	Seq     uint64 `cbor:"2,keyasint"` // of the demand that it answers
	Permits int64  `cbor:"3,keyasint,omitempty"`
	LeaseMS int64  `cbor:"4,keyasint"` // from the time at which the entry process sent the demand
	// Contended is set if requests at other entry processes wait for permits of
	// the team.
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
	// leaseEnd is when the holder can start no more requests, including the margin.
	leaseEnd model.Time
	// lastDeadline is when its last request has ended, including the margin.
	lastDeadline model.Time
	lost         bool
	// lastTurn is when the holder last got permits for waiting requests. The holder
	// with the earliest lastTurn is served first.
	lastTurn model.Time
}

// expired reports whether no permit of the holding can be in use at the time now.
func (h *holding) expired(now model.Time) bool {
	return now >= h.leaseEnd && now >= h.lastDeadline
}

// needs returns the number of permits that the holder could use at once.
func (h *holding) needs() int64 {
	if h.lost {
		return 0
	}
	return h.inUse + h.want
}
