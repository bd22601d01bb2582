package control

import (
	"github.com/filbertmast/filbertmast/internal/api"
	"github.com/filbertmast/filbertmast/internal/errkind"
	"github.com/filbertmast/filbertmast/internal/lease"
	"github.com/filbertmast/filbertmast/internal/model"
	"github.com/filbertmast/filbertmast/internal/proto"
	"github.com/filbertmast/filbertmast/internal/schedule"
	"github.com/filbertmast/filbertmast/internal/state"
	"github.com/filbertmast/filbertmast/internal/wire"
)

// announce commits a worker's announcement and grants its first lease.
func (l *leader) announce(from wire.Peer, req *proto.Announce, done reply[proto.Announced]) {
	if err := l.leases.AdmitAnnouncement(l.c.s.now()); err != nil {
		done(nil, err)
		return
	}
	l.c.propose(&state.Command{Announce: &state.Announce{Spec: req.Spec}}, func(r state.Result, err error) {
		if err != nil {
			done(nil, err)
			return
		}
		claim := lease.Holder{Worker: req.Spec.ID, Session: r.Session}
		if err := l.leases.Grant(claim, l.c.s.now()); err != nil {
			done(nil, err)
			return
		}
		l.sessions[req.Spec.ID] = attachment{session: r.Session, entry: from.Address}
		length := model.Duration(l.leases.Duration())
		replyIfLeading(l.c, done, &proto.Announced{Session: r.Session, Lease: length})
	})
}

// renew extends the leases of a batch of workers that one entry holds.
func (l *leader) renew(from wire.Peer, req *proto.Renewals, done reply[proto.Renewed]) {
	now := l.c.s.now()
	out := &proto.Renewed{Results: make([]proto.RenewResult, len(req.Renewals))}
	for i := range req.Renewals {
		r := &req.Renewals[i]
		claim := lease.Holder{Worker: r.Worker, Session: r.Session}
		if err := l.leases.Renew(claim, now); err != nil {
			body := errkind.BodyOf(err, "")
			out.Results[i].Err = &body
			continue
		}
		out.Results[i].Lease = model.Duration(l.leases.Duration())
		l.applyRenewal(from, r)
	}
	replyIfLeading(l.c, done, out)
}

// applyRenewal follows what a renewal tells besides: where the session is reached,
// that the worker leaves, and what its tasks use.
func (l *leader) applyRenewal(from wire.Peer, r *proto.Renewal) {
	w := l.c.machine.Worker(r.Worker)
	if w == nil {
		return
	}
	at := attachment{session: r.Session, entry: from.Address}
	moved := r.Attach || l.sessions[r.Worker] != at
	l.sessions[r.Worker] = at
	l.resend(w, moved)
	for _, u := range r.Usage {
		l.applyUsage(w, &u)
	}
	if r.Leaving && w.Mode != model.WorkerLeaving {
		cmd := &state.SetMode{Worker: r.Worker, Mode: model.WorkerLeaving, Session: r.Session}
		l.c.propose(&state.Command{SetMode: cmd}, func(state.Result, error) {})
	}
}

// applyUsage tells the scheduler what a task of the worker uses, where the report is
// about its current attempt.
func (l *leader) applyUsage(w *state.Worker, u *api.TaskUsage) {
	_, t := l.task(u.Task)
	if t == nil {
		return
	}
	if t.Phase != model.TaskRunning || t.Fence != u.Fence || l.c.machine.TaskWorker(t) != w.Spec.ID {
		return
	}
	l.dirty = true
	l.sched.Apply(schedule.TaskUsageReported{Task: u.Task, Used: u.Used, At: l.c.s.now()})
}

// reports commits what workers said of their tasks. Each is answered for its
// own session; those of an older one are left out.
func (l *leader) reports(_ wire.Peer, req *proto.Reports, done reply[proto.Reported]) {
	out := &proto.Reported{Errors: make([]*errkind.Body, len(req.Reports))}
	cmd := &state.Report{}
	for i := range req.Reports {
		r := &req.Reports[i]
		if err := l.checkSession(r.Worker, r.Session); err != nil {
			body := errkind.BodyOf(err, "")
			out.Errors[i] = &body
			continue
		}
		cmd.Reports = append(cmd.Reports, *r)
	}
	if len(cmd.Reports) == 0 {
		replyIfLeading(l.c, done, out)
		return
	}
	l.c.propose(&state.Command{Report: cmd}, func(_ state.Result, err error) {
		if err != nil {
			done(nil, err)
			return
		}
		done(out, nil)
	})
}

func (l *leader) checkSession(id model.WorkerID, session uint64) error {
	current, err := l.c.machine.SessionOf(id)
	if err != nil {
		return err
	}
	if current != session {
		return errkind.New(errkind.StaleLease, "worker %q has a newer session", id)
	}
	return nil
}
