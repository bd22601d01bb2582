// Package workerclient defines the leader's client for polled workers: the commands
// and polls that it sends, their responses, and the bookkeeping of calls in
// flight. A Client implements the protocol of the workers; the leader decides
// what is sent. The package holds no replicated state.
package workerclient

import (
	"context"
	"errors"
	"time"

	"github.com/filbertmast/filbertmast/internal/model"
)

// Target is one incarnation of a polled worker.
type Target struct {
	Worker      model.WorkerID `cbor:"1,keyasint,omitempty"`
	Address     string         `cbor:"2,keyasint,omitempty"` // IP:port
	Incarnation uint64         `cbor:"3,keyasint,omitempty"`
	Region      string         `cbor:"4,keyasint,omitempty"` // where the worker is; empty: unknown
	Again       bool           `cbor:"-"`                    // the call repeats one that has no response yet
}

// Repeated returns the target for a call that repeats one which has no response yet.
func (t Target) Repeated() Target {
	t.Again = true
	return t
}

// TaskName identifies a task in calls to workers and to the policy service.
type TaskName struct {
	Workflow model.WorkflowID
	Run      int32 // number of the run of a recurring workflow; zero for any other
	Step     int32
	Index    int32
}

// Attempt identifies one attempt to run a task.
type Attempt struct {
	Task   TaskName `cbor:"1,keyasint,omitempty"`
	Number uint32   `cbor:"2,keyasint,omitempty"`
}

// StartCommand starts an attempt on a worker.
type StartCommand struct {
	Attempt    Attempt `cbor:"1,keyasint,omitempty"`
	Payload    string  `cbor:"2,keyasint,omitempty"`
	Fence      uint64  `cbor:"3,keyasint,omitempty"` // rises with the term of the leader and with the incarnation of the worker
	LeaseUntil int64   `cbor:"4,keyasint,omitempty"` // milliseconds on the worker's clock
	Checkpoint string  `cbor:"5,keyasint,omitempty"` // to resume from; empty: start from the beginning
	Permit     string  `cbor:"6,keyasint,omitempty"` // issued by the policy service; empty: none is needed
}

// StopCommand stops an attempt on a worker. A start of the same attempt that
// arrives after it has no effect.
type StopCommand struct {
	Attempt Attempt `cbor:"1,keyasint,omitempty"`
	Fence   uint64  `cbor:"2,keyasint,omitempty"`
}

// PollRequest renews a worker's lease and asks which attempts run and which have
// ended.
type PollRequest struct {
	Fence      uint64        `cbor:"1,keyasint,omitempty"`
	LeaseUntil int64         `cbor:"2,keyasint,omitempty"` // milliseconds on the worker's clock; zero renews nothing
	Cursor     uint64        `cbor:"3,keyasint,omitempty"` // acknowledges the ended attempts up to this number: the worker may forget them
	Wait       time.Duration `cbor:"4,keyasint,omitempty"` // how long the worker may wait for an attempt to end before it responds
}

// PollResponse is the response to a PollRequest.
type PollResponse struct {
	Clock       int64           `cbor:"1,keyasint,omitempty"` // milliseconds on the worker's clock
	Incarnation uint64          `cbor:"2,keyasint,omitempty"`
	Active      []ActiveAttempt `cbor:"3,keyasint,omitempty"`
	Ended       []EndedAttempt  `cbor:"4,keyasint,omitempty"`
	MoreEnds    bool            `cbor:"5,keyasint,omitempty"` // the lists are incomplete: further ended attempts are listed once these are acknowledged
	Unreadable  UnreadableRows  `cbor:"6,keyasint,omitempty"`
	// ConnectionEnded is set if the connection of the poll ended and it was sent again.
	ConnectionEnded bool `cbor:"7,keyasint,omitempty"`
	// LongCheckpoints is the number of checkpoints that are too long to be kept. Their rows
	// are listed without them.
	LongCheckpoints int `cbor:"8,keyasint,omitempty"`
}

// UnreadableRows are the rows of a response that cannot be read. They are in no list.
type UnreadableRows struct {
	Active     int      `cbor:"1,keyasint,omitempty"` // number of rows about active attempts
	Ended      int      `cbor:"2,keyasint,omitempty"` // number of rows about ended attempts
	EndNumbers []uint64 `cbor:"3,keyasint,omitempty"` // of those rows about ended attempts of which no more than the number can be read
	First      error    `cbor:"-"`                    // why the first row cannot be read; nil if every row can be
}

// Record records why a row cannot be read.
func (u *UnreadableRows) Record(err error) {
	if u.First == nil {
		u.First = err
	}
}

// ActiveAttempt is an attempt that runs on a worker.
type ActiveAttempt struct {
	Attempt    Attempt `cbor:"1,keyasint,omitempty"`
	Checkpoint string  `cbor:"2,keyasint,omitempty"`
}

// EndedAttempt is an attempt that has ended on a worker.
type EndedAttempt struct {
	Number     uint64  `cbor:"1,keyasint,omitempty"` // counts the ended attempts of one incarnation of the worker
	Attempt    Attempt `cbor:"2,keyasint,omitempty"`
	Outcome    Outcome `cbor:"3,keyasint,omitempty"`
	Checkpoint string  `cbor:"4,keyasint,omitempty"`
}

// Outcome is how an attempt ended.
type Outcome uint8

// The outcomes of an attempt.
const (
	Succeeded Outcome = iota
	Failed
	Stopped
	Lapsed // the lease expired
	Broken // another member of the gang ended, or did not start in time
)

var outcomeNames = [...]string{"succeeded", "failed", "stopped", "lapsed", "broken"}

// String returns the name of o as logs show it.
func (o Outcome) String() string {
	if int(o) >= len(outcomeNames) {
		return "unknown"
	}
	return outcomeNames[o]
}

// Verdict is the result of a command to a worker.
type Verdict uint8

// The verdicts.
const (
	Accepted         Verdict = iota
	Refused                  // not executed, and will not be
	Unavailable              // not executed, and will not be: the worker takes no such start at present
	Fenced                   // the worker has seen the fence of a later leader
	Outdated                 // the attempt was stopped or has ended on the worker
	NoPermit                 // not executed: the permit has expired
	OtherIncarnation         // not executed: the worker has restarted
	Unknown                  // no response: the command may have been executed or may still be
)

var verdictNames = [...]string{"accepted", "refused", "unavailable", "fenced", "outdated", "no_permit", "other_life", "unknown"}

// String returns the name of v as logs and metrics show it.
func (v Verdict) String() string {
	if int(v) >= len(verdictNames) {
		return "unknown"
	}
	return verdictNames[v]
}

// Response is the result of a command, with the worker's clock. Clock is zero if
// the worker did not report it.
type Response struct {
	Verdict Verdict `cbor:"1,keyasint,omitempty"`
	Clock   int64   `cbor:"2,keyasint,omitempty"` // milliseconds
	Reason  string  `cbor:"3,keyasint,omitempty"`
	NotSent bool    `cbor:"4,keyasint,omitempty"` // the verdict is Unknown and the worker got nothing of the command
	Broken  bool    `cbor:"5,keyasint,omitempty"` // the verdict is Unknown and the connection ended after the command was sent
}

// Client implements the protocol of the workers. Its methods are safe for
// concurrent use and return when ctx ends. A command is executed by no other incarnation
// than that of its target, however late it is sent, unless the worker closes its
// connections after each response.
type Client interface {
	Start(ctx context.Context, to Target, cmd *StartCommand) Response
	Stop(ctx context.Context, to Target, cmd *StopCommand) Response
	// Poll returns an error if the worker sent no list of attempts. The error is
	// ErrOtherIncarnation if another incarnation of the worker, or another worker,
	// answers at the address, and ErrFenced if the worker has seen a higher fence.
	Poll(ctx context.Context, to Target, req *PollRequest) (*PollResponse, error)
}

// ErrOtherIncarnation reports that the incarnation of the worker that was called
// has ended.
var ErrOtherIncarnation = errors.New("another incarnation answers at the worker's address")

// ErrConnectionEnded reports that the connection of a poll ended before the response, or
// that none was accepted.
var ErrConnectionEnded = errors.New("the connection to the worker ended, or it accepts none")

// ErrFenced reports that a worker refused a poll, since it has seen a higher fence.
var ErrFenced = errors.New("the worker has seen a higher fence")

// PolicyClient asks the policy service which workers may run the tasks of a step.
type PolicyClient interface {
	// Advise returns a permit for each of the workers that may run them, and how
	// long the permits are valid.
	Advise(ctx context.Context, step TaskName, workers []model.WorkerID) (*Advice, error)
}

// Advice is the response of the policy service.
type Advice struct {
	Permits []Permit       `cbor:"1,keyasint,omitempty"`
	Valid   model.Duration `cbor:"2,keyasint"`
	// Unreadable is the number of permits that could not be read. They may be for any of
	// the workers that the query named.
	Unreadable int `cbor:"3,keyasint,omitempty"`
}

// Permit allows the tasks of a step to start on a worker.
type Permit struct {
	Worker model.WorkerID `cbor:"1,keyasint"`
	Token  string         `cbor:"2,keyasint"`
}
