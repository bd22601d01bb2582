package model

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"
)

// WorkflowID identifies a workflow. The caller chooses it; it is unique in a cell.
type WorkflowID string

// The phases of a job and of a workflow, as the API shows them.
const (
	PhaseWaiting   = "waiting"
	PhaseRunning   = "running"
	PhaseSucceeded = "succeeded"
	PhaseFailed    = "failed"
	PhaseCancelled = "cancelled"
)

// Limits of a workflow.
const (
	MaxSteps      = 256
	MaxWorkflowID = 64 // bytes
	MaxRuns       = 100_000
)

// WorkflowSpec is a workflow as submitted by a caller: steps of tasks with
// dependencies between the steps.
type WorkflowSpec struct {
	ID      WorkflowID `json:"id" cbor:"1,keyasint"`
	Team    string     `json:"team,omitempty" cbor:"2,keyasint"` // default: the team of the key
	Queue   string     `json:"queue" cbor:"3,keyasint"`
	Payload string     `json:"payload,omitempty" cbor:"4,keyasint,omitempty"` // passed to every task without interpretation
	Steps   []Step     `json:"steps" cbor:"5,keyasint"`
	// Runs, if above zero, is the number of runs of a recurring workflow: the first at
	// FirstAt, the others at intervals of Every. Runs may overlap. Zero: the workflow
	// runs once, immediately.
	Runs    int32    `json:"runs,omitempty" cbor:"6,keyasint,omitempty"`
	FirstAt Time     `json:"first_at_ms,omitempty" cbor:"7,keyasint,omitempty"`
	Every   Duration `json:"every,omitempty" cbor:"8,keyasint,omitempty"`
}

// DueAt returns the scheduled time of run k of a recurring workflow.
func (s *WorkflowSpec) DueAt(k int32) Time {
	return s.FirstAt + Time(int64(k)*s.Every.Millis())
}

// RunID returns the workflow ID of run k of a recurring workflow.
func (id WorkflowID) RunID(k int32) WorkflowID {
	return id + WorkflowID(runSeparator+strconv.Itoa(int(k)))
}

// runSeparator separates a workflow ID from the number of a run.
const runSeparator = "."

// Step is a group of identical tasks of a workflow.
type Step struct {
	Policy  Policy    `json:"policy" cbor:"1,keyasint"`
	Tasks   int32     `json:"tasks" cbor:"2,keyasint"`
	Size    Resources `json:"size" cbor:"3,keyasint"`                         // of one task
	RunTime Duration  `json:"run_time,omitempty" cbor:"4,keyasint,omitempty"` // declared, of one task
	// After lists the indexes of earlier steps whose tasks must all have succeeded.
	After          []int32 `json:"after,omitempty" cbor:"5,keyasint,omitempty"`
	Selector       string  `json:"selector,omitempty" cbor:"6,keyasint,omitempty"` // over worker labels
	Exclusive      bool    `json:"exclusive,omitempty" cbor:"7,keyasint,omitempty"`
	Checkpointable bool    `json:"checkpointable,omitempty" cbor:"8,keyasint,omitempty"`
	Lasting        bool    `json:"lasting,omitempty" cbor:"9,keyasint,omitempty"` // a gang that is started again however it ends
	MaxPerWorker   int32   `json:"max_per_worker,omitempty" cbor:"10,keyasint,omitempty"`
}

// StepRef identifies the workflow and step of a job.
type StepRef struct {
	Workflow WorkflowID `json:"workflow" cbor:"1,keyasint"`
	Step     int32      `json:"step" cbor:"2,keyasint"`
}

// Validate returns all violated rules of a workflow, joined into one error, or nil.
func (s *WorkflowSpec) Validate() error {
	var errs []error
	addError := func(format string, args ...any) { errs = append(errs, fmt.Errorf(format, args...)) }
	if s.ID == "" || len(s.ID) > MaxWorkflowID || strings.Contains(string(s.ID), runSeparator) {
		addError("id must have 1 to %d characters, and no %q", MaxWorkflowID, runSeparator)
	}
	if s.Runs < 0 || s.Runs > MaxRuns || s.FirstAt < 0 || s.FirstAt > MaxTime || !s.Every.InRange() {
		addError("runs must be 0 to %d, first_at_ms 0 to %d and every 0 to %s", MaxRuns, MaxTime, MaxDuration)
	}
	if len(s.Payload) > MaxPayloadBytes {
		addError("payload must be at most %d bytes, got %d", MaxPayloadBytes, len(s.Payload))
	}
	if len(s.Steps) == 0 || len(s.Steps) > MaxSteps {
		addError("steps must be 1 to %d, got %d", MaxSteps, len(s.Steps))
		return errors.Join(errs...) // a body may have a hundred thousand steps; their errors would take more than it
	}
	for i := range s.Steps {
		if err := s.validateAfter(i); err != nil {
			errs = append(errs, err)
		}
		spec := s.StepJob(i)
		if err := spec.Validate(); err != nil {
			errs = append(errs, fmt.Errorf("steps[%d]: %w", i, err))
		}
	}
	return errors.Join(errs...)
}

// validateAfter returns the first violated rule of the steps that step i comes after, or nil.
func (s *WorkflowSpec) validateAfter(i int) error {
	after := s.Steps[i].After
	if len(after) > MaxSteps {
		return fmt.Errorf("steps[%d].after has %d entries, at most %d are allowed", i, len(after), MaxSteps)
	}
	for _, a := range after {
		if a < 0 || int(a) >= i {
			return fmt.Errorf("steps[%d].after names step %d, which is not an earlier one", i, a)
		}
	}
	return nil
}

// StepJob returns the specification of the job that runs step i. The payload
// is kept in the workflow only.
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
		Lasting:        step.Lasting,
		MaxPerWorker:   step.MaxPerWorker,
	}
}

// CriticalPaths returns for each step the longest sum of declared run times over a chain of
// dependent steps that begins with it.
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
