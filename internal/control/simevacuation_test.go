package control

import (
	"time"

	"github.com/filbertmast/filbertmast/internal/state"
)

// simEvacuateWithin is how long after the commit of an evacuation a start may still arrive: as
// long as the longest delay of a call, and a second for the leader to apply it.
const simEvacuateWithin = 5 * time.Second

var simDomains = [...]string{"selfoss", "hella"}

// domain returns the failure domain of the worker, by its address.
func (w *simWorker) domain() string {
	if w.sim.faults.evacuate > 0 && len(w.address) > 0 && w.address[len("10.0.0.")]%2 == 0 {
		return simDomains[1]
	}
	return simDomains[0]
}

// evacuate begins the evacuation of a failure domain, or ends it.
func (s *simulation) evacuate() {
	domain := simDomains[s.rng.IntN(len(simDomains))]
	_, evacuated := s.evacuated[domain]
	s.log.appendCommand(&state.Command{SetEvacuation: &state.SetEvacuation{Domain: domain, Evacuated: !evacuated}})
	if evacuated {
		delete(s.evacuated, domain)
	} else {
		s.evacuated[domain] = s.now()
	}
	s.trace("", "evacuation of %s: %t", domain, !evacuated)
}

// checkEvacuated records a violation if a run starts in a domain that has been evacuated for long.
func (c *twiceChecker) checkEvacuated(t *taskRuns, r *simRun) {
	since, evacuated := c.sim.evacuated[r.worker.domain()]
	if evacuated && c.sim.now()-since > simEvacuateWithin {
		c.violated(t, "EVACUATED: %s starts %v after the evacuation of its domain", r.name(), c.sim.now()-since)
	}
}
