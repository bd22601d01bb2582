// Package owner decides which entry process owns which executor. One entry at
// a time sends requests to an executor, so that its slots and connections are
// counted in one place. The leader keeps the Table; each entry keeps its Leases.
//
// An executor goes to another entry only once the former owner has released it,
// or its lease and the deadline of everything that it may have sent are past.
package owner

import "github.com/filbertmast/filbertmast/internal/model"

// Claim names one ownership. Epochs of one executor only rise.
type Grant struct {
	Executor string `cbor:"1,keyasint"`
	Epoch    uint64 `cbor:"2,keyasint"`
}

// Renewal is what an entry tells the leader about the executors that it owns.
type Renewal struct {
	Entry   string  `cbor:"1,keyasint"`
	Address string  `cbor:"2,keyasint"` // where peers reach the entry
	Region  string  `cbor:"3,keyasint"`
	Load    float64 `cbor:"4,keyasint,omitempty"` // share of its slots in use, 0 to 1
	Seq     uint64  `cbor:"5,keyasint"`           // rises with each renewal of one process
	// Process tells the incarnations of one entry apart; a later one is larger.
	Incarnation uint64 `cbor:"6,keyasint"`
	// Known is the Version of the last answer that the entry has applied.
	KnownVersion uint64 `cbor:"7,keyasint,omitempty"`
	// Held is all that the entry owns, sent when the leader asked for it.
	Held    []Grant `cbor:"8,keyasint,omitempty"`
	HasHeld bool    `cbor:"9,keyasint,omitempty"` // Held is set, also when empty
	// Released executors get nothing more from this entry, and nothing runs there.
	Released []Grant `cbor:"10,keyasint,omitempty"`
	// DeadlineMS is how long after this renewal the last request that the entry
	// has sent, or sends before its next one, may still run.
	DeadlineMS int64 `cbor:"11,keyasint,omitempty"`
	Leaving    bool  `cbor:"12,keyasint,omitempty"` // the entry gives up all that it owns
}

// Ownership is one executor that an entry owns.
type Ownership struct {
	Executor model.ExecutorSpec `cbor:"1,keyasint"`
	Epoch    uint64             `cbor:"2,keyasint"`
	Leaving  bool               `cbor:"3,keyasint,omitempty"` // gets nothing new
	// Release asks the owner to send nothing new and to release the executor
	// once nothing runs there.
	ReleaseRequested bool `cbor:"4,keyasint,omitempty"`
}

// Renewed is the leader's answer to a Renewal.
type RenewalResponse struct {
	Seq     uint64 `cbor:"1,keyasint"` // of the renewal that it answers
	LeaseMS int64  `cbor:"2,keyasint"` // counted by the entry from when it sent the renewal
	Version uint64 `cbor:"3,keyasint"`
	// Changed says that Owned is set: all that the entry owns. Otherwise it
	// owns what it knew at Known.
	Changed bool        `cbor:"4,keyasint,omitempty"`
	Owned   []Ownership `cbor:"5,keyasint,omitempty"`
	// WantHeld asks for a renewal with Held, which a new leader needs.
	WantHeld bool `cbor:"6,keyasint,omitempty"`
}

// DirectoryRecord tells routers who owns an executor.
type DirectoryRecord struct {
	Executor string `cbor:"1,keyasint"`
	Service  string `cbor:"2,keyasint"`
	Region   string `cbor:"3,keyasint"`
	Owner    string `cbor:"4,keyasint,omitempty"` // entry; empty while nobody owns it
	Address  string `cbor:"5,keyasint,omitempty"` // of the owner
	Epoch    uint64 `cbor:"6,keyasint,omitempty"`
	Slots    int32  `cbor:"7,keyasint"`
	Leaving  bool   `cbor:"8,keyasint,omitempty"`
}
