package state

import (
	"fmt"
	"reflect"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/filbertmast/filbertmast/internal/api"
	"github.com/filbertmast/filbertmast/internal/journal"
	"github.com/filbertmast/filbertmast/internal/model"
)

var replicaWorkers = []model.WorkerID{"w1", "w2", "w3"}

// replicaPair is two replicas that apply the same log. The second one decodes the commands and
// is restored from its own snapshots.
type replicaPair struct {
	t           *rapid.T
	a, b        *Machine
	index, term uint64
	at          model.Time
}

func newReplicaPair(t *rapid.T) *replicaPair {
	p := &replicaPair{t: t, a: New(testOptions()), b: New(testOptions()), term: 1, at: 1000}
	p.apply(&Command{Declare: &Declare{ApplyID: "first", Declarations: flowDeclarations()}})
	for _, id := range replicaWorkers {
		p.apply(announceCommand(id, 8000))
	}
	p.apply(&Command{SetWorkerSpeed: &SetWorkerSpeed{Enabled: true}})
	return p
}

func flowDeclarations() model.Declarations {
	d := testDeclarations()
	d.Queues = append(d.Queues, model.Queue{Name: "flows", Workspace: "plans", Shared: true, MaxAttempts: 2})
	return d
}

// apply applies a command to both replicas and compares results and events.
func (p *replicaPair) apply(c *Command) {
	p.index++
	c.At = p.at
	data, err := c.Encode()
	assert.NilError(p.t, err)
	decoded, err := Decode(data)
	assert.NilError(p.t, err)
	want, wantEvents := p.a.Apply(p.index, p.term, c)
	got, gotEvents := p.b.Apply(p.index, p.term, decoded)
	assert.Equal(p.t, fmt.Sprint(got.Err), fmt.Sprint(want.Err))
	got.Err, want.Err = nil, nil
	assert.DeepEqual(p.t, got, want, cmpopts.EquateEmpty())
	assert.Equal(p.t, len(gotEvents), len(wantEvents), "%d", p.index)
	for i := range wantEvents {
		assert.Equal(p.t, describe(p.t, gotEvents[i]), describe(p.t, wantEvents[i]), "event %d of command %d", i, p.index)
	}
}

// eventMode encodes a list that is nil like one that is empty.
var eventMode = func() cbor.EncMode {
	o := cbor.CoreDetEncOptions()
	o.NilContainers = cbor.NilContainerAsEmpty
	m, err := o.EncMode()
	if err != nil {
		panic(err) // the options are constant
	}
	return m
}()

// describe returns the type and the encoding of an event, with the records it points to.
func describe(t *rapid.T, e Event) string {
	data, err := eventMode.Marshal(e)
	assert.NilError(t, err)
	return fmt.Sprintf("%T %x", e, data)
}

// sameState compares two machines in full, with what their snapshots do not hold. Of the
// journal's expiries, those at one time have no order, since they are processed together.
var sameState = cmp.Options{
	cmp.Exporter(func(reflect.Type) bool { return true }),
	cmpopts.EquateEmpty(),
	cmpopts.IgnoreFields(Machine{}, "events"),
	cmpopts.IgnoreFields(journal.Journal{}, "expiries"),
	cmpopts.IgnoreMapEntries(func(_ string, n int64) bool { return n == 0 }),
	cmpopts.IgnoreMapEntries(func(_ string, u *teamUsage) bool { return *u == teamUsage{} }),
}

// restore restores the second replica, and compares both and what each tells a new leader.
func (p *replicaPair) restore() {
	p.b = restoreFromSnapshot(p.t, p.a, p.b)
	assert.DeepEqual(p.t, p.b, p.a, sameState)
	var want, got []string
	p.a.Replay(func(e Event) { want = append(want, describe(p.t, e)) })
	p.b.Replay(func(e Event) { got = append(got, describe(p.t, e)) })
	assert.DeepEqual(p.t, got, want)
}

// drawAnyCommand draws a command of any kind that need not be valid in the state of m.
func drawAnyCommand(t *rapid.T, m *Machine) *Command {
	switch rapid.IntRange(0, 9).Draw(t, "group") {
	case 0:
		return drawWorkflowCommand(t, m)
	case 1:
		return drawWorkerCommand(t, m)
	case 2:
		return drawConfigCommand(t, m)
	case 3:
		return drawGrantCommand(t, m)
	case 4, 5:
		return drawPlacement(t, m)
	case 6, 7, 8:
		return drawReports(t, m)
	}
	return drawCommand(t, m)
}

func drawWorkflowCommand(t *rapid.T, m *Machine) *Command {
	id := rapid.SampledFrom([]model.WorkflowID{"f1", "f2", "f3", "f4", "f5"}).Draw(t, "workflow")
	switch rapid.IntRange(0, 6).Draw(t, "workflow command") {
	case 0:
		return &Command{CancelWorkflow: &CancelWorkflow{Team: "stands", ID: id}}
	case 1:
		return &Command{StartRuns: &StartRuns{Runs: m.DueRuns(m.now.Add(time.Minute), 3, 0), Limit: rapid.SampledFrom([]int64{0, 16 << 10}).Draw(t, "limit")}}
	}
	spec := model.WorkflowSpec{ID: id, Team: "stands", Queue: "flows", Payload: "text"}
	for i := range rapid.Int32Range(1, 3).Draw(t, "steps") {
		step := newStep(rapid.SampledFrom([]model.Policy{model.PolicyBatch, model.PolicyGang, model.PolicyService}).Draw(t, "policy"), rapid.Int32Range(1, 3).Draw(t, "tasks"))
		step.Lasting = step.Policy == model.PolicyGang && rapid.IntRange(0, 4).Draw(t, "lasting") == 0
		step.MaxPerWorker = rapid.Int32Range(0, 1).Draw(t, "per worker")
		if i > 0 && rapid.Bool().Draw(t, "after") {
			step.After = []int32{i - 1}
		}
		spec.Steps = append(spec.Steps, step)
	}
	if rapid.IntRange(0, 3).Draw(t, "recurring") == 0 {
		spec.Runs, spec.FirstAt, spec.Every = rapid.Int32Range(1, 3).Draw(t, "runs"), m.now, model.Duration(time.Second)
	}
	return &Command{SubmitWorkflow: &SubmitWorkflow{Spec: spec}}
}

func drawWorkerCommand(t *rapid.T, m *Machine) *Command {
	id := rapid.SampledFrom(replicaWorkers).Draw(t, "worker")
	w := m.Worker(id)
	if w == nil {
		return announceCommand(id, 8000)
	}
	common := rapid.SliceOfN(rapid.SampledFrom(append(m.JobIDs(), 0)), 0, 2).Draw(t, "common cause")
	switch rapid.IntRange(0, 5).Draw(t, "worker command") {
	case 0, 1:
		c := announceCommand(id, rapid.Int64Range(1000, 8000).Draw(t, "cpu"))
		c.Announce.Spec.Incarnation = rapid.Uint64Range(0, 5).Draw(t, "incarnation")
		c.Announce.Spec.Address = rapid.SampledFrom([]string{"", "a", "b", "c"}).Draw(t, "address")
		c.Announce.Sequence, c.Announce.CommonCause = rapid.Uint64Range(0, 9).Draw(t, "sequence"), common
		return c
	case 2:
		mode := rapid.SampledFrom([]model.WorkerMode{model.WorkerOpen, model.WorkerCordoned, model.WorkerDraining, model.WorkerLeaving}).Draw(t, "mode")
		return &Command{SetMode: &SetMode{Worker: id, Mode: mode, Session: w.Session}}
	case 3:
		return capacityCommand(m, id, rapid.Uint64Range(0, 9).Draw(t, "sequence"), rapid.Int64Range(0, 12_000).Draw(t, "capacity"))
	case 4:
		lost := LostWorker{ID: id, Session: w.Session, Replaced: rapid.Bool().Draw(t, "replaced"), CommonCause: common}
		return &Command{MarkWorkersLost: &MarkWorkersLost{Workers: []LostWorker{lost}}}
	}
	lose := &LoseAttempts{Worker: id, Session: w.Session, CommonCause: common, Heard: rapid.IntRange(0, 2).Draw(t, "heard") == 0}
	for _, task := range w.Held {
		if rapid.Bool().Draw(t, "lost") {
			lose.Attempts = append(lose.Attempts, HeldAttempt{Task: task, Fence: m.Job(task.Job).Task(task.Index).Fence})
		}
	}
	return &Command{LoseAttempts: lose}
}

func drawConfigCommand(t *rapid.T, m *Machine) *Command {
	key := model.Key{Digest: rapid.SampledFrom([]model.KeyDigest{"d1", "d2", "d3"}).Draw(t, "key"), Team: "stands"}
	key.Operator = rapid.Bool().Draw(t, "operator")
	switch rapid.IntRange(0, 5).Draw(t, "config command") {
	case 0:
		return &Command{GrantKey: &GrantKey{Key: key}}
	case 1:
		return &Command{WithdrawKey: &WithdrawKey{Digest: key.Digest}}
	case 2:
		return evacuation(rapid.SampledFrom([]string{"selfoss", "d1"}).Draw(t, "domain"), rapid.Bool().Draw(t, "evacuated"))
	case 3:
		return &Command{SetWorkerSpeed: &SetWorkerSpeed{Enabled: rapid.IntRange(0, 9).Draw(t, "speed") > 0}}
	case 4:
		return &Command{SetPastUse: &SetPastUse{HalfLife: rapid.SampledFrom([]model.Duration{0, model.Duration(time.Second), model.Duration(time.Minute)}).Draw(t, "half-life")}}
	}
	d := flowDeclarations()
	if rapid.Bool().Draw(t, "without queue") {
		d.Queues = d.Queues[:rapid.IntRange(0, 2).Draw(t, "queues")]
	}
	d.Teams[1].MaxRunning = rapid.Int64Range(1, 100).Draw(t, "limit")
	return &Command{Declare: &Declare{Base: m.config.Version, ApplyID: fmt.Sprint("a", m.index), Declarations: d, Document: []byte("text"),
		Revision: rapid.SampledFrom([]uint64{0, m.config.Revision + 1}).Draw(t, "revision")}}
}

func drawGrantCommand(t *rapid.T, m *Machine) *Command {
	request := journal.Key{Team: "stands", RequestID: rapid.SampledFrom([]string{"r1", "r2"}).Draw(t, "request")}
	member := Member{Name: rapid.SampledFrom([]string{"e1", "e2", "e3"}).Draw(t, "member"), Incarnation: rapid.Uint64Range(1, 3).Draw(t, "incarnation")}
	switch rapid.IntRange(0, 7).Draw(t, "grant command") {
	case 0:
		return &Command{JournalStart: &JournalStart{Key: request, Entry: "e1", Deadline: m.now.Add(time.Second)}}
	case 1:
		end := &JournalEnd{Key: request, Ran: rapid.Bool().Draw(t, "ran"), Fence: model.Fence{Term: m.term, Index: m.index}}
		if rapid.Bool().Draw(t, "answered") {
			end.Answer = &journal.Answer{Status: 200, Body: []byte("text")}
		}
		return &Command{JournalEnd: end}
	case 2:
		return &Command{Join: &Join{Member: member}}
	case 3:
		return &Command{Leave: &Leave{Name: member.Name, Incarnation: member.Incarnation}}
	case 4:
		return &Command{SetCeilings: &SetCeilings{Ceilings: []Ceiling{{Team: rapid.SampledFrom([]string{"stands", "guards"}).Draw(t, "team"), Permits: 3}}}}
	case 5:
		if ids := m.JobIDs(); len(ids) > 0 {
			f := &Fail{Job: rapid.SampledFrom(ids).Draw(t, "job"), Task: rapid.Int32Range(WholeJob, 2).Draw(t, "task"), Reason: "text"}
			return &Command{Fail: f}
		}
	}
	return &Command{Expire: &Expire{}}
}

// drawPlacement places tasks of some jobs, mostly pending ones, in one command.
func drawPlacement(t *rapid.T, m *Machine) *Command {
	place := &Place{}
	for _, id := range m.JobIDs() {
		j := m.Job(id)
		if len(place.Placements) > 4 || rapid.IntRange(0, 2).Draw(t, "left out") == 0 {
			continue
		}
		for i := range j.Tasks {
			if j.Tasks[i].Phase == model.TaskPending || rapid.IntRange(0, 9).Draw(t, "not pending") == 0 {
				worker := rapid.SampledFrom(replicaWorkers).Draw(t, "on")
				place.Placements = append(place.Placements, Placement{Task: model.TaskID{Job: id, Index: int32(i)}, Worker: worker, Size: j.Spec.Size})
			}
		}
	}
	return &Command{Place: place}
}

// drawReports draws reports on some of the attempts that a worker holds or that may still run.
func drawReports(t *rapid.T, m *Machine) *Command {
	c := &Report{}
	states := []api.ReportState{api.ReportStarted, api.ReportStarted, api.ReportSucceeded, api.ReportFailed,
		api.ReportStopped, api.ReportLapsed, api.ReportBroken, api.ReportReceived}
	for _, w := range m.Workers() {
		report := WorkerReport{Worker: w.Spec.ID, Session: w.Session}
		add := func(id model.TaskID, fence model.Fence) {
			if rapid.Bool().Draw(t, "reported") {
				s := rapid.SampledFrom(states).Draw(t, "state")
				report.Reports = append(report.Reports, api.Report{Task: id, Fence: fence, State: s, Checkpoint: rapid.SampledFrom([]string{"", "saved"}).Draw(t, "checkpoint"), Reason: "text"})
			}
		}
		for _, id := range w.Held {
			add(id, m.Job(id.Job).Task(id.Index).Fence)
		}
		for i := range w.Ending {
			add(w.Ending[i].Task, w.Ending[i].Fence)
		}
		if len(report.Reports) > 0 {
			c.Reports = append(c.Reports, report)
		}
	}
	return &Command{Report: c}
}

// drawPassed draws the time between two commands, which may be of leaders whose clocks differ.
// Rarely records expire meanwhile.
func drawPassed(t *rapid.T) time.Duration {
	switch rapid.IntRange(0, 99).Draw(t, "passed") {
	case 98:
		return 2 * time.Minute
	case 99:
		return lostWorkerRetention + time.Hour
	}
	return rapid.SampledFrom([]time.Duration{10 * time.Millisecond, 0, 400 * time.Millisecond, time.Second, 6 * time.Second, -time.Second}).Draw(t, "short")
}

// Guards against a new leader whose state differs from that of the one before it: it would start what runs.
func TestReplicasAgreeOnEveryCommandWhereverOneIsRestored(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := newReplicaPair(t)
		for range rapid.IntRange(1, 80).Draw(t, "length") {
			p.at = max(p.at.Add(drawPassed(t)), 1)
			p.term += rapid.SampledFrom([]uint64{0, 0, 0, 0, 1}).Draw(t, "term")
			p.apply(drawAnyCommand(t, p.a))
			if rapid.IntRange(0, 7).Draw(t, "restored") == 0 {
				p.restore()
			}
		}
		p.restore()
	})
}

// Guards against a kind of command that the test above does not draw.
func TestEveryKindOfCommandIsDrawn(t *testing.T) {
	drawn := map[string]bool{}
	rapid.Check(t, func(t *rapid.T) {
		p := newReplicaPair(t)
		p.apply(submitCommand("stands", "rows", model.PolicyBatch, 2, 1000))
		for range 40 {
			c := drawAnyCommand(t, p.a)
			for _, name := range kindsOf(c, false) {
				drawn[name] = true
			}
			p.apply(c)
		}
	})
	for _, name := range kindsOf(&Command{}, true) {
		assert.Assert(t, drawn[name], "%s", name)
	}
}

// kindsOf returns the names of the kinds of a command that are set, or of all kinds.
func kindsOf(c *Command, all bool) []string {
	var out []string
	v := reflect.ValueOf(c).Elem()
	for i := range v.NumField() {
		if f := v.Field(i); f.Kind() == reflect.Pointer && (all || !f.IsNil()) {
			out = append(out, v.Type().Field(i).Name)
		}
	}
	return out
}
