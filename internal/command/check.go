package command

import (
	"context"
	"fmt"
	"os"

	"github.com/filbertmast/filbertmast/internal/certs"
	"github.com/filbertmast/filbertmast/internal/declare"
	"github.com/filbertmast/filbertmast/internal/model"
	"github.com/filbertmast/filbertmast/internal/settings"
	"github.com/filbertmast/filbertmast/internal/strict"
)

// checkCommand checks settings and declarations without calling a deployment.
type checkCommand struct {
	Settings     []string `arg:"-s,--settings,separate" placeholder:"FILE" help:"settings of one process; may be repeated"`
	Declarations string   `arg:"-f,--declarations" placeholder:"DIR" help:"folder of declarations"`
	NoFiles      bool     `arg:"--no-files" help:"do not look for the certificates and folders that settings name"`
	findingsOptions
	output

	bounds declare.Bounds // the lowest of the settings
}

func (*checkCommand) describe() string {
	return `Checks settings and declarations without calling anything. Every problem is told
at once, with its file, JSON path, value and the rule broken. Settings that are
checked together must also agree with each other: one name and one set of
addresses for each process, the same founders and leases.

Declarations that break no rule may have entries without an effect: selectors
that no worker can match, routes that no call can have, limits that others take
precedence over (those of the settings, if both are given). They are shown as
findings; "diff" also compares with the version in force and its workers.
`
}

func (c *checkCommand) run(_ context.Context, a *app) error {
	a.json = c.JSON
	if len(c.Settings) == 0 && c.Declarations == "" {
		return usageErrorf("nothing to check: give --settings FILE, --declarations DIR or both")
	}
	problems := c.checkSettings()
	var d model.Declarations
	var findings strict.Problems
	if c.Declarations != "" {
		var found strict.Problems
		d, found, findings = declare.ReviewDir(c.Declarations, c.bounds)
		problems = append(problems, found...)
	}
	if err := problems.Err(); err != nil {
		return err
	}
	if err := c.printResult(a, &d, findings); err != nil {
		return err
	}
	return c.result(findings)
}

func (c *checkCommand) checkSettings() strict.Problems {
	var problems strict.Problems
	files := make([]settings.File, 0, len(c.Settings))
	for _, name := range c.Settings {
		data, err := os.ReadFile(name)
		if err != nil {
			problems.Add(name, "$", nil, "the file cannot be read: %v", err)
			continue
		}
		s, found := settings.Parse(name, data)
		problems = append(problems, found...)
		if !c.NoFiles {
			problems = append(problems, checkNamedFiles(name, s)...)
		}
		files = append(files, settings.File{Name: name, Settings: s})
		c.bound(s)
	}
	return append(problems, settings.CheckDeployment(files)...)
}

// bound lowers the bounds to those of one process.
func (c *checkCommand) bound(s *settings.Settings) {
	if b := s.Outer.MaxBodyBytes; b > 0 && (c.bounds.MaxBodyBytes == 0 || b < c.bounds.MaxBodyBytes) {
		c.bounds.MaxBodyBytes = b
	}
	if b := s.Limits.MaxDeadline; b > 0 && (c.bounds.MaxDeadline == 0 || b < c.bounds.MaxDeadline) {
		c.bounds.MaxDeadline = b
	}
}

// checkNamedFiles checks that the files which the settings name exist. If they
// all do, it also loads the certificates.
func checkNamedFiles(name string, s *settings.Settings) strict.Problems {
	problems := s.CheckFiles(name)
	if len(problems) > 0 {
		return problems
	}
	in := s.Inner
	if in.Certificate != "" && in.Key != "" && in.CA != "" {
		if _, err := certs.LoadTLS(in.Certificate, in.Key, in.CA); err != nil {
			problems.Add(name, "$.inner.certificate", nil, "%v", err)
		}
	}
	if s.Outer.TLS() && s.Outer.Key != "" {
		if _, err := certs.LoadServerTLS(s.Outer.Certificate, s.Outer.Key); err != nil {
			problems.Add(name, "$.outer.certificate", nil, "%v", err)
		}
	}
	return problems
}

// checkJSON is the JSON output of a check that found no problems.
type checkJSON struct {
	Settings     int             `json:"settings"` // number of files
	Declarations bool            `json:"declarations"`
	Findings     strict.Problems `json:"findings,omitempty"`
}

func (c *checkCommand) printResult(a *app, d *model.Declarations, findings strict.Problems) error {
	if a.json {
		return a.writeJSON(checkJSON{Settings: len(c.Settings), Declarations: c.Declarations != "", Findings: findings})
	}
	if len(c.Settings) > 0 {
		a.printf("settings: %d file(s) without problems\n", len(c.Settings))
	}
	if c.Declarations != "" {
		a.printf("declarations: %s, digest %.12s\n", declarationCounts(*d), declare.Digest(d))
	}
	a.printFindings(findings)
	return nil
}

// plural formats a count with a noun, such as "1 task" or "2 tasks".
func plural(n int, thing string) string {
	if n == 1 {
		return fmt.Sprintf("1 %s", thing)
	}
	return fmt.Sprintf("%d %ss", n, thing)
}
