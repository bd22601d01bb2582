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
		want []string // expected problems, one per line
	}{
		{"a complete document is decoded", `{"name":"a","count":3,"wait":"5s","tags":{"x":"y"},"inner":{"on":true},"list":[{"on":false}]}`, nil},
		{"an unknown field is reported with the known ones", `{"inner":{"off":true}}`, []string{"f: $.inner.off: unknown field; known here: on"}},
		{"a field in another case is suggested", `{"Name":"a"}`, []string{"f: $.Name: unknown field; did you mean name?"}},
		{"a duplicate field is rejected", `{"name":"a","name":"b"}`, []string{"f: $.name: the field is given twice"}},
		{"all wrong types are reported", `{"name":1,"count":"x","list":{"on":1}}`, []string{
			"f: $.name: got 1: must be a string",
			`f: $.count: got "x": must be a number`,
			"f: $.list: got an object: must be an array",
		}},
		{"null is not a string", `{"name":null}`, []string{"f: $.name: got null: must be a string"}},
		{"null is an empty list", `{"list":null,"tags":null}`, nil},
		{"a number out of range is rejected", `{"count":3000000000}`, []string{"f: $.count: got 3000000000: must be a whole number of at most 32 bits"}},
		{"a fraction is rejected", `{"count":1.5}`, []string{"f: $.count: got 1.5: must be a whole number of at most 32 bits"}},
		{"a malformed duration is rejected", `{"wait":"5"}`, []string{`f: $.wait: got "5": duration "5" is not of the form "30s", "5m" or "1h30m"`}},
		{"a duration must be a string", `{"wait":5}`, []string{"f: $.wait: got 5: must be a string"}},
		{"a problem in a list has its index", `{"list":[{},{"on":0}]}`, []string{"f: $.list[1].on: got 0: must be a boolean"}},
		{"a name with a space is quoted in the path", `{"tags":{"a b":1}}`, []string{`f: $.tags["a b"]: got 1: must be a string`}},
		{"a secret is never shown", `{"hidden":"fmk_secret"}`, []string{"f: $.hidden: must be an object"}},
		{"a syntax error has line and column", "{\n  \"name\": x}", []string{"f: $: not JSON: invalid character 'x' looking for beginning of value (line 2, column 11)"}},
		{"a truncated document is reported", `{"name":`, []string{"f: $: not JSON: the text ends too early (line 1, column 8)"}},
		{"an empty document is reported", ``, []string{"f: $: the document is empty"}},
		{"trailing data is rejected", `{} {}`, []string{"f: $: nothing may follow the JSON value (line 1, column 3)"}},
		{"deep nesting is rejected", strings.Repeat("[", 100) + strings.Repeat("]", 100), []string{"f: $: the document must not be nested more than 32 levels deep"}},
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

// FuzzDecode compares Decode with encoding/json: every document that Decode
// accepts must be accepted by encoding/json as well, with the same result.
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
