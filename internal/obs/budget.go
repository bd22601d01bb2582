package obs

import (
	"time"

	"github.com/charmbracelet/log"
	"golang.org/x/time/rate"
)

// LineBudget bounds the rate of the log lines of one kind, of which each matters and a flood is
// rare. It counts the lines beyond it. It is not safe for concurrent use.
type LineBudget struct {
	log     *log.Logger
	kind    string
	limiter *rate.Limiter
	dropped int // since the last report
}

// NewLineBudget returns a LineBudget of perSecond lines a second and burst lines at once. The
// kind names the lines when it reports to the logger how many were dropped.
func NewLineBudget(logger *log.Logger, kind string, perSecond, burst int) *LineBudget {
	return &LineBudget{log: logger, kind: kind, limiter: rate.NewLimiter(rate.Limit(perSecond), burst)}
}

// Take reports whether a line may be logged at now. The caller formats the line only then.
func (b *LineBudget) Take(now time.Time) bool {
	if !b.limiter.AllowN(now, 1) {
		b.dropped++
		return false
	}
	b.Report()
	return true
}

// Report logs how many lines were dropped since the last report, if any were.
func (b *LineBudget) Report() {
	if b.dropped == 0 {
		return
	}
	b.log.Warn("Lines of one kind were left out.", "lines", b.dropped, "kind", b.kind)
	b.dropped = 0
}
