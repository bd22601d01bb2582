package control

import (
	"github.com/filbertmast/filbertmast/internal/model"
	"github.com/filbertmast/filbertmast/internal/state"
)

// proposeWorkerSpeed proposes that the state estimates the speed of workers, or no longer does,
// if that differs from the settings of this process.
func (l *leader) proposeWorkerSpeed() {
	enabled := l.c.s.opts.WorkerSpeed
	if l.settingSpeed || enabled == l.c.machine.WorkerSpeed() {
		return
	}
	l.settingSpeed = true
	l.c.propose(&state.Command{SetWorkerSpeed: &state.SetWorkerSpeed{Enabled: enabled}}, func(r state.Result, err error) {
		l.settingSpeed = false
		if err == nil && !r.Existing {
			l.c.log.Info("Estimation of worker speeds is set.", "enabled", enabled)
		}
	})
}

// logSpeedClass logs a change of the class of speed of a worker.
func (l *leader) logSpeedClass(id model.WorkerID, permille int64) {
	l.c.s.metrics.speedChanges.Inc()
	class := l.sched.SpeedClass(id)
	if class == l.speedClasses[id] {
		return
	}
	l.speedClasses[id] = class
	l.c.log.Info("Speed class of a worker has changed.", "worker", id, "class", class, "speed_permille", permille)
}

// inheritSpeedClasses records the classes that follow from the replicated state, so that only
// changes are logged.
func (l *leader) inheritSpeedClasses() {
	for _, w := range l.c.machine.Workers() {
		if w.Speed != nil {
			l.speedClasses[w.Spec.ID] = l.sched.SpeedClass(w.Spec.ID)
		}
	}
}

func (l *leader) forgetSpeedClasses(ids []model.WorkerID) {
	for _, id := range ids {
		delete(l.speedClasses, id)
	}
}

// countWorkerSpeeds updates the gauge of workers by class of speed. It has no values while no
// speeds are estimated.
func (l *leader) countWorkerSpeeds() {
	if !l.c.machine.WorkerSpeed() {
		l.c.s.metrics.workerSpeeds.Reset()
		return
	}
	for class, n := range l.sched.SpeedClasses() {
		l.c.s.metrics.workerSpeeds.WithLabelValues(class.String()).Set(float64(n))
	}
}
