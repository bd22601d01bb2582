package bodylimit

import (
	"net/http"
	"time"

	"github.com/filbertmast/filbertmast/internal/errkind"
)

// Response is a response that is held until its client has read it.
type Response struct {
	l *Limiter
	t transfer
}

// Hold charges a response of n bytes, which must be released once it has been sent. When its
// bytes are needed for others and it has been in sending for longer than an ordinary response
// takes, its connection is closed. The error is Overloaded.
func (l *Limiter) Hold(c Class, w http.ResponseWriter, n int64) (*Response, error) {
	r := &Response{l: l}
	if n <= freeBytes {
		return r, nil
	}
	r.t.class, r.t.response = c, true
	r.t.interrupt = func() { _ = http.NewResponseController(w).SetWriteDeadline(time.Unix(1, 0)) }
	if !r.begin(n) {
		l.countRefused(c, reasonBudget)
		return nil, errkind.New(errkind.Overloaded, "responses that are not read occupy the memory for others")
	}
	return r, nil
}

// begin charges n bytes and reports whether there was room. A single response that is larger
// than the budget is sent while nothing else is held.
func (r *Response) begin(n int64) bool {
	r.l.mu.Lock()
	defer r.l.mu.Unlock()
	now := time.Now()
	b := &r.l.budget
	b.begin(&r.t, now)
	given, ok := b.charge(&r.t, min(n, b.accounts[r.t.class].limit), now)
	r.l.interrupt(given)
	if !ok {
		b.release(&r.t)
	}
	return ok
}

// Release returns the bytes of the response to the budget. It may be called more than once.
func (r *Response) Release() {
	r.l.mu.Lock()
	defer r.l.mu.Unlock()
	r.l.budget.release(&r.t)
}
