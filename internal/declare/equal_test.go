package declare

import (
	"reflect"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/filbertmast/filbertmast/internal/model"
)

// setNonZero sets a field to a value other than its zero value.
func setNonZero(t *testing.T, v reflect.Value) {
	t.Helper()
	switch v.Kind() {
	case reflect.String:
		v.SetString("x")
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Int32, reflect.Int64:
		v.SetInt(1)
	case reflect.Struct:
		setNonZero(t, v.Field(0))
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 1, 1))
	case reflect.Map:
		v.Set(reflect.MakeMap(v.Type()))
		v.SetMapIndex(reflect.ValueOf("a"), reflect.ValueOf("b"))
	default:
		t.Fatalf("unexpected field of kind %s", v.Kind())
	}
}

// checkEveryFieldCompared checks that same detects a difference in each field of
// T. A field that is added to T must be added to same.
func checkEveryFieldCompared[T any](t *testing.T, same func(a, b *T) bool) {
	t.Helper()
	for i := range reflect.TypeFor[T]().NumField() {
		var a, b T
		assert.Assert(t, same(&a, &b))
		setNonZero(t, reflect.ValueOf(&b).Elem().Field(i))
		assert.Assert(t, !same(&a, &b), reflect.TypeFor[T]().Field(i).Name)
	}
}

func TestComparisonsCoverEveryField(t *testing.T) {
	checkEveryFieldCompared[model.Team](t, sameTeam)
	checkEveryFieldCompared[model.Key](t, sameKey)
	checkEveryFieldCompared[model.Queue](t, sameQueue)
	checkEveryFieldCompared[model.Service](t, sameService)
}

func TestNormalizeDoesNotModifySharedLists(t *testing.T) {
	d := model.Declarations{
		Teams:    []model.Team{{Name: "b"}, {Name: "a"}},
		Queues:   []model.Queue{{Name: "a", Teams: []string{"y", "x"}}, {Name: "b", Teams: []string{}}},
		Services: []model.Service{{Name: "a", Teams: []string{"y", "x"}}},
		Prices:   []model.PricePoint{{Patience: 2}, {Patience: 1}},
	}
	n := d
	Normalize(&n)
	assert.Equal(t, d.Teams[0].Name, "b")
	assert.DeepEqual(t, d.Queues[0].Teams, []string{"y", "x"})
	assert.DeepEqual(t, d.Services[0].Teams, []string{"y", "x"})
	assert.Equal(t, d.Prices[0].Patience, model.Duration(2))
	assert.Equal(t, n.Teams[0].Name, "a")
	assert.DeepEqual(t, n.Queues[0].Teams, []string{"x", "y"})
	assert.Assert(t, n.Queues[1].Teams == nil)
	assert.DeepEqual(t, n.Services[0].Teams, []string{"x", "y"})
	again := n
	Normalize(&again)
	assert.Assert(t, &again.Teams[0] == &n.Teams[0], "a normalized list is not copied")
}
