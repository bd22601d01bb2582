package schedule

import (
	"fmt"

	"github.com/filbertmast/filbertmast/internal/model"
)

// maxPastTerm bounds the term that past use adds to the precedence key of a team. It is one
// share, so that past use alone takes a team with enough demand neither below a part of its
// share nor above twice its share; docs/design/past-use.md derives the bounds.
const maxPastTerm = ppm

// maxPastLoad bounds the past load in computations: far above, the term no longer changes.
const maxPastLoad = 1 << 50

// setPastUse replaces the past use of all teams.
func (s *Scheduler) setPastUse(e PastUseChanged) {
	for _, t := range s.teams {
		t.past = model.Resources{}
	}
	for i := range e.Teams {
		if at, known := s.teamByName[e.Teams[i].Team]; known {
			s.teams[at].past = e.Teams[i].Average
		}
	}
	s.pastHalfLife = e.HalfLife
	s.pastTermsStale = true
}

// updatePastTerms computes the terms of all teams again if what they depend on has changed.
// They are kept between plans, since a plan with hundreds of teams needs each of them.
func (s *Scheduler) updatePastTerms() {
	if !s.pastTermsStale && (s.pastHalfLife == 0 || s.pastTotal == s.total) {
		return
	}
	s.pastTermsStale = false
	s.pastTotal = s.total
	for _, t := range s.teams {
		t.pastTerm = 0
		if s.pastHalfLife != 0 {
			t.pastTerm = pastTerm(s.pastLoad(t))
		}
	}
}

// pastLoad returns the load that the team has had on average over the past, in ppm: a
// million is exactly its share of the cell as it is now.
func (s *Scheduler) pastLoad(t *team) int64 { return s.loadOf(t, t.past) }

// pastTerm returns the term of the precedence key for a past load of P: P/(P+1) of
// maxPastTerm. It grows with P and stays below maxPastTerm.
func pastTerm(load int64) int64 {
	load = min(load, maxPastLoad)
	return mulDiv(load, maxPastTerm, load+ppm)
}

// PastLoad returns the load that the named team has had on average over the past, in ppm: a
// million is exactly its share of the cell. It returns false if past use is not considered
// or the team is unknown.
func (s *Scheduler) PastLoad(name string) (int64, bool) {
	i, known := s.teamByName[name]
	if !known || s.pastHalfLife == 0 {
		return 0, false
	}
	return s.pastLoad(s.teams[i]), true
}

// pastUse adds the teams whose jobs come first only because of past use.
func (w *waitReasons) pastUse() {
	if w.s.pastHalfLife == 0 {
		return
	}
	w.s.updatePastTerms()
	t := w.s.teams[w.j.group.team]
	p := planner{s: w.s, now: w.now}
	own := p.key(t, w.j.startBy)
	var ahead int64
	for _, o := range w.s.teams {
		head := o.firstReady()
		if o == t || head == nil {
			continue
		}
		key := p.key(o, head.startBy)
		if key < own && key-o.pastTerm >= own-t.pastTerm {
			ahead++
		}
	}
	w.add(waitPastUse, ahead, "teams come first because of past use; team %s has used %d%% of its share on average, with a half-life of %s",
		t.name, w.s.pastLoad(t)/(ppm/100), w.s.pastHalfLife)
}

// firstReady returns the job with a ready task that comes first in the team, or nil.
func (t *team) firstReady() *job {
	var first *job
	for i := range t.queue.entries {
		for _, j := range t.queue.entries[i].group.jobs {
			if j.ready > 0 && (first == nil || j.less(first)) {
				first = j
			}
		}
	}
	return first
}

// describePastUse returns the past use of the team for the reason waitShare.
func (w *waitReasons) describePastUse(t *team) string {
	load, known := w.s.PastLoad(t.name)
	if !known {
		return ""
	}
	return fmt.Sprintf(" and has used %d%% of it on average, with a half-life of %s", load/(ppm/100), w.s.pastHalfLife)
}

// ConsidersPastUse reports whether the order of teams takes past use into account.
func (s *Scheduler) ConsidersPastUse() bool { return s.pastHalfLife != 0 }
