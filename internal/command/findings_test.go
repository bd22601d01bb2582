package command

import (
	"encoding/json"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/filbertmast/filbertmast/internal/api"
	"github.com/filbertmast/filbertmast/internal/errkind"
	"github.com/filbertmast/filbertmast/internal/model"
)

const (
	// withFinding is valid, and its queue never matches a worker.
	withFinding = `{"teams":[{"name":"workshop","share":3,"max_running":5}],
		"queues":[{"name":"rows","workspace":"plans","team":"workshop","selector":"kind=a,kind=b"}]}`
	withoutFinding = `{"teams":[{"name":"workshop","share":3,"max_running":5}],
		"queues":[{"name":"rows","workspace":"plans","team":"workshop","selector":"kind=a"}]}`
)

func declarationsFolder(t *testing.T, text string) string {
	return filepath.Dir(writeFile(t, "a.json", text))
}

// Declarations of which a part never has an effect passed the check without a word.
func TestCheckShowsFindings(t *testing.T) {
	dir := declarationsFolder(t, withFinding)
	r := run(t, "check", "-f", dir)
	assert.Equal(t, r.code, 0, "findings are no errors")
	assert.Assert(t, strings.Contains(r.out, "a.json: $.queues[0].selector"), r.out)
	assert.Equal(t, run(t, "check", "-f", dir, "--strict").code, errkind.ExitUsage)

	r = run(t, "check", "-f", dir, "--json")
	var out checkJSON
	assert.NilError(t, json.Unmarshal([]byte(r.out), &out))
	assert.Equal(t, len(out.Findings), 1)

	r = run(t, "check", "-f", declarationsFolder(t, withoutFinding), "--strict")
	assert.Equal(t, r.code, 0, r.err)
	assert.Assert(t, !strings.Contains(r.out, "!"), r.out)
}

func TestExamplesHaveNoFindings(t *testing.T) {
	for _, d := range deployments {
		args := []string{"check", "-f", filepath.Join(examples, d.name, "declarations"), "--no-files", "--strict"}
		for _, f := range globFiles(t, examples, d.name, "settings", "*.json") {
			args = append(args, "-s", f)
		}
		r := run(t, args...)
		assert.Equal(t, r.code, 0, "%s%s", r.out, r.err)
	}
}

// A limit above that of the processes looked as if it held.
func TestCheckComparesLimitsWithSettings(t *testing.T) {
	dir := declarationsFolder(t, `{"services":[{"name":"carts","workspace":"plans","max_request_bytes":8388608,"deadline":"10m"}]}`)
	assert.Equal(t, run(t, "check", "-f", dir, "--strict").code, 0)
	args := []string{"check", "-f", dir, "--no-files"}
	for _, f := range globFiles(t, examples, "beehive-workshop", "settings", "*.json") {
		args = append(args, "-s", f)
	}
	r := run(t, args...)
	for _, path := range []string{"$.services[0].max_request_bytes", "$.services[0].deadline"} {
		assert.Assert(t, strings.Contains(r.out, path), "%s: %s%s", path, r.out, r.err)
	}
}

// A queue whose workers are not there was found only by the jobs that waited in it.
func TestDiffShowsQueuesThatMatchNoKnownWorker(t *testing.T) {
	rows := []struct {
		name    string
		text    string
		workers []api.WorkerView
		want    int // findings
	}{
		{"a worker matches", withoutFinding, []api.WorkerView{{Mode: "open", Spec: model.WorkerSpec{Labels: model.Labels{"kind": "a"}}}}, 0},
		{"none matches", withoutFinding, []api.WorkerView{{Mode: "open", Spec: model.WorkerSpec{Labels: model.Labels{"kind": "c"}}}}, 1},
		{"the only one is lost", withoutFinding, []api.WorkerView{
			{Mode: "lost", Spec: model.WorkerSpec{Labels: model.Labels{"kind": "a"}}},
			{Mode: "open", Spec: model.WorkerSpec{Labels: model.Labels{"kind": "c"}}}}, 1},
		{"none can match", withFinding, []api.WorkerView{{Mode: "open"}}, 1},
		{"no worker is known", withoutFinding, nil, 0},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			dir := declarationsFolder(t, row.text)
			f := newFakeEntry(t)
			f.respond("GET /v1/declarations", api.DeclarationsView{Version: 7})
			f.respond("GET /v1/workers", api.WorkerList{Workers: row.workers})
			r := run(t, "diff", "-f", dir, "--json")
			assert.Equal(t, r.code, 0, r.err)
			var out diffJSON
			assert.NilError(t, json.Unmarshal([]byte(r.out), &out))
			assert.Equal(t, len(out.Findings), row.want, "%v", out.Findings)
			assert.Equal(t, out.Version, uint64(7))
			strict := run(t, "diff", "-f", dir, "--strict")
			assert.Equal(t, strict.code, row.want*errkind.ExitUsage, strict.err)
			assert.Equal(t, strings.Count(strict.out, "! "), row.want, strict.out)
		})
	}
}

// An entry that can't list its workers must not keep an operator from seeing the differences.
func TestDiffWithoutListOfWorkersShowsDifferences(t *testing.T) {
	f := newFakeEntry(t)
	f.respond("GET /v1/declarations", api.DeclarationsView{Version: 7})
	f.respondError("GET /v1/workers", errkind.Forbidden)
	r := run(t, "diff", "-f", declarationsFolder(t, withoutFinding))
	assert.Equal(t, r.code, 0, r.err)
	assert.Assert(t, strings.Contains(r.out, "2 changes against version 7"), r.out)
	assert.Assert(t, strings.Contains(r.err, "workers are not known"), r.err)
}
