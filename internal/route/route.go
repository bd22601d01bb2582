// Package route carries requests from callers to executors. The Router, on the
// entry that the caller has reached, takes a permit, journals a request that is
// not repeatable and picks the entry that owns suitable executors. The Owner,
// on that entry, queues the request, takes a slot and sends it.
//
// The package promises that an answer is whole and belongs to its request, that
// an error whose kind says "not run" is true, and that a request which is not
// repeatable is sent to an executor at most once.
package route

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/filbertmast/filbertmast/internal/journal"
	"github.com/filbertmast/filbertmast/internal/limit"
	"github.com/filbertmast/filbertmast/internal/model"
)

// Request is one request of a caller.
type Request struct {
	ID         string // unique within the team
	Keyed      bool   // the caller chose ID, so that earlier sends may have run
	Team       string
	Service    string
	Path       string // without a leading slash
	Header     http.Header
	Body       io.Reader // nil for none
	Size       int64     // of Body in bytes, -1 when unknown
	Deadline   time.Time
	Patience   time.Duration // how long the request may wait; the most patient are shed first
	Repeatable bool          // running it twice does no harm
}

// Answer is what an executor answered. Body ends without an error only when it
// is whole. It must be closed.
type Answer struct {
	Status int
	Header http.Header
	Body   io.ReadCloser
	Size   int64 // of Body in bytes, -1 when unknown
}

// ForwardHeader goes before the body from the entry of the caller to the owner.
type ForwardHeader struct {
	RequestID  string      `cbor:"1,keyasint"`
	Team       string      `cbor:"2,keyasint"`
	Service    string      `cbor:"3,keyasint"`
	Path       string      `cbor:"4,keyasint,omitempty"`
	Header     [][2]string `cbor:"5,keyasint,omitempty"`
	Size       int64       `cbor:"6,keyasint"`
	DeadlineMS int64       `cbor:"7,keyasint"` // from the send
	// DeadlineUnixMS is the deadline by the sender's clock. It bounds what a
	// delay on the way can add to DeadlineMS.
	DeadlineUnixMS int64  `cbor:"8,keyasint"`
	PatienceMS     int64  `cbor:"9,keyasint,omitempty"`
	Repeatable     bool   `cbor:"10,keyasint,omitempty"`
	Origin         string `cbor:"11,keyasint"` // entry that the caller reached
}

// Peers carries requests to other entries. An error without a kind, and any
// error whose kind does not say "not run", counts as possibly run. Forward
// returns Unreachable only if no byte of the request has left this process.
// The body of the answer must end with an error unless the owner's body ended
// without one.
type Peers interface {
	Forward(ctx context.Context, owner string, h *ForwardHeader, body io.Reader) (*Answer, error)
}

// Permits hands out request permits. *limit.Pool implements it.
type Permits interface {
	Acquire(ctx context.Context, team string, deadline time.Time) (*limit.Permit, error)
}

// JournalClient reaches the journal at the leader. An error leaves open whether
// the call took effect; every call is idempotent.
type JournalClient interface {
	// Start starts the record. Writer names this one try: a repeated Start by
	// the same writer gets journal.OutcomeNew again.
	Start(ctx context.Context, key journal.Key, digest [32]byte, writer string, deadline time.Time) (journal.StartResult, error)
	Finish(ctx context.Context, key journal.Key, fence model.Fence, a *journal.Answer) error
	// Abandon ends the record without an answer; ran is false only when no byte
	// has reached a target.
	Abandon(ctx context.Context, key journal.Key, fence model.Fence, ran bool) error
}
