package route

import (
	"io"
	"net/http"
	"time"

	"github.com/filbertmast/filbertmast/internal/api"
	"github.com/filbertmast/filbertmast/internal/errkind"
)

// recordEcho records that the executor returns the request ID.
func (h *heldSlot) recordEcho(resp *http.Response) {
	if resp.Header.Get(api.HeaderRequestID) == "" {
		return
	}
	p := h.request.pool
	p.mu.Lock()
	h.exchange.executor.echoesID = true
	p.mu.Unlock()
}

// rejectResponse discards an answer that is invalid or too large and returns
// err. A typed refusal proves that nothing runs; otherwise the slot is held
// until the executor has finished.
func (h *heldSlot) rejectResponse(resp *http.Response, err error) error {
	if errkind.Is(err, errkind.ExecutorRefused) {
		_ = resp.Body.Close()
		h.releaseSlot(false, err)
		return err
	}
	go h.drainBody(resp.Body)
	return err
}

// awaitAbandoned holds the slot of an abandoned exchange until the executor has
// finished.
func (h *heldSlot) awaitAbandoned(done <-chan roundTripResult) {
	h.exchange.abandon()
	r := <-done
	if r.err != nil {
		h.countAbandonedEnd(r.err)
		h.endWithoutAnswer(nil)
		return
	}
	h.drainBody(r.resp.Body)
}

// endWithoutAnswer ends an exchange without an answer. Unless the exchange has
// provably ended, the slot is held until it has.
func (h *heldSlot) endWithoutAnswer(err error) {
	if h.exchange.provenEnded() {
		h.releaseSlot(false, err)
		return
	}
	go h.awaitEnd(err)
}

// awaitEnd holds the slot until the executor closes the connection, but no
// longer than until Linger after the deadline, when the executor must have ended
// the exchange.
func (h *heldSlot) awaitEnd(err error) {
	s := h.request
	last := s.deadline.Add(s.owner.opts.Linger)
	timer := time.NewTimer(last.Sub(s.owner.opts.Now()))
	defer timer.Stop()
	conn := h.exchange.currentConn()
	go conn.discardUntilPeerCloses()
	select {
	case <-conn.peerClosed:
	case <-timer.C:
	}
	h.releaseSlot(false, err)
}

// drainBody reads an unwanted answer to its end, which proves that the executor
// has finished, and then closes the connection.
func (h *heldSlot) drainBody(body io.ReadCloser) {
	h.exchange.abandon()
	_, err := io.Copy(io.Discard, body)
	h.countAbandonedEnd(err)
	_ = body.Close()
	if err != nil {
		h.endWithoutAnswer(nil)
		return
	}
	h.releaseSlot(false, nil)
}

func (h *heldSlot) countAbandonedEnd(err error) {
	end := "answered"
	if err != nil {
		end = "broken"
	}
	h.request.owner.metrics.abandoned.WithLabelValues(end).Inc()
}

// releaseSlot frees the slot. It also finishes the request, unless err allows a
// try with another executor.
func (h *heldSlot) releaseSlot(ok bool, err error) {
	s := h.request
	h.exchange.cleanUp()
	s.owner.metrics.sends.WithLabelValues(sendResultLabel(ok, err)).Inc()
	s.pool.recordResult(h.exchange.executor, ok)
	s.pool.releaseSlot(h.exchange.executor, s.owner.opts.Now().Sub(h.acquiredAt))
	if ok {
		s.owner.budget.RecordSuccess()
	}
	if !provesNotStarted(err) {
		s.finish()
	}
}

func sendResultLabel(ok bool, err error) string {
	switch {
	case err != nil:
		return string(errkind.Of(err))
	case ok:
		return "ok"
	}
	return "failed"
}
