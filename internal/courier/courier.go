// Package courier carries the leader's orders to workers that are called, and
// brings back what they tell. A Caller speaks the protocol of the workers; the
// leader decides what is sent. The package holds no state of the cell.
package courier

import (
	"context"
	"errors"
	"time"

	"github.com/filbertmast/filbertmast/internal/model"
)

// Target is one life of a worker that takes orders by call.
type Target struct {
	Worker      model.WorkerID
	Address     string // IP:port
	Incarnation uint64
}

// TaskName names a task towards a worker.
type TaskName struct {
	Workflow model.WorkflowID
	Run      int32 // of a workflow that runs at set times; else zero
	Step     int32
	Index    int32
}

// Run is one attempt at a task.
type Run struct {
	Task    TaskName
	Attempt uint32
}

// Start tells a worker to start an attempt.
type Start struct {
	Run        Run
	Payload    string
	Fence      uint64 // term of the leader
	LeaseUntil int64  // milliseconds on the worker's clock
	Checkpoint string // to go on from; empty: from the beginning
	Permit     string // of the policy service; empty: none is needed
}

// Stop tells a worker to stop an attempt, which also keeps a start that is
// still on its way from taking effect.
type Stop struct {
	Run   Run
	Fence uint64
}

// Look renews a worker's lease and asks what runs and what has ended.
type Look struct {
	Fence      uint64
	LeaseUntil int64         // milliseconds on the worker's clock; zero renews nothing
	Cursor     uint64        // ends up to it are committed and may be forgotten
	Wait       time.Duration // for an end, before the worker answers
}

// Seen is the answer to Look.
type Seen struct {
	Clock       int64 // milliseconds on the worker's clock
	Incarnation uint64
	Active      []Active
	Ended       []Ended
}

// Active is an attempt that a worker runs.
type Active struct {
	Run        Run
	Checkpoint string
}

// Ended is an attempt that has ended on a worker.
type Ended struct {
	Number     uint64 // counts the ends of one life of the worker
	Run        Run
	How        How
	Checkpoint string
}

// How says how an attempt ended.
type How uint8

// The ends of an attempt.
const (
	Succeeded How = iota
	Failed
	Stopped
	Lapsed // the lease ended
	Broken // another member of the gang ended, or did not come in time
)

var howNames = [...]string{"succeeded", "failed", "stopped", "lapsed", "broken"}

// String returns the name of h as logs show it.
func (h How) String() string {
	if int(h) >= len(howNames) {
		return "unknown"
	}
	return howNames[h]
}

// Verdict is what a worker said to an order.
type Verdict uint8

// The verdicts.
const (
	Accepted  Verdict = iota
	Refused           // not carried out, and will not be
	Fenced            // a later leader has been there
	Outdated          // the attempt was stopped or has ended there
	NoPermit          // not carried out: the permit has ended
	OtherLife         // not carried out: the worker has started anew
	Unknown           // no answer: it may be carried out, also later
)

var verdictNames = [...]string{"accepted", "refused", "fenced", "outdated", "no_permit", "other_life", "unknown"}

// String returns the name of v as logs and metrics show it.
func (v Verdict) String() string {
	if int(v) >= len(verdictNames) {
		return "unknown"
	}
	return verdictNames[v]
}

// Answer is a verdict with the worker's clock, which is zero where it told none.
type Answer struct {
	Verdict Verdict
	Clock   int64 // milliseconds
	Reason  string
}

// Caller speaks the protocol of the workers. Its methods may be called from any
// goroutine and return once ctx ends.
type Caller interface {
	Start(ctx context.Context, to Target, o *Start) Answer
	Stop(ctx context.Context, to Target, o *Stop) Answer
	// Look returns an error where the worker gave no list: ErrOtherLife where
	// another life of it, or another worker, answers at the address.
	Look(ctx context.Context, to Target, o *Look) (*Seen, error)
}

// ErrOtherLife tells that the life of a worker which was called is over.
var ErrOtherLife = errors.New("courier: another life answers at the worker's address")

// Advisor asks the policy service which workers may run the tasks of a step.
type Advisor interface {
	// Advise returns a permit for each of the workers that may, and how long the
	// permits hold.
	Advise(ctx context.Context, step TaskName, workers []model.WorkerID) (*Advice, error)
}

// Advice is the answer of the policy service.
type Advice struct {
	Permits []Permit       `cbor:"1,keyasint,omitempty"`
	Valid   model.Duration `cbor:"2,keyasint"`
}

// Permit allows the tasks of a step to start on a worker.
type Permit struct {
	Worker model.WorkerID `cbor:"1,keyasint"`
	Token  string         `cbor:"2,keyasint"`
}
