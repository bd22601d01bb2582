package command

import (
	"encoding/json"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/filbertmast/filbertmast/internal/declare"
	"github.com/filbertmast/filbertmast/internal/errkind"
	"github.com/filbertmast/filbertmast/internal/model"
	"github.com/filbertmast/filbertmast/internal/settings"
	"github.com/filbertmast/filbertmast/internal/strict"
)

const examples = "../../examples"

var deployments = []struct {
	name      string
	processes int
	domains   []string
	cores     int64
}{
	{"beehive-workshop", 6, []string{"selfoss", "hvolsvollur", "akureyri"}, 16},
	{"lifeguard-rota", 8, []string{"boa-viagem", "olinda", "iracema"}, 32},
}

func globFiles(t *testing.T, parts ...string) []string {
	t.Helper()
	files, err := filepath.Glob(filepath.Join(parts...))
	assert.NilError(t, err)
	return files
}

// certificateArgs returns the arguments with which the certs command creates a
// certificate for each settings file, and the failure domains of the files.
func certificateArgs(t *testing.T, files []string) (args, domains []string) {
	t.Helper()
	for _, f := range files {
		data, err := os.ReadFile(f)
		assert.NilError(t, err)
		s, problems := settings.Parse(f, data)
		assert.NilError(t, problems.Err())
		at, err := netip.ParseAddrPort(s.Inner.Address)
		assert.NilError(t, err)
		args = append(args, s.Name+"="+at.Addr().String())
		domains = append(domains, s.FailureDomain)
	}
	return args, domains
}

func TestExamplesPassTheCheck(t *testing.T) {
	for _, d := range deployments {
		t.Run(d.name, func(t *testing.T) {
			dir := t.TempDir()
			assert.NilError(t, os.CopyFS(dir, os.DirFS(filepath.Join(examples, d.name))))
			files := globFiles(t, dir, "settings", "*.json")
			assert.Equal(t, len(files), d.processes)

			args := []string{"check", "-f", filepath.Join(dir, "declarations")}
			for _, f := range files {
				args = append(args, "-s", f)
			}
			r := run(t, args...)
			assert.Equal(t, r.code, errkind.ExitUsage, "missing certificates were accepted")
			assert.Equal(t, strings.Count(r.err, "the file does not exist"), 3*len(files), r.err)
			assert.Equal(t, run(t, append(args, "--no-files")...).code, 0)

			names, domains := certificateArgs(t, files)
			for _, domain := range d.domains {
				assert.Assert(t, strings.Contains(strings.Join(domains, " "), domain))
			}
			r = run(t, append([]string{"certs", "--dir", filepath.Join(dir, "settings", "certs")}, names...)...)
			assert.Equal(t, r.code, 0, r.err)
			r = run(t, args...)
			assert.Equal(t, r.code, 0, r.err)
			assert.Assert(t, strings.Contains(r.out, "declarations: 4 teams"), r.out)

			// The check detects a certificate that does not match its key.
			process, _, _ := strings.Cut(names[0], "=")
			other, _, _ := strings.Cut(names[1], "=")
			at := func(name string) string { return filepath.Join(dir, "settings", "certs", name+".pem") }
			assert.NilError(t, os.Rename(at(other), at(process)))
			r = run(t, args...)
			assert.Equal(t, r.code, errkind.ExitUsage)
			assert.Assert(t, strings.Contains(r.err, process+".json: $.inner.certificate: certificate"), r.err)
		})
	}
}

func TestExampleDeploymentsHaveSixWorkspaces(t *testing.T) {
	for _, d := range deployments {
		declarations, problems := declare.LoadDir(filepath.Join(examples, d.name, "declarations"))
		assert.NilError(t, problems.Err())
		workspaces := make(map[string]bool)
		for _, q := range declarations.Queues {
			workspaces[q.Workspace] = true
		}
		assert.Equal(t, len(workspaces), 6, d.name)
	}
}

func TestExampleJobsAreValidAndUseDeclaredQueuesAndServices(t *testing.T) {
	for _, d := range deployments {
		declarations, problems := declare.LoadDir(filepath.Join(examples, d.name, "declarations"))
		assert.NilError(t, problems.Err())
		for _, file := range globFiles(t, examples, d.name, "jobs", "*.json") {
			spec := readJob(t, file)
			assert.Assert(t, hasQueue(declarations, spec.Queue), file)
			assert.Assert(t, spec.Service == "" || hasService(declarations, spec.Service), file)
		}
	}
	readJob(t, filepath.Join(examples, "hello.json"))
	data, err := os.ReadFile(filepath.Join(examples, "workflow.json"))
	assert.NilError(t, err)
	var workflow model.WorkflowSpec
	assert.NilError(t, strict.Decode("workflow.json", data, &workflow).Err())
	assert.NilError(t, workflow.Validate())
}

func readJob(t *testing.T, file string) model.JobSpec {
	t.Helper()
	data, err := os.ReadFile(file)
	assert.NilError(t, err)
	var spec model.JobSpec
	assert.NilError(t, strict.Decode(file, data, &spec).Err())
	assert.NilError(t, spec.Validate(), file)
	return spec
}

func hasQueue(declarations model.Declarations, name string) bool {
	for _, q := range declarations.Queues {
		if q.Name == name {
			return true
		}
	}
	return false
}

func hasService(declarations model.Declarations, name string) bool {
	for _, s := range declarations.Services {
		if s.Name == name {
			return true
		}
	}
	return false
}

func TestExampleWorkersHaveTheSizesOfTheDeployments(t *testing.T) {
	for _, d := range deployments {
		data, err := os.ReadFile(filepath.Join(examples, d.name, "worker.json"))
		assert.NilError(t, err)
		var spec model.WorkerSpec
		assert.NilError(t, json.Unmarshal(data, &spec))
		assert.NilError(t, spec.Validate())
		assert.Equal(t, spec.Capacity, model.Resources{CPU: d.cores * 1000, Memory: d.cores * 2048})
	}
}
