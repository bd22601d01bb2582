package workerclient

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
		{"one call is answered, the other never", []Verdict{Accepted, Unknown}, []bool{true, false}},
		{"both calls are answered", []Verdict{Accepted, Accepted}, []bool{true, false}},
		{"one call times out, the other is answered", []Verdict{Unknown, Refused}, []bool{false, true}},
		{"both calls time out", []Verdict{Unknown, Unknown}, []bool{false, true}},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			var d Dispatch
			round := d.Begin()
			assert.Assert(t, d.Repeat(round))
			assert.Assert(t, !d.Repeat(round), "a command is sent at most twice")
			for i, v := range row.answers {
				assert.Equal(t, d.End(round, v), row.want[i], "response %d", i)
			}
			assert.Assert(t, !d.InFlight())
		})
	}
}

func TestAnswersToEarlierRoundAreIgnored(t *testing.T) {
	var d Dispatch
	first := d.Begin()
	assert.Assert(t, d.Repeat(first))
	assert.Assert(t, d.End(first, Accepted))
	second := d.Begin()
	assert.Assert(t, !d.End(first, Unknown))
	assert.Assert(t, !d.Repeat(first))
	assert.Assert(t, d.InFlight())
	assert.Assert(t, d.End(second, Accepted))
}

func TestAnsweredCommandIsNotRepeated(t *testing.T) {
	var d Dispatch
	round := d.Begin()
	assert.Assert(t, d.End(round, Accepted))
	assert.Assert(t, !d.Repeat(round))
}
