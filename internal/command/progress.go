package command

import (
	"fmt"
	"strings"
)

// progress is one line on a terminal that is written over. Elsewhere it shows nothing.
type progress struct {
	app   *app
	width int // characters on the line now
}

func (a *app) newProgress() *progress { return &progress{app: a} }

func (p *progress) show(format string, args ...any) {
	if !p.app.Terminal || p.app.json {
		return
	}
	text := fmt.Sprintf(format, args...)
	fmt.Fprintf(p.app.Err, "\r%s%s", text, strings.Repeat(" ", max(p.width-len(text), 0)))
	p.width = len(text)
}

// clear clears the line, so that what follows begins at its start.
func (p *progress) clear() {
	if p.width == 0 {
		return
	}
	fmt.Fprintf(p.app.Err, "\r%s\r", strings.Repeat(" ", p.width))
	p.width = 0
}

// printNote tells people something beside the output.
func (a *app) printNote(format string, args ...any) {
	fmt.Fprintf(a.Err, format+"\n", args...)
}
