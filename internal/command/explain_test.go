package command

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const leaderLog = `time=2026-12-04T06:00:00.100Z level=info prefix=control msg="Workflow accepted." workflow=5c0e queue=q team=t
time=2026-12-04T06:00:00.200Z level=info prefix=control msg="Start is sent." workflow=5c0e step=0 index=0 attempt=1 worker=i-1
time=2026-12-04T06:00:00.250Z level=info prefix=control msg="Start is sent." workflow=5c0ef step=0 index=0 attempt=1 worker=i-1
not a line of a log
`

const nextLog = `time=2026-12-04T06:00:01.000Z level=info prefix=control msg="This process leads." term=4 index=7
time=2026-12-04T06:00:05.000Z level=warn prefix=control msg="Worker leases expired." workers=1
time=2026-12-04T06:00:05.100Z level=info prefix=control msg="Start is sent." workflow=5c0e step=0 index=0 attempt=2 worker=i-2
time=2026-12-04T06:00:09.000Z level=warn prefix=control msg="Worker leases expired." workers=9
`

func explainID(t *testing.T, id string, logs map[string]string) (string, int) {
	t.Helper()
	dir := t.TempDir()
	args := []string{"explain"}
	for name, text := range logs {
		path := filepath.Join(dir, name)
		assert.NilError(t, os.WriteFile(path, []byte(text), 0o600))
		args = append(args, "--log", path)
	}
	var out, errs bytes.Buffer
	code := Run(context.Background(), append(args, id), Streams{Out: &out, Err: &errs})
	return strings.ReplaceAll(out.String()+errs.String(), dir+"/", ""), code
}

func TestExplainMergesLogsOfSeveralProcesses(t *testing.T) {
	got, code := explainID(t, "5c0e", map[string]string{"a.log": leaderLog, "b.log": nextLog})
	assert.Equal(t, code, 0, got)
	var messages []string
	for _, line := range strings.Split(strings.TrimSpace(got), "\n") {
		messages = append(messages, strings.Join(strings.Fields(line)[:2], " ")+" "+line[strings.Index(line, "msg=")+5:strings.LastIndex(line, `."`)])
	}
	assert.DeepEqual(t, messages, []string{
		"06:00:00.100 a Workflow accepted",
		"06:00:00.200 a Start is sent",
		"06:00:01.000 b This process leads",
		"06:00:05.000 b Worker leases expired",
		"06:00:05.100 b Start is sent",
	})
}

func TestExplainUsesProcessNameAddedByCollector(t *testing.T) {
	got, code := explainID(t, "5c0e", map[string]string{"all": "  12.3456 core-1 " + strings.SplitN(leaderLog, "\n", 2)[0]})
	assert.Equal(t, code, 0, got)
	assert.Assert(t, strings.Contains(got, "06:00:00.100  core-1 "), got)
}

func TestExplainReportsUnknownID(t *testing.T) {
	got, code := explainID(t, "none", map[string]string{"a.log": leaderLog})
	assert.Equal(t, code, 1)
	assert.Assert(t, strings.Contains(got, "no line names none"), got)
}
