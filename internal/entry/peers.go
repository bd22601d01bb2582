package entry

import (
	"context"
	"io"
	"net/http"

	"github.com/filbertmast/filbertmast/internal/errkind"
	"github.com/filbertmast/filbertmast/internal/route"
	"github.com/filbertmast/filbertmast/internal/wire"
)

// handleForward handles a request that another entry process has forwarded to this
// owner.
func (s *Server) handleForward(ctx context.Context, _ wire.Peer, head *route.ForwardHeader, body io.Reader, reply *wire.Reply) {
	answer, err := s.owner.Handle(ctx, head, body)
	if err != nil {
		_ = reply.Fail(err) // if this fails, the caller's entry process sees a broken stream
		return
	}
	defer answer.Body.Close()
	if err := reply.Send(forwardAnswer{Status: answer.Status, Header: answer.Header, Size: answer.Size}); err != nil {
		return
	}
	if _, err := io.Copy(reply, answer.Body); err != nil {
		return // without Close the stream is reset, so the peer sees a truncated response
	}
	_ = reply.Close()
}

// forwardAnswer is the header of a response between entry processes.
type forwardAnswer struct {
	Status int         `cbor:"1,keyasint"`
	Header http.Header `cbor:"2,keyasint,omitempty"`
	Size   int64       `cbor:"3,keyasint"`
}

// peers forwards requests to the entry processes that own executors.
type peers struct{ s *Server }

// Forward implements route.Peers.
func (p peers) Forward(ctx context.Context, name string, h *route.ForwardHeader, body io.Reader) (*route.Answer, error) {
	address := p.s.dir.addressOf(name)
	if address == "" {
		return nil, errkind.New(errkind.Unreachable, "entry process %q is not in the directory", name)
	}
	ctx, cancel := context.WithCancel(ctx)
	stopWatch := func() {}
	if h.Repeatable {
		stopWatch = p.s.watchPeer(ctx, address, cancel)
	}
	head, answer, err := wire.OpenExchange[route.ForwardHeader, forwardAnswer](ctx, p.s.opts.Endpoint, address, wire.KindForward, h, body)
	stopWatch()
	if err != nil {
		cancel()
		return nil, err
	}
	return &route.Answer{Status: head.Status, Header: head.Header, Body: cancelOnClose{answer, cancel}, Size: head.Size}, nil
}

// cancelOnClose cancels a context when the body of a response is closed.
type cancelOnClose struct {
	io.ReadCloser
	cancel context.CancelFunc
}

// Close implements io.Closer.
func (c cancelOnClose) Close() error {
	defer c.cancel()
	return c.ReadCloser.Close()
}
