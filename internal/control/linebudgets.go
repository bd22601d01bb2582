package control

import (
	"fmt"
	"strings"

	"github.com/charmbracelet/log"

	"github.com/filbertmast/filbertmast/internal/model"
	"github.com/filbertmast/filbertmast/internal/obs"
)

// Lines that tell why a task has a further attempt are not sampled by workflow, so that they
// exist for every task. Each kind has a budget instead.

// maxAttemptsOfLine bounds the attempts that one line lists.
const maxAttemptsOfLine = 32

// lineBudgets bound the lines of each kind.
type lineBudgets struct {
	furtherStarts *obs.LineBudget
	placements    *obs.LineBudget
	releases      *obs.LineBudget
	workerEnds    *obs.LineBudget
	firstAnswers  *obs.LineBudget
	unknown       *obs.LineBudget
	lateResponses *obs.LineBudget
}

func newLineBudgets(logger *log.Logger) lineBudgets {
	return lineBudgets{
		furtherStarts: obs.NewLineBudget(logger, "further starts", 100, 1000),
		placements:    obs.NewLineBudget(logger, "placements", 100, 400),
		releases:      obs.NewLineBudget(logger, "releases", 100, 1000),
		workerEnds:    obs.NewLineBudget(logger, "ends of workers", 50, 500),
		firstAnswers:  obs.NewLineBudget(logger, "first answers of workers", 50, 1500),
		unknown:       obs.NewLineBudget(logger, "unknown attempts", 50, 500),
		lateResponses: obs.NewLineBudget(logger, "late responses", 50, 500),
	}
}

// report logs how many lines of each kind were left out.
func (b *lineBudgets) report() {
	for _, budget := range []*obs.LineBudget{b.furtherStarts, b.placements, b.releases, b.workerEnds, b.firstAnswers, b.unknown, b.lateResponses} {
		budget.Report()
	}
}

// attemptText names an attempt of a task in a list.
func (l *leader) attemptText(id model.TaskID, number uint32) string {
	j := l.c.machine.Job(id.Job)
	if j == nil || j.Step == nil {
		return fmt.Sprintf("%s#%d", id, number)
	}
	name := l.stepName(j)
	if name.Run != 0 {
		return fmt.Sprintf("%s/%d.%d.%d#%d", name.Workflow, name.Run, name.Step, id.Index, number)
	}
	return fmt.Sprintf("%s.%d.%d#%d", name.Workflow, name.Step, id.Index, number)
}

// attemptList formats attempts for one line, up to maxAttemptsOfLine.
func attemptList(attempts []string) []any {
	shown := attempts[:min(len(attempts), maxAttemptsOfLine)]
	return []any{"attempts", len(attempts), "left_out", len(attempts) - len(shown), "list", strings.Join(shown, " ")}
}

// age formats the time since a moment.
func age(at, now model.Time) string {
	if at == 0 {
		return "never"
	}
	return now.Sub(at).String()
}
