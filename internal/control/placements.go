package control

import (
	"strings"
	"time"

	"github.com/filbertmast/filbertmast/internal/model"
	"github.com/filbertmast/filbertmast/internal/state"
	"github.com/filbertmast/filbertmast/internal/workerclient"
)

// maxPlacedOfLine bounds the placed attempts that one line lists; the others follow in
// further lines.
const maxPlacedOfLine = 16

// logPlacements logs where the attempts of a committed plan were placed.
func (l *leader) logPlacements(at model.Fence, events []state.Event) {
	var placed []string
	for _, ev := range events {
		if e, ok := ev.(state.TaskChanged); ok && e.To == model.TaskStarting {
			placed = append(placed, l.attemptText(e.Task, l.c.attemptNumber(e.Task))+"@"+string(e.Worker))
		}
	}
	for len(placed) > 0 {
		n := min(len(placed), maxPlacedOfLine)
		if l.c.budgets.placements.Take(time.Now()) {
			l.c.log.Info("Attempts are placed.", "placed", position(at), "attempts", n, "list", strings.Join(placed[:n], " "))
		}
		placed = placed[n:]
	}
}

// logsStart reports whether a start is logged. The first ones of tasks are sampled; a further
// one, or one that an earlier leader has placed, is always logged up to a budget.
func (p *polledWorkers) logsStart(attempt *workerclient.Attempt, t *state.Task) bool {
	if t.Attempt > 1 || p.inherited(t) {
		return p.l.c.budgets.furtherStarts.Take(time.Now())
	}
	return p.logsTasks(attempt)
}

// earlierAttempt returns log fields about the attempt before the current one of a task, or
// nil if there was none.
func (p *polledWorkers) earlierAttempt(id model.TaskID, t *state.Task) []any {
	if t.Attempt <= 1 {
		return nil
	}
	e := p.l.c.ends.last(id, t.Attempt)
	return []any{"before", e.by, "before_worker", e.worker, "before_placed", position(e.placed), "before_ended", position(e.ended),
		"losses", t.Losses, "restarts", t.Restarts}
}

// countFurtherStart counts a committed placement that is not the first of its task.
func (l *leader) countFurtherStart(id model.TaskID) {
	if n := l.c.attemptNumber(id); n > 1 {
		l.c.s.metrics.furtherStarts.WithLabelValues(l.c.ends.last(id, n).by).Inc()
	}
}
