package control

import (
	"fmt"
	"time"

	"github.com/filbertmast/filbertmast/internal/model"
	"github.com/filbertmast/filbertmast/internal/state"
	"github.com/filbertmast/filbertmast/internal/workerclient"
)

// appliedEntries are the positions of applied log entries that a new leader names.
type appliedEntries struct {
	last        model.Fence
	earlierTerm model.Fence // the last one of a term before that of last
}

func (a *appliedEntries) add(at model.Fence) {
	if at.Term != a.last.Term {
		a.earlierTerm = a.last
	}
	a.last = at
}

// before returns the last applied entry of a term before the given one.
func (a *appliedEntries) before(term uint64) model.Fence {
	if a.last.Term < term {
		return a.last
	}
	return a.earlierTerm
}

// logTakeover logs what a new leader takes over.
func (l *leader) logTakeover() {
	phases := map[model.TaskPhase]int{}
	workers := 0
	for _, w := range l.c.machine.Workers() {
		if w.Mode == model.WorkerLost {
			continue
		}
		workers++
		for _, id := range w.Held {
			if _, t := l.task(id); t != nil {
				phases[t.Phase]++
			}
		}
	}
	l.c.log.Info("This process leads.", "term", l.term, "index", l.c.machine.Index(), "last_entry", position(l.c.applied.before(l.term)),
		"workers", workers, "starting", phases[model.TaskStarting], "running", phases[model.TaskRunning], "stopping", phases[model.TaskStopping])
}

// What has become of an inherited attempt by the first answer of its worker, as metrics name it.
const (
	foundRunning = "running" // the worker runs it
	foundEnded   = "ended"   // the worker lists its end
	foundAbsent  = "absent"  // the worker lists it nowhere
	foundNever   = "unheard" // the worker was lost before it answered
)

// inheritedOn returns the tasks on a worker that earlier leaders have placed.
func (p *polledWorkers) inheritedOn(w *state.Worker) []model.TaskID {
	var out []model.TaskID
	for _, id := range w.Held {
		if _, t := p.l.task(id); t != nil && p.inherited(t) {
			out = append(out, id)
		}
	}
	return out
}

// logFirstAnswer logs and counts what the first answer of an inherited worker tells about each
// attempt that earlier leaders have placed there.
func (p *polledWorkers) logFirstAnswer(pw *polledWorker, w *state.Worker, poll *sentPoll, resp *workerclient.PollResponse) {
	if !pw.unheard {
		return
	}
	pw.unheard = false
	inherited := p.inheritedOn(w)
	var list []string
	for _, id := range inherited {
		j, t := p.l.task(id)
		found := foundIn(resp, p.attemptOf(id, j, t))
		p.l.c.s.metrics.inheritedAttempts.WithLabelValues(found).Inc()
		list = append(list, fmt.Sprintf("%s:%s:%s:%s", p.l.attemptText(id, t.Attempt), t.Phase, position(t.Fence), found))
	}
	if len(inherited)+len(resp.Active)+len(resp.Ended) == 0 || !p.l.c.budgets.firstAnswers.Take(time.Now()) {
		return
	}
	p.l.c.log.Info("An inherited worker has answered for the first time.", append([]any{"worker", pw.target.Worker, "term", p.l.term,
		"session", pw.session, "fence", poll.fence, "poll_age", p.l.c.s.now().Sub(poll.sentAt),
		"listed_running", len(resp.Active), "listed_ended", len(resp.Ended), "more_ends", resp.MoreEnds}, attemptList(list)...)...)
}

// foundIn returns what a response tells about an attempt.
func foundIn(resp *workerclient.PollResponse, attempt workerclient.Attempt) string {
	for i := range resp.Ended {
		if resp.Ended[i].Attempt == attempt {
			return foundEnded
		}
	}
	for i := range resp.Active {
		if resp.Active[i].Attempt == attempt {
			return foundRunning
		}
	}
	return foundAbsent
}

// countUnheard counts the inherited attempts of a worker that ends before its first answer.
func (p *polledWorkers) countUnheard(id model.WorkerID, placed model.Fence) {
	if pw := p.workers[id]; pw != nil && pw.unheard && placed.Term < p.l.term {
		p.l.c.s.metrics.inheritedAttempts.WithLabelValues(foundNever).Inc()
	}
}
