package declare

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/filbertmast/filbertmast/internal/model"
)

// reviewed is a set of declarations without findings.
func reviewed() model.Declarations {
	return model.Declarations{
		Teams: []model.Team{{Name: "workshop", Share: 1, MaxRunning: 5}},
		Queues: []model.Queue{{Name: "rows", Workspace: "plans", Team: "workshop", Selector: "kind=a", Service: "carts",
			Route:  model.Route{Host: "a.example", PathPrefix: "/x/"},
			Policy: model.PolicyCosts{Base: model.Duration(time.Second), Valid: model.Duration(time.Minute)}}},
		Services: []model.Service{{Name: "carts", Workspace: "plans", MaxRequest: 1000, Deadline: model.Duration(time.Second)}},
	}
}

// Valid declarations with an entry that has no effect were accepted without a word.
func TestReviewFindsEntriesThatHaveNoEffect(t *testing.T) {
	rows := []struct {
		name string
		with func(*model.Declarations)
		path string // of the finding; empty: none
	}{
		{"sound", func(*model.Declarations) {}, ""},
		{"selector", func(d *model.Declarations) { d.Queues[0].Selector = "kind=a,kind=b" }, "$.queues[0].selector"},
		{"selector and service", func(d *model.Declarations) { d.Queues[0].Selector = model.LabelService + "=other" }, "$.queues[0].selector"},
		{"permits", func(d *model.Declarations) { d.Queues[0].Policy.Valid = model.Duration(250 * time.Millisecond) }, "$.queues[0].policy.valid"},
		{"no permits needed", func(d *model.Declarations) { d.Queues[0].Policy = model.PolicyCosts{} }, ""},
		{"stretch", func(d *model.Declarations) { d.Queues[0].StretchPermille = 900 }, "$.queues[0].stretch_permille"},
		{"stretch with allowance", func(d *model.Declarations) {
			d.Queues[0].StretchPermille, d.Queues[0].Allowance = 900, model.Duration(time.Second)
		}, ""},
		{"owner", func(d *model.Declarations) { d.Queues[0].Teams = []string{"workshop"} }, "$.queues[0].teams[0]"},
		{"no route", func(d *model.Declarations) { d.Queues[0].Route = model.Route{} }, ""},
		{"host with port", func(d *model.Declarations) { d.Queues[0].Route.Host = "a.example:80" }, "$.queues[0].route.host"},
		{"host with address", func(d *model.Declarations) { d.Queues[0].Route.Host = "::1" }, ""},
		{"host with path", func(d *model.Declarations) { d.Queues[0].Route.Host = "a.example/x" }, "$.queues[0].route.host"},
		{"no host", func(d *model.Declarations) { d.Queues[0].Route.Host = "" }, "$.queues[0].route.host"},
		{"upper case", func(d *model.Declarations) { d.Queues[0].Route.Host = "A.example" }, "$.queues[0].route.host"},
		{"relative prefix", func(d *model.Declarations) { d.Queues[0].Route.PathPrefix = "x/" }, "$.queues[0].route.path_prefix"},
		{"prefix with query", func(d *model.Declarations) { d.Queues[0].Route.PathPrefix = "/x?y" }, "$.queues[0].route.path_prefix"},
		{"empty segment", func(d *model.Declarations) { d.Queues[0].Route.PathPrefix = "//x" }, "$.queues[0].route.path_prefix"},
		{"nothing may run", func(d *model.Declarations) { d.Teams[0].MaxRunning = 0 }, "$.teams[0].max_running"},
		{"body limit", func(d *model.Declarations) { d.Services[0].MaxRequest = 5000 }, "$.services[0].max_request_bytes"},
		{"deadline", func(d *model.Declarations) { d.Services[0].Deadline = model.Duration(time.Hour) }, "$.services[0].deadline"},
	}
	bounds := Bounds{MaxBodyBytes: 4096, MaxDeadline: model.Duration(time.Minute)}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			d := reviewed()
			row.with(&d)
			assert.Equal(t, len(Validate(&d)), 0, "%v", Validate(&d))
			found := Review(&d, bounds)
			if row.path == "" {
				assert.Equal(t, len(found), 0, "%v", found)
				return
			}
			assert.Equal(t, len(found), 1, "%v", found)
			assert.Equal(t, found[0].Path, row.path)
		})
	}
}

// Limits of processes that are not known contradict nothing.
func TestReviewWithoutBoundsComparesNoLimits(t *testing.T) {
	d := reviewed()
	d.Services[0].MaxRequest, d.Services[0].Deadline = 1<<30, model.Duration(time.Hour)
	assert.Equal(t, len(Review(&d, Bounds{})), 0)
}

func TestReviewOfWorkersNamesQueuesWithoutOne(t *testing.T) {
	d := reviewed()
	fits := model.Labels{"kind": "a", model.LabelService: "carts"}
	assert.Equal(t, len(ReviewWorkers(&d, []model.Labels{{"kind": "b"}, fits})), 0)
	found := ReviewWorkers(&d, []model.Labels{{"kind": "a"}, {model.LabelService: "carts"}})
	assert.Equal(t, len(found), 1)
	assert.Assert(t, strings.Contains(found[0].Rule, "rows matches none of the 2 known workers"), found[0].Rule)
	d.Queues[0].Selector = "kind=a,kind=b"
	assert.Equal(t, len(ReviewWorkers(&d, nil)), 0, "Review reports it")
}

// The lists are sorted when they are loaded, so that an index would name another item of the file.
func TestReviewOfFolderNamesFileAndItem(t *testing.T) {
	dir := t.TempDir()
	text := `{"teams":[{"name":"z","share":1,"max_running":0},{"name":"a","share":1,"max_running":1}]}`
	assert.NilError(t, os.WriteFile(filepath.Join(dir, "t.json"), []byte(text), 0o600))
	d, problems, findings := ReviewDir(dir, Bounds{})
	assert.Equal(t, len(problems), 0)
	assert.Equal(t, d.Teams[0].Name, "a")
	assert.Equal(t, len(findings), 1)
	assert.Assert(t, strings.HasSuffix(findings[0].File, "t.json"))
	assert.Equal(t, findings[0].Path, "$.teams[0].max_running")
}
