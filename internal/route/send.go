package route

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/filbertmast/filbertmast/internal/errkind"
)

// send is one forwarded request at the owner.
type send struct {
	owner    *Owner
	pool     *pool
	header   *ForwardHeader
	body     *replayBody
	deadline time.Time
	finish   func() // called once, when nothing of the request runs any more
}

// run tries executors until one answers. A further one is tried only when the
// one before proves that it ran nothing.
func (s *send) run(ctx context.Context) (*Answer, error) {
	for try := 1; ; try++ {
		x, err := s.slot(ctx)
		if err != nil {
			s.finish()
			return nil, err
		}
		ans, err := s.exchange(ctx, x)
		if !notStartedBy(err) {
			return ans, err
		}
		if try == localTries || !s.body.replayable() || !s.owner.budget.Take() {
			s.finish()
			return nil, err
		}
	}
}

// notStartedBy reports whether err proves that the executor ran nothing.
func notStartedBy(err error) bool {
	return errkind.Is(err, errkind.Unreachable) || errkind.Is(err, errkind.ExecutorRefused)
}

// slot waits for a slot at an executor.
func (s *send) slot(ctx context.Context) (*executor, error) {
	w := &place{
		startBy:    s.startBy(),
		deadline:   s.deadline,
		patience:   time.Duration(s.header.PatienceMS) * time.Millisecond,
		repeatable: s.header.Repeatable,
		ready:      make(chan placed, 1),
	}
	x, err := s.pool.enter(w)
	if x != nil || err != nil {
		return x, err
	}
	timer := time.NewTimer(w.startBy.Sub(s.owner.opts.Now()))
	defer timer.Stop()
	select {
	case r := <-w.ready:
		return r.executor, r.err
	case <-timer.C:
		s.pool.leave(w)
		return nil, errkind.New(errkind.DeadlineBeforeStart, "no slot was free in time")
	case <-ctx.Done():
		s.pool.leave(w)
		return nil, notStarted(ctx)
	}
}

// startBy returns the latest useful start: what the patience allows, and early
// enough to end by the deadline.
func (s *send) startBy() time.Time {
	s.pool.mu.Lock()
	mean := s.pool.mean
	s.pool.mu.Unlock()
	by := s.deadline.Add(-mean)
	if s.header.PatienceMS <= 0 {
		return by
	}
	patient := s.owner.opts.Now().Add(time.Duration(s.header.PatienceMS) * time.Millisecond)
	if patient.Before(by) {
		return patient
	}
	return by
}

// notStarted returns why a request ended that was never sent.
func notStarted(ctx context.Context) error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return errkind.New(errkind.DeadlineBeforeStart, "the deadline passed before the start")
	}
	return errkind.New(errkind.CallerGone, "the caller closed the connection")
}

// roundTripped is the result of a round trip that ran beside its caller.
type roundTripped struct {
	resp *http.Response
	err  error
}

// exchange sends the request to x, whose slot is taken, and returns the slot
// when nothing of the request can be running there.
func (s *send) exchange(ctx context.Context, x *executor) (*Answer, error) {
	// The exchange outlives its caller: only its end frees the slot.
	long, cancel := context.WithDeadline(context.WithoutCancel(ctx), s.deadline.Add(s.owner.opts.Linger))
	s.pool.mu.Lock()
	echoes := x.echoes
	s.pool.mu.Unlock()
	e := newExchange(x, echoes, cancel, s.deadline)
	slot := &heldSlot{send: s, exchange: e, since: s.owner.opts.Now()}
	s.header.DeadlineMS = s.deadline.Sub(slot.since).Milliseconds()
	done := make(chan roundTripped, 1)
	go func() {
		resp, err := e.roundTrip(long, s.header, s.body.reader())
		done <- roundTripped{resp, err}
	}()
	select {
	case r := <-done:
		return slot.head(ctx, r, echoes)
	case <-ctx.Done():
		go slot.linger(done)
		return nil, abandoned(ctx)
	}
}

// abandoned returns why a request ended that may be running.
func abandoned(ctx context.Context) error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return errkind.New(errkind.DeadlineExceeded, "the deadline passed before the answer")
	}
	return errkind.New(errkind.CallerGone, "the caller closed the connection")
}

// heldSlot is the slot of one exchange.
type heldSlot struct {
	send     *send
	exchange *exchange
	since    time.Time
}

// head takes the result of the round trip and returns the answer.
func (h *heldSlot) head(ctx context.Context, r roundTripped, echoes bool) (*Answer, error) {
	s := h.send
	if r.err != nil {
		h.broken(r.err)
		return nil, r.err
	}
	if err := checkHead(r.resp, s.header.RequestID, echoes); err != nil {
		return nil, h.refuse(r.resp, err)
	}
	h.noteEcho(r.resp)
	most := s.owner.maxAnswer(s.header.Service)
	if r.resp.ContentLength > most {
		return nil, h.refuse(r.resp, tooLarge(most))
	}
	ok := !failed(r.resp.StatusCode)
	stop := context.AfterFunc(ctx, h.exchange.abandon)
	body := &wholeBody{
		rc:   r.resp.Body,
		size: r.resp.ContentLength,
		most: most,
		done: func(whole bool) {
			stop()
			if whole {
				_ = r.resp.Body.Close()
				h.end(ok, nil)
				return
			}
			go h.drain(r.resp.Body)
		},
	}
	return &Answer{
		Status: r.resp.StatusCode,
		Header: r.resp.Header,
		Body:   body,
		Size:   r.resp.ContentLength,
	}, nil
}
