package state

import (
	"github.com/fxamacker/cbor/v2"

	"github.com/filbertmast/filbertmast/internal/api"
	"github.com/filbertmast/filbertmast/internal/errkind"
	"github.com/filbertmast/filbertmast/internal/journal"
	"github.com/filbertmast/filbertmast/internal/model"
)

// ProposalID ties a committed command to the call that proposed it.
type ProposalID struct {
	Replica uint64 `cbor:"1,keyasint"`
	Seq     uint64 `cbor:"2,keyasint"`
}

// Command is one entry of the replicated log. Exactly one of the pointers is
// set. At is stamped by the leader; the machine has no clock of its own.
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
}

// Declare replaces the whole configuration if Base is the version in force.
type Declare struct {
	Base         uint64             `cbor:"1,keyasint"`
	ApplyID      string             `cbor:"2,keyasint"`
	Declarations model.Declarations `cbor:"3,keyasint"`
	// Revision, where not zero, is the operator's own version, and takes the place
	// of Base: the highest revision wins, and a lower or equal one changes nothing.
	Revision uint64 `cbor:"4,keyasint,omitempty"`
	// Document is what the operator sent, kept to be read back.
	Document []byte `cbor:"5,keyasint,omitempty"`
}

// GrantKey adds one key to the configuration in force.
type GrantKey struct {
	Key model.Key `cbor:"1,keyasint"`
}

// WithdrawKey removes one key from the configuration in force.
type WithdrawKey struct {
	Digest model.KeyDigest `cbor:"1,keyasint"`
}

// Submit adds a job. A resend under the same team and idempotency key returns
// the first job.
type Submit struct {
	Spec           model.JobSpec `cbor:"1,keyasint"`
	IdempotencyKey string        `cbor:"2,keyasint,omitempty"`
	Digest         [32]byte      `cbor:"3,keyasint"` // of the submitted body
}

// SubmitWorkflow adds a workflow. A resend under the same ID returns the first.
type SubmitWorkflow struct {
	Spec model.WorkflowSpec `cbor:"1,keyasint"`
}

// StartRuns begins the runs of workflows that have come due.
type StartRuns struct {
	Runs []DueRun `cbor:"1,keyasint"`
}

// DueRun is one run of a workflow that runs at set times.
type DueRun struct {
	Workflow model.WorkflowID `cbor:"1,keyasint"`
	Run      int32            `cbor:"2,keyasint"`
}

// CancelWorkflow ends a workflow of the team.
type CancelWorkflow struct {
	Team string           `cbor:"1,keyasint"`
	ID   model.WorkflowID `cbor:"2,keyasint"`
}

// Cancel ends jobs. Jobs of other teams than Team are left alone.
type Cancel struct {
	Team string        `cbor:"1,keyasint"`
	Jobs []model.JobID `cbor:"2,keyasint"`
}

// Announce registers a worker, which thereby says that nothing of ours runs on it.
type Announce struct {
	Spec model.WorkerSpec `cbor:"1,keyasint"`
}

// SetMode changes what a worker may be given.
type SetMode struct {
	Worker model.WorkerID   `cbor:"1,keyasint"`
	Mode   model.WorkerMode `cbor:"2,keyasint"`
	// Session, where not zero, must be the worker's current one.
	Session uint64 `cbor:"3,keyasint,omitempty"`
}

// MarkWorkersLost declares workers lost whose leases have expired.
type MarkWorkersLost struct {
	Workers []LostWorker `cbor:"1,keyasint"`
}

// LostWorker is a worker with the session whose lease has expired.
type LostWorker struct {
	ID      model.WorkerID `cbor:"1,keyasint"`
	Session uint64         `cbor:"2,keyasint"`
}

// Place starts tasks on workers. The placements of a gang come whole.
type Place struct {
	Placements []Placement `cbor:"1,keyasint"`
}

// Placement puts one task on one worker with the reservation Size.
type Placement struct {
	Task   model.TaskID    `cbor:"1,keyasint"`
	Worker model.WorkerID  `cbor:"2,keyasint"`
	Size   model.Resources `cbor:"3,keyasint"`
}

// StopCause says why a held task is stopped, and so what becomes of it after.
type StopCause uint8

// The causes of a stop.
const (
	StopNone      StopCause = iota
	StopCancelled           // the task ends as cancelled
	StopPreempted           // the task waits again
	StopDrained             // the task waits again
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

// Stop tells workers to stop tasks. A task keeps its resources until the
// worker has confirmed.
type Stop struct {
	Tasks []TaskStop `cbor:"1,keyasint"`
}

// TaskStop is the stop of one task.
type TaskStop struct {
	Task   model.TaskID `cbor:"1,keyasint"`
	Cause  StopCause    `cbor:"2,keyasint"`
	Reason string       `cbor:"3,keyasint,omitempty"`
}

// WholeJob in Fail.Task stands for every task of the job.
const WholeJob int32 = -1

// Fail ends a job, or one task of it, that cannot succeed.
type Fail struct {
	Job    model.JobID `cbor:"1,keyasint"`
	Task   int32       `cbor:"2,keyasint"`
	Reason string      `cbor:"3,keyasint"`
}

// Refund marks jobs whose promised start was missed.
type Refund struct {
	Jobs []model.JobID `cbor:"1,keyasint"`
}

// Report takes in what workers said of their tasks.
type Report struct {
	Reports []WorkerReport `cbor:"1,keyasint"`
}

// WorkerReport is a batch of reports under one worker session.
type WorkerReport struct {
	Worker  model.WorkerID `cbor:"1,keyasint"`
	Session uint64         `cbor:"2,keyasint"`
	Reports []api.Report   `cbor:"3,keyasint"`
}

// JournalStart records the start of a request that must run at most once.
type JournalStart struct {
	Key      journal.Key `cbor:"1,keyasint"`
	Digest   [32]byte    `cbor:"2,keyasint"`
	Entry    string      `cbor:"3,keyasint"`
	Deadline model.Time  `cbor:"4,keyasint"`
}

// JournalEnd records the answer of a journaled request, or with Answer nil
// that the attempt ended without one.
type JournalEnd struct {
	Key    journal.Key     `cbor:"1,keyasint"`
	Fence  model.Fence     `cbor:"2,keyasint"`
	Answer *journal.Answer `cbor:"3,keyasint,omitempty"`
	Ran    bool            `cbor:"4,keyasint"` // with Answer nil: the request may have run
}

// Expire drops what has been kept long enough, by the command's own time.
type Expire struct{}

// Join registers an entry process before it is granted anything, so that a new
// leader knows which entries may hold grants of an earlier one.
type Join struct {
	Member Member `cbor:"1,keyasint"`
}

// Leave forgets an entry process that can hold no grant any more.
type Leave struct {
	Name        string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
}

// SetCeilings bounds the request permits that teams may have outstanding, so
// that a new leader knows how much an earlier one may have granted.
type SetCeilings struct {
	Ceilings []Ceiling `cbor:"1,keyasint"`
}

// Ceiling is the bound of one team's request permits.
type Ceiling struct {
	Team    string `cbor:"1,keyasint"`
	Permits int64  `cbor:"2,keyasint"`
}

// encMode writes the same bytes for the same command on every process.
var encMode = func() cbor.EncMode {
	m, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err) // the options are constant
	}
	return m
}()

// decMode bounds what a log entry may hold.
var decMode = func() cbor.DecMode {
	m, err := cbor.DecOptions{MaxArrayElements: maxElements, MaxMapPairs: maxElements}.DecMode()
	if err != nil {
		panic(err) // the options are constant
	}
	return m
}()

// maxElements bounds the elements of one array or map in an encoded command or snapshot record.
const maxElements = 1 << 22

// Encode returns the bytes of c for the log.
func (c *Command) Encode() ([]byte, error) {
	return encMode.Marshal(c)
}

// Decode reads a command from the log.
func Decode(data []byte) (*Command, error) {
	c := &Command{}
	if err := decMode.Unmarshal(data, c); err != nil {
		return nil, errkind.Wrap(errkind.Internal, err, "log entry is not a command")
	}
	return c, nil
}
