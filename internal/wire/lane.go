package wire

// lane selects one of the connections to a peer. Each has its own congestion window and
// its own queues, so that the messages of one do not wait for those of another. A peer
// that does not know lanes takes every connection for one of the first lane, which works
// as well: it serves all forms of traffic on each.
type lane uint8

const (
	laneMain   lane = 0 // calls, exchanges and ordered one-way messages
	lanePrompt lane = 1 // small messages that must not wait: PostPrompt and PostDatagram
	laneBulk   lane = 2 // messages that others must not wait for: PostBulk
)

// hello is the first message on the control stream of a connection. It describes the
// sender and says which lane the connection belongs to.
type hello struct {
	Peer
	Lane lane `cbor:"6,keyasint,omitempty"`
}

// peerKey identifies the state of one lane to a peer.
type peerKey struct {
	address string // that the peer listens on
	lane    lane
}
