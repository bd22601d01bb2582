package entry

import (
	"context"
	"io"
	"net/http"

	"github.com/filbertmast/filbertmast/internal/errkind"
	"github.com/filbertmast/filbertmast/internal/route"
	"github.com/filbertmast/filbertmast/internal/wire"
)

// forwarded serves a request that another entry has passed on to this owner.
func (s *Server) forwarded(ctx context.Context, _ wire.Peer, head *route.ForwardHeader, body io.Reader, reply *wire.Reply) {
	answer, err := s.owner.Handle(ctx, head, body)
	if err != nil {
		_ = reply.Fail(err) // the caller's entry sees a broken stream instead
		return
	}
	defer answer.Body.Close()
	if err := reply.Send(forwardAnswer{Status: answer.Status, Header: answer.Header, Size: answer.Size}); err != nil {
		return
	}
	if _, err := io.Copy(reply, answer.Body); err != nil {
		return // without Close the stream is reset, and the other side sees the answer cut off
	}
	_ = reply.Close()
}

// forwardAnswer is the head of an answer that crosses between entries.
type forwardAnswer struct {
	Status int         `cbor:"1,keyasint"`
	Header http.Header `cbor:"2,keyasint,omitempty"`
	Size   int64       `cbor:"3,keyasint"`
}

// peers passes requests on to the entries that own executors.
type peers struct{ s *Server }

// Forward implements route.Peers.
func (p peers) Forward(ctx context.Context, name string, h *route.ForwardHeader, body io.Reader) (*route.Answer, error) {
	address := p.s.dir.addressOf(name)
	if address == "" {
		return nil, errkind.New(errkind.Unreachable, "entry %q is not known here", name)
	}
	ctx, cancel := context.WithCancel(ctx)
	watched := func() {}
	if h.Repeatable {
		watched = p.s.watchPeer(ctx, address, cancel)
	}
	head, answer, err := wire.OpenExchange[route.ForwardHeader, forwardAnswer](ctx, p.s.opts.Endpoint, address, wire.KindForward, h, body)
	watched()
	if err != nil {
		cancel()
		return nil, err
	}
	return &route.Answer{Status: head.Status, Header: head.Header, Body: closing{answer, cancel}, Size: head.Size}, nil
}

// closing ends a context when the body of an answer is closed.
type closing struct {
	io.ReadCloser
	end context.CancelFunc
}

// Close implements io.Closer.
func (c closing) Close() error {
	defer c.end()
	return c.ReadCloser.Close()
}
