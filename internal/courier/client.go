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
type Attempt struct {
	Task   TaskName
	Number uint32
}

// Start tells a worker to start an attempt.
type StartCommand struct {
	Attempt    Attempt
	Payload    string
	Fence      uint64 // term of the leader
	LeaseUntil int64  // milliseconds on the worker's clock
	Checkpoint string // to go on from; empty: from the beginning
	Permit     string // of the policy service; empty: none is needed
}

// Stop tells a worker to stop an attempt, which also keeps a start that is
// still on its way from taking effect.
type StopCommand struct {
	Attempt Attempt
	Fence   uint64
}

// Look renews a worker's lease and asks what runs and what has ended.
type PollRequest struct {
	Fence      uint64
	LeaseUntil int64         // milliseconds on the worker's clock; zero renews nothing
	Cursor     uint64        // ends up to it are committed and may be forgotten
	Wait       time.Duration // for an end, before the worker answers
}

// Seen is the answer to Look.
type PollResponse struct {
	Clock       int64 // milliseconds on the worker's clock
	Incarnation uint64
	Active      []ActiveAttempt
	Ended       []EndedAttempt
}

// Active is an attempt that a worker runs.
type ActiveAttempt struct {
	Attempt    Attempt
	Checkpoint string
}

// Ended is an attempt that has ended on a worker.
type EndedAttempt struct {
	Number     uint64 // counts the ends of one life of the worker
	Attempt    Attempt
	Outcome    Outcome
	Checkpoint string
}

// How says how an attempt ended.
type Outcome uint8

// The ends of an attempt.
const (
	Succeeded Outcome = iota
	Failed
	Stopped
	Lapsed // the lease ended
	Broken // another member of the gang ended, or did not come in time
)

var outcomeNames = [...]string{"succeeded", "failed", "stopped", "lapsed", "broken"}

// String returns the name of h as logs show it.
func (o Outcome) String() string {
	if int(o) >= len(outcomeNames) {
		return "unknown"
	}
	return outcomeNames[o]
}

// Verdict is what a worker said to an order.
type Verdict uint8

// The verdicts.
const (
	Accepted         Verdict = iota
	Refused                  // not carried out, and will not be
	Fenced                   // a later leader has been there
	Outdated                 // the attempt was stopped or has ended there
	NoPermit                 // not carried out: the permit has ended
	OtherIncarnation         // not carried out: the worker has started anew
	Unknown                  // no answer: it may be carried out, also later
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
type Response struct {
	Verdict Verdict
	Clock   int64 // milliseconds
	Reason  string
}

// Caller speaks the protocol of the workers. Its methods may be called from any
// goroutine and return once ctx ends.
type Client interface {
	Start(ctx context.Context, to Target, cmd *StartCommand) Response
	Stop(ctx context.Context, to Target, cmd *StopCommand) Response
	// Look returns an error where the worker gave no list: ErrOtherIncarnation where
	// another life of it, or another worker, answers at the address.
	Poll(ctx context.Context, to Target, req *PollRequest) (*PollResponse, error)
}

// ErrOtherIncarnation tells that the life of a worker which was called is over.
var ErrOtherIncarnation = errors.New("courier: another life answers at the worker's address")

// Advisor asks the policy service which workers may run the tasks of a step.
type PolicyClient interface {
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
