package control

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/filbertmast/filbertmast/internal/model"
	"github.com/filbertmast/filbertmast/internal/state"
)

// logCommitted logs what a committed command means for attempts. It runs before the leader
// handles the events, while the ended incarnations of workers are still known.
func (l *leader) logCommitted(cmd *state.Command, at model.Fence, events []state.Event) {
	switch {
	case cmd.Place != nil:
		l.logPlacements(at, events)
	case cmd.MarkWorkersLost != nil || cmd.Announce != nil || cmd.LoseAttempts != nil:
		l.logWorkerEnds(cmd, at, events)
	}
}

// logWorkerEnds logs and counts the attempts that a command ends together with their worker
// or its lease, in one line for each worker.
func (l *leader) logWorkerEnds(cmd *state.Command, at model.Fence, events []state.Event) {
	ended := map[model.WorkerID][]string{}
	for _, ev := range events {
		switch e := ev.(type) {
		case state.TaskChanged:
			if endsAttempt(&e) {
				l.countWorkerEnd(cmd, &e)
				text := l.attemptText(e.Task, l.c.attemptNumber(e.Task))
				ended[e.Worker] = append(ended[e.Worker], fmt.Sprintf("%s:%s:%s", text, e.From, position(e.Fence)))
			}
		case state.WorkerChanged:
			if _, ok := ended[e.Spec.ID]; !ok && e.Mode == model.WorkerLost {
				ended[e.Spec.ID] = nil // logged also without attempts
			}
		}
	}
	for _, id := range slices.Sorted(maps.Keys(ended)) {
		l.logWorkerEnd(cmd, at, id, ended[id])
	}
}

func (l *leader) countWorkerEnd(cmd *state.Command, e *state.TaskChanged) {
	l.c.s.metrics.workerEnds.WithLabelValues(workerEndCause(cmd, e.Worker)).Inc()
	l.polled.countUnheard(e.Worker, e.Fence)
}

func (l *leader) logWorkerEnd(cmd *state.Command, at model.Fence, id model.WorkerID, attempts []string) {
	if !l.c.budgets.workerEnds.Take(time.Now()) {
		return
	}
	fields := []any{"worker", id, "cause", workerEndCause(cmd, id), "ended", position(at)}
	if pw := l.polled.workers[id]; pw != nil {
		now := l.c.s.now()
		fields = append(fields, "session", pw.session, "incarnation", pw.target.Incarnation,
			"last_grant", age(pw.grantedAt, now), "last_answer", age(pw.heardAt, now))
	}
	l.c.log.Warn("Attempts end with their worker.", append(fields, attemptList(attempts)...)...)
}
