package errkind

import (
	"errors"
	"go/ast"
	"go/parser"
	"go/token"
	"strconv"
	"testing"

	"gotest.tools/v3/assert"
)

// declaredKinds parses the constants of type Kind from the source, so that the
// tests detect a kind without a row in the table.
func declaredKinds(t *testing.T) []Kind {
	t.Helper()
	file, err := parser.ParseFile(token.NewFileSet(), "errkind.go", nil, 0)
	assert.NilError(t, err)
	var kinds []Kind
	ast.Inspect(file, func(n ast.Node) bool {
		spec, ok := n.(*ast.ValueSpec)
		if !ok {
			return true
		}
		if id, ok := spec.Type.(*ast.Ident); !ok || id.Name != "Kind" {
			return true
		}
		for _, v := range spec.Values {
			if lit, ok := v.(*ast.BasicLit); ok {
				s, err := strconv.Unquote(lit.Value)
				assert.NilError(t, err)
				kinds = append(kinds, Kind(s))
			}
		}
		return true
	})
	return kinds
}

func TestEveryKindHasRow(t *testing.T) {
	kinds := declaredKinds(t)
	assert.Equal(t, len(kinds), len(table))
	for _, k := range kinds {
		row, ok := table[k]
		assert.Assert(t, ok, "kind %s has no row", k)
		assert.Assert(t, row.Status >= 400, "kind %s", k)
		assert.Assert(t, row.Exit != ExitOK, "kind %s", k)
		assert.Assert(t, row.Advice != "", "kind %s", k)
	}
}

func TestAfterSendNeverReturnsNotRunKind(t *testing.T) {
	for _, k := range Kinds() {
		got := Of(AfterSend(New(k, "x")))
		if k == ExecutorRefused {
			assert.Equal(t, got, k)
			continue
		}
		assert.Assert(t, !RowOf(got).NotRun, "kind %s became %s", k, got)
	}
}

func TestBodyRoundTripKeepsKindAndRetryAfter(t *testing.T) {
	b := BodyOf(New(Overloaded, "busy"), "r1")
	assert.Equal(t, b.NotRun, true)
	assert.Equal(t, Of(b.Err()), Overloaded)
	assert.Equal(t, BodyOf(b.Err(), "r1"), b)
}

func TestErrorWithoutKindIsInternalAndHidesText(t *testing.T) {
	b := BodyOf(errors.New("secret detail"), "")
	assert.Equal(t, b.Kind, Internal)
	assert.Equal(t, b.Message, "internal error")
	assert.Equal(t, Of(Body{Kind: "from_a_newer_peer"}.Err()), Internal)
}
