package errkind

import (
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// documentedRow formats a row of the table as docs/API.md must contain it.
func documentedRow(k Kind, r Row) string {
	yesNo := map[bool]string{true: "yes", false: "no"}
	retry := "no"
	if r.RetryAfter > 0 {
		retry = r.RetryAfter.Round(time.Millisecond).String()
	}
	return fmt.Sprintf("| `%s` | %d | %s | %s | %d | %s |", k, r.Status, yesNo[r.NotRun], retry, r.Exit, r.Advice)
}

func TestDocumentationMatchesTable(t *testing.T) {
	page, err := os.ReadFile("../../docs/API.md")
	assert.NilError(t, err)
	_, table, ok := strings.Cut(string(page), "| kind | status |")
	assert.Assert(t, ok)
	table, _, _ = strings.Cut(table, "\n\n")
	var got []string
	for _, line := range strings.Split(table, "\n") {
		if strings.HasPrefix(line, "| `") {
			got = append(got, line)
		}
	}
	var want []string
	for _, k := range declaredKinds(t) {
		want = append(want, documentedRow(k, RowOf(k)))
	}
	assert.DeepEqual(t, got, want)
}
