package route

import (
	"io"
	"net/http"
	"time"

	"github.com/filbertmast/filbertmast/internal/api"
	"github.com/filbertmast/filbertmast/internal/errkind"
)

// recordEcho remembers that the executor sends the request's ID back.
func (h *heldSlot) recordEcho(resp *http.Response) {
	if resp.Header.Get(api.HeaderRequestID) == "" {
		return
	}
	p := h.request.pool
	p.mu.Lock()
	h.exchange.executor.echoesID = true
	p.mu.Unlock()
}

// refuse gives up an answer whose head was wrong. A typed refusal proves that
// nothing runs; otherwise the slot is kept until the executor is done.
func (h *heldSlot) rejectResponse(resp *http.Response, err error) error {
	if errkind.Is(err, errkind.ExecutorRefused) {
		_ = resp.Body.Close()
		h.releaseSlot(false, err)
		return err
	}
	go h.drainBody(resp.Body)
	return err
}

// linger keeps the slot of an abandoned exchange until the executor is done.
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

// broken ends an exchange without an answer. Unless it is proved that nothing
// runs any more, the slot is kept until the executor must have ended.
func (h *heldSlot) endWithoutAnswer(err error) {
	if h.exchange.provenEnded() {
		h.releaseSlot(false, err)
		return
	}
	s := h.request
	last := s.deadline.Add(s.owner.opts.Linger)
	time.AfterFunc(last.Sub(s.owner.opts.Now()), func() { h.releaseSlot(false, err) })
}

// drain reads an answer that nobody wants to its end, which proves that the
// executor is done, and then closes the connection.
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
	h.request.owner.metrics.lingered.WithLabelValues(end).Inc()
}

// end frees the slot. Unless err lets another executor be tried, the request is
// finished.
func (h *heldSlot) releaseSlot(ok bool, err error) {
	s := h.request
	h.exchange.close()
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
