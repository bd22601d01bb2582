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
		holder := lease.Holder{Worker: req.Spec.ID, Session: r.Session}
		if err := l.leases.Grant(holder, l.c.s.now()); err != nil {
			done(nil, err)
			return
		}
		l.sessions[req.Spec.ID] = attachment{session: r.Session, entry: from.Address}
		length := model.Duration(l.leases.Duration())
		replyIfLeading(l.c, done, &proto.Announced{Session: r.Session, Lease: length})
	})
}

// renew renews the leases of a batch of workers whose sessions one entry holds.
func (l *leader) renew(from wire.Peer, req *proto.Renewals, done reply[proto.RenewalResponse]) {
	now := l.c.s.now()
	out := &proto.RenewalResponse{Results: make([]proto.RenewalResult, len(req.Renewals))}
	for i := range req.Renewals {
		r := &req.Renewals[i]
		holder := lease.Holder{Worker: r.Worker, Session: r.Session}
		if err := l.leases.Renew(holder, now); err != nil {
			body := errkind.BodyOf(err, "")
			out.Results[i].Err = &body
			continue
		}
		out.Results[i].Lease = model.Duration(l.leases.Duration())
		l.applyRenewal(from, r)
	}
	replyIfLeading(l.c, done, out)
}

// applyRenewal applies what a renewal reports besides: the entry that holds the
// session, whether the worker leaves, and the resources that its tasks use.
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

// applyUsage reports to the scheduler the resources that a task of the worker uses, if
// the usage is that of its current attempt.
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

// reports commits the workers' reports on their tasks. A report from an older session
// of its worker is not committed and gets an error of its own.
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
