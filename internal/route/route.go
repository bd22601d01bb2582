// Package route forwards requests from callers to executors. The Router runs on
// the entry that the caller reached. It acquires a permit, journals a request
// that is not repeatable, and chooses an entry that owns suitable executors.
// The Owner runs on that entry. It queues the request, takes a slot and sends
// the request to the executor.
//
// The package guarantees that an answer is complete and belongs to its request,
// that an error whose kind says "not run" is true, and that a request that is
// not repeatable is sent to an executor at most once.
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
	Keyed      bool   // the caller chose ID, so earlier sends may have run
	Team       string
	Service    string
	Path       string // without a leading slash
	Header     http.Header
	Body       io.Reader // nil for none
	Size       int64     // of Body in bytes, -1 if unknown
	Deadline   time.Time
	Patience   time.Duration // how long the request may wait; the most patient are shed first
	Repeatable bool          // running it twice does no harm
}

// Answer is the answer of an executor. Body ends without an error only if it is
// complete. The caller must close it.
type Answer struct {
	Status int
	Header http.Header
	Body   io.ReadCloser
	Size   int64 // of Body in bytes, -1 if unknown
}

// ForwardHeader precedes the body when the caller's entry forwards a request to
// the owner.
type ForwardHeader struct {
	RequestID  string      `cbor:"1,keyasint"`
	Team       string      `cbor:"2,keyasint"`
	Service    string      `cbor:"3,keyasint"`
	Path       string      `cbor:"4,keyasint,omitempty"`
	Header     [][2]string `cbor:"5,keyasint,omitempty"`
	Size       int64       `cbor:"6,keyasint"`
	DeadlineMS int64       `cbor:"7,keyasint"` // remaining time when the request is sent
	// DeadlineUnixMS is the deadline by the sender's clock. It bounds how much
	// a delay in transit can extend DeadlineMS.
	DeadlineUnixMS int64  `cbor:"8,keyasint"`
	PatienceMS     int64  `cbor:"9,keyasint,omitempty"`
	Repeatable     bool   `cbor:"10,keyasint,omitempty"`
	Origin         string `cbor:"11,keyasint"` // entry that the caller reached
}

// Peers forwards requests to other entries. After an error without a kind, or
// whose kind does not say "not run", the request may have run. Forward returns
// Unreachable only if no byte of the request has left this process. The body of
// the answer must end with an error unless the owner's body ended without one.
type Peers interface {
	Forward(ctx context.Context, owner string, h *ForwardHeader, body io.Reader) (*Answer, error)
}

// Permits grants request permits. *limit.Pool implements it.
type Permits interface {
	Acquire(ctx context.Context, team string, deadline time.Time) (*limit.Permit, error)
}

// JournalClient calls the journal at the leader. After an error the call may or
// may not have taken effect. Every call is idempotent.
type JournalClient interface {
	// Start creates the record. Writer identifies this try: a repeated Start by
	// the same writer gets journal.OutcomeNew again.
	Start(ctx context.Context, key journal.Key, digest [32]byte, writer string, deadline time.Time) (journal.StartResult, error)
	Finish(ctx context.Context, key journal.Key, fence model.Fence, a *journal.Answer) error
	// Abandon ends the record without an answer. ran is false only if no byte
	// has reached an executor.
	Abandon(ctx context.Context, key journal.Key, fence model.Fence, ran bool) error
}
