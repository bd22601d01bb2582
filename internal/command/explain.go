package command

import (
	"bufio"
	"cmp"
	"context"
	"errors"
	"io"
	"regexp"
	"slices"
	"strings"
	"time"
)

// explainCommand tells the story of one request, workflow, worker or process
// from the logs of several processes.
type explainCommand struct {
	Log []string `arg:"-l,--log,separate,required" placeholder:"FILE" help:"log of a process, in the format logfmt; - is standard input"`
	ID  string   `arg:"positional,required" help:"ID of a request, workflow, worker or replica, or the name of a process"`
}

func (*explainCommand) describe() string {
	return `Prints every line of the logs that names the ID, in the order of time, with
what the processes believed meanwhile: who led, and which peers were lost.
`
}

// logLine is one line of a log.
type logLine struct {
	at      time.Time
	process string
	text    string
	about   bool // names the ID
}

// maxLogLine bounds one line of a log, in bytes.
const maxLogLine = 1 << 20

func (c *explainCommand) run(_ context.Context, a *app) error {
	var lines []logLine
	for _, name := range c.Log {
		read, err := c.read(a, name)
		if err != nil {
			return err
		}
		lines = append(lines, read...)
	}
	slices.SortStableFunc(lines, func(x, y logLine) int { return x.at.Compare(y.at) })
	first := slices.IndexFunc(lines, func(l logLine) bool { return l.about })
	if first < 0 {
		return &exitError{code: 1, message: "no line names " + c.ID}
	}
	last := first
	for i := range lines {
		if lines[i].about {
			last = i
		}
	}
	for i := range lines {
		c.print(a, &lines[i], i >= first && i <= last)
	}
	return nil
}

// print writes a line about the ID, or one that tells of the system meanwhile.
func (c *explainCommand) print(a *app, l *logLine, meanwhile bool) {
	switch {
	case l.about:
		a.printf("%s  %-20s %s\n", l.at.Format(logTime), l.process, l.text)
	case meanwhile && turning.MatchString(l.text):
		a.printf("%s  %-20s   (%s)\n", l.at.Format(logTime), l.process, l.text)
	}
}

// logTime shows the time of day to the millisecond.
const logTime = "15:04:05.000"

// turning matches the lines that change what all work goes by.
var turning = regexp.MustCompile(`This process leads|leads no longer|Worker leases expired|Entry lost|disk is full|Process (started|ended)|Replica `)

var (
	logStamp   = regexp.MustCompile(`time=(\S+) `)
	logProcess = regexp.MustCompile(`^\s*-?\d+\.\d+ (\S+) `)
)

func (c *explainCommand) read(a *app, name string) ([]logLine, error) {
	in, err := a.open(name)
	if err != nil {
		return nil, err
	}
	defer in.Close()
	id := regexp.MustCompile(`(^|[^0-9A-Za-z-])` + regexp.QuoteMeta(c.ID) + `($|[^0-9A-Za-z-])`)
	scan := bufio.NewScanner(in)
	scan.Buffer(nil, maxLogLine)
	var out []logLine
	for scan.Scan() {
		if l, ok := parseLogLine(scan.Text(), name); ok {
			l.about = id.MatchString(l.text)
			out = append(out, l)
		}
	}
	if err := scan.Err(); err != nil && !errors.Is(err, io.EOF) {
		return nil, usageErrorf("%s cannot be read: %v", name, err)
	}
	return out, nil
}

// parseLogLine reads a line in the format logfmt. What stands before its time,
// such as a clock and a process that whoever collected the logs has added, names
// the process; otherwise the file does.
func parseLogLine(text, file string) (logLine, bool) {
	m := logStamp.FindStringSubmatchIndex(text)
	if m == nil {
		return logLine{}, false
	}
	at, err := time.Parse(time.RFC3339Nano, text[m[2]:m[3]])
	if err != nil {
		return logLine{}, false
	}
	l := logLine{at: at, process: file, text: text[m[1]:]}
	if p := logProcess.FindStringSubmatch(text[:m[0]]); p != nil {
		l.process = p[1]
	}
	l.process = cmp.Or(strings.TrimSuffix(l.process, ".log"), file)
	return l, true
}
