package control

import (
	"context"
	"time"

	"github.com/filbertmast/filbertmast/internal/api"
	"github.com/filbertmast/filbertmast/internal/errkind"
	"github.com/filbertmast/filbertmast/internal/exchange"
	"github.com/filbertmast/filbertmast/internal/lease"
	"github.com/filbertmast/filbertmast/internal/model"
	"github.com/filbertmast/filbertmast/internal/state"
	"github.com/filbertmast/filbertmast/internal/workerclient"
)

// A worker that has started again under its ID accepts calls that were meant for its
// earlier incarnation, so it may run the tasks of that one, or may have run them. Before
// its announcement releases them, the leader settles what became of each.

const (
	// settleCallTimeout bounds one call of a settlement, with its wait for a connection.
	settleCallTimeout = commandTimeout
	// settlePollAfter is the time between polls while attempts are being stopped.
	settlePollAfter = 50 * time.Millisecond
	// maxSettlePolls bounds the polls of one settlement. The worker's next heartbeat
	// begins another one.
	maxSettlePolls = 30
)

// settlement stops the attempts of an earlier incarnation on the current one, and records
// those that have ended there. A stopped attempt is not executed any more, however late
// its start arrives.
type settlement struct {
	p       *polledWorkers
	target  workerclient.Target
	session uint64                            // of the earlier incarnation
	fence   uint64                            // above that of any call to the earlier incarnation in this term
	stopped map[workerclient.Attempt]struct{} // confirmed; kept when the settlement fails and is resumed
	polls   int
	waiting []func(error) // none: the settlement has failed, or has been replaced

	unreadableSince model.Time // since when each response has had rows that cannot be read; zero: the last one had none
}

// settle calls done once no attempt of the earlier incarnation of a worker runs on the
// given one or will be started there. An error means that this is not known. Until the
// announcement is committed, the earlier incarnation is sent no starts.
func (p *polledWorkers) settle(w *state.Worker, spec *model.WorkerSpec, done func(error)) {
	if w == nil || w.Mode == model.WorkerLost || spec.Address == "" || p.l.c.s.opts.WorkerClient == nil {
		done(nil)
		return
	}
	p.suspend(w)
	if len(w.Held) == 0 {
		done(nil)
		return
	}
	s := p.settlements[spec.ID]
	switch {
	case s == nil || s.session != w.Session:
		s = p.newSettlement(w, spec)
	case s.target.Incarnation > spec.Incarnation:
		done(errkind.New(errkind.StaleLease, "a later incarnation of worker %q has announced itself", spec.ID))
		return
	case s.target.Incarnation < spec.Incarnation:
		s.answer(errkind.New(errkind.StaleLease, "a later incarnation of worker %q has announced itself", spec.ID))
		s = p.newSettlement(w, spec)
	}
	s.waiting = append(s.waiting, done)
	if len(s.waiting) == 1 {
		s.polls = 0
		s.stopHeld()
	}
}

func (p *polledWorkers) newSettlement(w *state.Worker, spec *model.WorkerSpec) *settlement {
	p.l.c.log.Info("Worker has restarted under its ID; its attempts are stopped before they are released.",
		"worker", spec.ID, "incarnation", spec.Incarnation, "held", len(w.Held))
	s := &settlement{
		p:       p,
		target:  workerclient.Target{Worker: spec.ID, Address: spec.Address, Incarnation: spec.Incarnation},
		session: w.Session,
		fence:   exchange.FenceOf(p.l.term, p.l.c.machine.Index()+1), // no higher than that of the announcement to come
		stopped: map[workerclient.Attempt]struct{}{},
	}
	p.settlements[spec.ID] = s
	if pw := p.workers[spec.ID]; pw != nil {
		pw.fence = s.fence
	}
	return s
}

// suspend sends an incarnation that has ended no further commands or acknowledgements. Its
// attempts may run on the next one, so that its lease goes on while they are settled.
func (p *polledWorkers) suspend(w *state.Worker) {
	pw := p.workers[w.Spec.ID]
	if pw == nil {
		return
	}
	now := p.l.c.s.now()
	if !pw.replaced {
		pw.replaced, pw.replacedAt = true, now
		p.recordPollResult(pw, errNewIncarnation)
	}
	if now.Sub(pw.replacedAt) >= p.l.c.s.opts.Times.longestLease() {
		return
	}
	if err := p.l.leases.Renew(lease.Holder{Worker: w.Spec.ID, Session: w.Session}, now); err != nil {
		p.l.c.log.Debug("Lease of an incarnation that has ended is not renewed.", "worker", w.Spec.ID, "err", err)
	}
}

// endSettlements fails the settlements of a leader that steps down.
func (p *polledWorkers) endSettlements() {
	for _, s := range p.settlements {
		s.answer(errkind.New(errkind.NotLeader, "the process has stopped leading"))
	}
}

// current reports whether the process still leads and the settlement is still the one of
// its worker.
func (s *settlement) current() bool {
	return s.p.l.c.leader == s.p.l && s.p.settlements[s.target.Worker] == s
}

// finish ends the settlement. One that has failed is resumed by the next heartbeat.
func (s *settlement) finish(err error) {
	if err == nil && s.p.settlements[s.target.Worker] == s {
		delete(s.p.settlements, s.target.Worker)
	}
	s.answer(err)
}

func (s *settlement) answer(err error) {
	waiting := s.waiting
	s.waiting = nil
	for _, done := range waiting {
		done(err)
	}
}

// unstopped returns the current attempts of the earlier incarnation that are not known to
// be stopped.
func (s *settlement) unstopped() []workerclient.Attempt {
	w := s.p.l.c.machine.Worker(s.target.Worker)
	if w == nil || w.Session != s.session || w.Mode == model.WorkerLost {
		return nil
	}
	var out []workerclient.Attempt
	for _, id := range w.Held {
		j, t := s.p.l.task(id)
		if t == nil || j.Step == nil {
			continue
		}
		attempt := s.p.attemptOf(id, j, t)
		if _, ok := s.stopped[attempt]; !ok {
			out = append(out, attempt)
		}
	}
	return out
}

// stopHeld stops the attempts that are not stopped yet, and polls the worker once all
// are.
func (s *settlement) stopHeld() {
	attempts := s.unstopped()
	if len(attempts) == 0 {
		s.poll()
		return
	}
	unanswered, failed := len(attempts), false
	for _, attempt := range attempts {
		s.stop(attempt, func(resp workerclient.Response) {
			if resp.Verdict == workerclient.Accepted || resp.Verdict == workerclient.Outdated {
				s.stopped[attempt] = struct{}{}
			} else {
				failed = true
			}
			if unanswered--; unanswered == 0 {
				s.stopsAnswered(failed)
			}
		})
	}
}

func (s *settlement) stopsAnswered(failed bool) {
	if failed {
		s.finish(errkind.New(errkind.Overloaded, "worker %q has restarted and did not confirm that its earlier attempts are stopped", s.target.Worker))
		return
	}
	s.poll()
}

func (s *settlement) stop(attempt workerclient.Attempt, onResponse func(workerclient.Response)) {
	req := &workerclient.StopCommand{Attempt: attempt, Fence: s.fence}
	s.call(func(ctx context.Context, client workerclient.Client) func() {
		resp := client.Stop(ctx, s.target, req)
		return func() {
			s.p.countCommand(commandStop, resp)
			onResponse(resp)
		}
	})
}

// call runs send outside of the control goroutine, and what it returns in it. If the
// settlement is not current any more, it fails instead.
func (s *settlement) call(send func(context.Context, workerclient.Client) func()) {
	server := s.p.l.c.s
	go func() {
		ctx, cancel := context.WithTimeout(s.p.ctx, settleCallTimeout)
		defer cancel()
		handle := send(ctx, server.opts.WorkerClient)
		server.post(workCommands, func(*core) {
			if s.current() {
				handle()
			}
		})
	}()
}

// poll asks the worker which of the held attempts run or have ended on it. It
// acknowledges nothing.
func (s *settlement) poll() {
	s.polls++
	req := &workerclient.PollRequest{Fence: s.fence}
	s.call(func(ctx context.Context, client workerclient.Client) func() {
		resp, err := client.Poll(ctx, s.target, req)
		return func() { s.polled(resp, err) }
	})
}

func (s *settlement) polled(resp *workerclient.PollResponse, err error) {
	switch {
	case err != nil:
		s.finish(errkind.Wrap(errkind.Overloaded, err, "a worker that has restarted does not answer"))
	case resp.Incarnation != s.target.Incarnation:
		s.finish(errkind.New(errkind.StaleLease, "another incarnation of worker %q answers, or another server", s.target.Worker))
	case resp.MoreEnds:
		s.finish(errkind.New(errkind.Overloaded, "worker %q has restarted and has more ends than it lists at a time", s.target.Worker))
	case s.listsIncomplete(&resp.Unreadable):
		s.finish(errkind.New(errkind.Overloaded, "worker %q has restarted and lists rows that cannot be read: %v", s.target.Worker, resp.Unreadable.First))
	case len(s.unstopped()) > 0:
		s.stopHeld()
	case s.runsAny(resp) && s.polls < maxSettlePolls:
		s.p.after(settlePollAfter, func() {
			if s.current() {
				s.poll()
			}
		})
	case s.runsAny(resp):
		s.finish(errkind.New(errkind.Overloaded, "worker %q has restarted and still runs attempts of its earlier incarnation", s.target.Worker))
	default:
		s.reportEnds(resp.Ended)
	}
}

// listsIncomplete reports whether the lists of a response may lack attempts, since they have
// rows that cannot be read. Such rows count as absent after unreadableGrace.
func (s *settlement) listsIncomplete(rows *workerclient.UnreadableRows) bool {
	if rows.Active+rows.Ended == 0 {
		s.unreadableSince = 0
		return false
	}
	s.p.countUnreadable(rows)
	now := s.p.l.c.s.now()
	if s.unreadableSince == 0 {
		s.unreadableSince = now
	}
	return now.Sub(s.unreadableSince) < unreadableGrace
}

// heldTask returns the task that the earlier incarnation holds and whose current attempt
// is the given one, or nil.
func (s *settlement) heldTask(attempt *workerclient.Attempt) (model.TaskID, *state.Task) {
	if w := s.p.l.c.machine.Worker(s.target.Worker); w == nil || w.Session != s.session {
		return model.TaskID{}, nil
	}
	return s.p.currentTaskOf(s.target.Worker, attempt)
}

func (s *settlement) runsAny(resp *workerclient.PollResponse) bool {
	for i := range resp.Active {
		if _, t := s.heldTask(&resp.Active[i].Attempt); t != nil {
			return true
		}
	}
	return false
}

// reportEnds commits how held attempts have ended on the worker. The others never ran
// there, or were stopped; the announcement releases them.
func (s *settlement) reportEnds(ends []workerclient.EndedAttempt) {
	report := state.WorkerReport{Worker: s.target.Worker, Session: s.session}
	for i := range ends {
		e := &ends[i]
		id, t := s.heldTask(&e.Attempt)
		if t == nil || e.Outcome != workerclient.Succeeded && e.Outcome != workerclient.Failed {
			continue
		}
		report.Reports = append(report.Reports, api.Report{Task: id, Fence: t.Fence, State: reportOf(e.Outcome), Checkpoint: e.Checkpoint})
	}
	if len(report.Reports) == 0 {
		s.finish(nil)
		return
	}
	s.p.l.c.log.Info("Attempts of the earlier incarnation have ended on the worker.", "worker", s.target.Worker, "ends", len(report.Reports))
	s.p.l.c.propose(&state.Command{Report: &state.Report{Reports: []state.WorkerReport{report}}}, func(_ state.Result, err error) { s.finish(err) })
}
