package model

// Outcome is the way in which an attempt of a task ended.
type Outcome uint8

// The outcomes of an attempt.
const (
	OutcomeSucceeded  Outcome = iota
	OutcomeFailed             // the worker reported a failure
	OutcomeLost               // the worker's lease expired, or the worker announced itself again
	OutcomePreempted          // stopped by preemption or to drain a worker
	OutcomeStopped            // stopped by a cancellation
	OutcomeNotStarted         // placed, but rejected before its start
)

var outcomeNames = [...]string{"succeeded", "failed", "lost", "preempted", "stopped", "not_started"}

// String returns the name of o as logs and metrics show it.
func (o Outcome) String() string {
	if int(o) >= len(outcomeNames) {
		return "unknown"
	}
	return outcomeNames[o]
}
