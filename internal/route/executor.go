package route

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync"
	"time"

	"github.com/filbertmast/filbertmast/internal/api"
	"github.com/filbertmast/filbertmast/internal/errkind"
	"github.com/filbertmast/filbertmast/internal/model"
)

// executor is one target that this entry owns. The fields below transport are
// guarded by the lock of its pool.
type executor struct {
	spec      model.ExecutorSpec
	epoch     uint64
	timeouts  transportTimeouts
	transport *http.Transport

	slots           int32 // as last announced
	inUse           int32
	draining        bool // leaving, reclaimed or no longer owned: gets no new requests
	releaseWhenIdle bool // report to the leader once nothing runs here
	health          health
	echoesID        bool // answers carry the request ID, so connections may be reused
}

// transportTimeouts holds the timeouts of connections to executors.
type transportTimeouts struct {
	connect time.Duration
	idle    time.Duration
}

func newExecutor(spec model.ExecutorSpec, epoch uint64, timeouts transportTimeouts) *executor {
	x := &executor{spec: spec, slots: spec.Slots, epoch: epoch, timeouts: timeouts}
	x.transport = x.newTransport()
	return x
}

func (x *executor) newTransport() *http.Transport {
	return &http.Transport{
		DialContext:         dialTracked(x.timeouts.connect),
		MaxConnsPerHost:     int(x.spec.Connections),
		MaxIdleConnsPerHost: int(x.spec.Slots),
		IdleConnTimeout:     x.timeouts.idle,
		DisableCompression:  true,
	}
}

// capacity returns how many requests the executor may run concurrently.
func (x *executor) capacity() int32 {
	n := x.slots
	if x.spec.Connections > 0 {
		n = min(n, x.spec.Connections)
	}
	if x.health.onTrial {
		n = min(n, 1)
	}
	return n
}

// exchange is one request to an executor and its answer.
type exchange struct {
	executor      *executor
	transport     *http.Transport
	ownsTransport bool // transport is used by this exchange only
	cancel        context.CancelFunc
	notAfter      time.Time // latest time to begin sending

	mu            sync.Mutex
	conn          *trackedConn
	writtenBefore int64 // bytes written on conn by earlier requests
	abandoned     bool
}

// newExchange returns an exchange with x. Unless reuseConn is set, the exchange
// has its own connection and closes it after the answer. It does not send
// "Connection: close" for that, since some servers then cut off the end of
// their answers.
func newExchange(x *executor, reuseConn bool, cancel context.CancelFunc, notAfter time.Time) *exchange {
	e := &exchange{executor: x, transport: x.transport, cancel: cancel, notAfter: notAfter}
	if !reuseConn {
		e.transport = x.newTransport()
		e.ownsTransport = true
	}
	return e
}

// cleanUp releases the context and the connection that only this exchange uses.
func (e *exchange) cleanUp() {
	e.cancel()
	e.mu.Lock()
	e.releaseConn()
	e.mu.Unlock()
	if e.ownsTransport {
		e.transport.CloseIdleConnections()
	}
}

// abandon signals the executor that the answer is no longer awaited. An
// exchange without a connection is cancelled instead.
func (e *exchange) abandon() {
	e.mu.Lock()
	e.abandoned = true
	c := e.conn
	e.mu.Unlock()
	if c == nil {
		e.cancel()
		return
	}
	c.halfClose()
}

// sent reports whether a byte of the request may have reached the executor.
func (e *exchange) sent() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.conn != nil && e.conn.written.Load() > e.writtenBefore
}

// provenEnded reports whether nothing of the exchange can be running: no byte
// was sent, or the executor has closed the connection.
func (e *exchange) provenEnded() bool {
	if !e.sent() {
		return true
	}
	select {
	case <-e.currentConn().peerClosed:
		return true
	default:
		return false
	}
}

// currentConn returns the connection of the exchange, or nil.
func (e *exchange) currentConn() *trackedConn {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.conn
}

// releaseConn ends the hold on the connection. e.mu is held.
func (e *exchange) releaseConn() {
	if e.conn != nil {
		e.conn.release(e)
	}
}

// roundTrip sends the request and waits for the status and header of the
// answer.
func (e *exchange) roundTrip(ctx context.Context, h *ForwardHeader, body io.Reader) (*http.Response, error) {
	trace := &httptrace.ClientTrace{GotConn: e.gotConn}
	url := "http://" + e.executor.spec.Address + "/" + h.Path
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), http.MethodPost, url, onlyReader(body, h.Size))
	if err != nil {
		return nil, errkind.Wrap(errkind.BadRequest, err, "the path of the request does not form a valid URL")
	}
	req.GetBody = nil
	req.ContentLength = h.Size
	e.setHeader(req.Header, h)
	resp, err := e.transport.RoundTrip(req)
	if err != nil {
		return nil, e.transportError(err)
	}
	return resp, nil
}

// onlyReader hides all methods of body except Read, so that the transport
// cannot rewind the body and send it again.
func onlyReader(body io.Reader, size int64) io.Reader {
	if body == nil || size == 0 {
		return http.NoBody
	}
	return struct{ io.Reader }{body}
}

func (e *exchange) gotConn(info httptrace.GotConnInfo) {
	c, ok := info.Conn.(*trackedConn)
	if !ok {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.releaseConn() // http.Transport tries another one if it could send nothing
	e.writtenBefore = c.written.Load()
	e.conn = c
	c.hold(e)
	c.sendLimit.Store(&sendLimit{writtenBefore: e.writtenBefore, notAfter: e.notAfter})
	if e.abandoned {
		c.halfClose()
	}
}

func (e *exchange) setHeader(header http.Header, h *ForwardHeader) {
	for _, kv := range h.Header {
		header.Add(kv[0], kv[1])
	}
	for _, name := range resendHeaders {
		header.Del(name)
	}
	header.Set(api.HeaderRequestID, h.RequestID)
	header.Set(api.HeaderEpoch, strconv.FormatUint(e.executor.epoch, 10))
	header.Set(api.HeaderDeadline, (time.Duration(h.DeadlineMS) * time.Millisecond).String())
}

// transportError returns an error of the transport with its kind: Unreachable
// if no byte was sent, else OutcomeUnknown.
func (e *exchange) transportError(err error) error {
	if !e.sent() {
		return errkind.Wrap(errkind.Unreachable, err, "the executor could not be reached")
	}
	return errkind.Wrap(errkind.OutcomeUnknown, err, "the connection to the executor failed after part of the request was sent")
}

// checkHead verifies that the answer belongs to the request, has a detectable
// end, and is not a refusal.
func checkHead(resp *http.Response, requestID string, echoes bool) error {
	got := resp.Header.Get(api.HeaderRequestID)
	if got != requestID && (got != "" || echoes) {
		return errkind.New(errkind.OutcomeUnknown, "the executor answered with the ID of another request")
	}
	if resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get(api.HeaderRefused) != "" {
		return errkind.New(errkind.ExecutorRefused, "the executor refused the request")
	}
	if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
		return errkind.New(errkind.AnswerCutOff, "the answer has neither a Content-Length nor a chunked body, so its end is unknown")
	}
	if resp.StatusCode < http.StatusOK {
		return errkind.New(errkind.OutcomeUnknown, "the executor answered with status %d", resp.StatusCode)
	}
	return nil
}

// isFailureStatus reports whether an answer with this status counts as a
// failure of the executor.
func isFailureStatus(status int) bool { return status >= http.StatusInternalServerError }

// String identifies the executor in logs.
func (x *executor) String() string { return fmt.Sprintf("%s@%d", x.spec.ID, x.epoch) }
