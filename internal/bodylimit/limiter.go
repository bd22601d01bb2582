package bodylimit

import (
	"bytes"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/filbertmast/filbertmast/internal/errkind"
	"github.com/filbertmast/filbertmast/internal/obs"
)

const (
	// firstBuffer is the size of a body's first buffer in bytes, which an ordinary body fits.
	firstBuffer = 1 << 10
	// lingerTime is how long a refused body is still read and discarded. A connection that is
	// closed before its unread bytes are read is reset, and the response may be lost.
	lingerTime = 500 * time.Millisecond
	// sweepPeriod is the time between checks of the minimum rate.
	sweepPeriod = 500 * time.Millisecond
)

// Options configures a Limiter.
type Options struct {
	Budgets    map[Class]int64 // bytes
	MinRate    int64           // bytes per second; zero: none
	Grace      time.Duration   // time before MinRate applies
	Registerer prometheus.Registerer
	Logger     *log.Logger
}

// Limiter holds request bodies within the budgets. It is safe for concurrent use.
type Limiter struct {
	log     *log.Logger
	metrics *metrics

	mu       sync.Mutex
	budget   budget
	sweeping bool // a sweep is scheduled
	report   report
}

// New returns a Limiter and registers its metrics.
func New(o Options) *Limiter {
	l := &Limiter{log: o.Logger.WithPrefix(obs.PrefixEntry), budget: budget{minRate: o.MinRate, grace: o.Grace}}
	for c, n := range o.Budgets {
		l.budget.accounts[c].limit = n
	}
	l.metrics = newMetrics(o.Registerer, l)
	return l
}

// held returns the bytes that the bodies of a class hold.
func (l *Limiter) held(c Class) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.budget.accounts[c].held
}

// Body is the body of one request. It is not safe for concurrent use.
type Body struct {
	l       *Limiter
	w       http.ResponseWriter
	src     io.Reader
	size    int64 // declared; -1 if unknown
	max     int64 // largest allowed size
	maxHeld int64 // bytes that the reader of Read keeps at most
	expects bool  // the client waits for 100 Continue
	stream  bool  // passed on while it is read
	t       transfer
	err     error // after the end
}

// Open begins to read the body of r, which may have at most max bytes. The body must be
// released when nothing refers to its bytes any more. The error is BodyTooLarge.
func (l *Limiter) Open(c Class, w http.ResponseWriter, r *http.Request, max int64) (*Body, error) {
	b := &Body{l: l, w: w, src: r.Body, size: r.ContentLength, max: max, maxHeld: max, expects: r.Header.Get("Expect") != ""}
	b.t.class = c
	b.t.interrupt = func() { _ = http.NewResponseController(w).SetReadDeadline(time.Unix(1, 0)) }
	if r.ContentLength > max {
		return nil, b.refuse(reasonTooLarge)
	}
	if r.ContentLength == 0 {
		b.err = io.EOF
		return b, nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.budget.begin(&b.t, time.Now())
	l.scheduleSweep()
	return b, nil
}

// Stream returns a body that is passed on while it is read, of which the reader keeps at
// most the first held bytes.
func (l *Limiter) Stream(c Class, w http.ResponseWriter, r *http.Request, max, held int64) (*Body, error) {
	b, err := l.Open(c, w, r, max)
	if err != nil {
		return nil, err
	}
	b.maxHeld, b.stream = min(max, held), true
	l.mu.Lock()
	defer l.mu.Unlock()
	b.t.pausedAt = time.Now()
	return b, nil
}

// scheduleSweep schedules a check of the minimum rate. Its timer runs only while bodies are
// being read.
func (l *Limiter) scheduleSweep() {
	if l.sweeping || l.budget.minRate == 0 {
		return
	}
	l.sweeping = true
	time.AfterFunc(sweepPeriod, l.sweep)
}

func (l *Limiter) sweep() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sweeping = false
	l.interrupt(l.budget.sweep(time.Now()))
	if !l.budget.empty() {
		l.scheduleSweep()
	}
}

// interrupt ends the reads of bodies that were given up. It holds the lock, so that a body
// whose request has ended, and whose connection may serve the next one, is not among them.
func (l *Limiter) interrupt(given []*transfer) {
	for _, t := range given {
		l.metrics.abandoned(t.class, t.givenUp)
		t.interrupt()
		l.report.abandoned++
	}
	if len(given) > 0 {
		l.logReport()
	}
}

// reportPeriod is the time between two lines about refused bodies.
const reportPeriod = 2 * time.Second

// report counts what was refused since the last line about it.
type report struct {
	refused, abandoned int
	logged             time.Time
}

// countRefused counts a body or a response that was refused.
func (l *Limiter) countRefused(c Class, why reason) {
	l.metrics.refused(c, why)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.report.refused++
	l.logReport()
}

// logReport writes a line, unless the last one was written within reportPeriod.
func (l *Limiter) logReport() {
	now := time.Now()
	if now.Sub(l.report.logged) < reportPeriod {
		return
	}
	a := &l.budget.accounts
	l.log.Warn("Bodies are refused.", "refused", l.report.refused, "abandoned", l.report.abandoned,
		"held_callers", a[Callers].held, "held_workers", a[Workers].held, "held_operators", a[Operators].held)
	l.report = report{logged: now}
}

// charge makes the body hold the given number of bytes in all and reports whether it may.
func (b *Body) charge(bytes int64) bool {
	if bytes <= freeBytes {
		return true
	}
	b.l.mu.Lock()
	defer b.l.mu.Unlock()
	given, ok := b.l.budget.charge(&b.t, bytes, time.Now())
	b.l.interrupt(given)
	return ok
}

// ReadAll returns the whole body. The error has a kind; Overloaded means that the budget of
// its class is exhausted. The buffer grows with the bytes received, not with the declared
// length, of which a client may send nothing.
func (b *Body) ReadAll() ([]byte, error) {
	if b.size == 0 {
		return nil, nil
	}
	buf := make([]byte, 0, firstBuffer)
	for {
		if len(buf) == cap(buf) {
			grown, err := b.grow(buf)
			if err != nil {
				return nil, err
			}
			buf = grown
		}
		n, err := b.src.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		b.t.received.Add(int64(n))
		if int64(len(buf)) > b.max {
			return nil, b.refuse(reasonTooLarge)
		}
		if err == io.EOF {
			if why := b.endReading(); why != reasonNone {
				return nil, b.refuse(why)
			}
			return buf, nil
		}
		if err != nil {
			return nil, b.readError(err)
		}
	}
}

// grow returns a larger buffer with the contents of buf. Both are charged while both are
// there.
func (b *Body) grow(buf []byte) ([]byte, error) {
	size := min(2*int64(cap(buf)), b.max+1)
	if b.size > int64(len(buf)) {
		size = min(size, b.size)
	}
	size = max(size, int64(len(buf))+1)
	if !b.charge(int64(cap(buf)) + size) {
		return nil, b.refuse(reasonBudget)
	}
	grown := make([]byte, len(buf), size)
	copy(grown, buf)
	if !b.charge(size) {
		return nil, b.refuse(reasonBudget)
	}
	return grown, nil
}

// Read implements io.Reader for a body that is passed on. Twice the bytes are charged, since
// a buffer that grows is there twice for a moment. Errors other than io.EOF have a kind.
func (b *Body) Read(p []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	b.setPaused(false)
	n, err := b.src.Read(p)
	b.setPaused(true)
	received := b.t.received.Add(int64(n))
	switch {
	case received > b.max:
		b.err = b.refuse(reasonTooLarge)
		return 0, b.err
	case err == io.EOF:
		b.err = err
		if why := b.endReading(); why != reasonNone {
			b.err = b.refuse(why)
		}
	case err != nil:
		b.err = b.readError(err)
	}
	if b.err == nil && !b.charge(2*min(received, b.maxHeld)) {
		b.err = b.refuse(reasonBudget)
	}
	return n, b.err
}

// setPaused records that the reader stops or begins to wait for bytes.
func (b *Body) setPaused(paused bool) {
	b.l.mu.Lock()
	defer b.l.mu.Unlock()
	now := time.Now()
	if !b.t.pausedAt.IsZero() {
		b.t.paused += now.Sub(b.t.pausedAt)
	}
	b.t.pausedAt = time.Time{}
	if paused {
		b.t.pausedAt = now
	}
}

const (
	// decodedBytes is the memory that is charged for each element of a JSON text while it is
	// decoded: the shortest takes two bytes of text, and as an element of a list of objects
	// some hundred, twice while the list grows.
	decodedBytes = 256
	// freeElements are not charged; an ordinary body has fewer.
	freeElements = 1024
)

// Decode runs fn, which decodes a JSON text that was read from the body, and charges the
// memory for that meanwhile, at most half of the budget, so that no single body is too large.
// The error is that of fn, or Overloaded.
func (b *Body) Decode(text []byte, fn func() error) error {
	elements := int64(bytes.Count(text, []byte{','}) + bytes.Count(text, []byte{'{'}))
	if elements <= freeElements {
		return fn()
	}
	own := int64(cap(text))
	limit := b.l.budget.accounts[b.t.class].limit
	if !b.charge(min(own+elements*decodedBytes, max(own, limit/2))) {
		return b.refuse(reasonBudget)
	}
	defer b.charge(own)
	return fn()
}

// Release returns the bytes of the body to the budget at the end of the request. It may be
// called more than once, and while another goroutine still reads a body that is passed on.
func (b *Body) Release() {
	b.l.mu.Lock()
	defer b.l.mu.Unlock()
	b.l.budget.release(&b.t)
	b.t.ended = true
}

// endReading ends the reading of a complete body and returns why it was given up at the same
// moment, if it was: the deadline of its connection has passed, which ends its request.
func (b *Body) endReading() reason {
	b.l.mu.Lock()
	defer b.l.mu.Unlock()
	b.l.budget.endReading(&b.t)
	return b.t.givenUp
}

// givenUp ends the reading and returns why the body was given up meanwhile, if it was.
func (b *Body) givenUp() reason {
	b.l.mu.Lock()
	defer b.l.mu.Unlock()
	b.l.budget.release(&b.t)
	return b.t.givenUp
}

// readError returns the error for a body that could not be read to its end.
func (b *Body) readError(err error) error {
	why := b.givenUp()
	if why == reasonNone {
		return errkind.Wrap(errkind.BadRequest, err, "cannot read the body")
	}
	return b.refuse(why)
}

// linger bounds the time for which the rest of the body is still read. After the end of the
// request its connection may serve the next one.
func (b *Body) linger() {
	b.l.mu.Lock()
	defer b.l.mu.Unlock()
	if !b.t.ended {
		_ = http.NewResponseController(b.w).SetReadDeadline(time.Now().Add(lingerTime))
	}
}

// discard reads the rest of the body, up to the limit of its size. Clients send a body before
// they read the response.
func (b *Body) discard() {
	if b.expects && b.t.received.Load() == 0 {
		return // the client sends nothing before it is told to
	}
	_, _ = io.CopyN(io.Discard, b.src, b.max)
}

// refuse closes the connection after the response and returns the error to respond with.
func (b *Body) refuse(why reason) error {
	already := b.givenUp()
	b.linger()
	if already == reasonNone {
		b.l.countRefused(b.t.class, why)
	} else {
		why = already
	}
	// The goroutine that passes a body on runs beside the one that responds, which alone may
	// change the header. There net/http itself discards what is unread, and closes the connection.
	if !b.stream {
		b.w.Header().Set("Connection", "close")
		if already == reasonNone {
			b.discard()
		}
	}
	b.l.log.Debug("Body refused.", "class", b.t.class, "reason", why, "received", b.t.received.Load(), "declared", b.size, "given_up", already != reasonNone)
	switch why {
	case reasonTooLarge:
		return errkind.New(errkind.BodyTooLarge, "the body is larger than %d bytes", b.max)
	case reasonSlow:
		return errkind.New(errkind.BadRequest, "the body arrived more slowly than %d bytes per second", b.l.budget.minRate)
	}
	return errkind.New(errkind.Overloaded, "the bodies of other requests occupy the memory for them")
}
