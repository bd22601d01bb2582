package command

import (
	"fmt"
	"strings"
)

// progress is one line on a terminal that is written over. Elsewhere it shows nothing.
type progress struct {
	app   *app
	shown int // characters on the line now
}

func (a *app) newProgress() *progress { return &progress{app: a} }

func (p *progress) show(format string, args ...any) {
	if !p.app.Terminal || p.app.json {
		return
	}
	text := fmt.Sprintf(format, args...)
	fmt.Fprintf(p.app.Err, "\r%s%s", text, strings.Repeat(" ", max(p.shown-len(text), 0)))
	p.shown = len(text)
}

// end clears the line, so that what follows begins at its start.
func (p *progress) end() {
	if p.shown == 0 {
		return
	}
	fmt.Fprintf(p.app.Err, "\r%s\r", strings.Repeat(" ", p.shown))
	p.shown = 0
}

// note tells people something beside the output.
func (a *app) note(format string, args ...any) {
	fmt.Fprintf(a.Err, format+"\n", args...)
}
