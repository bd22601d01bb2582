package standin

import (
	"fmt"
	"time"
)

// Behavior is how a stand-in runs tasks and answers requests.
type Behavior string

// The behaviors. A behavior that describes only tasks or only requests handles the
// others like BehaveOK.
const (
	BehaveOK          Behavior = "ok"
	BehaveSlow        Behavior = "slow"         // tasks and requests begin after slowDelay
	BehaveRefuse      Behavior = "refuse"       // requests are refused without being run, tasks fail immediately
	BehaveNeverAnswer Behavior = "never-answer" // requests run but are never answered, tasks are never reported
	BehaveTruncate    Behavior = "cut"          // the connection is closed in the middle of the answer
	BehaveWrongID     Behavior = "wrong-id"     // the answer has the ID of another request
	BehaveFailSome    Behavior = "fail-some"    // 20% of tasks and requests fail after they ran
	BehaveFailAll     Behavior = "fail-all"     // all tasks and requests fail after they ran
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
	case "", BehaveOK, BehaveSlow, BehaveRefuse, BehaveNeverAnswer, BehaveTruncate, BehaveWrongID, BehaveFailSome, BehaveFailAll:
		return nil
	}
	return fmt.Errorf("behavior %q is not known", b)
}

// failureProbability returns the probability, from 0 to 1, that a task or request
// fails after it ran.
func (b Behavior) failureProbability(declared float64) float64 {
	switch b {
	case BehaveFailAll:
		return 1
	case BehaveFailSome:
		return max(declared, failSomeProbability)
	}
	return declared
}
