package settings

import (
	"fmt"
	"os"
	"reflect"
	"regexp"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

var documentedField = regexp.MustCompile("(?m)^\\| `([a-z_.\\[\\]]+)` \\|([^|]*)\\| [^|]+ \\|$")

// fieldDefaults adds the JSON paths of the fields of v and their default values to out.
func fieldDefaults(v reflect.Value, path string, out map[string]string) {
	for i := range v.NumField() {
		name, _, _ := strings.Cut(v.Type().Field(i).Tag.Get("json"), ",")
		at := strings.TrimPrefix(path+"."+name, ".")
		f := v.Field(i)
		switch {
		case f.Kind() == reflect.Struct:
			fieldDefaults(f, at, out)
		case f.Kind() == reflect.Slice && f.Type().Elem().Kind() == reflect.Struct:
			fieldDefaults(reflect.Zero(f.Type().Elem()), at+"[]", out)
		case f.Kind() == reflect.Slice, f.Kind() == reflect.Int64 && strings.Contains(at, "[]"):
			out[at] = ""
		default:
			out[at] = fmt.Sprint(f.Interface())
		}
	}
}

func TestDocumentationListsEveryFieldWithDefault(t *testing.T) {
	page, err := os.ReadFile("../../docs/SETTINGS.md")
	assert.NilError(t, err)
	got := make(map[string]string)
	for _, m := range documentedField.FindAllStringSubmatch(string(page), -1) {
		_, doubled := got[m[1]]
		assert.Assert(t, !doubled, m[1])
		got[m[1]] = strings.TrimSpace(m[2])
	}
	want := make(map[string]string)
	fieldDefaults(reflect.ValueOf(*Default()), "", want)
	assert.DeepEqual(t, got, want)
}
