package server

import (
	"net/http"

	"github.com/labstack/echo/v4"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/filbertmast/filbertmast/internal/replica"
	"github.com/filbertmast/filbertmast/internal/replica/raft"
	"github.com/filbertmast/filbertmast/internal/wire"
)

// replicaMessages is a batch of consensus messages to one replica.
type replicaMessages struct {
	Messages []replica.Message `cbor:"1,keyasint"`
}

// replicaTransport sends consensus messages over the inner endpoint.
type replicaTransport struct{ endpoint *wire.Endpoint }

// Send implements replica.Transport. The endpoint drops and counts messages for
// which its queue has no room; the replica sends them again. Ordered messages are posted
// one by one, so that a replica can take the entries of one while the next is under way.
func (t replicaTransport) Send(to string, msgs []replica.Message) {
	var prompt, once replicaMessages
	for _, m := range msgs {
		switch m.Delivery() {
		case raft.DeliverPromptly:
			prompt.Messages = append(prompt.Messages, m)
		case raft.DeliverOnce:
			once.Messages = append(once.Messages, m)
		default:
			_ = wire.Post(t.endpoint, to, wire.KindReplica, &replicaMessages{Messages: []replica.Message{m}})
		}
	}
	if len(prompt.Messages) > 0 {
		_ = wire.PostPrompt(t.endpoint, to, wire.KindReplica, &prompt)
	}
	if len(once.Messages) > 0 {
		_ = wire.PostDatagram(t.endpoint, to, wire.KindReplica, &once)
	}
}

// SendSnapshot implements replica.Transport.
func (t replicaTransport) SendSnapshot(to string, chunk replica.SnapshotChunk) {
	_ = wire.Post(t.endpoint, to, wire.KindSnapshot, &chunk)
}

// PathStats implements replica.PathObserver.
func (t replicaTransport) PathStats(address string) replica.PathStats {
	return replica.PathStats(t.endpoint.PathStats(address, wire.KindReplica))
}

// ReceiveDrops implements replica.PathObserver.
func (t replicaTransport) ReceiveDrops() (uint64, error) { return t.endpoint.ReceiveDrops() }

func handleReplicaMessages(e *wire.Endpoint, node *replica.Node) {
	wire.HandlePost(e, wire.KindReplica, func(from wire.Peer, m *replicaMessages) {
		node.Receive(from.Address, m.Messages)
	})
	wire.HandlePost(e, wire.KindSnapshot, func(from wire.Peer, c *replica.SnapshotChunk) {
		node.ReceiveSnapshot(from.Address, *c)
	})
}

// handler returns the handler of the outer HTTP listener: that of the entry, or
// only health and metrics in a process without the entry role.
func (p *Process) handler() http.Handler {
	if p.entry != nil {
		return p.entry.Handler()
	}
	e := echo.New()
	e.HideBanner = true
	e.GET("/healthz", func(c echo.Context) error { return c.NoContent(http.StatusOK) })
	e.GET("/metrics", echo.WrapHandler(promhttp.HandlerFor(p.registry, promhttp.HandlerOpts{})))
	return e
}
