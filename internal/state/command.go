package state

import (
	"math"

	"github.com/fxamacker/cbor/v2"

	"github.com/filbertmast/filbertmast/internal/api"
	"github.com/filbertmast/filbertmast/internal/errkind"
	"github.com/filbertmast/filbertmast/internal/journal"
	"github.com/filbertmast/filbertmast/internal/model"
)

// ProposalID identifies a proposal, so that its proposer recognizes the
// committed command.
type ProposalID struct {
	Replica uint64 `cbor:"1,keyasint"`
	Seq     uint64 `cbor:"2,keyasint"`
}

// Command is one entry of the replicated log. Exactly one of the pointers is
// set. The leader sets At, since the state machine has no clock.
type Command struct {
	ID              ProposalID       `cbor:"1,keyasint"`
	At              model.Time       `cbor:"2,keyasint"`
	Declare         *Declare         `cbor:"10,keyasint,omitempty"`
	GrantKey        *GrantKey        `cbor:"11,keyasint,omitempty"`
	WithdrawKey     *WithdrawKey     `cbor:"12,keyasint,omitempty"`
	Submit          *Submit          `cbor:"13,keyasint,omitempty"`
	Cancel          *Cancel          `cbor:"14,keyasint,omitempty"`
	Announce        *Announce        `cbor:"15,keyasint,omitempty"`
	SetMode         *SetMode         `cbor:"16,keyasint,omitempty"`
	MarkWorkersLost *MarkWorkersLost `cbor:"17,keyasint,omitempty"`
	Place           *Place           `cbor:"18,keyasint,omitempty"`
	Stop            *Stop            `cbor:"19,keyasint,omitempty"`
	Fail            *Fail            `cbor:"20,keyasint,omitempty"`
	Refund          *Refund          `cbor:"21,keyasint,omitempty"`
	Report          *Report          `cbor:"22,keyasint,omitempty"`
	JournalStart    *JournalStart    `cbor:"23,keyasint,omitempty"`
	JournalEnd      *JournalEnd      `cbor:"24,keyasint,omitempty"`
	Expire          *Expire          `cbor:"25,keyasint,omitempty"`
	Join            *Join            `cbor:"26,keyasint,omitempty"`
	Leave           *Leave           `cbor:"27,keyasint,omitempty"`
	SetCeilings     *SetCeilings     `cbor:"28,keyasint,omitempty"`

	SubmitWorkflow *SubmitWorkflow `cbor:"29,keyasint,omitempty"`
	CancelWorkflow *CancelWorkflow `cbor:"30,keyasint,omitempty"`
	StartRuns      *StartRuns      `cbor:"31,keyasint,omitempty"`
	SetCapacity    *SetCapacity    `cbor:"32,keyasint,omitempty"`
	SetEvacuation  *SetEvacuation  `cbor:"33,keyasint,omitempty"`
	SetPastUse     *SetPastUse     `cbor:"34,keyasint,omitempty"`
	SetWorkerSpeed *SetWorkerSpeed `cbor:"35,keyasint,omitempty"`
	LoseAttempts   *LoseAttempts   `cbor:"36,keyasint,omitempty"`
}

// Declare replaces the whole configuration if Base is the current version.
type Declare struct {
	Base         uint64             `cbor:"1,keyasint"`
	ApplyID      string             `cbor:"2,keyasint"`
	Declarations model.Declarations `cbor:"3,keyasint"`
	// Revision, if not zero, is the operator's own version and is used instead of
	// Base: the highest revision wins, and a lower or equal one changes nothing.
	Revision uint64 `cbor:"4,keyasint,omitempty"`
	// Document is the configuration as the operator sent it. It is stored so that
	// it can be read back.
	Document []byte `cbor:"5,keyasint,omitempty"`
}

// GrantKey adds one key to the current configuration.
type GrantKey struct {
	Key model.Key `cbor:"1,keyasint"`
}

// WithdrawKey removes one key from the current configuration.
type WithdrawKey struct {
	Digest model.KeyDigest `cbor:"1,keyasint"`
}

// Submit adds a job. A resend with the same team and idempotency key returns
// the first job.
type Submit struct {
	Spec           model.JobSpec `cbor:"1,keyasint"`
	IdempotencyKey string        `cbor:"2,keyasint,omitempty"`
	Digest         [32]byte      `cbor:"3,keyasint"` // of the submitted body
	// Limit is that of the memory of accepted work in bytes. The leader sets it, so that every
	// replica decides alike. Zero: none.
	Limit int64 `cbor:"4,keyasint,omitempty"`
}

// SubmitWorkflow adds a workflow. A resend with the same ID returns the first
// workflow.
type SubmitWorkflow struct {
	Spec  model.WorkflowSpec `cbor:"1,keyasint"`
	Limit int64              `cbor:"2,keyasint,omitempty"` // as in Submit
}

// StartRuns starts runs of recurring workflows that are due.
type StartRuns struct {
	Runs  []DueRun `cbor:"1,keyasint"`
	Limit int64    `cbor:"2,keyasint,omitempty"` // as in Submit
}

// DueRun is one run of a recurring workflow.
type DueRun struct {
	Workflow model.WorkflowID `cbor:"1,keyasint"`
	Run      int32            `cbor:"2,keyasint"`
}

// CancelWorkflow cancels a workflow of the team.
type CancelWorkflow struct {
	Team string           `cbor:"1,keyasint"`
	ID   model.WorkflowID `cbor:"2,keyasint"`
}

// Cancel cancels jobs. Jobs of other teams than Team are ignored; an empty Team
// matches every team.
type Cancel struct {
	Team string        `cbor:"1,keyasint"`
	Jobs []model.JobID `cbor:"2,keyasint"`
}

// Announce registers a worker. An announcing worker runs no task of this cell.
type Announce struct {
	Spec     model.WorkerSpec `cbor:"1,keyasint"`
	Sequence uint64           `cbor:"2,keyasint,omitempty"` // of the heartbeat that announced it; zero: unknown
	// CommonCause lists the jobs that are not likely to have crashed its earlier
	// incarnation, since other workers without a task of them stopped at the same moment.
	CommonCause []model.JobID `cbor:"3,keyasint,omitempty"`
}

// SetCapacity changes the capacity of a worker that keeps its session and its tasks.
type SetCapacity struct {
	Worker   model.WorkerID  `cbor:"1,keyasint"`
	Session  uint64          `cbor:"2,keyasint"` // must be the worker's current session
	Capacity model.Resources `cbor:"3,keyasint"`
	// Sequence is that of the heartbeat that reported the capacity. A lower one than
	// that of the current capacity changes nothing. Zero: unknown.
	Sequence uint64 `cbor:"4,keyasint,omitempty"`
}

// SetMode sets the mode of a worker, which determines whether it gets new tasks.
type SetMode struct {
	Worker model.WorkerID   `cbor:"1,keyasint"`
	Mode   model.WorkerMode `cbor:"2,keyasint"`
	// Session, if not zero, must be the worker's current session.
	Session uint64 `cbor:"3,keyasint,omitempty"`
}

// MarkWorkersLost marks workers as lost whose leases have expired.
type MarkWorkersLost struct {
	Workers []LostWorker `cbor:"1,keyasint"`
}

// LostWorker is a worker and the session whose lease has expired.
type LostWorker struct {
	ID      model.WorkerID `cbor:"1,keyasint"`
	Session uint64         `cbor:"2,keyasint"`
	// Replaced is set if another worker answers at the address, so that this one has ended.
	Replaced bool `cbor:"3,keyasint,omitempty"`
	// CommonCause lists the jobs that are not likely to have crashed it, as in Announce.
	CommonCause []model.JobID `cbor:"4,keyasint,omitempty"`
}

// LoseAttempts ends attempts on a worker whose lease has expired and which is not lost yet,
// because other starts may run on a later incarnation of it.
type LoseAttempts struct {
	Worker   model.WorkerID `cbor:"1,keyasint"`
	Session  uint64         `cbor:"2,keyasint"`
	Attempts []HeldAttempt  `cbor:"3,keyasint,omitempty"`
	// CommonCause is as in LostWorker.
	CommonCause []model.JobID `cbor:"4,keyasint,omitempty"`
	// Heard, without attempts, records that the worker has answered since, so that it has not
	// crashed under attempts that were lost.
	Heard bool `cbor:"5,keyasint,omitempty"`
}

// HeldAttempt is an attempt that holds resources on a worker.
type HeldAttempt struct {
	Task  model.TaskID `cbor:"1,keyasint"`
	Fence model.Fence  `cbor:"2,keyasint"`
}

// Place starts tasks on workers. The placements of a gang must be complete and
// adjacent.
type Place struct {
	Placements []Placement `cbor:"1,keyasint"`
}

// Placement assigns one task to one worker, which reserves Size for it.
type Placement struct {
	Task   model.TaskID    `cbor:"1,keyasint"`
	Worker model.WorkerID  `cbor:"2,keyasint"`
	Size   model.Resources `cbor:"3,keyasint"`
}

// StopCause is the reason for which a task is stopped. It determines the phase
// of the task after the stop.
type StopCause uint8

// The causes of a stop.
const (
	StopNone      StopCause = iota
	StopCancelled           // the task ends as cancelled
	StopPreempted           // the task is pending again
	StopDrained             // the task is pending again
	StopFailed              // the task ends as failed
)

var stopCauseNames = [...]string{"none", "cancelled", "preempted", "drained", "failed"}

// String returns the name of c as the API shows it.
func (c StopCause) String() string {
	if int(c) >= len(stopCauseNames) {
		return "unknown"
	}
	return stopCauseNames[c]
}

// Stop requests that workers stop tasks. A task keeps its resources until the
// worker has confirmed the stop.
type Stop struct {
	Tasks []TaskStop `cbor:"1,keyasint"`
}

// TaskStop is the stop of one task.
type TaskStop struct {
	Task   model.TaskID `cbor:"1,keyasint"`
	Cause  StopCause    `cbor:"2,keyasint"`
	Reason string       `cbor:"3,keyasint,omitempty"`
}

// WholeJob as the value of Fail.Task means every task of the job.
const WholeJob int32 = -1

// Fail ends a job, or one of its tasks, that cannot succeed.
type Fail struct {
	Job    model.JobID `cbor:"1,keyasint"`
	Task   int32       `cbor:"2,keyasint"`
	Reason string      `cbor:"3,keyasint"`
}

// Refund marks jobs whose promised start was missed.
type Refund struct {
	Jobs []model.JobID `cbor:"1,keyasint"`
}

// Report applies the reports of workers on their tasks.
type Report struct {
	Reports []WorkerReport `cbor:"1,keyasint"`
}

// WorkerReport is a batch of reports of one worker session.
type WorkerReport struct {
	Worker  model.WorkerID `cbor:"1,keyasint"`
	Session uint64         `cbor:"2,keyasint"`
	Reports []api.Report   `cbor:"3,keyasint"`
}

// JournalStart records the start of a request that may run at most once.
type JournalStart struct {
	Key      journal.Key `cbor:"1,keyasint"`
	Digest   [32]byte    `cbor:"2,keyasint"`
	Entry    string      `cbor:"3,keyasint"`
	Deadline model.Time  `cbor:"4,keyasint"`
}

// JournalEnd records the answer of a journaled request or, if Answer is nil,
// that the attempt ended without an answer.
type JournalEnd struct {
	Key    journal.Key     `cbor:"1,keyasint"`
	Fence  model.Fence     `cbor:"2,keyasint"`
	Answer *journal.Answer `cbor:"3,keyasint,omitempty"`
	Ran    bool            `cbor:"4,keyasint"` // if Answer is nil: the request may have run
}

// Expire removes records whose retention time has passed, measured by the time
// of the command.
type Expire struct{}

// Join registers an entry process before it gets any grant, so that a new leader
// knows which entry processes may hold grants of an earlier leader.
type Join struct {
	Member Member `cbor:"1,keyasint"`
}

// Leave removes an entry process that can no longer hold a grant.
type Leave struct {
	Name        string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
}

// SetCeilings sets upper bounds of the request permits that teams may have
// outstanding, so that a new leader knows how many permits an earlier leader may
// have granted.
type SetCeilings struct {
	Ceilings []Ceiling `cbor:"1,keyasint"`
}

// Ceiling is the upper bound of one team's outstanding request permits.
type Ceiling struct {
	Team    string `cbor:"1,keyasint"`
	Permits int64  `cbor:"2,keyasint"`
}

// SetWorkerSpeed sets whether the speed of workers is estimated. The value is part of the state,
// so that replicas that restart one by one with another setting compute the same estimates.
type SetWorkerSpeed struct {
	Enabled bool `cbor:"1,keyasint"`
}

// SetPastUse sets the half-life with which the past use of resources is recorded for each
// team; zero: it is not recorded.
type SetPastUse struct {
	HalfLife model.Duration `cbor:"1,keyasint"`
}

// encMode encodes equal commands to equal bytes in every process.
var encMode = func() cbor.EncMode {
	m, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err) // the options are constant
	}
	return m
}()

// decMode decodes whatever encMode encodes: what was written and cannot be read would end
// every replica, also after each restart. The bytes are this program's own and checked by the
// log, so that its limits are those of the decoder.
var decMode = func() cbor.DecMode {
	m, err := cbor.DecOptions{
		MaxArrayElements: math.MaxInt32,
		MaxMapPairs:      math.MaxInt32,
		MaxNestedLevels:  maxNesting,
		UTF8:             cbor.UTF8DecodeInvalid,
	}.DecMode()
	if err != nil {
		panic(err) // the options are constant
	}
	return m
}()

// maxNesting bounds the nesting of a command or a snapshot record.
const maxNesting = 64

// Encode returns the encoding of c for the replicated log. The error is of kind Internal if it
// could not be decoded.
func (c *Command) Encode() ([]byte, error) {
	data, err := encMode.Marshal(c)
	if err == nil {
		err = decMode.Wellformed(data)
	}
	if err != nil {
		return nil, errkind.Wrap(errkind.Internal, err, "encode command")
	}
	return data, nil
}

// Decode decodes a command of the replicated log. The error is of kind Internal.
func Decode(data []byte) (*Command, error) {
	c := &Command{}
	if err := decMode.Unmarshal(data, c); err != nil {
		return nil, errkind.Wrap(errkind.Internal, err, "log entry cannot be decoded as a command")
	}
	return c, nil
}
