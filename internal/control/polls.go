package control

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/filbertmast/filbertmast/internal/exchange"
	"github.com/filbertmast/filbertmast/internal/model"
	"github.com/filbertmast/filbertmast/internal/schedule"
	"github.com/filbertmast/filbertmast/internal/workerclient"
)

const (
	// pollSlack is the time that the call of a poll may take beyond its wait.
	pollSlack = 700 * time.Millisecond
	// pollRepeatAfter is the least time beyond its wait after which an unanswered poll is
	// repeated, and the time between further repeats.
	pollRepeatAfter = 200 * time.Millisecond
	// maxUnanswered is the number of consecutive unanswered polls from which on a
	// worker counts as unresponsive.
	maxUnanswered = 3
	// pollRetryAfter is the time before a new poll after one has failed.
	pollRetryAfter = 200 * time.Millisecond
	// acknowledgeWithin is how long a poll waits until it can acknowledge ends. A worker
	// responds at once while it lists any.
	acknowledgeWithin = 100 * time.Millisecond
	// commitPollAfter is the time to the next poll while ended attempts are being
	// committed.
	commitPollAfter = time.Second
)

// sentPoll is a poll in flight.
type sentPoll struct {
	number  uint64
	sentAt  model.Time
	renewed bool // it carries a renewal of the lease
	fence   uint64
	cursor  uint64 // it acknowledges the ends up to this number
}

// poll starts a series of polls of a worker, unless one is in flight. A poll renews
// the worker's lease and asks for its attempts.
func (p *polledWorkers) poll(pw *polledWorker) {
	if pw.polls.InFlight() || !p.current(pw) {
		return
	}
	if pw.ends.Cursor() > pw.acknowledged && !pw.unresponsive && !pw.replaced && !p.mayAcknowledge(pw) {
		p.postpone(pw)
		return
	}
	p.pollNow(pw)
}

// pollNow starts a series of polls, also if ends cannot be acknowledged.
func (p *polledWorkers) pollNow(pw *polledWorker) {
	pw.postponed = false
	if pw.polls.InFlight() || !p.current(pw) {
		return
	}
	wait := time.Duration(0)
	if pw.clockReported && !pw.unresponsive {
		wait = p.losses.PollWait(p.l.c.s.now(), p.busy(pw))
	}
	p.sendPoll(pw, pw.target, pw.polls.Begin(), wait, p.acknowledged(pw))
}

// acknowledged returns the number up to which the next poll may acknowledge ends: none if
// it would acknowledge none anew, if that may harm a later incarnation, or while the list
// may lack ends.
func (p *polledWorkers) acknowledged(pw *polledWorker) uint64 {
	if pw.ends.Cursor() <= pw.acknowledged || pw.unresponsive || pw.replaced || p.listsIncomplete(pw) || !p.mayAcknowledge(pw) {
		return 0
	}
	return pw.ends.Cursor()
}

// mayAcknowledge reports whether a poll with an acknowledgement cannot harm if a later
// incarnation gets it. That one counts its ends anew, and would forget those of attempts
// that it was sent by mistake. So none may have gone there, and any start that is sent
// later has a higher fence: once it is executed, the poll is refused.
func (p *polledWorkers) mayAcknowledge(pw *polledWorker) bool {
	w := p.l.c.machine.Worker(pw.target.Worker)
	return w != nil && p.nextFence() > pw.fence && !p.holdsMisdirected(pw, w)
}

// nextFence returns the highest fence that is lower than those of sessions to come.
func (p *polledWorkers) nextFence() uint64 { return exchange.FenceOf(p.l.term, p.l.c.machine.Index()) }

// startFence returns the fence of a start, which is higher than that of any earlier
// acknowledgement.
func (p *polledWorkers) startFence(pw *polledWorker) uint64 {
	if pw.fence == pw.acknowledgedBy {
		pw.fence = p.nextFence()
	}
	return pw.fence
}

// postpone polls a worker whose ends cannot be acknowledged yet once they can, but after
// acknowledgeWithin at the latest.
func (p *polledWorkers) postpone(pw *polledWorker) {
	if pw.postponed {
		return
	}
	pw.postponed = true
	p.after(acknowledgeWithin, func() {
		if pw.postponed {
			p.pollNow(pw)
		}
	})
}

// pollPostponed polls a worker whose poll was postponed, once no start is in flight. If one
// had no response, the response to the poll shows that it has gone nowhere else.
func (p *polledWorkers) pollPostponed(pw *polledWorker) {
	if pw.postponed && !pw.startInFlight() {
		p.pollNow(pw)
	}
}

// startInFlight reports whether a call of a start awaits its response.
func (pw *polledWorker) startInFlight() bool {
	for _, cmd := range pw.commands {
		if cmd.calls.InFlight() {
			return true
		}
	}
	return false
}

// busy reports whether tasks are placed on a worker.
func (p *polledWorkers) busy(pw *polledWorker) bool {
	w := p.l.c.machine.Worker(pw.target.Worker)
	return w != nil && len(w.Held) > 0
}

// repeatPoll polls a worker again, without a wait, if its response to the given poll
// is overdue.
func (p *polledWorkers) repeatPoll(pw *polledWorker, number uint64) {
	if !p.current(pw) {
		return
	}
	next, unanswered, ok := pw.polls.Repeat(number)
	if !ok {
		return
	}
	if unanswered >= maxUnanswered {
		p.recordPollResult(pw, errOverdue)
	}
	p.sendPoll(pw, pw.target.Repeated(), next, 0, 0)
}

func (p *polledWorkers) sendPoll(pw *polledWorker, to workerclient.Target, number uint64, wait time.Duration, cursor uint64) {
	s := p.l.c.s
	req := &workerclient.PollRequest{Fence: pw.fence, LeaseUntil: p.grant(pw), Cursor: cursor, Wait: wait}
	poll := sentPoll{number: number, sentAt: s.now(), renewed: req.LeaseUntil != 0, fence: pw.fence, cursor: cursor}
	if cursor != 0 {
		pw.acknowledgedBy = pw.fence
	}
	pw.repeatTimer = p.after(wait+p.responses.Timeout(pollRepeatAfter, maxRepeatAfter), func() { p.repeatPoll(pw, number) })
	go func() {
		ctx, cancel := context.WithTimeout(p.ctx, req.Wait+pollSlack)
		defer cancel()
		resp, err := s.opts.WorkerClient.Poll(ctx, to, req)
		s.post(workPolls, func(*core) {
			if p.current(pw) {
				p.pollAnswered(pw, &poll, resp, err)
			}
		})
	}()
}

// pollAnswered handles the response to a poll, or its failure.
func (p *polledWorkers) pollAnswered(pw *polledWorker, poll *sentPoll, resp *workerclient.PollResponse, err error) {
	otherIncarnation := errors.Is(err, workerclient.ErrOtherIncarnation)
	if err == nil && resp.Incarnation != pw.target.Incarnation {
		err = errNewIncarnation // it gets no start until its announcement is committed
		if resp.ConnectionEnded {
			err = fmt.Errorf("%w: %w", errNewIncarnation, workerclient.ErrConnectionEnded)
		}
	}
	overtaken := errors.Is(err, workerclient.ErrFenced) && poll.fence < pw.fence // by a start
	ends, lost := pw.polls.End(poll.number, err == nil || otherIncarnation || overtaken)
	if lost {
		p.losses.Record(p.l.c.s.now())
		p.l.c.s.metrics.lostPolls.Inc()
	}
	if err == nil {
		pw.clock.ObserveResponse(resp.Clock, poll.sentAt, p.l.c.s.now())
		pw.answeredAt, pw.heardAt = max(pw.answeredAt, poll.sentAt), p.l.c.s.now()
		if pw.firstHeard == 0 {
			pw.firstHeard = pw.heardAt
		}
		pw.acknowledged = max(pw.acknowledged, poll.cursor)
		p.explainLostAttempts(pw, poll.sentAt)
		p.recordUnreadable(pw, resp)
		p.recordEnds(pw, resp.Ended)
		p.passUnreadable(pw, &resp.Unreadable)
	}
	if !ends {
		return
	}
	pw.repeatTimer.Stop()
	if otherIncarnation {
		p.recordReceivedStarts(pw, err)
		p.loseReplaced(pw)
		return
	}
	if overtaken {
		p.poll(pw)
		return
	}
	p.continuePolling(pw, poll, resp, err)
}

// continuePolling applies the result of a series of polls and starts the next one.
func (p *polledWorkers) continuePolling(pw *polledWorker, poll *sentPoll, resp *workerclient.PollResponse, err error) {
	if err == nil && pw.replaced {
		err = errNewIncarnation // the response was on its way when the worker restarted
	}
	wasUnresponsive := pw.unresponsive // and so the poll could not renew the lease
	p.recordPollResult(pw, err)
	if err != nil {
		p.after(pollRetryAfter, func() { p.poll(pw) })
		return
	}
	p.reconcile(pw, poll, resp)
	if !poll.renewed && pw.clockReported && !wasUnresponsive {
		p.after(pollRetryAfter, func() { p.poll(pw) })
		return
	}
	pw.clockReported = true
	if resp.Unreadable.Ended > 0 || len(resp.Ended) > 0 && p.listsIncomplete(pw) {
		// The worker does not wait before it lists ends again that are not acknowledged.
		p.after(pollRetryAfter, func() { p.poll(pw) })
		return
	}
	if pw.ends.Settled() {
		p.poll(pw)
		return
	}
	// The commit starts the next poll. This timer renews the lease even if the commit
	// takes long.
	p.after(commitPollAfter, func() { p.poll(pw) })
}

// errOverdue is the result of a worker whose polls neither succeed nor fail.
var errOverdue = errors.New("several consecutive polls were not answered")

// errNewIncarnation is the result of a worker that has restarted under its ID, or whose
// address another server has taken.
var errNewIncarnation = errors.New("another incarnation answers, whose announcement is not committed yet, or another server")

// recordPollResult records whether a worker answers polls, and so whether tasks may be
// placed on it. A nil error means that it does.
func (p *polledWorkers) recordPollResult(pw *polledWorker, err error) {
	unresponsive := err != nil
	if unresponsive == pw.unresponsive && (unresponsive || !pw.unverified) {
		return
	}
	if unresponsive != pw.unresponsive {
		p.logResponsiveness(pw, err)
		if unresponsive {
			p.recordOutage(pw, err)
			p.recordReceivedStarts(pw, err)
		}
	}
	pw.unresponsive = unresponsive
	pw.connectionEnded = pw.connectionEnded && unresponsive
	pw.unverified = pw.unverified && unresponsive
	p.updateScheduler(pw)
}

func (p *polledWorkers) logResponsiveness(pw *polledWorker, err error) {
	if err == nil {
		p.l.c.s.metrics.unresponsive.Dec()
		p.l.c.log.Info("Worker answers again.", "worker", pw.target.Worker)
		return
	}
	p.l.c.s.metrics.unresponsive.Inc()
	p.l.c.log.Warn("Worker does not answer; its lease is not renewed.",
		"worker", pw.target.Worker, "address", pw.target.Address, "err", err)
}

// updateScheduler reports to the scheduler whether a worker can be given tasks: commands
// reach it, and it has not just refused one.
func (p *polledWorkers) updateScheduler(pw *polledWorker) {
	p.l.dirty = true
	p.l.sched.Apply(schedule.WorkerResponsivenessChanged{Worker: pw.target.Worker, Responsive: !pw.unresponsive && !pw.unverified && !pw.refusals.Paused()})
}
