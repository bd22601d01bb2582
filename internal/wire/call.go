package wire

import (
	"bytes"
	"context"
	"errors"
	"io"
	"math"
	"time"

	"github.com/quic-go/quic-go"

	"github.com/filbertmast/filbertmast/internal/errkind"
)

// Call sends req to the peer at address to and returns its answer. Each call uses
// its own stream. Errors:
//   - the error of the peer's handler, with its kind;
//   - Unreachable if nothing was sent, or the peer refused the stream unread;
//   - Overloaded if the link budget between the regions is exhausted;
//   - DeadlineExceeded if the deadline of ctx passed after the send;
//   - OutcomeUnknown for every other failure after the send.
func Call[Req, Resp any](ctx context.Context, e *Endpoint, to string, k Kind, req *Req) (*Resp, error) {
	msg, err := appendFrame(preface{mode: modeCall, kind: k, timeoutMS: timeoutOf(ctx)}.append(nil), req)
	if err != nil {
		return nil, err
	}
	b, err := e.call(ctx, to, k, msg)
	e.metrics.call(k, outcomeOf(err))
	if err != nil {
		return nil, err
	}
	resp, err := decode[Resp](b)
	if err != nil {
		return nil, errkind.Wrap(errkind.OutcomeUnknown, err, "undecodable answer from "+to)
	}
	return resp, nil
}

func outcomeOf(err error) string {
	if err == nil {
		return "ok"
	}
	return string(errkind.Of(err))
}

// timeoutOf returns the time until the deadline of ctx in milliseconds, rounded
// up, or 0 if there is no deadline.
func timeoutOf(ctx context.Context) uint32 {
	d, ok := ctx.Deadline()
	if !ok {
		return 0
	}
	ms := (time.Until(d) + time.Millisecond - 1).Milliseconds()
	return uint32(min(max(ms, 1), math.MaxUint32))
}

func (e *Endpoint) call(ctx context.Context, to string, k Kind, msg []byte) ([]byte, error) {
	if to == e.self.Address {
		return e.callLocal(ctx, k, msg)
	}
	c, s, err := e.open(ctx, to, k, len(msg))
	if err != nil {
		return nil, err
	}
	defer c.callEnded()
	stop := resetOnCancel(ctx, s)
	defer stop()
	if _, err := s.Write(msg); err != nil {
		return nil, errorAfterSend(ctx, to, err)
	}
	s.Close()
	c.meter.countSent(ClassOf(k), len(msg))
	b, n, err := readAnswer(s)
	c.meter.countReceived(ClassOf(k), n)
	s.CancelRead(streamDone)
	if err != nil {
		return nil, answerError(ctx, to, err)
	}
	return b, nil
}

// open returns a stream to a peer. Nothing has been sent on it yet, so an error
// of open means that the peer did not run anything.
func (e *Endpoint) open(ctx context.Context, to string, k Kind, n int) (*conn, *quic.Stream, error) {
	c, err := e.peer(to).acquireConn(ctx)
	if err != nil {
		return nil, nil, err
	}
	if err := e.admit(ctx, ClassOf(k), c.remote, n); err != nil {
		c.callEnded()
		return nil, nil, err
	}
	s, err := c.qc.OpenStreamSync(ctx)
	if err != nil {
		c.callEnded()
		return nil, nil, errkind.Wrap(errkind.Unreachable, err, "cannot open a stream to "+to)
	}
	return c, s, nil
}

// resetOnCancel resets s when ctx ends, unless stop is called before.
func resetOnCancel(ctx context.Context, s *quic.Stream) (stop func() bool) {
	return context.AfterFunc(ctx, func() {
		s.CancelRead(streamCallerLeft)
		s.CancelWrite(streamCallerLeft)
	})
}

// remoteError is an error that the peer's handler returned.
type remoteError struct{ body errkind.Body }

// Error implements error.
func (e *remoteError) Error() string { return e.body.Message }

// readAnswer returns the frame of an answer and the number of bytes read. An
// error answer is returned as a *remoteError.
func readAnswer(r io.Reader) ([]byte, int, error) {
	var status [1]byte
	if _, err := io.ReadFull(r, status[:]); err != nil {
		return nil, 0, unexpectedEOF(err)
	}
	b, err := readFrame(r)
	n := len(status) + frameHeader + len(b)
	if err != nil {
		return nil, n, unexpectedEOF(err)
	}
	if status[0] == statusAnswer {
		return b, n, nil
	}
	body, err := decode[errkind.Body](b)
	if err != nil {
		return nil, n, err
	}
	return nil, n, &remoteError{body: *body}
}

// answerError returns the error of the peer's handler if err holds one, and
// otherwise classifies err as errorAfterSend does.
func answerError(ctx context.Context, to string, err error) error {
	var remote *remoteError
	if errors.As(err, &remote) {
		return remote.body.Err()
	}
	return errorAfterSend(ctx, to, err)
}

// errorAfterSend classifies an error that occurred when bytes may have been sent.
func errorAfterSend(ctx context.Context, to string, err error) error {
	if isRefusal(err) {
		return errkind.Wrap(errkind.Unreachable, err, "request was refused unread by "+to)
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return errkind.Wrap(errkind.DeadlineExceeded, ctx.Err(), "no answer from "+to+" before the deadline")
	}
	return errkind.Wrap(errkind.OutcomeUnknown, err, "no answer from "+to)
}

// isRefusal reports whether the peer refused the stream or its connection
// without processing any request on it.
func isRefusal(err error) bool {
	var app *quic.ApplicationError
	if errors.As(err, &app) {
		return app.Remote && app.ErrorCode == codeRefused
	}
	var s *quic.StreamError
	return errors.As(err, &s) && s.Remote && s.ErrorCode == streamRefused
}

func (c *conn) serveCall(s *quic.Stream, p preface) {
	h := c.e.handlers.call(p.kind)
	if h == nil {
		c.e.metrics.refuse(reasonUnknownKind)
		c.answer(s, p.kind, errorFrame(unknownKind(p.kind)))
		return
	}
	ctx, cancel := handlerContext(s.Context(), p)
	defer cancel()
	b, release, err := c.e.frames.read(s)
	if err != nil {
		c.refuse(s, reasonOf(err))
		return
	}
	defer release()
	c.meter.countReceived(ClassOf(p.kind), frameHeader+len(b))
	c.answer(s, p.kind, c.e.runCall(ctx, h, c.remote, b))
}

func reasonOf(err error) string {
	switch errkind.Of(err) {
	case errkind.BodyTooLarge:
		return reasonTooLarge
	case errkind.Overloaded:
		return reasonFrames
	}
	return reasonUndecodable
}

// handlerContext returns a context for a handler that ends at the caller's
// deadline.
func handlerContext(ctx context.Context, p preface) (context.Context, context.CancelFunc) {
	if p.timeoutMS == 0 {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, time.Duration(p.timeoutMS)*time.Millisecond)
}

func (e *Endpoint) runCall(ctx context.Context, h callHandler, from Peer, req []byte) (answer []byte) {
	var err error
	defer func() {
		if err != nil {
			answer = errorFrame(err)
		}
	}()
	defer e.recoverPanic(&err)
	answer, err = h(ctx, from, req)
	return answer
}

func errorFrame(err error) []byte {
	body := errkind.BodyOf(err, "")
	b, err := appendFrame([]byte{statusError}, &body)
	if err != nil {
		return nil
	}
	return b
}

// answer sends the answer of a call. The handler has already run, so the link
// budget may delay the answer but not refuse it.
func (c *conn) answer(s *quic.Stream, k Kind, b []byte) {
	if err := c.e.admitMore(s.Context(), ClassOf(k), c.remote, len(b)); err != nil {
		s.CancelWrite(streamAborted)
		return
	}
	s.CancelRead(streamDone)
	if _, err := s.Write(b); err != nil {
		s.CancelWrite(streamAborted)
		return
	}
	c.meter.countSent(ClassOf(k), len(b))
	s.Close()
}

// callLocal runs the handler of this process without a connection. The request
// and the answer are still encoded.
func (e *Endpoint) callLocal(ctx context.Context, k Kind, msg []byte) ([]byte, error) {
	h := e.handlers.call(k)
	if h == nil {
		e.metrics.refuse(reasonUnknownKind)
		return nil, unknownKind(k)
	}
	answer := make(chan []byte, 1)
	go func() { answer <- e.runCall(ctx, h, e.self, msg[prefaceLength+frameHeader:]) }()
	select {
	case b := <-answer:
		return parseLocalAnswer(ctx, e.self.Address, b)
	case <-ctx.Done():
		return nil, errorAfterSend(ctx, e.self.Address, ctx.Err())
	}
}

func parseLocalAnswer(ctx context.Context, address string, answer []byte) ([]byte, error) {
	b, _, err := readAnswer(bytes.NewReader(answer))
	if err != nil {
		return nil, answerError(ctx, address, err)
	}
	return b, nil
}
