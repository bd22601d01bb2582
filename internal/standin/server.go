package standin

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/filbertmast/filbertmast/internal/api"
	"github.com/filbertmast/filbertmast/internal/model"
)

const (
	headerExecutor  = "Standin-Executor" // ID of the executor, in each answer
	maxRequestBody  = 64 << 20           // bytes
	readHeaderLimit = 5 * time.Second
)

// executorServer is an executor: an HTTP server with slots.
type executorServer struct {
	spec    model.ExecutorSpec
	behave  Behavior
	runTime time.Duration // run time of a request that specifies none
	history *history
	http    *http.Server
	done    chan struct{}

	running  atomic.Int64
	closing  atomic.Bool
	mu       sync.Mutex
	conns    int64
	peak     int64
	maxEpoch uint64
}

// startExecutor listens on address and serves requests. Zero slots or connections mean
// the defaults.
func startExecutor(id, service, address string, p payload, h *history) (*executorServer, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("executor: %w", err)
	}
	x := &executorServer{behave: p.behave, runTime: p.run, history: h, done: make(chan struct{})}
	x.spec = model.ExecutorSpec{ID: id, Service: service, Address: l.Addr().String(), Slots: p.slots, Connections: p.connections}
	if x.spec.Slots == 0 {
		x.spec.Slots = defaultSlots
	}
	if x.spec.Connections == 0 {
		x.spec.Connections = defaultConnections
	}
	x.http = &http.Server{Handler: x, ConnState: x.countConn, ReadHeaderTimeout: readHeaderLimit}
	go func() {
		defer close(x.done)
		x.http.Serve(l)
	}()
	return x, nil
}

// stop refuses new requests, waits up to grace for those in flight, and closes the
// server.
func (x *executorServer) stop(grace time.Duration) {
	x.closing.Store(true)
	ctx, cancel := context.WithTimeout(context.Background(), grace)
	defer cancel()
	if err := x.http.Shutdown(ctx); err != nil {
		x.http.Close()
	}
	<-x.done
}

func (x *executorServer) countConn(_ net.Conn, state http.ConnState) {
	x.mu.Lock()
	defer x.mu.Unlock()
	switch state {
	case http.StateNew:
		x.conns++
	case http.StateClosed, http.StateHijacked:
		x.conns--
	}
	if x.conns > x.peak {
		x.peak = x.conns
		x.history.add(Event{At: now(), Kind: EventConnections, Executor: x.spec.ID, Concurrent: x.conns, Limit: int64(x.spec.Connections)})
	}
}

// ServeHTTP implements http.Handler. It echoes the request body. A body that begins with
// payloadPrefix contains options for the request.
func (x *executorServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRequestBody))
	if err != nil {
		x.refuse(w, r, "body_not_read")
		return
	}
	p := payload{run: x.runTime, behave: x.behave}
	if bytes.HasPrefix(body, []byte(payloadPrefix)) {
		p = parsePayload(string(body), p)
	}
	if reason := x.refusalReason(r, p); reason != "" {
		x.refuse(w, r, reason)
		return
	}
	x.run(r, p)
	x.answer(w, r, p, body)
}

func (x *executorServer) refusalReason(r *http.Request, p payload) string {
	switch {
	case x.closing.Load():
		return "leaving"
	case p.behave == BehaveRefuse:
		return "asked_to"
	case x.olderEpoch(r.Header.Get(api.HeaderEpoch)):
		return "older_epoch"
	}
	return ""
}

// olderEpoch reports whether the epoch s is lower than one received before, which means
// that the executor has a newer owner.
func (x *executorServer) olderEpoch(s string) bool {
	epoch, err := strconv.ParseUint(s, 10, 64)
	if err != nil {
		return false
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	if epoch < x.maxEpoch {
		return true
	}
	x.maxEpoch = epoch
	return false
}

func (x *executorServer) refuse(w http.ResponseWriter, r *http.Request, reason string) {
	x.history.add(x.event(EventRefused, r))
	w.Header().Set(api.HeaderRefused, reason)
	w.Header().Set(api.HeaderRequestID, r.Header.Get(api.HeaderRequestID))
	w.WriteHeader(http.StatusServiceUnavailable)
}

// run occupies a slot for the run time of the request. Like a real target, it does not
// stop when the caller disconnects.
func (x *executorServer) run(r *http.Request, p payload) {
	begin := x.event(EventRequestBegin, r)
	begin.Concurrent = x.running.Add(1)
	begin.Limit = int64(x.spec.Slots)
	x.history.add(begin)
	d := p.run
	if p.behave == BehaveSlow {
		d += slowDelay
	}
	pause(context.Background(), d)
	x.running.Add(-1)
	x.history.add(x.event(EventRequestEnd, r))
}

func (x *executorServer) event(k EventKind, r *http.Request) Event {
	return Event{
		At: now(), Kind: k, Executor: x.spec.ID,
		Request:       r.Header.Get(api.HeaderRequestID),
		Key:           r.Header.Get(api.HeaderIdempotencyKey),
		NotRepeatable: r.Header.Get(api.HeaderRepeatable) == "false",
		Epoch:         r.Header.Get(api.HeaderEpoch),
	}
}

func (x *executorServer) answer(w http.ResponseWriter, r *http.Request, p payload, body []byte) {
	id := r.Header.Get(api.HeaderRequestID)
	switch p.behave {
	case BehaveNeverAnswer:
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	case BehaveWrongID:
		id += "-of-another"
	}
	w.Header().Set(api.HeaderRequestID, id)
	w.Header().Set(headerExecutor, x.spec.ID)
	switch {
	case p.behave == BehaveTruncate:
		x.truncate(w, body)
	case hashFraction(id) < p.behave.failureProbability(p.fail):
		w.WriteHeader(http.StatusInternalServerError)
		w.Write(body)
	default:
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
		w.Write(body)
	}
}

// truncate sends an answer that is one byte shorter than its Content-Length and closes
// the connection.
func (x *executorServer) truncate(w http.ResponseWriter, body []byte) {
	w.Header().Set("Content-Length", strconv.Itoa(len(body)+1))
	w.Write(body)
	http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}

// pause waits for d or the end of ctx.
func pause(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func now() int64 { return time.Now().UnixNano() }
