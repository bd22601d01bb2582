package model

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestContradictionNamesKeyThatNothingSatisfies(t *testing.T) {
	rows := []struct{ selector, want string }{
		{"", ""},
		{"a=1", ""},
		{"a=1,b=1", ""},
		{"a=1,a=1", ""},
		{"a=1,a=2", "a"},
		{"a=1,a!=1", "a"},
		{"a=1,a!=2", ""},
		{"b=1,a in (1,2),a in (2,3)", ""},
		{"b=1,a in (1,2),a in (3)", "a"},
		{"a in (1,2),a notin (1,2)", "a"},
		{"a in (1,2),a notin (1)", ""},
		{"a,!a", "a"},
		{"!a,a=1", "a"},
		{"!a,a!=1", ""},
		{"a,a!=1", ""},
	}
	for _, row := range rows {
		s, err := ParseSelector(row.selector)
		assert.NilError(t, err)
		assert.Equal(t, s.Contradiction(), row.want, row.selector)
	}
}
