// Package owner decides which entry process owns which executor. Only one entry at
// a time sends requests to an executor, so that its slots and connections are
// counted in one place. The leader holds the Table, each entry its Leases.
//
// An executor moves to another entry only after the former owner has released it, or
// after the former owner's lease and the deadlines of all requests that it may have
// sent have passed.
package owner

import "github.com/filbertmast/filbertmast/internal/model"

// Grant identifies one ownership of an executor. The epochs of an executor only rise.
type Grant struct {
	Executor string `cbor:"1,keyasint"`
	Epoch    uint64 `cbor:"2,keyasint"`
}

// Renewal is an entry's request to renew its lease on the executors that it owns.
type Renewal struct {
	Entry   string  `cbor:"1,keyasint"`
	Address string  `cbor:"2,keyasint"` // where peers reach the entry
	Region  string  `cbor:"3,keyasint"`
	Load    float64 `cbor:"4,keyasint,omitempty"` // share of its slots in use, 0 to 1
	Seq     uint64  `cbor:"5,keyasint"`           // rises with each renewal of one process
	// Incarnation identifies the process of the entry; that of a later process is larger.
	Incarnation uint64 `cbor:"6,keyasint"`
	// KnownVersion is the Version of the last response that the entry has applied.
	KnownVersion uint64 `cbor:"7,keyasint,omitempty"`
	// Held is all that the entry owns, sent if the leader has asked for it.
	Held    []Grant `cbor:"8,keyasint,omitempty"`
	HasHeld bool    `cbor:"9,keyasint,omitempty"` // Held is set, also when empty
	// Released are executors that get no more requests from this entry and run none.
	Released []Grant `cbor:"10,keyasint,omitempty"`
	// DeadlineMS is how long after this renewal the last request that the entry
	// has sent, or sends before its next one, may still run.
	DeadlineMS int64 `cbor:"11,keyasint,omitempty"`
	Leaving    bool  `cbor:"12,keyasint,omitempty"` // the entry releases all that it owns
}

// Ownership is one executor that an entry owns.
type Ownership struct {
	Executor model.ExecutorSpec `cbor:"1,keyasint"`
	Epoch    uint64             `cbor:"2,keyasint"`
	Leaving  bool               `cbor:"3,keyasint,omitempty"` // gets no new requests
	// ReleaseRequested asks the owner to send no new requests and to release the
	// executor once no request runs there.
	ReleaseRequested bool `cbor:"4,keyasint,omitempty"`
}

// RenewalResponse is the leader's response to a Renewal.
type RenewalResponse struct {
	Seq     uint64 `cbor:"1,keyasint"` // of the renewal
	LeaseMS int64  `cbor:"2,keyasint"` // length of the lease, from when the entry sent the renewal
	Version uint64 `cbor:"3,keyasint"`
	// Changed reports whether Owned is set, to all that the entry owns. Otherwise the
	// set is unchanged since KnownVersion.
	Changed bool        `cbor:"4,keyasint,omitempty"`
	Owned   []Ownership `cbor:"5,keyasint,omitempty"`
	// WantHeld asks the entry for a renewal with Held, which a new leader needs.
	WantHeld bool `cbor:"6,keyasint,omitempty"`
}

// DirectoryRecord tells a router which entry owns an executor.
type DirectoryRecord struct {
	Executor string `cbor:"1,keyasint"`
	Service  string `cbor:"2,keyasint"`
	Region   string `cbor:"3,keyasint"`
	Owner    string `cbor:"4,keyasint,omitempty"` // entry; empty: no owner
	Address  string `cbor:"5,keyasint,omitempty"` // of the owner
	Epoch    uint64 `cbor:"6,keyasint,omitempty"`
	Slots    int32  `cbor:"7,keyasint"`
	Leaving  bool   `cbor:"8,keyasint,omitempty"`
}
