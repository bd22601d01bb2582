package model

import (
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// A body of 256 KiB has room for a hundred thousand wrong entries. The text of their errors
// must not take more memory than the body.
func TestErrorsOfWorkflowAreBounded(t *testing.T) {
	const many, most = 100_000, 300_000
	step := Step{Policy: PolicyBatch, Tasks: 1, Size: Resources{CPU: 1}}
	bad := step
	bad.After = []int32{-1, 7, 8, 9}
	long := step
	long.After = make([]int32, many)
	rows := []struct {
		name  string
		steps []Step
		want  string
	}{
		{"too many steps", make([]Step, many), "steps must be 1 to 256, got 100000"},
		{"entries that name no earlier step", []Step{step, bad}, "steps[1].after names step -1"},
		{"many of them", []Step{step, long}, "steps[1].after has 100000 entries, at most 256 are allowed"},
		{"in every step", slices.Repeat([]Step{bad}, MaxSteps), "steps[255].after names step -1"},
	}
	for _, row := range rows {
		err := (&WorkflowSpec{ID: "f", Steps: row.steps}).Validate()
		assert.ErrorContains(t, err, row.want, row.name)
		assert.Assert(t, len(err.Error()) < most, "%s: %d bytes", row.name, len(err.Error()))
	}
	good := step
	good.After = []int32{0, 0}
	w := &WorkflowSpec{ID: "f", Steps: []Step{step, good}}
	for i := range w.Steps {
		assert.NilError(t, w.validateAfter(i))
	}
	assert.Assert(t, !strings.Contains(errorText(w.Validate()), "after"))
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

func TestPayloadOfWorkflowIsBounded(t *testing.T) {
	w := &WorkflowSpec{ID: "f", Queue: "q", Payload: string(make([]byte, MaxPayloadBytes)), Steps: []Step{{Policy: PolicyBatch, Tasks: 1, Size: Resources{CPU: 1}}}}
	assert.NilError(t, w.Validate())
	w.Payload += "x"
	assert.ErrorContains(t, w.Validate(), "payload must be at most 16384 bytes, got 16385")
}
