// Package api defines the JSON bodies and header names of the HTTP API. The entry
// process, the command line and the stand-ins share it.
package api

import (
	"github.com/filbertmast/filbertmast/internal/model"
)

// Headers of the HTTP API.
const (
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderRepeatable     = "Filbertmast-Repeatable" // "false" marks a request that must run at most once
	HeaderDeadline       = "Filbertmast-Deadline"   // Go duration from receipt
	HeaderPatience       = "Filbertmast-Patience"   // Go duration; requests with more patience are shed first
	HeaderRequestID      = "Filbertmast-Request-Id" // set on every response and passed to executors
	HeaderEpoch          = "Filbertmast-Epoch"      // passed to executors: the owner's lease epoch
	HeaderRefused        = "Filbertmast-Refused"    // set by an executor on a 503 that proves that it ran nothing
)

// JobView is the state of one job.
type JobView struct {
	ID       model.JobID   `json:"id"`
	Spec     model.JobSpec `json:"spec"`
	Phase    string        `json:"phase"` // waiting, running, succeeded, failed, cancelled
	Counts   TaskCounts    `json:"counts"`
	Reason   string        `json:"reason,omitempty"`
	Why      []WhyNot      `json:"why,omitempty"` // reasons why tasks are waiting, with ?why=true
	Tasks    []TaskView    `json:"tasks,omitempty"`
	Price    int64         `json:"price_micro_units"`          // price of one core-second, fixed at submission
	Charged  int64         `json:"charged_micro_units"`        // charges minus refunds so far
	Version  uint64        `json:"version"`                    // log index of the last change
	Existing bool          `json:"existing,omitempty"`         // the submission was repeated
	Deadline model.Time    `json:"start_by_unix_ms,omitempty"` // submission time plus patience
	Created  model.Time    `json:"submitted_unix_ms,omitempty"`
}

// TaskCounts counts the tasks of a job by phase.
type TaskCounts struct {
	Pending   int32 `json:"pending"`
	Starting  int32 `json:"starting"`
	Running   int32 `json:"running"`
	Stopping  int32 `json:"stopping"`
	Succeeded int32 `json:"succeeded"`
	Failed    int32 `json:"failed"`
	Cancelled int32 `json:"cancelled"`
}

// TaskView is the state of one task.
type TaskView struct {
	Index    int32          `json:"index"`
	Phase    string         `json:"phase"`
	Worker   model.WorkerID `json:"worker,omitempty"`
	Fence    model.Fence    `json:"fence,omitzero"`
	Restarts int32          `json:"restarts,omitempty"`
	Reason   string         `json:"reason,omitempty"`
}

// WhyNot is one reason why tasks are waiting.
type WhyNot struct {
	Reason string `json:"reason"` // share, limit, selector, size, reservation, permit, refused, renewal, gang, queue, backoff, starting, stopping
	Count  int64  `json:"count"`  // workers that are ruled out, tasks over the limit or without room, or attempts that are not confirmed
	Detail string `json:"detail,omitempty"`
}

// Quote is the response to a submission with ?dry_run=true.
type Quote struct {
	Price     int64  `json:"price_micro_units"`     // of one core-second
	Estimated int64  `json:"estimated_micro_units"` // of the whole job at its declared run time
	Queue     string `json:"queue"`
	Team      string `json:"team"` // the team charged
}

// AnnounceAnswer is the response to POST /v1/workers.
type AnnounceAnswer struct {
	Session  uint64         `json:"session" cbor:"1,keyasint"`  // sent with every later call of this session
	LeaseMS  int64          `json:"lease_ms" cbor:"2,keyasint"` // counted from the time at which the worker sent the call
	Commands []Command      `json:"commands,omitempty" cbor:"3,keyasint,omitempty"`
	Entries  []EntryAddress `json:"entries,omitempty" cbor:"4,keyasint,omitempty"` // fallback addresses
}

// EntryAddress is the address of one entry process for workers and callers.
type EntryAddress struct {
	Address       string `json:"address" cbor:"1,keyasint"`
	FailureDomain string `json:"failure_domain" cbor:"2,keyasint"`
}

// WorkflowView is the response to calls about one workflow: POST /v1/workflows,
// GET and DELETE /v1/workflows/{id}.
type WorkflowView struct {
	ID       model.WorkflowID `json:"id"`
	Phase    string           `json:"phase"`              // waiting, running, succeeded, failed or cancelled
	Existing bool             `json:"existing,omitempty"` // the submission or the cancellation was repeated
}

// Heartbeat renews a worker's lease: POST /v1/workers/{id}/heartbeat.
type Heartbeat struct {
	Session uint64 `json:"session" cbor:"1,keyasint"`
	Leaving bool   `json:"leaving,omitempty" cbor:"2,keyasint,omitempty"` // the worker accepts no new tasks and ends its work
	// Usage is the observed resource usage of tasks since the last heartbeat.
	Usage []TaskUsage `json:"usage,omitempty" cbor:"3,keyasint,omitempty"`
}

// TaskUsage is the observed resource usage of one running task. It lags behind.
type TaskUsage struct {
	Task  model.TaskID    `json:"task" cbor:"1,keyasint"`
	Fence model.Fence     `json:"fence" cbor:"2,keyasint"`
	Used  model.Resources `json:"used" cbor:"3,keyasint"`
}

// HeartbeatAnswer is the response to a heartbeat, with the renewed lease.
type HeartbeatAnswer struct {
	LeaseMS int64 `json:"lease_ms" cbor:"1,keyasint"`
}

// CommandOp is the operation that a command requests.
type CommandOp string

// Operations of commands to a worker.
const (
	CommandStart      CommandOp = "start"
	CommandStop       CommandOp = "stop"
	CommandCheckpoint CommandOp = "checkpoint" // save a checkpoint, then stop
	CommandThrottle   CommandOp = "throttle"
)

// Command is one command to a worker. A worker ignores a command whose fence is
// older than one that it has seen for the task. Commands are idempotent.
type Command struct {
	Op      CommandOp       `json:"op" cbor:"1,keyasint"`
	Task    model.TaskID    `json:"task" cbor:"2,keyasint"`
	Fence   model.Fence     `json:"fence" cbor:"3,keyasint"`
	Size    model.Resources `json:"size,omitzero" cbor:"4,keyasint,omitempty"`
	Service string          `json:"service,omitempty" cbor:"5,keyasint,omitempty"`
	Payload string          `json:"payload,omitempty" cbor:"6,keyasint,omitempty"`
	Reason  string          `json:"reason,omitempty" cbor:"7,keyasint,omitempty"`
}

// Commands is the response to GET /v1/workers/{id}/commands?session=N&wait=10s.
// Each command is repeated until a report acknowledges it.
type Commands struct {
	Commands []Command `json:"commands" cbor:"1,keyasint"`
}

// ReportState is the state of a task that a worker reports.
type ReportState string

// States that a worker reports.
const (
	ReportStarted   ReportState = "started"
	ReportSucceeded ReportState = "succeeded"
	ReportFailed    ReportState = "failed"
	ReportStopped   ReportState = "stopped" // after a stop or checkpoint command, or after a refused fence
	ReportLapsed    ReportState = "lapsed"  // the task ended because the worker's lease expired
	ReportBroken    ReportState = "broken"  // the task of a gang ended because another one did
	// ReportReceived is not reported by workers. The leader records it for a worker that
	// has certainly received a start and has not confirmed it.
	ReportReceived ReportState = "received"
)

// Ends reports whether an attempt has ended by a report with this state.
func (s ReportState) Ends() bool { return s != ReportStarted && s != ReportReceived }

// Report is the outcome or progress of one task. Reports are idempotent.
type Report struct {
	Task   model.TaskID    `json:"task" cbor:"1,keyasint"`
	Fence  model.Fence     `json:"fence" cbor:"2,keyasint"`
	State  ReportState     `json:"state" cbor:"3,keyasint"`
	Reason string          `json:"reason,omitempty" cbor:"4,keyasint,omitempty"`
	Used   model.Resources `json:"used,omitzero" cbor:"5,keyasint,omitempty"` // peak usage
	RanMS  int64           `json:"ran_ms,omitempty" cbor:"6,keyasint,omitempty"`
	// Executor is set with ReportStarted if the task serves requests of a service.
	Executor *model.ExecutorSpec `json:"executor,omitempty" cbor:"7,keyasint,omitempty"`
	// Checkpoint names the saved state from which a later attempt can resume.
	Checkpoint string `json:"checkpoint,omitempty" cbor:"8,keyasint,omitempty"`
}

// Reports is the body of POST /v1/workers/{id}/reports.
type Reports struct {
	Session uint64   `json:"session" cbor:"1,keyasint"`
	Reports []Report `json:"reports" cbor:"2,keyasint"`
}

// Apply is the body of PUT /v1/declarations.
type Apply struct {
	Base         uint64             `json:"base_version"` // the version that the operator has read and changes
	ApplyID      string             `json:"apply_id"`     // makes a repeated apply idempotent
	Declarations model.Declarations `json:"declarations"`
	// Revision is the operator's own version number. If it is not zero, the
	// highest revision takes effect, and Base and ApplyID are not needed.
	Revision uint64 `json:"revision,omitempty"`
	// Document is the configuration in the operator's own format, stored so that
	// it can be read back.
	Document []byte `json:"document,omitempty"`
}

// Applied is the response to an apply, a key grant or a key withdrawal.
type Applied struct {
	Version uint64 `json:"version"`
	Digest  string `json:"digest"` // of the declarations in force
}

// DeclarationsView is the response to GET /v1/declarations.
type DeclarationsView struct {
	Version      uint64             `json:"version"`
	Digest       string             `json:"digest"`
	Declarations model.Declarations `json:"declarations"`
}

// WorkerView is one row of GET /v1/workers.
type WorkerView struct {
	Spec        model.WorkerSpec `json:"spec"`
	Mode        string           `json:"mode"`
	Reserved    model.Resources  `json:"reserved"`
	Tasks       int32            `json:"tasks"`
	OnProbation bool             `json:"on_probation,omitempty"`
	// SpeedPermille is the estimated speed in thousandths of that of an average worker. Zero:
	// there is no estimate.
	SpeedPermille int64 `json:"speed_permille,omitempty"`
}

// Status is the response to GET /v1/status.
type Status struct {
	Entry    string        `json:"entry"`
	Leader   string        `json:"leader"`
	Term     uint64        `json:"term"`
	Index    uint64        `json:"index"`
	Version  uint64        `json:"version"` // of the declarations, at the leader
	Replicas []ReplicaView `json:"replicas"`
	Entries  []EntryView   `json:"entries"`
	Jobs     int64         `json:"jobs"`
	Running  int64         `json:"running_tasks"`
	Waiting  int64         `json:"waiting_tasks"`
	Workers  int64         `json:"workers"`
	Teams    []TeamView    `json:"teams"`
	// Evacuations are the failure domains that are being evacuated.
	Evacuations []EvacuationView `json:"evacuations,omitempty"`
	// PastUseHalfLife is the half-life in force with which past use counts in the order of
	// teams. Zero: it does not count.
	PastUseHalfLife model.Duration `json:"past_use_half_life,omitempty"`
	// AcceptedBytes is the approximate memory that accepted work takes in each control process,
	// until its records are removed, and AcceptedLimit the limit of that. Zero: none.
	AcceptedBytes int64 `json:"accepted_bytes"`
	AcceptedLimit int64 `json:"accepted_limit_bytes"`
}

// EvacuationView is the evacuation of a failure domain.
type EvacuationView struct {
	Domain    string     `json:"domain"`
	Evacuated bool       `json:"evacuated"`
	Since     model.Time `json:"since_unix_ms,omitempty"` // when it began
	Workers   int64      `json:"workers"`                 // of the domain, without those that are lost
	Running   int64      `json:"running_tasks"`           // that hold resources there
}

// ReplicaView is one replica of the replicated state.
type ReplicaView struct {
	ID         string `json:"id"`
	Address    string `json:"address"`
	Voter      bool   `json:"voter"`
	MatchIndex uint64 `json:"match_index"`
}

// EntryView is one entry process.
type EntryView struct {
	ID            string `json:"id"`
	Address       string `json:"address"`
	FailureDomain string `json:"failure_domain"`
	Version       uint64 `json:"version"` // of the declarations in force in that process
	AgeMS         int64  `json:"age_ms"`  // since its last registration
}

// TeamView is the resource usage of one team.
type TeamView struct {
	Team           string          `json:"team"`
	Running        int64           `json:"running"`
	Limit          int64           `json:"max_running"`
	Reserved       model.Resources `json:"reserved"`
	AcceptedBytes  int64           `json:"accepted_bytes"` // of the memory that its accepted work takes
	Charged        int64           `json:"charged_micro_units"`
	Refunded       int64           `json:"refunded_micro_units"`
	RequestPermits int64           `json:"request_permits"`
	PastUse        *PastUse        `json:"past_use,omitempty"` // if it counts in the order of teams
}

// PastUse is what a team has used over the past. The weight of a moment halves with each
// half-life since then.
type PastUse struct {
	Average      model.Resources `json:"average"`       // of what its tasks have reserved
	LoadPermille int64           `json:"load_permille"` // of its share of the cell
}
