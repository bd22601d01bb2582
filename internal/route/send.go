package route

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/filbertmast/filbertmast/internal/errkind"
)

// forwardedRequest is one request that was forwarded to the owner.
type forwardedRequest struct {
	owner    *Owner
	pool     *pool
	header   *ForwardHeader
	body     *replayBody
	deadline time.Time
	finish   func() // called once, when nothing of the request can be running
}

// run tries executors until one answers. It tries another one only if the
// previous one provably ran nothing.
func (s *forwardedRequest) run(ctx context.Context) (*Answer, error) {
	for try := 1; ; try++ {
		x, err := s.acquireSlot(ctx)
		if err != nil {
			s.finish()
			return nil, err
		}
		ans, err := s.exchange(ctx, x)
		if !provesNotStarted(err) {
			return ans, err
		}
		if try == maxExecutorTries || !s.body.replayable() || !s.owner.budget.TryWithdraw() {
			s.finish()
			return nil, err
		}
	}
}

// provesNotStarted reports whether err proves that the executor ran nothing.
func provesNotStarted(err error) bool {
	return errkind.Is(err, errkind.Unreachable) || errkind.Is(err, errkind.ExecutorRefused)
}

// acquireSlot waits for a slot of an executor. It fails with
// DeadlineBeforeStart if there is none by startBy.
func (s *forwardedRequest) acquireSlot(ctx context.Context) (*executor, error) {
	w := &waiter{
		startBy:    s.startBy(),
		deadline:   s.deadline,
		patience:   time.Duration(s.header.PatienceMS) * time.Millisecond,
		repeatable: s.header.Repeatable,
		ready:      make(chan waitResult, 1),
	}
	x, err := s.pool.acquireSlot(w)
	if x != nil || err != nil {
		return x, err
	}
	timer := time.NewTimer(w.startBy.Sub(s.owner.opts.Now()))
	defer timer.Stop()
	select {
	case r := <-w.ready:
		return r.executor, r.err
	case <-timer.C:
		s.pool.cancelWait(w)
		return nil, errkind.New(errkind.DeadlineBeforeStart, "no executor slot became free in time")
	case <-ctx.Done():
		s.pool.cancelWait(w)
		return nil, notStartedError(ctx)
	}
}

// startBy returns the latest useful start: within the patience, and early
// enough to end by the deadline.
func (s *forwardedRequest) startBy() time.Time {
	s.pool.mu.Lock()
	mean := s.pool.meanSlotTime
	s.pool.mu.Unlock()
	latest := s.deadline.Add(-mean)
	if s.header.PatienceMS <= 0 {
		return latest
	}
	patienceEnd := s.owner.opts.Now().Add(time.Duration(s.header.PatienceMS) * time.Millisecond)
	if patienceEnd.Before(latest) {
		return patienceEnd
	}
	return latest
}

// notStartedError returns the error of a request that ended before it was sent.
func notStartedError(ctx context.Context) error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return errkind.New(errkind.DeadlineBeforeStart, "the deadline passed before the request was sent to an executor")
	}
	return errkind.New(errkind.CallerGone, "the caller closed the connection")
}

// roundTripResult is the result of a round trip in a separate goroutine.
type roundTripResult struct {
	resp *http.Response
	err  error
}

// exchange sends the request to x, whose slot is taken. It releases the slot
// once nothing of the request can be running there.
func (s *forwardedRequest) exchange(ctx context.Context, x *executor) (*Answer, error) {
	// The exchange may outlive its caller: only its end frees the slot.
	exchangeCtx, cancel := context.WithDeadline(context.WithoutCancel(ctx), s.deadline.Add(s.owner.opts.Linger))
	s.pool.mu.Lock()
	echoes := x.echoesID
	s.pool.mu.Unlock()
	e := newExchange(x, echoes, cancel, s.deadline)
	slot := &heldSlot{request: s, exchange: e, acquiredAt: s.owner.opts.Now()}
	s.header.DeadlineMS = s.deadline.Sub(slot.acquiredAt).Milliseconds()
	done := make(chan roundTripResult, 1)
	go func() {
		resp, err := e.roundTrip(exchangeCtx, s.header, s.body.reader())
		done <- roundTripResult{resp, err}
	}()
	select {
	case r := <-done:
		return slot.handleResponse(ctx, r, echoes)
	case <-ctx.Done():
		go slot.awaitAbandoned(done)
		return nil, abandonedError(ctx)
	}
}

// abandonedError returns the error of a request that ended while it may be
// running.
func abandonedError(ctx context.Context) error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return errkind.New(errkind.DeadlineExceeded, "the deadline passed before the answer")
	}
	return errkind.New(errkind.CallerGone, "the caller closed the connection")
}

// heldSlot is the slot of one exchange.
type heldSlot struct {
	request    *forwardedRequest
	exchange   *exchange
	acquiredAt time.Time
}

// handleResponse checks the result of the round trip and returns the answer.
func (h *heldSlot) handleResponse(ctx context.Context, r roundTripResult, echoes bool) (*Answer, error) {
	s := h.request
	if r.err != nil {
		h.endWithoutAnswer(r.err)
		return nil, r.err
	}
	if err := checkHead(r.resp, s.header.RequestID, echoes); err != nil {
		return nil, h.rejectResponse(r.resp, err)
	}
	h.recordEcho(r.resp)
	maxSize := s.owner.maxAnswer(s.header.Service)
	if r.resp.ContentLength > maxSize {
		return nil, h.rejectResponse(r.resp, tooLargeError(maxSize))
	}
	ok := !isFailureStatus(r.resp.StatusCode)
	stop := context.AfterFunc(ctx, h.exchange.abandon)
	body := &completeBody{
		rc:      r.resp.Body,
		size:    r.resp.ContentLength,
		maxSize: maxSize,
		done: func(complete bool) {
			stop()
			if complete {
				_ = r.resp.Body.Close()
				h.releaseSlot(ok, nil)
				return
			}
			go h.drainBody(r.resp.Body)
		},
	}
	return &Answer{
		Status: r.resp.StatusCode,
		Header: r.resp.Header,
		Body:   body,
		Size:   r.resp.ContentLength,
	}, nil
}
