package route

import (
	"io"
	"net/http"
	"time"

	"github.com/filbertmast/filbertmast/internal/api"
	"github.com/filbertmast/filbertmast/internal/errkind"
)

// noteEcho remembers that the executor sends the request's ID back.
func (h *heldSlot) noteEcho(resp *http.Response) {
	if resp.Header.Get(api.HeaderRequestID) == "" {
		return
	}
	p := h.send.pool
	p.mu.Lock()
	h.exchange.executor.echoes = true
	p.mu.Unlock()
}

// refuse gives up an answer whose head was wrong. A typed refusal proves that
// nothing runs; otherwise the slot is kept until the executor is done.
func (h *heldSlot) refuse(resp *http.Response, err error) error {
	if errkind.Is(err, errkind.ExecutorRefused) {
		_ = resp.Body.Close()
		h.end(false, err)
		return err
	}
	go h.drain(resp.Body)
	return err
}

// linger keeps the slot of an abandoned exchange until the executor is done.
func (h *heldSlot) linger(done <-chan roundTripped) {
	h.exchange.abandon()
	r := <-done
	if r.err != nil {
		h.countEnd(r.err)
		h.broken(nil)
		return
	}
	h.drain(r.resp.Body)
}

// broken ends an exchange without an answer. Unless it is proved that nothing
// runs any more, the slot is kept until the executor must have ended.
func (h *heldSlot) broken(err error) {
	if h.exchange.over() {
		h.end(false, err)
		return
	}
	s := h.send
	last := s.deadline.Add(s.owner.opts.Linger)
	time.AfterFunc(last.Sub(s.owner.opts.Now()), func() { h.end(false, err) })
}

// drain reads an answer that nobody wants to its end, which proves that the
// executor is done, and then closes the connection.
func (h *heldSlot) drain(body io.ReadCloser) {
	h.exchange.abandon()
	_, err := io.Copy(io.Discard, body)
	h.countEnd(err)
	_ = body.Close()
	if err != nil {
		h.broken(nil)
		return
	}
	h.end(false, nil)
}

func (h *heldSlot) countEnd(err error) {
	end := "answered"
	if err != nil {
		end = "broken"
	}
	h.send.owner.metrics.lingered.WithLabelValues(end).Inc()
}

// end frees the slot. Unless err lets another executor be tried, the request is
// finished.
func (h *heldSlot) end(ok bool, err error) {
	s := h.send
	h.exchange.end()
	s.owner.metrics.sends.WithLabelValues(sendLabel(ok, err)).Inc()
	s.pool.noteResult(h.exchange.executor, ok)
	s.pool.free(h.exchange.executor, s.owner.opts.Now().Sub(h.since))
	if ok {
		s.owner.budget.Success()
	}
	if !notStartedBy(err) {
		s.finish()
	}
}

func sendLabel(ok bool, err error) string {
	switch {
	case err != nil:
		return string(errkind.Of(err))
	case ok:
		return "ok"
	}
	return "failed"
}
