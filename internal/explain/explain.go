// Package explain merges the logs of several processes and tells the story of one
// request, workflow, worker or process: every line that names its ID, and what
// changed for all work meanwhile.
package explain

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"regexp"
	"slices"
	"strings"
	"time"
)

// Line is one line of a log.
type Line struct {
	At         time.Time
	Process    string
	Text       string // without the time
	MentionsID bool   // names the ID
}

// timeFormat shows the time of day to the millisecond.
const timeFormat = "15:04:05.000"

// String returns the line as a story shows it; what does not name the ID stands
// in brackets.
func (l *Line) String() string {
	if l.MentionsID {
		return fmt.Sprintf("%s  %-20s %s", l.At.Format(timeFormat), l.Process, l.Text)
	}
	return fmt.Sprintf("%s  %-20s   (%s)", l.At.Format(timeFormat), l.Process, l.Text)
}

// maxLine bounds one line of a log, in bytes.
const maxLine = 1 << 20

// clusterEvent matches the lines that change what all work goes by.
var clusterEvent = regexp.MustCompile(`This process leads|leads no longer|Worker leases expired|Entry lost|disk is full|Process (started|ended)|Replica `)

// Timeline collects lines about one ID.
type Timeline struct {
	id    *regexp.Regexp
	lines []Line
}

// New begins the story of an ID.
func New(id string) *Timeline {
	return &Timeline{id: regexp.MustCompile(`(^|[^0-9A-Za-z-])` + regexp.QuoteMeta(id) + `($|[^0-9A-Za-z-])`)}
}

// Read takes in the log of a process in the format logfmt. Lines without a time
// are left out. The error is one of the reader, or a line of more than 1 MiB.
func (s *Timeline) Read(r io.Reader, process string) error {
	scan := bufio.NewScanner(r)
	scan.Buffer(nil, maxLine)
	for scan.Scan() {
		if l, ok := parseLine(scan.Text(), process); ok {
			l.MentionsID = s.id.MatchString(l.Text)
			s.lines = append(s.lines, l)
		}
	}
	return scan.Err()
}

// Lines returns the story in the order of time; none where no line names the ID.
func (s *Timeline) Lines() []Line {
	slices.SortStableFunc(s.lines, func(x, y Line) int { return x.At.Compare(y.At) })
	first := slices.IndexFunc(s.lines, func(l Line) bool { return l.MentionsID })
	if first < 0 {
		return nil
	}
	last := first
	for i := range s.lines {
		if s.lines[i].MentionsID {
			last = i
		}
	}
	var out []Line
	for _, l := range s.lines[first : last+1] {
		if l.MentionsID || clusterEvent.MatchString(l.Text) {
			out = append(out, l)
		}
	}
	return out
}

var (
	timeField       = regexp.MustCompile(`time=(\S+) `)
	collectorPrefix = regexp.MustCompile(`^\s*-?\d+\.\d+ (\S+) `)
)

// parseLine reads a line. What stands before its time, such as a clock and a process
// that whoever collected the logs has added, names the process; otherwise the
// file does.
func parseLine(text, file string) (Line, bool) {
	m := timeField.FindStringSubmatchIndex(text)
	if m == nil {
		return Line{}, false
	}
	at, err := time.Parse(time.RFC3339Nano, text[m[2]:m[3]])
	if err != nil {
		return Line{}, false
	}
	l := Line{At: at, Process: file, Text: text[m[1]:]}
	if p := collectorPrefix.FindStringSubmatch(text[:m[0]]); p != nil {
		l.Process = p[1]
	}
	l.Process = cmp.Or(strings.TrimSuffix(l.Process, ".log"), file)
	return l, true
}
