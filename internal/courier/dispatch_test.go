package courier

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestFirstAnswerOfTwoCallsDecides(t *testing.T) {
	rows := []struct {
		name    string
		answers []Verdict
		want    []bool // decides
	}{
		{"the second call is answered, the first never", []Verdict{Accepted, Unknown}, []bool{true, false}},
		{"both are answered", []Verdict{Accepted, Accepted}, []bool{true, false}},
		{"one is given up, the other is answered", []Verdict{Unknown, Refused}, []bool{false, true}},
		{"both are given up", []Verdict{Unknown, Unknown}, []bool{false, true}},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			var s Dispatch
			round := s.Begin()
			assert.Assert(t, s.Repeat(round))
			assert.Assert(t, !s.Repeat(round), "twice at most")
			for i, v := range row.answers {
				assert.Equal(t, s.End(round, v), row.want[i], "answer %d", i)
			}
			assert.Assert(t, !s.InFlight())
		})
	}
}

func TestAnswersToEarlierRoundAreIgnored(t *testing.T) {
	var s Dispatch
	first := s.Begin()
	assert.Assert(t, s.Repeat(first))
	assert.Assert(t, s.End(first, Accepted))
	second := s.Begin()
	assert.Assert(t, !s.End(first, Unknown))
	assert.Assert(t, !s.Repeat(first))
	assert.Assert(t, s.InFlight())
	assert.Assert(t, s.End(second, Accepted))
}

func TestAnsweredCommandIsNotRepeated(t *testing.T) {
	var s Dispatch
	round := s.Begin()
	assert.Assert(t, s.End(round, Accepted))
	assert.Assert(t, !s.Repeat(round))
}
