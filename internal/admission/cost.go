// Package admission decides whether the cell has room for more submitted work. What is accepted
// is held by every control process, in memory, in its log and in its snapshots, until some time
// after it has ended, so that its bytes have a bound. The package has no clock and no I/O, and
// the same calls give the same results on every replica.
package admission

import "github.com/filbertmast/filbertmast/internal/model"

// Approximate memory in bytes of the records of the state machine, with what the scheduler
// holds beside unfinished ones.
const (
	workflowBytes     = 640
	stepBytes         = 128 // of the specification, without its lists and texts
	predecessorBytes  = 8   // of an entry of Step.After
	jobBytes          = 1024
	finishedJobBytes  = 704
	taskBytes         = 128
	finishedTaskBytes = 16
	labelBytes        = 64 // of a label of a job, without its texts
)

// Cost is the memory that submitted work takes, in bytes.
type Cost struct {
	Unfinished int64 // until it has ended
	Finished   int64 // from then on, until its record is removed
}

// OfWorkflow returns the cost of a workflow that runs once, with the jobs of all of its steps.
func OfWorkflow(s *model.WorkflowSpec) Cost {
	record := recordBytes(s)
	c := Cost{Unfinished: record + int64(len(s.Payload)), Finished: record}
	for i := range s.Steps {
		step := &s.Steps[i]
		texts := int64(len(step.Selector))
		c.Unfinished += jobBytes + texts + int64(step.Tasks)*taskBytes
		c.Finished += finishedJobBytes + texts + int64(step.Tasks)*finishedTaskBytes
	}
	return c
}

// OfRecurring returns the cost of a recurring workflow without its runs, each of which costs
// what OfWorkflow returns.
func OfRecurring(s *model.WorkflowSpec) Cost {
	record := recordBytes(s)
	return Cost{Unfinished: record + int64(len(s.Payload)), Finished: record}
}

// recordBytes returns the memory of the record of a workflow without its payload.
func recordBytes(s *model.WorkflowSpec) int64 {
	n := int64(workflowBytes + len(s.ID))
	for i := range s.Steps {
		n += stepBytes + int64(len(s.Steps[i].Selector)) + int64(len(s.Steps[i].After))*predecessorBytes
	}
	return n
}

// OfJob returns the cost of a job that is no step of a workflow.
func OfJob(s *model.JobSpec) Cost {
	texts := int64(len(s.Name) + len(s.Selector) + len(s.Payload) + len(s.Class) + len(s.Service))
	for k, v := range s.Labels {
		texts += labelBytes + int64(len(k)+len(v))
	}
	return Cost{
		Unfinished: jobBytes + texts + int64(s.Tasks)*taskBytes,
		Finished:   finishedJobBytes + texts + int64(s.Tasks)*finishedTaskBytes,
	}
}
