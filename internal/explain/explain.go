// Package explain merges the logs of several processes into the timeline of one
// request, workflow, worker or process. The timeline has every line that contains
// the ID, and the cluster events in between, such as a change of the leader.
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
	Text       string // without the time field
	MentionsID bool   // Text contains the ID
}

// timeFormat shows the time of day to the millisecond.
const timeFormat = "15:04:05.000"

// String formats the line for a timeline. The text is in parentheses if it does
// not contain the ID.
func (l *Line) String() string {
	if l.MentionsID {
		return fmt.Sprintf("%s  %-20s %s", l.At.Format(timeFormat), l.Process, l.Text)
	}
	return fmt.Sprintf("%s  %-20s   (%s)", l.At.Format(timeFormat), l.Process, l.Text)
}

// maxLine is the maximum length of a log line in bytes.
const maxLine = 1 << 20

// clusterEvent matches log lines about events that affect all work.
var clusterEvent = regexp.MustCompile(`This process leads|leads no longer|Worker leases expired|Entry lost|disk is full|Process (started|ended)|Replica `)

// Timeline collects lines about one ID.
type Timeline struct {
	id    *regexp.Regexp
	lines []Line
}

// New returns an empty Timeline of an ID.
func New(id string) *Timeline {
	return &Timeline{id: regexp.MustCompile(`(^|[^0-9A-Za-z-])` + regexp.QuoteMeta(id) + `($|[^0-9A-Za-z-])`)}
}

// Read adds the log of a process in logfmt. It skips lines without a time. It
// returns an error if r fails or a line is longer than 1 MiB.
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

// Lines returns the timeline sorted by time. It returns nil if no line contains the ID.
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

// parseLine parses a log line. A log collector may have prefixed it with a clock and
// a process, which then names the process. Otherwise the name is that of the file.
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
