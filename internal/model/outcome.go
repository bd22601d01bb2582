package model

// Outcome says how an attempt of a task ended.
type Outcome uint8

// The outcomes of an attempt.
const (
	OutcomeSucceeded  Outcome = iota
	OutcomeFailed             // the worker reported a failure
	OutcomeLost               // the worker's lease expired or it announced itself anew
	OutcomePreempted          // stopped to make room or to empty a worker
	OutcomeStopped            // stopped by a cancellation
	OutcomeNotStarted         // placed, but refused before it could start
)

var outcomeNames = [...]string{"succeeded", "failed", "lost", "preempted", "stopped", "not_started"}

// String returns the name of o as logs and metrics show it.
func (o Outcome) String() string {
	if int(o) >= len(outcomeNames) {
		return "unknown"
	}
	return outcomeNames[o]
}
