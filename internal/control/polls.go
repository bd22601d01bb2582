package control

import (
	"context"
	"errors"
	"time"

	"github.com/filbertmast/filbertmast/internal/courier"
	"github.com/filbertmast/filbertmast/internal/model"
	"github.com/filbertmast/filbertmast/internal/schedule"
)

const (
	// pollSlack is what a look may take beyond the time for which its answer is held back.
	pollSlack = 700 * time.Millisecond
	// pollRepeatAfter is the time beyond that, and between repeats, after which a look
	// without an answer is repeated.
	pollRepeatAfter = 200 * time.Millisecond
	// maxUnanswered is the number of looks in a row without an answer from which
	// on a worker is taken to be silent.
	maxUnanswered = 3
	// pollRetryAfter is the time before a look that failed is tried again.
	pollRetryAfter = 200 * time.Millisecond
	// commitPollAfter is the time to the next look while ends are being committed.
	commitPollAfter = time.Second
)

// sentPoll is a look on its way.
type sentPoll struct {
	number  uint64
	sent    model.Time
	renewed bool // it carries a lease
}

// look renews the lease of a worker and waits for what it tells.
func (c *polledWorkers) poll(m *polledWorker) {
	if m.polls.InFlight() || !c.current(m) {
		return
	}
	wait := time.Duration(0)
	if m.clockReported && !m.unresponsive {
		wait = c.losses.PollWait(c.l.c.s.now(), c.busy(m))
	}
	c.sendPoll(m, m.polls.Begin(), wait)
}

// busy reports whether tasks are placed on a worker.
func (c *polledWorkers) busy(m *polledWorker) bool {
	w := c.l.c.machine.Worker(m.target.Worker)
	return w != nil && len(w.Held) > 0
}

// repeatPoll asks a worker at once whose answer is overdue.
func (c *polledWorkers) repeatPoll(m *polledWorker, number uint64) {
	if !c.current(m) {
		return
	}
	next, unanswered, ok := m.polls.Repeat(number)
	if !ok {
		return
	}
	if unanswered >= maxUnanswered {
		c.setResponsive(m, errOverdue)
	}
	c.sendPoll(m, next, 0)
}

func (c *polledWorkers) sendPoll(m *polledWorker, number uint64, wait time.Duration) {
	s := c.l.c.s
	req := &courier.PollRequest{Fence: c.l.term, LeaseUntil: c.grant(m), Cursor: m.cursor, Wait: wait}
	poll := sentPoll{number: number, sent: s.now(), renewed: req.LeaseUntil != 0}
	m.repeatTimer = c.after(wait+pollRepeatAfter, func() { c.repeatPoll(m, number) })
	go func() {
		ctx, cancel := context.WithTimeout(c.ctx, req.Wait+pollSlack)
		defer cancel()
		resp, err := s.opts.WorkerClient.Poll(ctx, m.target, req)
		s.post(func(*core) {
			if c.current(m) {
				c.pollAnswered(m, &poll, resp, err)
			}
		})
	}()
}

// looked takes in an answer to a look, or that none came.
func (c *polledWorkers) pollAnswered(m *polledWorker, poll *sentPoll, resp *courier.PollResponse, err error) {
	otherIncarnation := errors.Is(err, courier.ErrOtherIncarnation)
	if err == nil && resp.Incarnation != 0 && resp.Incarnation != m.target.Incarnation {
		err = errNewIncarnation // until its announcement is committed it gets no start
	}
	ends, lost := m.polls.End(poll.number, err == nil || otherIncarnation)
	if lost {
		c.losses.Record(c.l.c.s.now())
		c.l.c.s.metrics.lostPolls.Inc()
	}
	if err == nil {
		m.clock.Observe(resp.Clock, c.l.c.s.now())
		c.recordEnds(m, resp.Ended)
	}
	if !ends {
		return
	}
	m.repeatTimer.Stop()
	if otherIncarnation {
		c.loseReplaced(m)
		return
	}
	c.continuePolling(m, poll, resp, err)
}

// goOn follows from the last word of a worker, and begins the next look.
func (c *polledWorkers) continuePolling(m *polledWorker, poll *sentPoll, resp *courier.PollResponse, err error) {
	wasUnresponsive := m.unresponsive // and so the look could not renew the lease
	c.setResponsive(m, err)
	if err != nil {
		c.after(pollRetryAfter, func() { c.poll(m) })
		return
	}
	c.reconcile(m, poll.sent, resp)
	if !poll.renewed && m.clockReported && !wasUnresponsive {
		c.after(pollRetryAfter, func() { c.poll(m) })
		return
	}
	m.clockReported = true
	if m.proposed == m.cursor {
		c.poll(m)
		return
	}
	// The commit starts the next look; the lease is renewed also if it takes long.
	c.after(commitPollAfter, func() { c.poll(m) })
}

// errOverdue is the cause of silence where looks are neither answered nor refused.
var errOverdue = errors.New("looks in a row were not answered")

// errNewIncarnation is the answer of a worker that has started again under its name.
var errNewIncarnation = errors.New("the worker has started again and is not announced yet")

// setResponsive follows whether a worker answers, and with it whether work may be
// placed there.
func (c *polledWorkers) setResponsive(m *polledWorker, err error) {
	unresponsive := err != nil
	if unresponsive == m.unresponsive && (unresponsive || !m.unverified) {
		return
	}
	if unresponsive != m.unresponsive {
		c.logResponsive(m, err)
	}
	m.unresponsive = unresponsive
	m.unverified = m.unverified && unresponsive
	c.updateScheduler(m)
}

func (c *polledWorkers) logResponsive(m *polledWorker, err error) {
	if err == nil {
		c.l.c.s.metrics.unresponsive.Dec()
		c.l.c.log.Info("Worker answers again.", "worker", m.target.Worker)
		return
	}
	c.l.c.s.metrics.unresponsive.Inc()
	c.l.c.log.Warn("Worker does not answer, its lease is not renewed.",
		"worker", m.target.Worker, "address", m.target.Address, "err", err)
}

// updateScheduler tells the scheduler whether orders reach a worker.
func (c *polledWorkers) updateScheduler(m *polledWorker) {
	c.l.dirty = true
	c.l.sched.Apply(schedule.WorkerAnswers{Worker: m.target.Worker, Answers: !m.unresponsive && !m.unverified})
}
