package model

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// JobID identifies a job. It is the log index at which the job was committed, and is
// formatted as "j-<number>".
type JobID uint64

// String formats id as "j-<number>".
func (id JobID) String() string { return "j-" + strconv.FormatUint(uint64(id), 10) }

// MarshalText implements encoding.TextMarshaler.
func (id JobID) MarshalText() ([]byte, error) { return []byte(id.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (id *JobID) UnmarshalText(b []byte) error {
	v, err := ParseJobID(string(b))
	*id = v
	return err
}

// ParseJobID parses the format that String returns.
func ParseJobID(s string) (JobID, error) {
	n, err := strconv.ParseUint(strings.TrimPrefix(s, "j-"), 10, 64)
	if err != nil || !strings.HasPrefix(s, "j-") {
		return 0, fmt.Errorf("job ID %q is not of the form j-123", s)
	}
	return JobID(n), nil
}

// TaskID identifies a task by its job and its index, 0 to Tasks-1.
type TaskID struct {
	Job   JobID `json:"job" cbor:"1,keyasint"`
	Index int32 `json:"index" cbor:"2,keyasint"`
}

// String formats id as "j-12/3".
func (id TaskID) String() string { return fmt.Sprintf("%s/%d", id.Job, id.Index) }

// Fence is the fencing token of an attempt of a task. A worker rejects a command whose
// fence is lower than one that it has received for the task.
type Fence struct {
	Term  uint64 `json:"term" cbor:"1,keyasint"`
	Index uint64 `json:"index" cbor:"2,keyasint"`
}

// Less reports whether f is older than o.
func (f Fence) Less(o Fence) bool {
	if f.Term != o.Term {
		return f.Term < o.Term
	}
	return f.Index < o.Index
}

// Policy is the placement policy of the tasks of a job.
type Policy string

// The policies.
const (
	PolicyBatch   Policy = "batch"   // tasks start independently and are packed
	PolicyGang    Policy = "gang"    // all tasks start together or none does
	PolicyService Policy = "service" // tasks are kept running, spread over failure domains
)

// JobSpec is a job as submitted by a caller.
type JobSpec struct {
	Name           string    `json:"name" cbor:"1,keyasint"`
	Team           string    `json:"team,omitempty" cbor:"2,keyasint"`  // default: the team of the key
	Queue          string    `json:"queue,omitempty" cbor:"3,keyasint"` // default: the team's first queue
	Policy         Policy    `json:"policy" cbor:"4,keyasint"`
	Class          string    `json:"class,omitempty" cbor:"5,keyasint,omitempty"` // sizes are learned per class of jobs; default: Name
	Tasks          int32     `json:"tasks" cbor:"6,keyasint"`
	Size           Resources `json:"size" cbor:"7,keyasint"`                           // of one task
	RunTime        Duration  `json:"run_time,omitempty" cbor:"8,keyasint,omitempty"`   // declared, of one task
	Patience       Duration  `json:"patience,omitempty" cbor:"9,keyasint,omitempty"`   // how long the job may wait for its start
	Selector       string    `json:"selector,omitempty" cbor:"10,keyasint,omitempty"`  // over worker labels
	Labels         Labels    `json:"labels,omitempty" cbor:"11,keyasint,omitempty"`    // of the job itself
	Exclusive      bool      `json:"exclusive,omitempty" cbor:"12,keyasint,omitempty"` // at most one task of the job on a worker
	Checkpointable bool      `json:"checkpointable,omitempty" cbor:"13,keyasint,omitempty"`
	NotRepeatable  bool      `json:"not_repeatable,omitempty" cbor:"14,keyasint,omitempty"` // a started task is never started again
	MaxRestarts    int32     `json:"max_restarts,omitempty" cbor:"15,keyasint,omitempty"`   // per task
	Service        string    `json:"service,omitempty" cbor:"16,keyasint,omitempty"`        // service name for requests, only with PolicyService
	Payload        string    `json:"payload,omitempty" cbor:"17,keyasint,omitempty"`        // passed to the worker without interpretation
	Lasting        bool      `json:"lasting,omitempty" cbor:"18,keyasint,omitempty"`        // a gang that is started again however it ends, only with PolicyGang
	MaxPerWorker   int32     `json:"max_per_worker,omitempty" cbor:"19,keyasint,omitempty"` // at most so many tasks of the job on a worker; zero: any number
}

// PerWorker returns how many tasks of a job may be on one worker at once; zero: any number.
func (s *JobSpec) PerWorker() int32 {
	if s.Exclusive {
		return 1
	}
	return s.MaxPerWorker
}

// Lasts reports whether the tasks of a job run until it is cancelled: they are started again
// however they end.
func (s *JobSpec) Lasts() bool { return s.Policy == PolicyService || s.Lasting }

// StartSpan is longer than the start of a task takes: a task that has run for as long
// did not crash its worker by starting.
const StartSpan = time.Second

// TaskPhase is the phase of a task in its life cycle.
type TaskPhase uint8

// The phases of a task. Pending and final tasks hold no resources.
const (
	TaskPending  TaskPhase = iota // waits for placement
	TaskStarting                  // placement committed, start not yet confirmed
	TaskRunning                   // the worker has confirmed the start
	TaskStopping                  // stop commanded, not yet confirmed; still holds its resources
	TaskSucceeded
	TaskFailed
	TaskCancelled
)

var taskPhaseNames = [...]string{"pending", "starting", "running", "stopping", "succeeded", "failed", "cancelled"}

// String returns the name of p as the API shows it.
func (p TaskPhase) String() string {
	if int(p) >= len(taskPhaseNames) {
		return "unknown"
	}
	return taskPhaseNames[p]
}

// HoldsResources reports whether a task in phase p holds resources on a worker.
func (p TaskPhase) HoldsResources() bool { return p >= TaskStarting && p <= TaskStopping }

// Done reports whether p is final.
func (p TaskPhase) Done() bool { return p >= TaskSucceeded }
