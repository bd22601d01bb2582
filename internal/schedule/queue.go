package schedule

import (
	"maps"

	"github.com/filbertmast/filbertmast/internal/model"
)

// setQueues replaces the selectors of the queues. Waiting jobs follow the selector of their
// queue: those of a queue that has none any more keep the last one.
func (s *Scheduler) setQueues(queues []model.Queue) {
	next := make(map[string]string, len(queues))
	for i := range queues {
		next[queues[i].Name] = queues[i].WorkerSelector()
	}
	if maps.Equal(next, s.queues) {
		return
	}
	s.queues = next
	for _, g := range s.groups {
		if selector, known := next[g.queue]; known && selector != g.queueSelector {
			s.changeSelector(g, selector)
		}
	}
}

// useSelector makes the workers of g those that match both the given selector of its queue
// and that of its jobs. A malformed selector matches nothing.
func (s *Scheduler) useSelector(g *group, ofQueue string) {
	g.selector, g.queueSelector = s.selector(ofQueue, g.jobSelector), ofQueue
	s.selectors.all[g.selector].uses++
}

// changeSelector replaces the selector of the queue of g, and drops what is known of whether
// its jobs fit. The next plan drops what they hold on workers that no longer match.
func (s *Scheduler) changeSelector(g *group, ofQueue string) {
	before := g.selector
	s.useSelector(g, ofQueue)
	s.selectors.drop(before)
	s.fitBounds.release(g)
	g.sizeCellVersion, g.fitCellVersion = noVersion, noVersion
	g.searchAfter, g.reserveAfter = 0, 0
	for _, j := range g.jobs {
		j.reserveAfter, j.bookAfter = 0, 0
	}
	s.markStale(g)
}

// Serves reports whether tasks of a job may run on a worker by the selectors of its queue and
// its own. It returns true if either is unknown.
func (s *Scheduler) Serves(worker model.WorkerID, id model.JobID) bool {
	slot, known := s.workerByID[worker]
	j := s.jobs[id]
	return !known || j == nil || s.matches(j.group.selector, s.workers[slot].class)
}
