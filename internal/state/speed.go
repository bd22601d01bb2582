package state

import (
	"github.com/filbertmast/filbertmast/internal/model"
	"github.com/filbertmast/filbertmast/internal/speed"
)

// workerSpeeds is what the state knows of the speeds of all workers together. Only enabled is
// stored; the others are derived from the workers.
type workerSpeeds struct {
	enabled bool
	sum     int64 // of the estimates
	count   int64 // number of estimates
}

func (s *workerSpeeds) add(e *speed.Estimate) { s.addTimes(e, 1) }

func (s *workerSpeeds) remove(e *speed.Estimate) { s.addTimes(e, -1) }

func (s *workerSpeeds) addTimes(e *speed.Estimate, n int64) {
	if e != nil {
		s.sum += n * int64(e.Log)
		s.count += n
	}
}

// center returns the average of all estimates.
func (s *workerSpeeds) center() speed.Log {
	if s.count == 0 {
		return 0
	}
	return speed.Log(s.sum / s.count)
}

// WorkerSpeed reports whether the speed of workers is estimated.
func (m *Machine) WorkerSpeed() bool { return m.speeds.enabled }

// setWorkerSpeed starts or ends the estimation. Ending it removes all that was learned, so that
// the state is as if it had never been enabled.
func (m *Machine) setWorkerSpeed(c *SetWorkerSpeed) Result {
	if c.Enabled == m.speeds.enabled {
		return Result{Existing: true}
	}
	m.speeds = workerSpeeds{enabled: c.Enabled}
	if c.Enabled {
		return Result{}
	}
	for _, w := range m.Workers() {
		if w.Speed.PublishedPermille() != speed.Normal {
			m.emit(WorkerSpeedChanged{Worker: w.Spec.ID, Permille: speed.Normal})
		}
		w.Speed = nil
	}
	for _, j := range m.jobs {
		j.Runs = nil
	}
	return Result{}
}

// observeRun updates the estimated speeds of workers from the run of a task that has succeeded
// and still holds its resources. Each end changes at most as many workers as a sample has runs.
func (m *Machine) observeRun(j *Job, index int32) {
	t := &j.Tasks[index]
	if !m.speeds.enabled || !j.showsSpeed(index) || m.now.Sub(t.Since) < speed.MinRun {
		return
	}
	if j.Runs == nil {
		j.Runs = &speed.Sample{}
	}
	r := speed.Run{Worker: t.Worker, Session: m.workers.list[t.Worker].Session, Length: speed.LogOf(m.now.Sub(t.Since).Milliseconds())}
	var changed []*Worker
	moved := j.Runs.Add(r, m.speeds.center(), func(r *speed.Run) *speed.Estimate {
		w := m.workers.list[r.Worker]
		if w == nil || w.Session != r.Session {
			return nil // it may be another machine now
		}
		if w.Speed == nil {
			w.Speed = &speed.Estimate{}
			m.speeds.add(w.Speed)
		}
		changed = append(changed, w)
		return w.Speed
	})
	m.speeds.sum += moved
	for _, w := range changed {
		if w.Speed.Publish() {
			m.emit(WorkerSpeedChanged{Worker: w.Spec.ID, Permille: w.Speed.PublishedPermille()})
		}
	}
}

// showsSpeed reports whether the run time of a task that succeeds shows the speed of its worker
// beside those of the other tasks: it has run from its beginning to its end, from a known time
// on, and did not wait for others. Members of a gang end together.
func (j *Job) showsSpeed(index int32) bool {
	t := &j.Tasks[index]
	if j.Spec.Policy == model.PolicyGang || j.Spec.Lasts() || len(j.Tasks) < 2 {
		return false
	}
	if t.Phase != model.TaskRunning || t.Unconfirmed != 0 {
		return false
	}
	return t.Attempt == 1 || j.Checkpoint(index) == ""
}
