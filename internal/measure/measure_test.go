package measure

import (
	"bytes"
	"encoding/json"
	"math"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/filbertmast/filbertmast/internal/model"
	"github.com/filbertmast/filbertmast/internal/settings"
)

func TestLineFitsPoints(t *testing.T) {
	const tolerance = 1e-9
	tests := []struct {
		name      string
		points    []Point
		slope     float64
		intercept float64
		residual  float64
	}{
		{"points on a line", []Point{{1, 5}, {2, 7}, {4, 11}}, 2, 3, 0},
		{"a constant", []Point{{1, 4}, {2, 4}, {3, 4}}, 0, 4, 0},
		{"points off the line", []Point{{0, 1}, {0, 3}, {2, 1}, {2, 3}}, 0, 2, 0.5},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := Line(tt.points)
			assert.Assert(t, math.Abs(f.Slope-tt.slope) < tolerance, "%+v", f)
			assert.Assert(t, math.Abs(f.Intercept-tt.intercept) < tolerance, "%+v", f)
			assert.Assert(t, math.Abs(f.Residual-tt.residual) < tolerance, "%+v", f)
		})
	}
}

// A fit over state sizes is wrong if the cell runs fewer tasks than the size says.
func TestFillRunsTheGivenTasks(t *testing.T) {
	const tasks = 500
	c := newCell()
	c.declare(stateTeams)
	c.addWorkers(stateWorkers, tasksPerServed)
	c.fill(tasks)
	c.buildScheduler()
	assert.Assert(t, c.sched.Stats().Running >= tasks)
	assert.Equal(t, c.sched.Stats().Workers, int64(stateWorkers))
	held := 0
	for _, w := range c.machine.Workers() {
		held += len(w.Held)
	}
	assert.Equal(t, c.sched.Stats().Running, int64(held))
}

func TestEndedJobReleasesItsWorkers(t *testing.T) {
	c := newCell()
	c.declare(1)
	c.addWorkers(2, 1)
	id := c.submit(0, 2, model.PolicyBatch)
	c.startTasks(id, 2, 2, 0)
	c.succeedTasks(id)
	assert.Assert(t, c.machine.Job(id).Finished != 0)
	assert.Equal(t, len(c.machine.Worker(workerName(0)).Held), 0)
}

func TestReportIsReadableAsJSON(t *testing.T) {
	r := newReport("test")
	r.add("heap", "B", "task", 1, 10)
	r.add("heap", "B", "task", 2, 20)
	h := newHistogram()
	assert.NilError(t, h.RecordValue(1500))
	r.addLatency("start", 100, h)
	r.fitSeries()
	var out bytes.Buffer
	assert.NilError(t, r.WriteJSON(&out))
	var back Report
	assert.NilError(t, json.Unmarshal(out.Bytes(), &back))
	assert.Equal(t, back.Series[0].Fit.Slope, 10.0)
	assert.Equal(t, back.Latencies[0].P50, 1.5)
	assert.NilError(t, r.WriteTable(&out))
}

func TestUsageSeparatesLoadFromPeers(t *testing.T) {
	text := `# TYPE filbertmast_wire_bytes_total counter
process_cpu_seconds_total 1.5
process_resident_memory_bytes 2e+06
filbertmast_wire_bytes_total{class="request",direction="sent",peer_region="load",region="south"} 10
filbertmast_wire_bytes_total{class="consensus",direction="sent",peer_region="load",region="south"} 5
filbertmast_wire_bytes_total{class="request",direction="received",peer_region="load",region="south"} 7
filbertmast_wire_bytes_total{class="consensus",direction="sent",peer_region="south",region="south"} 100
filbertmast_wire_bytes_total{class="consensus",direction="received",peer_region="south",region="south"} 50
filbertmast_wire_packet_bytes_total{direction="sent",peer_region="load",region="south"} 30
filbertmast_wire_packet_bytes_total{direction="sent",peer_region="south",region="south"} 200
unrelated_total 9`
	var u usage
	for _, line := range strings.Split(text, "\n") {
		u.addLine(line)
	}
	assert.Equal(t, u, usage{cpu: 1.5, resident: 2e6, loadSent: 15, loadReceived: 7, loadPackets: 30,
		peersSent: 100, peersReceived: 50, peersPackets: 200})
}

func TestPreparedSettingsAreAccepted(t *testing.T) {
	dir := t.TempDir()
	d, err := Prepare(dir, 3, 2)
	assert.NilError(t, err)
	for _, p := range d.processes() {
		set, err := settings.Load(filepath.Join(dir, settingsDir, p.Name+".json"))
		assert.NilError(t, err, p.Name)
		assert.Equal(t, set.Inner.Address, p.Inner)
	}
	again, err := Open(dir)
	assert.NilError(t, err)
	assert.DeepEqual(t, again, d)
}

// A start command may arrive before the response to its submission.
func TestStartLatenciesAcceptEitherOrder(t *testing.T) {
	sent := time.Unix(100, 0)
	s := newStartLatencies()
	s.recordStart(model.TaskID{Job: 1}, sent.Add(3*time.Millisecond))
	s.recordSubmission(1, sent, true)
	s.recordStart(model.TaskID{Job: 1, Index: 1}, sent.Add(5*time.Millisecond))
	s.recordSubmission(2, sent, false)
	assert.DeepEqual(t, s.latencies, map[bool][]time.Duration{true: {3 * time.Millisecond, 5 * time.Millisecond}})
}
