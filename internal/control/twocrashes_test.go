package control

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/filbertmast/filbertmast/internal/model"
	"github.com/filbertmast/filbertmast/internal/state"
)

const (
	firstCrashAt   = 7 * time.Second
	secondCrashAt  = firstCrashAt + 6*time.Second
	secondDownTime = 2 * time.Second
	// confirmedBefore is how long before a crash a start is confirmed by a commit and a poll.
	confirmedBefore = 300 * time.Millisecond
	// longestStandstill is the lease of a crashed worker with its margin, and a second for a
	// plan, a commit and the call of the next worker.
	longestStandstill = 3*time.Second + 500*time.Millisecond + time.Second
)

// twoCrashes is a simulation in which a worker crashes and stays away, and another one
// crashes 6 s later and is back after 2 s.
type twoCrashes struct {
	*simulation
	ids       []model.WorkflowID
	confirmed map[model.WorkflowID]bool          // of the crashed workers, with a confirmed start
	standing  map[model.WorkflowID]time.Duration // since when none of its tasks runs
	longest   time.Duration                      // for which one of confirmed stood still
	worst     model.WorkflowID
}

// submitCores submits a workflow of tasks that need a whole core each.
func (s *twoCrashes) submitCores() {
	s.flows++
	id := model.WorkflowID(fmt.Sprintf("f%d", s.flows))
	step := model.Step{Policy: model.PolicyBatch, Tasks: 1 + s.rng.Int32N(2), Size: model.Resources{CPU: 1000}}
	s.log.appendCommand(&state.Command{SubmitWorkflow: &state.SubmitWorkflow{Spec: model.WorkflowSpec{ID: id, Team: simTeam, Queue: simQueue, Steps: []model.Step{step}}}})
	s.ids = append(s.ids, id)
}

// crashBusy crashes a worker that has a confirmed run while the response to another start is
// outstanding, and reports whether there is one.
func (s *twoCrashes) crashBusy(then func(*simWorker)) bool {
	for _, w := range s.workers {
		if !w.up || !s.awaitsStart(w.id) {
			continue
		}
		confirmed := false
		for _, r := range w.active {
			if s.now()-r.started > confirmedBefore {
				s.confirmed[r.attempt.Task.Workflow], confirmed = true, true
			}
		}
		if confirmed {
			w.crash()
			then(w)
			return true
		}
	}
	return false
}

// awaitsStart reports whether the response of a worker to a start is outstanding.
func (s *twoCrashes) awaitsStart(id model.WorkerID) bool {
	if pw := s.log.leader.core.leader.polled.workers[id]; pw != nil {
		for _, cmd := range pw.commands {
			if cmd.calls.InFlight() {
				return true
			}
		}
	}
	return false
}

// observe updates since when workflows stand still.
func (s *twoCrashes) observe() {
	active := map[model.WorkflowID]bool{}
	for _, w := range s.workers {
		for _, r := range w.active {
			active[r.attempt.Task.Workflow] = true
		}
	}
	for _, id := range s.ids {
		f := s.log.state.Workflow(id)
		if f == nil || f.Finished != 0 || active[id] || !s.confirmed[id] {
			delete(s.standing, id)
			continue
		}
		if _, ok := s.standing[id]; !ok {
			s.standing[id] = s.now()
		}
		if d := s.now() - s.standing[id]; d > s.longest {
			s.longest, s.worst = d, id
		}
	}
}

func (s *twoCrashes) play() {
	crashes, next := 0, time.Duration(0)
	for s.now() < 35*time.Second {
		if s.now() >= next && s.now() < 25*time.Second {
			next = s.now() + 250*time.Millisecond // about half of the cell is in use
			s.submitCores()
		}
		switch {
		case crashes == 0 && s.now() >= firstCrashAt:
			if s.crashBusy(func(*simWorker) {}) {
				crashes++
			}
		case crashes == 1 && s.now() >= secondCrashAt:
			if s.crashBusy(func(w *simWorker) { s.after(secondDownTime, func() { s.boot(s.newName(), w.address) }) }) {
				crashes++
			}
		}
		s.step()
		s.observe()
	}
	s.run(0)
}

// Guards against jobs that make no progress for longer than the lease of a crashed worker, for the sake of another
// job's start: with a lease of at most 10 s they stood still for more than 14 s beside free capacity.
func TestJobsGoOnAfterTwoCrashes(t *testing.T) {
	for seed := range uint64(12) {
		synctest.Test(t, func(t *testing.T) {
			s := &twoCrashes{simulation: newSimulation(seed, simFaults{longestRun: 4 * time.Second}),
				confirmed: map[model.WorkflowID]bool{}, standing: map[model.WorkflowID]time.Duration{}}
			for i := simWorkers; i < 8; i++ {
				s.boot(model.WorkerID(fmt.Sprintf("w%d", i+1)), fmt.Sprintf("10.0.0.%d:80", i+1))
			}
			s.play()
			assert.Equal(t, len(s.check.violations), 0)
			assert.Assert(t, s.longest <= longestStandstill, "seed %d: %s stood still for %s", seed, s.worst, s.longest)
			t.Logf("seed %d: %s stood still for %s", seed, s.worst, s.longest)
		})
	}
}
