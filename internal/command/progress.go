package command

import (
	"fmt"
	"strings"
)

// progress is a status line on a terminal that is overwritten by each update.
// Without a terminal, or with JSON output, it shows nothing.
type progress struct {
	app   *app
	width int // length of the text shown, in bytes
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

// erase erases the status line and moves the cursor to its start.
func (p *progress) erase() {
	if p.width == 0 {
		return
	}
	fmt.Fprintf(p.app.Err, "\r%s\r", strings.Repeat(" ", p.width))
	p.width = 0
}

// printNote prints a line to the error stream, in addition to the output.
func (a *app) printNote(format string, args ...any) {
	fmt.Fprintf(a.Err, format+"\n", args...)
}
