// Package proto defines the messages between entry and control processes.
// Package wire encodes them as CBOR. The meaning of a field never changes, and
// new fields are optional.
package proto

import (
	"github.com/filbertmast/filbertmast/internal/api"
	"github.com/filbertmast/filbertmast/internal/declare"
	"github.com/filbertmast/filbertmast/internal/errkind"
	"github.com/filbertmast/filbertmast/internal/journal"
	"github.com/filbertmast/filbertmast/internal/limit"
	"github.com/filbertmast/filbertmast/internal/model"
	"github.com/filbertmast/filbertmast/internal/owner"
	"github.com/filbertmast/filbertmast/internal/state"
	"github.com/filbertmast/filbertmast/internal/workerclient"
)

// Empty is the request or response of a call that carries no data.
type Empty struct{}

// Caller identifies the client on whose behalf an entry process makes a call.
type Caller struct {
	Team     string `cbor:"1,keyasint"`
	Operator bool   `cbor:"2,keyasint,omitempty"`
	// Key is the digest of the key that the client sent. The leader checks it
	// again, because an entry process that was suspended may not know yet that
	// the key has been withdrawn.
	Key model.KeyDigest `cbor:"3,keyasint"`
	// Network marks an operator's call that arrived without a key, over a
	// network that only operators can reach.
	Network bool `cbor:"4,keyasint,omitempty"`
}

// Submit submits a job.
type Submit struct {
	Caller         Caller        `cbor:"5,keyasint"`
	Spec           model.JobSpec `cbor:"1,keyasint"`
	IdempotencyKey string        `cbor:"2,keyasint,omitempty"`
	Digest         [32]byte      `cbor:"3,keyasint"`
	DryRun         bool          `cbor:"4,keyasint,omitempty"`
}

// Submitted is the response to Submit: a view of the job, or its price if DryRun is set.
type Submitted struct {
	Job   api.JobView `cbor:"1,keyasint"`
	Quote *api.Quote  `cbor:"2,keyasint,omitempty"`
}

// GetJob reads one job. If Wait is set, the response is delayed until the job is
// newer than version Since, the job has finished or Wait has passed.
type GetJob struct {
	Caller Caller         `cbor:"1,keyasint"`
	ID     model.JobID    `cbor:"2,keyasint"`
	Why    bool           `cbor:"3,keyasint,omitempty"`
	Since  uint64         `cbor:"4,keyasint,omitempty"`
	Wait   model.Duration `cbor:"5,keyasint,omitempty"`
}

// ListJobs reads the jobs of the caller's team whose labels match Selector.
type ListJobs struct {
	Caller   Caller `cbor:"1,keyasint"`
	Selector string `cbor:"2,keyasint,omitempty"`
	Limit    int    `cbor:"3,keyasint,omitempty"`
	// After skips all jobs up to and including this ID, unless it is zero.
	After model.JobID `cbor:"4,keyasint,omitempty"`
}

// Jobs is the response to ListJobs.
type Jobs struct {
	Jobs []api.JobView `cbor:"1,keyasint"`
	Next model.JobID   `cbor:"2,keyasint,omitempty"` // After of the next page; zero on the last one
}

// Cancel cancels the job ID, or all jobs whose labels match Selector.
type Cancel struct {
	Caller   Caller      `cbor:"1,keyasint"`
	ID       model.JobID `cbor:"2,keyasint,omitempty"`
	Selector string      `cbor:"3,keyasint,omitempty"`
}

// Cancelled is the response to Cancel.
type Cancelled struct {
	Count int `cbor:"1,keyasint"`
}

// Declare applies a configuration.
type Declare struct {
	Caller Caller    `cbor:"2,keyasint"`
	Apply  api.Apply `cbor:"1,keyasint"`
}

// SubmitWorkflow submits a workflow.
type SubmitWorkflow struct {
	Caller Caller             `cbor:"1,keyasint"`
	Spec   model.WorkflowSpec `cbor:"2,keyasint"`
}

// Workflow identifies a workflow of the caller's team to read or cancel.
type Workflow struct {
	Caller Caller           `cbor:"1,keyasint"`
	ID     model.WorkflowID `cbor:"2,keyasint"`
}

// WorkflowView is the response to calls about one workflow.
type WorkflowView struct {
	Phase    string `cbor:"1,keyasint"`
	Existing bool   `cbor:"2,keyasint,omitempty"`
}

// Queue requests the state of one queue.
type Queue struct {
	Name string `cbor:"1,keyasint"`
}

// QueueView is the response to Queue.
type QueueView struct {
	Waiting int64 `cbor:"1,keyasint"` // workflows without a started task
}

// Heartbeat is the state that a polled worker reports.
type Heartbeat struct {
	Spec    model.WorkerSpec `cbor:"1,keyasint"`
	Leaving bool             `cbor:"2,keyasint,omitempty"`
	Clock   int64            `cbor:"3,keyasint,omitempty"` // the worker's clock in milliseconds when it sent the heartbeat
	// Sequence increases with each heartbeat of one incarnation of the worker. Zero:
	// unknown; the heartbeat then counts as the newest.
	Sequence uint64 `cbor:"4,keyasint,omitempty"`
}

// Heartbeats are heartbeats of different workers.
type Heartbeats struct {
	Heartbeats []Heartbeat `cbor:"1,keyasint"`
}

// HeartbeatsRecorded is the response to Heartbeats. Recorded has one element for each of
// them: whether it needed no action. Any other must be sent as a call of its own.
type HeartbeatsRecorded struct {
	Recorded []bool `cbor:"1,keyasint"`
}

// Advise asks an entry process to query the policy service about a step.
type Advise struct {
	Step    workerclient.TaskName `cbor:"1,keyasint"`
	Workers []model.WorkerID      `cbor:"2,keyasint"`
}

// Document is the current configuration as the operator sent it.
type Document struct {
	Revision uint64 `cbor:"1,keyasint"`
	Body     []byte `cbor:"2,keyasint"`
}

// Key grants a key, or withdraws it if Withdraw is set.
type Key struct {
	Caller   Caller    `cbor:"3,keyasint"`
	Key      model.Key `cbor:"1,keyasint"`
	Withdraw bool      `cbor:"2,keyasint,omitempty"`
}

// Workers is the response to a KindWorkers call.
type Workers struct {
	Workers []api.WorkerView `cbor:"1,keyasint"`
}

// SetMode changes the mode of a worker: open, cordoned or draining.
type SetMode struct {
	Caller Caller           `cbor:"3,keyasint"`
	Worker model.WorkerID   `cbor:"1,keyasint"`
	Mode   model.WorkerMode `cbor:"2,keyasint"`
}

// SetEvacuation begins or ends the evacuation of a failure domain.
type SetEvacuation struct {
	Caller    Caller `cbor:"1,keyasint"`
	Domain    string `cbor:"2,keyasint"`
	Evacuated bool   `cbor:"3,keyasint,omitempty"`
	// Named is set if the settings of the entry process name the domain, which is then
	// known even if no worker belongs to it.
	Named bool `cbor:"4,keyasint,omitempty"`
}

// Announce registers a worker through the calling entry process.
type Announce struct {
	Spec model.WorkerSpec `cbor:"1,keyasint"`
}

// Announced is the response to Announce.
type Announced struct {
	Session uint64         `cbor:"1,keyasint"`
	Lease   model.Duration `cbor:"2,keyasint"`
}

// Reports carries the reports of many workers. The response is sent after the
// reports have been committed.
type Reports struct {
	Reports []state.WorkerReport `cbor:"1,keyasint"`
}

// Reported is the response to Reports. Errors has one element for each element
// of Reports, in the same order, which is nil if the reports were committed.
type Reported struct {
	Errors []*errkind.Body `cbor:"1,keyasint,omitempty"`
}

// Commands carries commands for one worker session.
type Commands struct {
	Worker   model.WorkerID `cbor:"1,keyasint"`
	Session  uint64         `cbor:"2,keyasint"`
	Commands []api.Command  `cbor:"3,keyasint"`
}

// JournalStart opens the journal record of a request that must run at most once.
type JournalStart struct {
	Key    journal.Key `cbor:"1,keyasint"`
	Digest [32]byte    `cbor:"2,keyasint"`
	// Remaining is how long the request may still run. The leader derives the
	// deadline from it, because the clocks of two VMs may differ.
	Remaining model.Duration `cbor:"3,keyasint"`
	Entry     string         `cbor:"4,keyasint"` // identifies one attempt of one entry process
}

// JournalEnd finishes the record, or abandons it if Answer is nil.
type JournalEnd struct {
	Key    journal.Key     `cbor:"1,keyasint"`
	Fence  model.Fence     `cbor:"2,keyasint"`
	Answer *journal.Answer `cbor:"3,keyasint,omitempty"`
	Ran    bool            `cbor:"4,keyasint,omitempty"`
}

// Probe is the response to a KindProbe call.
type Probe struct {
	Term   uint64   `cbor:"1,keyasint"`
	Leader string   `cbor:"2,keyasint,omitempty"` // inner address; empty if no leader is known
	Ready  bool     `cbor:"3,keyasint,omitempty"` // the responding process is the leader and serves calls
	Peers  []string `cbor:"4,keyasint,omitempty"` // inner addresses of all replicas
}

// Replace asks the leader to add the calling replica in place of a dead one.
type Replace struct {
	// Dead is the inner address of the dead replica. If it is empty, the caller
	// replaces the replica that was at Address, or enlarges the group if there
	// was none.
	Dead    string `cbor:"1,keyasint"`
	ID      uint64 `cbor:"2,keyasint"`
	Address string `cbor:"3,keyasint"`
}

// JournalStarted is the response to JournalStart.
type JournalStarted struct {
	Result journal.StartResult `cbor:"1,keyasint"`
}

// Register renews the registration of an entry process and requests the state
// that is newer than the versions it names.
type Register struct {
	Member           state.Member `cbor:"1,keyasint"`
	ConfigVersion    uint64       `cbor:"2,keyasint"`
	ConfigDigest     string       `cbor:"3,keyasint"`
	DirectoryVersion uint64       `cbor:"4,keyasint"`
	DirectoryTerm    uint64       `cbor:"5,keyasint"`
	Leaving          bool         `cbor:"6,keyasint,omitempty"`
	EntriesRevision  uint64       `cbor:"7,keyasint,omitempty"` // revision of the list of entry processes within DirectoryTerm
}

// Registered is the response to Register. It confirms that the configuration was
// current at some time after the call was sent.
type Registered struct {
	Term             uint64                  `cbor:"1,keyasint"`
	ConfigVersion    uint64                  `cbor:"2,keyasint"`
	ConfigDigest     string                  `cbor:"3,keyasint"`
	Full             *model.Declarations     `cbor:"4,keyasint,omitempty"`
	Delta            *declare.Delta          `cbor:"5,keyasint,omitempty"`
	DirectoryVersion uint64                  `cbor:"6,keyasint"`
	Directory        []owner.DirectoryRecord `cbor:"7,keyasint,omitempty"` // set if DirectoryVersion differs
	Entries          []state.Member          `cbor:"8,keyasint,omitempty"` // set if EntriesRevision differs
	EntriesRevision  uint64                  `cbor:"9,keyasint,omitempty"`
}

// Permits requests request permits for an entry process.
type Permits struct {
	Entry       string         `cbor:"1,keyasint"`
	Incarnation uint64         `cbor:"2,keyasint"`
	Demands     []limit.Demand `cbor:"3,keyasint"`
}

// Granted is the response to Permits.
type Granted struct {
	Grants []limit.Grant `cbor:"1,keyasint"`
}

// Renewals renews the leases of workers whose sessions the calling entry process holds.
type Renewals struct {
	Renewals []Renewal `cbor:"1,keyasint"`
}

// Renewal renews the lease of one worker.
type Renewal struct {
	Worker  model.WorkerID  `cbor:"1,keyasint"`
	Session uint64          `cbor:"2,keyasint"`
	Leaving bool            `cbor:"3,keyasint,omitempty"`
	Usage   []api.TaskUsage `cbor:"4,keyasint,omitempty"`
	// Attach reports that the session has moved to this entry process from another one.
	Attach bool `cbor:"5,keyasint,omitempty"`
}

// RenewalResponse is the response to Renewals, with results in the same order.
type RenewalResponse struct {
	Results []RenewalResult `cbor:"1,keyasint"`
}

// RenewalResult is the renewed lease of one worker, or the error that prevented the renewal.
type RenewalResult struct {
	Lease model.Duration `cbor:"1,keyasint,omitempty"`
	Err   *errkind.Body  `cbor:"2,keyasint,omitempty"`
}

// From returns the client on whose behalf the call is made.
func (r *Submit) From() Caller { return r.Caller }

// From returns the client on whose behalf the call is made.
func (r *GetJob) From() Caller { return r.Caller }

// From returns the client on whose behalf the call is made.
func (r *ListJobs) From() Caller { return r.Caller }

// From returns the client on whose behalf the call is made.
func (r *Cancel) From() Caller { return r.Caller }

// From returns the client on whose behalf the call is made.
func (r *Declare) From() Caller { return r.Caller }

// From returns the client on whose behalf the call is made.
func (r *Key) From() Caller { return r.Caller }

// From returns the client on whose behalf the call is made.
func (r *SubmitWorkflow) From() Caller { return r.Caller }

// From returns the client on whose behalf the call is made.
func (r *Workflow) From() Caller { return r.Caller }

// From returns the client on whose behalf the call is made.
func (r *SetMode) From() Caller { return r.Caller }

// From returns the client on whose behalf the call is made.
func (r *SetEvacuation) From() Caller { return r.Caller }
