package standin

import (
	"fmt"
	"time"
)

// Behavior is how a stand-in treats what it is given.
type Behavior string

// The behaviors. Where one says nothing of tasks or of requests, it is like
// BehaveOK there.
const (
	BehaveOK          Behavior = "ok"
	BehaveSlow        Behavior = "slow"         // tasks and requests begin late by slowDelay
	BehaveRefuse      Behavior = "refuse"       // requests are refused unrun, tasks fail at once
	BehaveNeverAnswer Behavior = "never-answer" // requests run and are never answered, tasks are never reported
	BehaveCut         Behavior = "cut"          // the connection closes in the middle of the answer
	BehaveWrongID     Behavior = "wrong-id"     // the answer carries another request's ID
	BehaveFailSome    Behavior = "fail-some"    // one in five fails after it ran
	BehaveFailAll     Behavior = "fail-all"     // all fail after they ran
)

const (
	slowDelay           = time.Second
	failSomeProbability = 0.2
	defaultSlots        = 8
	defaultConnections  = 60
	defaultRunTime      = time.Second
	defaultUsage        = 0.8
	leaveTimeout        = 30 * time.Second
	stopGrace           = 5 * time.Second
	retryPause          = 200 * time.Millisecond
	maxRetryPause       = 5 * time.Second
)

func (b Behavior) validate() error {
	switch b {
	case "", BehaveOK, BehaveSlow, BehaveRefuse, BehaveNeverAnswer, BehaveCut, BehaveWrongID, BehaveFailSome, BehaveFailAll:
		return nil
	}
	return fmt.Errorf("behavior %q is not known", b)
}

// failureProbability returns the probability of failing after the run.
func (b Behavior) failureProbability(declared float64) float64 {
	switch b {
	case BehaveFailAll:
		return 1
	case BehaveFailSome:
		return max(declared, failSomeProbability)
	}
	return declared
}
