// Package strict decodes JSON documents into Go structs, rejects everything that
// the structs do not define, and reports all problems in one pass, each with its
// file, JSON path, value and violated rule. It does no I/O.
package strict

import (
	"fmt"
	"strings"
)

// maxValueLength is the maximum length of the value in a problem, in bytes.
// Longer values are truncated.
const maxValueLength = 80

// Problem describes one value that violates a rule.
type Problem struct {
	File  string `json:"file,omitempty"`
	Path  string `json:"path"` // JSON path, such as $.inner.address
	Value string `json:"value,omitempty"`
	Rule  string `json:"rule"`
}

// String formats p as one line without a line break.
func (p Problem) String() string {
	var b strings.Builder
	if p.File != "" {
		b.WriteString(p.File + ": ")
	}
	b.WriteString(p.Path + ": ")
	if p.Value != "" {
		b.WriteString("got " + p.Value + ": ")
	}
	b.WriteString(p.Rule)
	return b.String()
}

// Problems is a list of problems. It implements error; use Err to get a nil
// error from an empty list.
type Problems []Problem

// Error implements error. It returns one line per problem.
func (ps Problems) Error() string {
	lines := make([]string, len(ps))
	for i, p := range ps {
		lines[i] = p.String()
	}
	return strings.Join(lines, "\n")
}

// Err returns ps as an error, or nil when ps is empty.
func (ps Problems) Err() error {
	if len(ps) == 0 {
		return nil
	}
	return ps
}

// Add appends a problem. A nil value is omitted.
func (ps *Problems) Add(file, path string, value any, format string, args ...any) {
	p := Problem{File: file, Path: path, Rule: fmt.Sprintf(format, args...)}
	if value != nil {
		p.Value = FormatValue(value)
	}
	*ps = append(*ps, p)
}

// Covers reports whether ps contains a problem at path in file or at one of its
// parents.
func (ps Problems) Covers(file, path string) bool {
	for _, p := range ps {
		if p.File != file || !strings.HasPrefix(path, p.Path) {
			continue
		}
		rest := path[len(p.Path):]
		if rest == "" || rest[0] == '.' || rest[0] == '[' {
			return true
		}
	}
	return false
}

// FormatValue formats value for a problem: strings are quoted and long values truncated.
func FormatValue(value any) string {
	var s string
	switch v := value.(type) {
	case string:
		s = fmt.Sprintf("%q", v)
	case fmt.Stringer:
		s = v.String()
	default:
		s = fmt.Sprintf("%v", v)
	}
	if len(s) <= maxValueLength {
		return s
	}
	return strings.ToValidUTF8(s[:maxValueLength], "") + "..."
}
