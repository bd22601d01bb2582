package state

import (
	"bytes"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"github.com/filbertmast/filbertmast/internal/model"
)

func evacuation(domain string, evacuated bool) *Command {
	return &Command{SetEvacuation: &SetEvacuation{Domain: domain, Evacuated: evacuated}}
}

// announceIn announces a worker of a failure domain with one executor.
func announceIn(id model.WorkerID, domain string) *Command {
	c := announceCommand(id, 8000)
	c.Announce.Spec.FailureDomain = domain
	c.Announce.Spec.Executors = []model.ExecutorSpec{{ID: "x-" + string(id), Service: "s", Address: "10.0.0.1:1", Slots: 1}}
	return c
}

// executorsLeaving returns the executors among events and whether each leaves.
func executorsLeaving(events []Event) map[string]bool {
	out := map[string]bool{}
	for _, ev := range events {
		if e, ok := ev.(ExecutorChanged); ok {
			out[e.Spec.ID] = e.Leaving
		}
	}
	return out
}

// Guards against work that is placed in an evacuated domain by a plan that was made before the
// evacuation, and against a domain that stays closed after its end.
func TestPlacementInEvacuatedDomainIsRefused(t *testing.T) {
	s := newConfiguredHarness(t)
	s.apply(announceIn("w1", "d1"))
	s.apply(announceIn("w2", "d2"))
	job := s.apply(submitCommand("stands", "rows", model.PolicyBatch, 2, 1000)).Job
	s.apply(evacuation("d1", true))
	r, events := s.applyEvents(&Command{Place: &Place{Placements: []Placement{placement(job, 0, "w1", 1000), placement(job, 1, "w2", 1000)}}})
	assert.Equal(t, r.Count, 1, "only the worker of the other domain is given a task")
	assert.Equal(t, events[0].(PlacementRefused).Reason, RefusedEvacuated)
	s.apply(evacuation("d1", false))
	assert.Equal(t, s.apply(&Command{Place: &Place{Placements: []Placement{placement(job, 0, "w1", 1000)}}}).Count, 1)
}

// Guards against a member of a gang that starts elsewhere while another is refused.
func TestGangWithMemberInEvacuatedDomainIsRefusedWhole(t *testing.T) {
	s := newConfiguredHarness(t)
	s.apply(announceIn("w1", "d1"))
	s.apply(announceIn("w2", "d2"))
	job := s.apply(submitCommand("stands", "rows", model.PolicyGang, 2, 1000)).Job
	s.apply(evacuation("d2", true))
	r := s.apply(&Command{Place: &Place{Placements: []Placement{placement(job, 0, "w1", 1000), placement(job, 1, "w2", 1000)}}})
	assert.Equal(t, r.Count, 0)
	checkInvariants(t, s.m)
}

// Guards against a repeated call that counts twice, and against one that undoes the last.
func TestLastCommittedEvacuationCallTakesEffect(t *testing.T) {
	const begin, end = true, false
	for _, row := range []struct {
		name  string
		calls []bool
		want  bool
	}{
		{"begun", []bool{begin}, true},
		{"begun twice", []bool{begin, begin}, true},
		{"begun and ended", []bool{begin, end}, false},
		{"begun twice and ended", []bool{begin, begin, end}, false},
		{"ended twice", []bool{begin, end, end}, false},
		{"ended without a begin", []bool{end}, false},
		{"begun again by a delayed call", []bool{begin, end, begin}, true},
	} {
		s := newConfiguredHarness(t)
		s.apply(announceIn("w1", "d1"))
		before := false
		for _, call := range row.calls {
			r, events := s.applyEvents(evacuation("d1", call))
			assert.NilError(t, r.Err)
			assert.Equal(t, r.Existing, call == before, row.name)
			assert.Equal(t, len(events) == 0, r.Existing, "%s: a repeated call emits nothing", row.name)
			before = call
		}
		assert.Equal(t, s.m.Evacuated("d1"), row.want, row.name)
		assert.Equal(t, len(s.m.Evacuations()) == 1, row.want, row.name)
	}
}

// Guards against executors that get requests in an evacuated domain: those there when it begins,
// those announced later, and those of a worker that is opened meanwhile.
func TestExecutorsOfEvacuatedDomainLeave(t *testing.T) {
	s := newConfiguredHarness(t)
	s.apply(announceIn("w1", "d1"))
	s.apply(announceIn("w2", "d2"))
	_, events := s.applyEvents(evacuation("d1", true))
	assert.DeepEqual(t, executorsLeaving(events), map[string]bool{"x-w1": true})
	_, events = s.applyEvents(announceIn("w3", "d1"))
	assert.DeepEqual(t, executorsLeaving(events), map[string]bool{"x-w3": true})
	s.apply(&Command{SetMode: &SetMode{Worker: "w1", Mode: model.WorkerCordoned}})
	_, events = s.applyEvents(&Command{SetMode: &SetMode{Worker: "w1", Mode: model.WorkerOpen}})
	assert.DeepEqual(t, executorsLeaving(events), map[string]bool{"x-w1": true})
	s.apply(&Command{SetMode: &SetMode{Worker: "w1", Mode: model.WorkerCordoned}})
	_, events = s.applyEvents(evacuation("d1", false))
	assert.DeepEqual(t, executorsLeaving(events), map[string]bool{"x-w1": true, "x-w3": false}) // a cordoned worker stays closed
}

// Guards against a new leader that learns of an evacuation after its workers or not at all.
func TestEvacuationIsReplayedBeforeWorkers(t *testing.T) {
	s := newConfiguredHarness(t)
	s.apply(announceIn("w1", "d1"))
	s.apply(evacuation("d2", true))
	s.apply(evacuation("d1", true))
	restored := restored(t, s.m)
	var domains []string
	var leaving map[string]bool
	restored.Replay(func(ev Event) {
		switch e := ev.(type) {
		case EvacuationChanged:
			assert.Assert(t, e.Evacuated)
			domains = append(domains, e.Domain)
		case WorkerChanged:
			assert.DeepEqual(t, domains, []string{"d1", "d2"})
		case ExecutorChanged:
			leaving = executorsLeaving([]Event{ev})
		}
	})
	assert.DeepEqual(t, leaving, map[string]bool{"x-w1": true})
}

// restored returns a machine that is read from a snapshot of m.
func restored(t *testing.T, m *Machine) *Machine {
	t.Helper()
	var buf bytes.Buffer
	assert.NilError(t, m.WriteSnapshot(&buf))
	out, err := ReadSnapshot(testOptions(), &buf)
	assert.NilError(t, err)
	return out
}

// Guards against a snapshot of an earlier build that cannot be read, or that evacuates something.
func TestSnapshotWithoutEvacuationsIsRead(t *testing.T) {
	s := newConfiguredHarness(t)
	s.apply(announceIn("w1", "d1"))
	var buf bytes.Buffer
	assert.NilError(t, s.m.WriteSnapshot(&buf))
	fields := map[int]cbor.RawMessage{}
	assert.NilError(t, decMode.NewDecoder(&buf).Decode(&fields))
	assert.Assert(t, fields[17] == nil, "without an evacuation, the header is that of the earlier build")
	s.apply(evacuation("d1", true))
	assert.Assert(t, restored(t, s.m).Evacuated("d1"))
	s.apply(evacuation("d1", false))
	assert.Equal(t, len(restored(t, s.m).Evacuations()), 0)
}

// Guards against an unknown domain that is taken for a known one, and against a domain that cannot
// be opened again after its last worker was removed.
func TestDomainIsKnownByItsWorkersOrItsEvacuation(t *testing.T) {
	s := newConfiguredHarness(t)
	assert.Assert(t, !s.m.DomainKnown("d1"))
	s.apply(announceIn("w1", "d1"))
	assert.Assert(t, s.m.DomainKnown("d1"))
	assert.Assert(t, !s.m.DomainKnown("d"))
	s.apply(evacuation("d3", true))
	assert.Assert(t, s.m.DomainKnown("d3"))
	s.apply(evacuation("d3", false))
	assert.Assert(t, !s.m.DomainKnown("d3"))
}
