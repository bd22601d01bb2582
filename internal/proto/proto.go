// Package proto holds the messages between entry and control processes. They
// travel through package wire as CBOR; a field is never given another meaning,
// and new fields are optional.
package proto

import (
	"github.com/filbertmast/filbertmast/internal/api"
	"github.com/filbertmast/filbertmast/internal/courier"
	"github.com/filbertmast/filbertmast/internal/declare"
	"github.com/filbertmast/filbertmast/internal/errkind"
	"github.com/filbertmast/filbertmast/internal/journal"
	"github.com/filbertmast/filbertmast/internal/limit"
	"github.com/filbertmast/filbertmast/internal/model"
	"github.com/filbertmast/filbertmast/internal/owner"
	"github.com/filbertmast/filbertmast/internal/state"
)

// Empty is the answer of a call that has none.
type Empty struct{}

// Caller says on whose behalf an entry calls.
type Caller struct {
	Team     string `cbor:"1,keyasint"`
	Operator bool   `cbor:"2,keyasint,omitempty"`
	// Key is the digest of the key that came with the call. The leader checks
	// it again, so that a key cannot outlive its withdrawal in an entry that was frozen.
	Key model.KeyDigest `cbor:"3,keyasint"`
	// Network marks an operator's call that came in over a network which only
	// operators reach, and so without a key.
	Network bool `cbor:"4,keyasint,omitempty"`
}

// Submit asks for a job.
type Submit struct {
	Caller         Caller        `cbor:"5,keyasint"`
	Spec           model.JobSpec `cbor:"1,keyasint"`
	IdempotencyKey string        `cbor:"2,keyasint,omitempty"`
	Digest         [32]byte      `cbor:"3,keyasint"`
	DryRun         bool          `cbor:"4,keyasint,omitempty"`
}

// Submitted is the answer to Submit: a view of the job, or with DryRun its price.
type Submitted struct {
	Job   api.JobView `cbor:"1,keyasint"`
	Quote *api.Quote  `cbor:"2,keyasint,omitempty"`
}

// GetJob reads one job. With Wait it answers once the job is newer than Since
// or finished, or after Wait.
type GetJob struct {
	Caller Caller         `cbor:"1,keyasint"`
	ID     model.JobID    `cbor:"2,keyasint"`
	Why    bool           `cbor:"3,keyasint,omitempty"`
	Since  uint64         `cbor:"4,keyasint,omitempty"`
	Wait   model.Duration `cbor:"5,keyasint,omitempty"`
}

// ListJobs reads the jobs of the caller's team whose labels match.
type ListJobs struct {
	Caller   Caller `cbor:"1,keyasint"`
	Selector string `cbor:"2,keyasint,omitempty"`
	Limit    int    `cbor:"3,keyasint,omitempty"`
	// After, where not zero, skips the jobs up to and including it.
	After model.JobID `cbor:"4,keyasint,omitempty"`
}

// Jobs is the answer to ListJobs.
type Jobs struct {
	Jobs []api.JobView `cbor:"1,keyasint"`
	Next model.JobID   `cbor:"2,keyasint,omitempty"` // read on after it; zero at the end
}

// Cancel ends one job, or those whose labels match.
type Cancel struct {
	Caller   Caller      `cbor:"1,keyasint"`
	ID       model.JobID `cbor:"2,keyasint,omitempty"`
	Selector string      `cbor:"3,keyasint,omitempty"`
}

// Cancelled is the answer to Cancel.
type Cancelled struct {
	Count int `cbor:"1,keyasint"`
}

// Declare applies a configuration.
type Declare struct {
	Caller Caller    `cbor:"2,keyasint"`
	Apply  api.Apply `cbor:"1,keyasint"`
}

// SubmitWorkflow asks for a workflow.
type SubmitWorkflow struct {
	Caller Caller             `cbor:"1,keyasint"`
	Spec   model.WorkflowSpec `cbor:"2,keyasint"`
}

// Workflow names a workflow of the caller's team, to be read or cancelled.
type Workflow struct {
	Caller Caller           `cbor:"1,keyasint"`
	ID     model.WorkflowID `cbor:"2,keyasint"`
}

// WorkflowView is the answer to calls about one workflow.
type WorkflowView struct {
	Phase    string `cbor:"1,keyasint"`
	Existing bool   `cbor:"2,keyasint,omitempty"`
}

// Queue asks about one queue.
type Queue struct {
	Name string `cbor:"1,keyasint"`
}

// QueueView is the answer to Queue.
type QueueView struct {
	Waiting int64 `cbor:"1,keyasint"` // workflows of which no task has started yet
}

// Heartbeat is what a worker that takes orders by call tells of itself.
type Heartbeat struct {
	Spec    model.WorkerSpec `cbor:"1,keyasint"`
	Leaving bool             `cbor:"2,keyasint,omitempty"`
	Clock   int64            `cbor:"3,keyasint,omitempty"` // milliseconds, as it was sent
}

// Advise asks an entry to put a question to the policy service.
type Advise struct {
	Step    courier.TaskName `cbor:"1,keyasint"`
	Workers []model.WorkerID `cbor:"2,keyasint"`
}

// Document is the configuration in force as the operator sent it.
type Document struct {
	Revision uint64 `cbor:"1,keyasint"`
	Body     []byte `cbor:"2,keyasint"`
}

// Key grants a key, or with Withdraw withdraws it.
type Key struct {
	Caller   Caller    `cbor:"3,keyasint"`
	Key      model.Key `cbor:"1,keyasint"`
	Withdraw bool      `cbor:"2,keyasint,omitempty"`
}

// Workers is the answer to a KindWorkers call.
type Workers struct {
	Workers []api.WorkerView `cbor:"1,keyasint"`
}

// SetMode changes what a worker may be given.
type SetMode struct {
	Caller Caller           `cbor:"3,keyasint"`
	Worker model.WorkerID   `cbor:"1,keyasint"`
	Mode   model.WorkerMode `cbor:"2,keyasint"`
}

// Announce registers a worker through the calling entry.
type Announce struct {
	Spec model.WorkerSpec `cbor:"1,keyasint"`
}

// Announced is the answer to Announce.
type Announced struct {
	Session uint64         `cbor:"1,keyasint"`
	Lease   model.Duration `cbor:"2,keyasint"`
}

// Reports carries the reports of many workers; the answer comes after their commit.
type Reports struct {
	Reports []state.WorkerReport `cbor:"1,keyasint"`
}

// Reported is the answer to Reports: one element each, in order, nil where the
// reports were committed.
type Reported struct {
	Errors []*errkind.Body `cbor:"1,keyasint,omitempty"`
}

// Commands carries orders for one worker session.
type Commands struct {
	Worker   model.WorkerID `cbor:"1,keyasint"`
	Session  uint64         `cbor:"2,keyasint"`
	Commands []api.Command  `cbor:"3,keyasint"`
}

// JournalStart starts the record of a request that must run at most once.
type JournalStart struct {
	Key    journal.Key `cbor:"1,keyasint"`
	Digest [32]byte    `cbor:"2,keyasint"`
	// Remaining is how long the request may still run; the leader makes a
	// deadline of it, since the clocks of two VMs may differ.
	Remaining model.Duration `cbor:"3,keyasint"`
	Entry     string         `cbor:"4,keyasint"` // one try of one entry process
}

// JournalEnd finishes the record, or with no Answer abandons it.
type JournalEnd struct {
	Key    journal.Key     `cbor:"1,keyasint"`
	Fence  model.Fence     `cbor:"2,keyasint"`
	Answer *journal.Answer `cbor:"3,keyasint,omitempty"`
	Ran    bool            `cbor:"4,keyasint,omitempty"`
}

// Probe is the answer to a KindProbe call.
type Probe struct {
	Term   uint64   `cbor:"1,keyasint"`
	Leader string   `cbor:"2,keyasint,omitempty"` // inner address; empty where none is known
	Ready  bool     `cbor:"3,keyasint,omitempty"` // the answering process leads and serves
	Peers  []string `cbor:"4,keyasint,omitempty"` // inner addresses of all replicas
}

// Replace asks the leader to put the calling replica in the place of a dead one.
type Replace struct {
	// Dead is the inner address of the dead replica. Empty: the one that was at
	// Address, if there was one, else the group grows.
	Dead    string `cbor:"1,keyasint"`
	ID      uint64 `cbor:"2,keyasint"`
	Address string `cbor:"3,keyasint"`
}

// JournalStarted is the answer to JournalStart.
type JournalStarted struct {
	Result journal.StartResult `cbor:"1,keyasint"`
}

// Register renews an entry's registration and asks for what is newer than it holds.
type Register struct {
	Member           state.Member `cbor:"1,keyasint"`
	ConfigVersion    uint64       `cbor:"2,keyasint"`
	ConfigDigest     string       `cbor:"3,keyasint"`
	DirectoryVersion uint64       `cbor:"4,keyasint"`
	DirectoryTerm    uint64       `cbor:"5,keyasint"`
	Leaving          bool         `cbor:"6,keyasint,omitempty"`
	EntriesRevision  uint64       `cbor:"7,keyasint,omitempty"` // of the list of entries, in DirectoryTerm
}

// Registered is the answer to Register. It confirms the configuration as
// current at some time after the call was sent.
type Registered struct {
	Term             uint64                  `cbor:"1,keyasint"`
	ConfigVersion    uint64                  `cbor:"2,keyasint"`
	ConfigDigest     string                  `cbor:"3,keyasint"`
	Full             *model.Declarations     `cbor:"4,keyasint,omitempty"`
	Delta            *declare.Delta          `cbor:"5,keyasint,omitempty"`
	DirectoryVersion uint64                  `cbor:"6,keyasint"`
	Directory        []owner.DirectoryRecord `cbor:"7,keyasint,omitempty"` // set where the version differs
	Entries          []state.Member          `cbor:"8,keyasint,omitempty"` // set where the revision differs
	EntriesRevision  uint64                  `cbor:"9,keyasint,omitempty"`
}

// Permits asks for request permits on behalf of an entry.
type Permits struct {
	Entry       string         `cbor:"1,keyasint"`
	Incarnation uint64         `cbor:"2,keyasint"`
	Demands     []limit.Demand `cbor:"3,keyasint"`
}

// Granted is the answer to Permits.
type Granted struct {
	Grants []limit.Grant `cbor:"1,keyasint"`
}

// Renewals extends the leases of workers whose sessions the calling entry holds.
type Renewals struct {
	Renewals []Renewal `cbor:"1,keyasint"`
}

// Renewal extends the lease of one worker.
type Renewal struct {
	Worker  model.WorkerID  `cbor:"1,keyasint"`
	Session uint64          `cbor:"2,keyasint"`
	Leaving bool            `cbor:"3,keyasint,omitempty"`
	Usage   []api.TaskUsage `cbor:"4,keyasint,omitempty"`
	// Attach says that the session has come to this entry from another one.
	Attach bool `cbor:"5,keyasint,omitempty"`
}

// RenewalResponse is the answer to Renewals, in their order.
type RenewalResponse struct {
	Results []RenewalResult `cbor:"1,keyasint"`
}

// RenewalResult is the renewed lease of one worker, or why it is not renewed.
type RenewalResult struct {
	Lease model.Duration `cbor:"1,keyasint,omitempty"`
	Err   *errkind.Body  `cbor:"2,keyasint,omitempty"`
}

// From returns on whose behalf the call is made.
func (r *Submit) From() Caller { return r.Caller }

// From returns on whose behalf the call is made.
func (r *GetJob) From() Caller { return r.Caller }

// From returns on whose behalf the call is made.
func (r *ListJobs) From() Caller { return r.Caller }

// From returns on whose behalf the call is made.
func (r *Cancel) From() Caller { return r.Caller }

// From returns on whose behalf the call is made.
func (r *Declare) From() Caller { return r.Caller }

// From returns on whose behalf the call is made.
func (r *Key) From() Caller { return r.Caller }

// From returns on whose behalf the call is made.
func (r *SubmitWorkflow) From() Caller { return r.Caller }

// From returns on whose behalf the call is made.
func (r *Workflow) From() Caller { return r.Caller }

// From returns on whose behalf the call is made.
func (r *SetMode) From() Caller { return r.Caller }
