package strict

import (
	"encoding/json"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/filbertmast/filbertmast/internal/model"
)

type sample struct {
	Name   string         `json:"name"`
	Count  int32          `json:"count"`
	Wait   model.Duration `json:"wait"`
	Tags   model.Labels   `json:"tags"`
	Inner  sampleInner    `json:"inner"`
	List   []sampleInner  `json:"list"`
	Hidden sampleInner    `json:"hidden" secret:"true"`
}

type sampleInner struct {
	On bool `json:"on"`
}

func TestDecode(t *testing.T) {
	rows := []struct {
		name string
		text string
		want []string // lines of the problems
	}{
		{"a whole document is read", `{"name":"a","count":3,"wait":"5s","tags":{"x":"y"},"inner":{"on":true},"list":[{"on":false}]}`, nil},
		{"an unknown field is named with the known ones", `{"inner":{"off":true}}`, []string{"f: $.inner.off: unknown field; known here: on"}},
		{"a field in another case is suggested", `{"Name":"a"}`, []string{"f: $.Name: unknown field; did you mean name?"}},
		{"a doubled field is refused", `{"name":"a","name":"b"}`, []string{"f: $.name: the field is given twice"}},
		{"wrong types are all told", `{"name":1,"count":"x","list":{"on":1}}`, []string{
			"f: $.name: got 1: must be a string",
			`f: $.count: got "x": must be a number`,
			"f: $.list: got an object: must be an array",
		}},
		{"null is no value", `{"name":null}`, []string{"f: $.name: got null: must be a string"}},
		{"null is an empty list", `{"list":null,"tags":null}`, nil},
		{"a number out of range is refused", `{"count":3000000000}`, []string{"f: $.count: got 3000000000: must be a whole number of at most 32 bits"}},
		{"a fraction is refused", `{"count":1.5}`, []string{"f: $.count: got 1.5: must be a whole number of at most 32 bits"}},
		{"a malformed duration is refused", `{"wait":"5"}`, []string{`f: $.wait: got "5": duration "5" is not of the form "30s", "5m" or "1h30m"`}},
		{"a duration must be a string", `{"wait":5}`, []string{"f: $.wait: got 5: must be a string"}},
		{"a place in a list is told", `{"list":[{},{"on":0}]}`, []string{"f: $.list[1].on: got 0: must be a boolean"}},
		{"an odd name is quoted", `{"tags":{"a b":1}}`, []string{`f: $.tags["a b"]: got 1: must be a string`}},
		{"a secret is never shown", `{"hidden":"fmk_secret"}`, []string{"f: $.hidden: must be an object"}},
		{"a syntax error has line and column", "{\n  \"name\": x}", []string{"f: $: not JSON: invalid character 'x' looking for beginning of value (line 2, column 11)"}},
		{"a cut document is told", `{"name":`, []string{"f: $: not JSON: the text ends too early (line 1, column 8)"}},
		{"an empty document is told", ``, []string{"f: $: the document is empty"}},
		{"nothing may follow", `{} {}`, []string{"f: $: nothing may follow the JSON value (line 1, column 3)"}},
		{"deep nesting is refused", strings.Repeat("[", 100) + strings.Repeat("]", 100), []string{"f: $: the document must not be nested more than 32 levels deep"}},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			var s sample
			problems := Decode("f", []byte(row.text), &s)
			assert.Equal(t, problems.Error(), strings.Join(row.want, "\n"))
			assert.Equal(t, problems.Err() == nil, len(row.want) == 0)
		})
	}
}

func TestDecodeKeepsDefaults(t *testing.T) {
	s := sample{Name: "kept", Wait: model.Duration(time.Second)}
	assert.NilError(t, Decode("f", []byte(`{"count":2}`), &s).Err())
	assert.DeepEqual(t, s, sample{Name: "kept", Count: 2, Wait: model.Duration(time.Second)})
}

func TestCoversMatchesPathAndDescendants(t *testing.T) {
	ps := Problems{{File: "f", Path: "$.list[1]"}}
	assert.Assert(t, ps.Covers("f", "$.list[1].on"))
	assert.Assert(t, ps.Covers("f", "$.list[1]"))
	assert.Assert(t, !ps.Covers("f", "$.list[10]"))
	assert.Assert(t, !ps.Covers("g", "$.list[1]"))
}

// FuzzDecode holds Decode against encoding/json: what it accepts, the standard
// decoder accepts too and reads alike.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"name":"a","count":3,"wait":"5s","tags":{"x":"y"},"inner":{"on":true},"list":[{"on":false}]}`))
	f.Add([]byte(`{"name":"\ud800","list":null,"tags":{"":""}}`))
	f.Add([]byte(`{"count":-0,"wait":"-1ns"}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		var got, want sample
		if len(Decode("f", data, &got)) > 0 {
			return
		}
		assert.NilError(t, json.Unmarshal(data, &want))
		assert.DeepEqual(t, got, want)
	})
}
