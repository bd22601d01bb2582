package command

import (
	"github.com/filbertmast/filbertmast/internal/errkind"
	"github.com/filbertmast/filbertmast/internal/strict"
)

// findingsOptions holds the option for findings: valid declarations without an effect.
type findingsOptions struct {
	Strict bool `arg:"--strict" help:"exit with 2 when there are findings"`
}

// result returns the exit code for the findings as an error, or nil for 0.
func (o findingsOptions) result(findings strict.Problems) error {
	if o.Strict && len(findings) > 0 {
		return &exitError{code: errkind.ExitUsage}
	}
	return nil
}

func (a *app) printFindings(findings strict.Problems) {
	for _, f := range findings {
		a.printf("! %s\n", f)
	}
}
