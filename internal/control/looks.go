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
	// lookSlack is what a look may take beyond the time for which its answer is held back.
	lookSlack = 700 * time.Millisecond
	// lookRepeat is the time beyond that, and between repeats, after which a look
	// without an answer is repeated.
	lookRepeat = 200 * time.Millisecond
	// maxUnanswered is the number of looks in a row without an answer from which
	// on a worker is taken to be silent.
	maxUnanswered = 3
	// lookRetry is the time before a look that failed is tried again.
	lookRetry = 200 * time.Millisecond
	// commitWait is the time to the next look while ends are being committed.
	commitWait = time.Second
)

// sentLook is a look on its way.
type sentLook struct {
	number  uint64
	sent    model.Time
	renewed bool // it carries a lease
}

// look renews the lease of a worker and waits for what it tells.
func (c *crew) look(m *calledWorker) {
	if m.looks.Open() || !c.current(m) {
		return
	}
	wait := time.Duration(0)
	if m.greeted && !m.silent {
		wait = c.losses.Wait(c.l.c.s.now(), c.busy(m))
	}
	c.sendLook(m, m.looks.Begin(), wait)
}

// busy reports whether tasks are placed on a worker.
func (c *crew) busy(m *calledWorker) bool {
	w := c.l.c.machine.Worker(m.to.Worker)
	return w != nil && len(w.Held) > 0
}

// lookAgain asks a worker at once whose answer is overdue.
func (c *crew) lookAgain(m *calledWorker, number uint64) {
	if !c.current(m) {
		return
	}
	next, unanswered, ok := m.looks.Repeat(number)
	if !ok {
		return
	}
	if unanswered >= maxUnanswered {
		c.noteSilence(m, errOverdue)
	}
	c.sendLook(m, next, 0)
}

func (c *crew) sendLook(m *calledWorker, number uint64, wait time.Duration) {
	s := c.l.c.s
	req := &courier.Look{Fence: c.l.term, LeaseUntil: c.grant(m), Cursor: m.cursor, Wait: wait}
	look := sentLook{number: number, sent: s.now(), renewed: req.LeaseUntil != 0}
	m.repeat = c.later(wait+lookRepeat, func() { c.lookAgain(m, number) })
	go func() {
		ctx, cancel := context.WithTimeout(c.ctx, req.Wait+lookSlack)
		defer cancel()
		seen, err := s.opts.Caller.Look(ctx, m.to, req)
		s.run(func(*core) {
			if c.current(m) {
				c.looked(m, &look, seen, err)
			}
		})
	}()
}

// looked takes in an answer to a look, or that none came.
func (c *crew) looked(m *calledWorker, look *sentLook, seen *courier.Seen, err error) {
	otherLife := errors.Is(err, courier.ErrOtherLife)
	if err == nil && seen.Incarnation != 0 && seen.Incarnation != m.to.Incarnation {
		err = errNewLife // until its announcement is committed it gets no start
	}
	ends, lost := m.looks.End(look.number, err == nil || otherLife)
	if lost {
		c.losses.Note(c.l.c.s.now())
		c.l.c.s.metrics.lostLooks.Inc()
	}
	if err == nil {
		m.clock.Observe(seen.Clock, c.l.c.s.now())
		c.takeEnds(m, seen.Ended)
	}
	if !ends {
		return
	}
	m.repeat.Stop()
	if otherLife {
		c.over(m)
		return
	}
	c.goOn(m, look, seen, err)
}

// goOn follows from the last word of a worker, and begins the next look.
func (c *crew) goOn(m *calledWorker, look *sentLook, seen *courier.Seen, err error) {
	again := m.silent // and so the look could not renew the lease
	c.noteSilence(m, err)
	if err != nil {
		c.later(lookRetry, func() { c.look(m) })
		return
	}
	c.reconcile(m, look.sent, seen)
	if !look.renewed && m.greeted && !again {
		c.later(lookRetry, func() { c.look(m) })
		return
	}
	m.greeted = true
	if m.offered == m.cursor {
		c.look(m)
		return
	}
	// The commit starts the next look; the lease is renewed also if it takes long.
	c.later(commitWait, func() { c.look(m) })
}

// errOverdue is the cause of silence where looks are neither answered nor refused.
var errOverdue = errors.New("looks in a row were not answered")

// errNewLife is the answer of a worker that has started again under its name.
var errNewLife = errors.New("the worker has started again and is not announced yet")

// noteSilence follows whether a worker answers, and with it whether work may be
// placed there.
func (c *crew) noteSilence(m *calledWorker, err error) {
	silent := err != nil
	if silent == m.silent && (silent || !m.unheard) {
		return
	}
	if silent != m.silent {
		c.logSilence(m, err)
	}
	m.silent = silent
	m.unheard = m.unheard && silent
	c.tellAnswers(m)
}

func (c *crew) logSilence(m *calledWorker, err error) {
	if err == nil {
		c.l.c.s.metrics.silent.Dec()
		c.l.c.log.Info("Worker answers again.", "worker", m.to.Worker)
		return
	}
	c.l.c.s.metrics.silent.Inc()
	c.l.c.log.Warn("Worker does not answer, its lease is not renewed.",
		"worker", m.to.Worker, "address", m.to.Address, "err", err)
}

// tellAnswers tells the scheduler whether orders reach a worker.
func (c *crew) tellAnswers(m *calledWorker) {
	c.l.dirty = true
	c.l.sched.Apply(schedule.WorkerResponsivenessChanged{Worker: m.to.Worker, Responsive: !m.silent && !m.unheard})
}
