package control

import (
	"github.com/filbertmast/filbertmast/internal/errkind"
	"github.com/filbertmast/filbertmast/internal/exchange"
	"github.com/filbertmast/filbertmast/internal/model"
	"github.com/filbertmast/filbertmast/internal/proto"
	"github.com/filbertmast/filbertmast/internal/state"
	"github.com/filbertmast/filbertmast/internal/wire"
)

// submissionKey identifies the submission of a workflow. Another team's submission of the
// same ID is another one, which the state refuses.
type submissionKey struct {
	team string
	id   model.WorkflowID
}

// submitWorkflow commits a workflow and responds after the commit. A submission that is
// repeated is not proposed again: callers repeat what takes long, so that a busy log would
// become busier. It is never refused for want of room either, since the first may be accepted.
func (l *leader) submitWorkflow(_ wire.Peer, req *proto.SubmitWorkflow, done reply[proto.WorkflowView]) {
	if w := l.c.machine.Workflow(req.Spec.ID); w != nil && w.Spec.Team == req.Spec.Team {
		replyIfLeading(l.c, done, &proto.WorkflowView{Phase: w.Phase(), Existing: true})
		return
	}
	key := submissionKey{req.Spec.Team, req.Spec.ID}
	if l.submissions.proposed(key) {
		l.submissions.join(key, done)
		return
	}
	limit := l.acceptedLimit()
	if err := l.c.machine.AdmitWorkflow(&req.Spec, limit); err != nil {
		l.recordNotAdmitted(req.Spec.Team, err)
		done(nil, err)
		return
	}
	l.submissions.join(key, done)
	l.proposeSubmission(key, &state.SubmitWorkflow{Spec: req.Spec, Limit: limit})
}

// proposeSubmission proposes a workflow and answers all calls that wait for it.
func (l *leader) proposeSubmission(key submissionKey, cmd *state.SubmitWorkflow) {
	l.c.propose(&state.Command{SubmitWorkflow: cmd}, func(r state.Result, err error) {
		waiting := l.submissions.take(key)
		if err != nil {
			l.recordNotAdmitted(key.team, err)
			for _, done := range waiting {
				done(nil, err)
			}
			return
		}
		w := l.c.machine.Workflow(key.id)
		l.c.log.Info("Workflow accepted.", "workflow", key.id, "queue", cmd.Spec.Queue, "team", key.team,
			"existing", r.Existing, "due_in", w.DueBy.Sub(l.c.s.now()))
		for i, done := range waiting {
			done(&proto.WorkflowView{Phase: w.Phase(), Existing: r.Existing || i > 0}, nil)
		}
	})
}

// workflowOf returns a workflow of the caller's team. A workflow of another team gets
// the same error as an unknown one.
func (l *leader) workflowOf(req *proto.Workflow) (*state.Workflow, error) {
	w := l.c.machine.Workflow(req.ID)
	if w == nil || w.Spec.Team != req.Caller.Team {
		return nil, errkind.New(errkind.UnknownJob, "workflow %q is not known to team %q", req.ID, req.Caller.Team)
	}
	return w, nil
}

func (l *leader) getWorkflow(_ wire.Peer, req *proto.Workflow, done reply[proto.WorkflowView]) {
	w, err := l.workflowOf(req)
	if err != nil {
		done(nil, err)
		return
	}
	replyIfLeading(l.c, done, &proto.WorkflowView{Phase: w.Phase()})
}

func (l *leader) cancelWorkflow(_ wire.Peer, req *proto.Workflow, done reply[proto.WorkflowView]) {
	w, err := l.workflowOf(req)
	if err != nil {
		done(nil, err)
		return
	}
	if w.Ends() { // a repeat writes nothing to the log
		replyIfLeading(l.c, done, &proto.WorkflowView{Phase: w.Phase(), Existing: true})
		return
	}
	cmd := &state.CancelWorkflow{Team: req.Caller.Team, ID: req.ID}
	l.c.propose(&state.Command{CancelWorkflow: cmd}, func(r state.Result, err error) {
		if err != nil {
			done(nil, err)
			return
		}
		w := l.c.machine.Workflow(req.ID)
		l.c.log.Info("Workflow cancelled.", "workflow", req.ID, "phase", w.Phase(), "existing", r.Existing)
		done(&proto.WorkflowView{Phase: w.Phase(), Existing: r.Existing}, nil)
	})
}

// recordWorkflow logs the first start and the end of a workflow and records how long
// after the submission each came.
func (l *leader) recordWorkflow(e *state.WorkflowChanged) {
	w := e.Workflow
	took := e.At.Sub(w.Submitted)
	if w.Finished == 0 {
		l.c.s.metrics.firstStartSeconds.Observe(took.Seconds())
		l.c.log.Debug("Workflow has started.", "workflow", w.Spec.ID, "after", took)
		return
	}
	l.c.s.metrics.workflowSeconds.WithLabelValues(w.Phase()).Observe(took.Seconds())
	l.c.log.Info("Workflow ended.", "workflow", w.Spec.ID, "phase", w.Phase(), "after", took, "late_by", max(e.At.Sub(w.DueBy), 0))
}

func (l *leader) queue(_ wire.Peer, req *proto.Queue, done reply[proto.QueueView]) {
	replyIfLeading(l.c, done, &proto.QueueView{Waiting: l.c.machine.UnstartedWorkflows(req.Name)})
}

// document returns the configuration as the operator sent it.
func (l *leader) document(_ wire.Peer, _ *proto.Empty, done reply[proto.Document]) {
	revision, body := l.c.machine.Document()
	replyIfLeading(l.c, done, &proto.Document{Revision: revision, Body: body})
}

// heartbeat handles the heartbeat of a polled worker. It responds once a change is
// committed, so that every later leader knows of it.
func (l *leader) heartbeat(_ wire.Peer, req *proto.Heartbeat, done reply[proto.Empty]) {
	finish := func(err error) {
		if errkind.Is(err, errkind.StaleLease) {
			err = nil // a delayed heartbeat of an earlier incarnation, which needs no action
		}
		if err != nil {
			done(nil, err)
			return
		}
		replyIfLeading(l.c, done, &proto.Empty{})
	}
	order := l.heartbeats.Add(req)
	w := l.c.machine.Worker(req.Spec.ID)
	if w == nil || w.Mode == model.WorkerLost || w.Spec.Incarnation < req.Spec.Incarnation {
		l.announcePolled(req, order, finish)
		return
	}
	l.updatePolled(req, order, finish)
}

// heartbeatsReceived records the heartbeats that need no action.
func (l *leader) heartbeatsReceived(_ wire.Peer, req *proto.Heartbeats, done reply[proto.HeartbeatsRecorded]) {
	out := &proto.HeartbeatsRecorded{Recorded: make([]bool, len(req.Heartbeats))}
	for i := range req.Heartbeats {
		out.Recorded[i] = l.recordHeartbeat(&req.Heartbeats[i])
	}
	replyIfLeading(l.c, done, out)
}

// recordHeartbeat records a heartbeat and reports whether it needs no action: its worker is
// known, and it reports neither another capacity nor for the first time that the worker leaves.
func (l *leader) recordHeartbeat(hb *proto.Heartbeat) bool {
	order := l.heartbeats.Add(hb)
	w := l.c.machine.Worker(hb.Spec.ID)
	if w == nil || w.Mode == model.WorkerLost || w.Spec.Incarnation != hb.Spec.Incarnation {
		return false
	}
	return exchange.NewCapacity(w.Spec.Capacity, hb.Spec.Capacity, order) == w.Spec.Capacity &&
		(!hb.Leaving || w.Mode == model.WorkerLeaving)
}

// announcePolled settles what became of the tasks of an earlier incarnation of a worker
// and commits the new one, and then what else the heartbeat reports.
func (l *leader) announcePolled(req *proto.Heartbeat, order exchange.HeartbeatOrder, finish func(error)) {
	l.polled.settle(l.c.machine.Worker(req.Spec.ID), &req.Spec, func(err error) {
		if err != nil {
			finish(err)
			return
		}
		l.announceSettled(req, order, finish)
	})
}

func (l *leader) announceSettled(req *proto.Heartbeat, order exchange.HeartbeatOrder, finish func(error)) {
	if err := l.leases.AdmitAnnouncement(l.c.s.now()); err != nil {
		finish(err)
		return
	}
	l.polled.recordClock(req)
	cmd := &state.Announce{Spec: req.Spec, Sequence: req.Sequence, CommonCause: l.polled.commonCause(req.Spec.ID)}
	l.c.propose(&state.Command{Announce: cmd}, func(_ state.Result, err error) {
		if err != nil {
			finish(err)
			return
		}
		l.updatePolled(req, order, finish)
	})
}

func (l *leader) proposeLeaving(w *state.Worker, finish func(error)) {
	cmd := &state.SetMode{Worker: w.Spec.ID, Mode: model.WorkerLeaving, Session: w.Session}
	l.c.log.Info("Worker leaves.", "worker", w.Spec.ID, "held", len(w.Held))
	l.c.propose(&state.Command{SetMode: cmd}, func(_ state.Result, err error) { finish(err) })
}
