package api

import (
	"bytes"
	"encoding/json"
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"regexp"
	"slices"
	"strconv"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/filbertmast/filbertmast/internal/errkind"
	"github.com/filbertmast/filbertmast/internal/model"
)

// pageTypes maps the name after the fence of an example in docs/API.md to its type.
var pageTypes = map[string]func() any{
	"errkind.Body":         func() any { return new(errkind.Body) },
	"model.JobSpec":        func() any { return new(model.JobSpec) },
	"model.WorkerSpec":     func() any { return new(model.WorkerSpec) },
	"model.Key":            func() any { return new(model.Key) },
	"api.JobView":          func() any { return new(JobView) },
	"api.Quote":            func() any { return new(Quote) },
	"api.WhyNot":           func() any { return new(WhyNot) },
	"api.JobList":          func() any { return new(JobList) },
	"api.Cancelled":        func() any { return new(Cancelled) },
	"api.AnnounceAnswer":   func() any { return new(AnnounceAnswer) },
	"api.Heartbeat":        func() any { return new(Heartbeat) },
	"api.HeartbeatAnswer":  func() any { return new(HeartbeatAnswer) },
	"api.Commands":         func() any { return new(Commands) },
	"api.Reports":          func() any { return new(Reports) },
	"api.WorkerList":       func() any { return new(WorkerList) },
	"api.Apply":            func() any { return new(Apply) },
	"api.Applied":          func() any { return new(Applied) },
	"api.DeclarationsView": func() any { return new(DeclarationsView) },
	"api.Status":           func() any { return new(Status) },
	"api.EvacuationView":   func() any { return new(EvacuationView) },
}

var (
	pageExample = regexp.MustCompile("(?ms)^```json ([a-zA-Z.]+)\n(.*?)^```$")
	pageCall    = regexp.MustCompile("(?m)^\\| \\[`(GET|POST|PUT|DELETE) ([^`]+)`\\]")
	routeParam  = regexp.MustCompile(`:(\w+)`)
)

func readPage(t *testing.T) string {
	t.Helper()
	page, err := os.ReadFile("../../docs/API.md")
	assert.NilError(t, err)
	return string(page)
}

func TestAPIPageExamplesMatchTypes(t *testing.T) {
	seen := make(map[string]bool)
	for _, m := range pageExample.FindAllStringSubmatch(readPage(t), -1) {
		newValue, ok := pageTypes[m[1]]
		assert.Assert(t, ok, m[1])
		dec := json.NewDecoder(bytes.NewReader([]byte(m[2])))
		dec.DisallowUnknownFields()
		assert.NilError(t, dec.Decode(newValue()), m[1])
		seen[m[1]] = true
	}
	for name := range pageTypes {
		assert.Assert(t, seen[name], "docs/API.md has no example of %s", name)
	}
}

// servedRoutes extracts the routes from the source code of the entry process.
func servedRoutes(t *testing.T) []string {
	t.Helper()
	file, err := parser.ParseFile(token.NewFileSet(), "../entry/http.go", nil, 0)
	assert.NilError(t, err)
	var out []string
	ast.Inspect(file, func(n ast.Node) bool {
		call, ok := n.(*ast.CallExpr)
		if !ok || len(call.Args) < 2 {
			return true
		}
		method, ok := call.Fun.(*ast.SelectorExpr)
		path, literal := call.Args[0].(*ast.BasicLit)
		if !ok || !literal || !slices.Contains([]string{"GET", "POST", "PUT", "DELETE"}, method.Sel.Name) {
			return true
		}
		text, err := strconv.Unquote(path.Value)
		assert.NilError(t, err)
		if group, ok := method.X.(*ast.Ident); ok && group.Name == "v1" {
			text = "/v1" + text
		}
		out = append(out, method.Sel.Name+" "+text)
		return true
	})
	return out
}

func TestAPIPageListsEveryRoute(t *testing.T) {
	var page []string
	for _, m := range pageCall.FindAllStringSubmatch(readPage(t), -1) {
		page = append(page, m[1]+" "+m[2])
	}
	var served []string
	for _, r := range servedRoutes(t) {
		r = routeParam.ReplaceAllString(r, "{$1}")
		served = append(served, regexp.MustCompile(`\*$`).ReplaceAllString(r, "{path}"))
	}
	slices.Sort(page)
	slices.Sort(served)
	assert.DeepEqual(t, page, served)
}
