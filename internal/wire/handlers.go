package wire

import (
	"context"
	"fmt"
	"io"
	"runtime/debug"
	"sync"

	"github.com/filbertmast/filbertmast/internal/errkind"
)

type (
	callHandler     func(ctx context.Context, from Peer, req []byte) ([]byte, error)
	postHandler     func(from Peer, msg []byte) error
	exchangeHandler func(ctx context.Context, from Peer, head []byte, body io.Reader, reply *Reply) error
)

// handlers is the registry of message handlers by kind. Each kind is served in
// one of the three ways.
type handlers struct {
	mu        sync.RWMutex
	calls     map[Kind]callHandler
	posts     map[Kind]postHandler
	exchanges map[Kind]exchangeHandler
}

func (h *handlers) call(k Kind) callHandler {
	h.mu.RLock()
	defer h.mu.RUnlock()
	return h.calls[k]
}

func (h *handlers) post(k Kind) postHandler {
	h.mu.RLock()
	defer h.mu.RUnlock()
	return h.posts[k]
}

func (h *handlers) exchange(k Kind) exchangeHandler {
	h.mu.RLock()
	defer h.mu.RUnlock()
	return h.exchanges[k]
}

// Handle serves calls of kind k with fn, which may run concurrently. The context
// of fn ends at the caller's deadline or when the caller cancels. An error of fn
// is sent to the caller as an errkind.Body.
func Handle[Req, Resp any](e *Endpoint, k Kind, fn func(ctx context.Context, from Peer, req *Req) (*Resp, error)) {
	h := func(ctx context.Context, from Peer, b []byte) ([]byte, error) {
		req, err := decode[Req](b)
		if err != nil {
			e.metrics.refuse(reasonUndecodable)
			return nil, err
		}
		resp, err := fn(ctx, from, req)
		if err != nil {
			return nil, err
		}
		return appendFrame([]byte{statusAnswer}, resp)
	}
	e.handlers.mu.Lock()
	defer e.handlers.mu.Unlock()
	if e.handlers.calls == nil {
		e.handlers.calls = make(map[Kind]callHandler)
	}
	e.handlers.calls[k] = h
}

// HandlePost serves one-way messages of kind k with fn. The messages of one peer
// are delivered one at a time, at most once and in the order in which they were
// posted; some may be lost. A slow fn delays only that peer's messages of kind k.
func HandlePost[T any](e *Endpoint, k Kind, fn func(from Peer, msg *T)) {
	h := func(from Peer, b []byte) error {
		msg, err := decode[T](b)
		if err != nil {
			return err
		}
		fn(from, msg)
		return nil
	}
	e.handlers.mu.Lock()
	defer e.handlers.mu.Unlock()
	if e.handlers.posts == nil {
		e.handlers.posts = make(map[Kind]postHandler)
	}
	e.handlers.posts[k] = h
}

// HandleExchange serves exchanges of kind k with fn, which may run concurrently.
// fn reads the body until io.EOF or an error, sends the head of the answer with
// Reply.Send or an error with Reply.Fail, then writes the answer's body and closes
// the Reply. An answer that fn does not close is reset, so that the caller does
// not take it for a complete one.
func HandleExchange[H any](e *Endpoint, k Kind, fn func(ctx context.Context, from Peer, head *H, body io.Reader, reply *Reply)) {
	h := func(ctx context.Context, from Peer, b []byte, body io.Reader, reply *Reply) error {
		head, err := decode[H](b)
		if err != nil {
			e.metrics.refuse(reasonUndecodable)
			return err
		}
		fn(ctx, from, head, body, reply)
		return nil
	}
	e.handlers.mu.Lock()
	defer e.handlers.mu.Unlock()
	if e.handlers.exchanges == nil {
		e.handlers.exchanges = make(map[Kind]exchangeHandler)
	}
	e.handlers.exchanges[k] = h
}

// recoverPanic converts a panic of a handler into an error, so that one message
// cannot crash the process. Use it as defer e.recoverPanic(&err).
func (e *Endpoint) recoverPanic(err *error) {
	v := recover()
	if v == nil {
		return
	}
	e.metrics.refuse(reasonPanic)
	e.log.Error("Message handler panicked.", "panic", v, "stack", string(debug.Stack()))
	*err = errkind.New(errkind.Internal, "%s", fmt.Sprint(v))
}

func unknownKind(k Kind) error {
	return errkind.New(errkind.Unreachable, "the peer does not serve message kind %d", k)
}
