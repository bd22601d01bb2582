package control

import (
	"github.com/filbertmast/filbertmast/internal/api"
	"github.com/filbertmast/filbertmast/internal/errkind"
	"github.com/filbertmast/filbertmast/internal/model"
	"github.com/filbertmast/filbertmast/internal/proto"
	"github.com/filbertmast/filbertmast/internal/state"
	"github.com/filbertmast/filbertmast/internal/wire"
)

// evacuated is the reason for which a start in an evacuated failure domain is not sent.
const evacuated = "the failure domain is evacuated"

// setEvacuation commits the begin or the end of the evacuation of a failure domain.
func (l *leader) setEvacuation(_ wire.Peer, req *proto.SetEvacuation, done reply[api.EvacuationView]) {
	if !req.Named && !l.c.machine.DomainKnown(req.Domain) {
		done(nil, errkind.New(errkind.UnknownDomain, "failure domain %q is not known", req.Domain))
		return
	}
	cmd := &state.SetEvacuation{Domain: req.Domain, Evacuated: req.Evacuated}
	l.c.propose(&state.Command{SetEvacuation: cmd}, func(_ state.Result, err error) {
		if err != nil {
			done(nil, err)
			return
		}
		view := l.evacuationView(req.Domain)
		done(&view, nil)
	})
}

func (l *leader) evacuationView(domain string) api.EvacuationView {
	v := api.EvacuationView{Domain: domain}
	v.Workers, v.Running = l.c.machine.DomainUse(domain)
	for _, e := range l.c.machine.Evacuations() {
		if e.Domain == domain {
			v.Evacuated, v.Since = true, e.Since
		}
	}
	return v
}

func (l *leader) evacuationViews() []api.EvacuationView {
	out := []api.EvacuationView{}
	for _, e := range l.c.machine.Evacuations() {
		out = append(out, l.evacuationView(e.Domain))
	}
	return out
}

// evacuationChanged logs a change and revokes the unconfirmed starts in the domain that
// entries hold.
func (l *leader) evacuationChanged(e *state.EvacuationChanged) {
	view := l.evacuationView(e.Domain)
	message := "Evacuation of a failure domain has ended."
	if e.Evacuated {
		message = "Evacuation of a failure domain has begun."
		l.revokeStartsIn(e.Domain)
	}
	l.c.log.Info(message, "domain", e.Domain, "workers", view.Workers, "tasks", view.Running)
	l.countEvacuated()
}

// revokeStartsIn stops the unconfirmed starts on the workers of a failure domain that have a
// session at an entry. Those of polled workers are settled by polls.
func (l *leader) revokeStartsIn(domain string) {
	for _, w := range l.c.machine.Workers() {
		if w.Spec.FailureDomain == domain {
			l.revokeUnconfirmedStarts(w.Spec.ID)
		}
	}
}

// revokeInheritedStarts revokes the starts that an earlier leader may not have revoked.
func (l *leader) revokeInheritedStarts() {
	for _, w := range l.c.machine.Workers() {
		if l.evacuatedWorker(w.Spec.ID) {
			l.unrevoked = append(l.unrevoked, w.Spec.ID)
		}
	}
}

// evacuatedWorker reports whether the failure domain of a worker is evacuated.
func (l *leader) evacuatedWorker(id model.WorkerID) bool {
	w := l.c.machine.Worker(id)
	return w != nil && l.c.machine.Evacuated(w.Spec.FailureDomain)
}

// revocation returns why the unconfirmed starts of a worker are stopped, or "". Its entry no
// longer forwards the starts of a leaving worker, so they would never be confirmed.
func (l *leader) revocation(w *state.Worker) string {
	switch {
	case w == nil:
		return ""
	case w.Mode == model.WorkerLeaving:
		return "the worker leaves"
	case l.evacuatedWorker(w.Spec.ID) && l.polled.workers[w.Spec.ID] == nil:
		return evacuated
	}
	return ""
}

// withholdsRepeat reports whether a start is not sent a second time, since the failure
// domain of its worker is evacuated.
func (p *polledWorkers) withholdsRepeat(pw *polledWorker, call *commandCall) bool {
	if call.name != commandStart || !p.l.evacuatedWorker(pw.target.Worker) {
		return false
	}
	p.countWithheld(evacuated)
	return true
}

// countWithheld counts a start that is not sent for the given reason.
func (p *polledWorkers) countWithheld(reason string) {
	if reason == evacuated {
		p.l.c.s.metrics.startsWithheld.Inc()
	}
}

// countEvacuated updates the gauges of evacuated domains and of the tasks in them.
func (l *leader) countEvacuated() {
	tasks := int64(0)
	views := l.evacuationViews()
	for i := range views {
		tasks += views[i].Running
	}
	l.c.s.metrics.evacuatedDomains.Set(float64(len(views)))
	l.c.s.metrics.evacuatedTasks.Set(float64(tasks))
}
