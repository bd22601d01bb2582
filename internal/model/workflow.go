package model

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"
)

// WorkflowID names a workflow. The caller chooses it; it is unique in a cell.
type WorkflowID string

// The phases of a job and of a workflow, as the API shows them.
const (
	PhaseWaiting   = "waiting"
	PhaseRunning   = "running"
	PhaseSucceeded = "succeeded"
	PhaseFailed    = "failed"
	PhaseCancelled = "cancelled"
)

// Bounds of a workflow.
const (
	MaxSteps      = 256
	MaxWorkflowID = 64 // bytes
	MaxRuns       = 100_000
)

// WorkflowSpec is what a caller submits: steps of tasks, of which some wait for others.
type WorkflowSpec struct {
	ID      WorkflowID `json:"id" cbor:"1,keyasint"`
	Team    string     `json:"team,omitempty" cbor:"2,keyasint"` // filled from the key
	Queue   string     `json:"queue" cbor:"3,keyasint"`
	Payload string     `json:"payload,omitempty" cbor:"4,keyasint,omitempty"` // passed to every task unread
	Steps   []Step     `json:"steps" cbor:"5,keyasint"`
	// Runs, where above zero, is how often the steps run: first at FirstAt, and
	// then each Every. Runs may overlap. Zero: once, at once.
	Runs    int32    `json:"runs,omitempty" cbor:"6,keyasint,omitempty"`
	FirstAt Time     `json:"first_at_ms,omitempty" cbor:"7,keyasint,omitempty"`
	Every   Duration `json:"every,omitempty" cbor:"8,keyasint,omitempty"`
}

// DueAt returns when run k of a workflow that runs at set times is due.
func (s *WorkflowSpec) DueAt(k int32) Time {
	return s.FirstAt + Time(int64(k)*s.Every.Millis())
}

// RunID names one run of a workflow that runs at set times.
func (id WorkflowID) RunID(k int32) WorkflowID {
	return id + WorkflowID(runSeparator+strconv.Itoa(int(k)))
}

// runSeparator stands between a workflow ID and the number of a run.
const runSeparator = "."

// Step is a set of equal tasks of a workflow.
type Step struct {
	Policy  Policy    `json:"policy" cbor:"1,keyasint"`
	Tasks   int32     `json:"tasks" cbor:"2,keyasint"`
	Size    Resources `json:"size" cbor:"3,keyasint"`                         // of one task
	RunTime Duration  `json:"run_time,omitempty" cbor:"4,keyasint,omitempty"` // declared, of one task
	// After lists earlier steps, by position, all of whose tasks must have succeeded.
	After          []int32 `json:"after,omitempty" cbor:"5,keyasint,omitempty"`
	Selector       string  `json:"selector,omitempty" cbor:"6,keyasint,omitempty"` // over worker labels
	Exclusive      bool    `json:"exclusive,omitempty" cbor:"7,keyasint,omitempty"`
	Checkpointable bool    `json:"checkpointable,omitempty" cbor:"8,keyasint,omitempty"`
}

// StepRef says of which workflow and step a job is.
type StepRef struct {
	Workflow WorkflowID `json:"workflow" cbor:"1,keyasint"`
	Step     int32      `json:"step" cbor:"2,keyasint"`
}

// Validate returns every reason for which s cannot be a workflow, joined, or nil.
func (s *WorkflowSpec) Validate() error {
	var errs []error
	addError := func(format string, args ...any) { errs = append(errs, fmt.Errorf(format, args...)) }
	if s.ID == "" || len(s.ID) > MaxWorkflowID || strings.Contains(string(s.ID), runSeparator) {
		addError("id must have 1 to %d characters, and no %q", MaxWorkflowID, runSeparator)
	}
	if s.Runs < 0 || s.Runs > MaxRuns || s.FirstAt < 0 || s.Every < 0 {
		addError("runs must be 0 to %d, first_at_ms and every not negative", MaxRuns)
	}
	if len(s.Steps) == 0 || len(s.Steps) > MaxSteps {
		addError("steps must be 1 to %d, got %d", MaxSteps, len(s.Steps))
	}
	for i := range s.Steps {
		for _, a := range s.Steps[i].After {
			if a < 0 || int(a) >= i {
				addError("steps[%d].after names step %d, which is not an earlier one", i, a)
			}
		}
		spec := s.StepJob(i)
		if err := spec.Validate(); err != nil {
			errs = append(errs, fmt.Errorf("steps[%d]: %w", i, err))
		}
	}
	return errors.Join(errs...)
}

// StepJob returns the specification of the job that runs step i. The payload
// stays with the workflow.
func (s *WorkflowSpec) StepJob(i int) JobSpec {
	step := &s.Steps[i]
	return JobSpec{
		Name:           string(s.ID),
		Team:           s.Team,
		Queue:          s.Queue,
		Policy:         step.Policy,
		Class:          s.Queue,
		Tasks:          step.Tasks,
		Size:           step.Size,
		RunTime:        step.RunTime,
		Selector:       step.Selector,
		Exclusive:      step.Exclusive,
		Checkpointable: step.Checkpointable,
	}
}

// CriticalPaths returns for each step the longest chain of declared run times that
// begins with it.
func (s *WorkflowSpec) CriticalPaths() []time.Duration {
	out := make([]time.Duration, len(s.Steps))
	for i := len(s.Steps) - 1; i >= 0; i-- {
		out[i] += s.Steps[i].RunTime.Std()
		for _, before := range s.Steps[i].After {
			out[before] = max(out[before], out[i])
		}
	}
	return out
}
