package model

import (
	"errors"
	"testing"

	"gotest.tools/v3/assert"
)

func TestSelectorMatches(t *testing.T) {
	labels := Labels{"zone": "selfoss", "gpu": "a100", "rack": "r1"}
	rows := []struct {
		name     string
		selector string
		want     bool
	}{
		{"the empty selector matches", "", true},
		{"whitespace alone matches", "  ", true},
		{"an equal value matches", "zone=selfoss", true},
		{"== is the same as =", "zone==selfoss", true},
		{"another value does not match", "zone=akureyri", false},
		{"a missing key is not equal", "spot=yes", false},
		{"!= matches another value", "zone!=akureyri", true},
		{"!= matches a missing key", "spot!=yes", true},
		{"in matches one of the values", "zone in (akureyri, selfoss)", true},
		{"in does not match a missing key", "spot in (yes)", false},
		{"notin does not match one of the values", "zone notin (selfoss)", false},
		{"notin matches a missing key", "spot notin (yes)", true},
		{"a key alone matches if the key exists", "gpu", true},
		{"a key with ! matches if the key is missing", "!gpu", false},
		{"all requirements must match", "gpu=a100,zone=akureyri", false},
		{"a key may begin with an operator's name", "inside!=x,notinx!=x", true},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			s, err := ParseSelector(row.selector)
			assert.NilError(t, err)
			assert.Equal(t, s.Matches(labels), row.want)
		})
	}
}

func TestSelectorErrorsIncludePosition(t *testing.T) {
	rows := []struct {
		selector string
		want     string
	}{
		{"=a", `selector "=a", position 1: expected a label key`},
		{"a=", `selector "a=", position 3: expected a value`},
		{"a in b", `selector "a in b", position 6: expected (`},
		{"a in (b", `selector "a in (b", position 8: expected a comma or )`},
		{"a in ()", `selector "a in ()", position 7: expected a value`},
		{"a b", `selector "a b", position 3: expected a comma or the end`},
		{"a,", `selector "a,", position 3: expected a label key`},
		{"!", `selector "!", position 2: expected a label key`},
	}
	for _, row := range rows {
		t.Run(row.selector, func(t *testing.T) {
			_, err := ParseSelector(row.selector)
			var bad *SelectorError
			assert.Assert(t, errors.As(err, &bad))
			assert.Error(t, err, row.want)
		})
	}
}

func FuzzParseSelector(f *testing.F) {
	for _, seed := range []string{"", "a=b", "a in (b,c),!d", "a notin (x)", "in in (in)", "a!=b, c"} {
		f.Add(seed)
	}
	labels := Labels{"a": "b", "in": "in"}
	f.Fuzz(func(t *testing.T, input string) {
		s, err := ParseSelector(input)
		if err != nil {
			var bad *SelectorError
			assert.Assert(t, errors.As(err, &bad))
			assert.Assert(t, bad.Offset >= 0 && bad.Offset <= len(input))
			return
		}
		again, err := ParseSelector(s.String())
		assert.NilError(t, err)
		assert.DeepEqual(t, s, again)
		assert.Equal(t, s.Matches(labels), again.Matches(labels))
	})
}

func TestNamesAndLabels(t *testing.T) {
	assert.Assert(t, ValidName("boa-viagem_1.x"))
	for _, bad := range []string{"", "-a", ".a", "a/b", "a b", "á", string(make([]byte, 64))} {
		assert.Assert(t, !ValidName(bad), "%q", bad)
	}
	assert.Assert(t, ValidLabel("example/zone", ""))
	assert.Assert(t, !ValidLabel("", "x") && !ValidLabel("a", "b c"))
}
