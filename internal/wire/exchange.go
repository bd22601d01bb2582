package wire

import (
	"context"
	"errors"
	"io"
	"sync"

	"github.com/quic-go/quic-go"

	"github.com/filbertmast/filbertmast/internal/errkind"
)

// OpenExchange starts an exchange: it sends a head and a streamed body, and
// returns the head and the streamed body of the answer. body may be nil. It is
// read by another goroutine, possibly after OpenExchange has returned, until the
// answer is closed. Cancelling ctx, or closing the answer before its end, resets
// the stream and thereby stops the peer.
//
// Errors are those of Call. If reading body fails, the stream is reset and the
// peer's handler gets an error, not a truncated body. Likewise, the returned
// reader returns io.EOF only after the peer's end marker, and otherwise
// AnswerCutOff, or DeadlineExceeded if the deadline of ctx has passed.
func OpenExchange[H, R any](ctx context.Context, e *Endpoint, to string, k Kind, head *H, body io.Reader) (*R, io.ReadCloser, error) {
	msg, err := appendFrame(preface{mode: modeExchange, kind: k, timeoutMS: timeoutOf(ctx)}.append(nil), head)
	if err != nil {
		return nil, nil, err
	}
	b, answer, err := e.exchange(ctx, to, k, msg, body)
	e.metrics.call(k, outcomeOf(err))
	if err != nil {
		return nil, nil, err
	}
	resp, err := decode[R](b)
	if err != nil {
		answer.Close()
		return nil, nil, errkind.Wrap(errkind.OutcomeUnknown, err, "undecodable answer from "+to)
	}
	return resp, answer, nil
}

func (e *Endpoint) exchange(ctx context.Context, to string, k Kind, msg []byte, body io.Reader) ([]byte, io.ReadCloser, error) {
	c, s, err := e.open(ctx, to, k, len(msg))
	if err != nil {
		return nil, nil, err
	}
	a := &answerBody{ctx: ctx, conn: c, stream: s, stop: resetOnCancel(ctx, s)}
	if _, err := s.Write(msg); err != nil {
		a.Close()
		return nil, nil, errorAfterSend(ctx, to, err)
	}
	c.meter.countSent(ClassOf(k), len(msg))
	go c.sendBody(ctx, s, k, body)
	b, n, err := readAnswer(s)
	c.meter.countReceived(ClassOf(k), n)
	if err != nil {
		a.Close()
		return nil, nil, answerError(ctx, to, err)
	}
	a.body = bodyReader{r: s, count: c.receivedCounter(k)}
	return b, a, nil
}

// sendBody streams the body of a request and its end marker. The peer may stop
// it early if it answers without reading the rest.
func (c *conn) sendBody(ctx context.Context, s *quic.Stream, k Kind, body io.Reader) {
	w := &bodyWriter{w: s, admit: c.admitter(ctx, k), count: c.sentCounter(k)}
	if body != nil {
		if _, err := io.CopyBuffer(onlyWriter{w}, body, make([]byte, chunkSize)); err != nil {
			s.CancelWrite(streamAborted)
			return
		}
	}
	if err := w.end(); err != nil {
		s.CancelWrite(streamAborted)
		return
	}
	s.Close()
}

// onlyWriter hides every method but Write, so that io.CopyBuffer uses its buffer.
type onlyWriter struct{ io.Writer }

// answerBody is the streamed body of an answer.
type answerBody struct {
	ctx    context.Context
	conn   *conn
	stream *quic.Stream
	stop   func() bool
	body   bodyReader
	once   sync.Once
}

// Read implements io.Reader.
func (a *answerBody) Read(p []byte) (int, error) {
	n, err := a.body.Read(p)
	if err == nil || err == io.EOF {
		return n, err
	}
	if errors.Is(a.ctx.Err(), context.DeadlineExceeded) {
		err = errkind.Wrap(errkind.DeadlineExceeded, a.ctx.Err(), "deadline passed before the end of the answer")
	}
	return n, err
}

// Close implements io.Closer. It discards the unread rest of the answer and
// resets the stream.
func (a *answerBody) Close() error {
	a.once.Do(func() {
		a.stop()
		a.stream.CancelRead(streamCallerLeft)
		a.stream.CancelWrite(streamCallerLeft)
		a.conn.callEnded()
	})
	return nil
}

// Reply writes the answer of an exchange on behalf of its handler. It is not
// safe for concurrent use.
type Reply struct {
	conn     *conn
	kind     Kind
	stream   *quic.Stream
	body     bodyWriter
	headSent bool
	closed   bool
}

// Send sends the head of a successful answer. It must be called once, before Write.
func (r *Reply) Send(head any) error {
	b, err := appendFrame([]byte{statusAnswer}, head)
	if err != nil {
		return err
	}
	return r.sendHead(b)
}

// Fail sends err instead of a head and closes the reply. After Send it resets
// the stream instead, since the head has already been sent.
func (r *Reply) Fail(err error) error {
	if r.headSent {
		r.abort()
		return nil
	}
	if err := r.sendHead(errorFrame(err)); err != nil {
		return err
	}
	r.closed = true
	return r.stream.Close()
}

func (r *Reply) sendHead(b []byte) error {
	if r.headSent || r.closed {
		return errkind.New(errkind.Internal, "the head of the answer has already been sent")
	}
	r.headSent = true
	if err := r.body.admit(len(b)); err != nil {
		return err
	}
	if _, err := r.stream.Write(b); err != nil {
		return err
	}
	r.body.count(len(b))
	return nil
}

// Write implements io.Writer. It sends a part of the answer's body.
func (r *Reply) Write(p []byte) (int, error) {
	if !r.headSent || r.closed {
		return 0, errkind.New(errkind.Internal, "answer body written before Send or after Close")
	}
	return r.body.Write(p)
}

// Close sends the end marker of the answer. An answer that is not closed is reset.
func (r *Reply) Close() error {
	if r.closed {
		return nil
	}
	if !r.headSent {
		return errkind.New(errkind.Internal, "answer closed without a head; call Send or Fail first")
	}
	if err := r.body.end(); err != nil {
		return err
	}
	r.closed = true
	return r.stream.Close()
}

func (r *Reply) abort() {
	r.closed = true
	r.stream.CancelWrite(streamAborted)
}

func (c *conn) serveExchange(s *quic.Stream, p preface) {
	ctx, cancel := handlerContext(s.Context(), p)
	defer cancel()
	reply := &Reply{conn: c, kind: p.kind, stream: s}
	reply.body = bodyWriter{w: s, admit: c.admitter(s.Context(), p.kind), count: c.sentCounter(p.kind)}
	defer s.CancelRead(streamDone)
	h := c.e.handlers.exchange(p.kind)
	if h == nil {
		c.e.metrics.refuse(reasonUnknownKind)
		reply.Fail(unknownKind(p.kind))
		return
	}
	head, release, err := c.e.frames.read(s)
	if err != nil {
		c.refuse(s, reasonOf(err))
		return
	}
	defer release()
	c.meter.countReceived(ClassOf(p.kind), frameHeader+len(head))
	body := &bodyReader{r: s, count: c.receivedCounter(p.kind)}
	c.e.runExchange(ctx, h, c.remote, head, body, reply)
}

// runExchange runs a handler and resets the reply if the handler left it open.
func (e *Endpoint) runExchange(ctx context.Context, h exchangeHandler, from Peer, head []byte, body io.Reader, reply *Reply) {
	err := e.callExchangeHandler(ctx, h, from, head, body, reply)
	if reply.closed {
		return
	}
	if err != nil && !reply.headSent {
		reply.Fail(err)
		return
	}
	reply.abort()
}

func (e *Endpoint) callExchangeHandler(ctx context.Context, h exchangeHandler, from Peer, head []byte, body io.Reader, reply *Reply) (err error) {
	defer e.recoverPanic(&err)
	return h(ctx, from, head, body, reply)
}
