package raft

// MessageKind is the kind of a message.
type MessageKind uint8

// The kinds of messages. A number is never reused for another kind.
const (
	PreVote        MessageKind = 1
	PreVoteReply   MessageKind = 2
	Vote           MessageKind = 3
	VoteReply      MessageKind = 4
	Append         MessageKind = 5
	AppendReply    MessageKind = 6
	Heartbeat      MessageKind = 7
	HeartbeatReply MessageKind = 8
	TimeoutNow     MessageKind = 9
	SnapshotAck    MessageKind = 10 // handled by the owner of the core
	Bootstrap      MessageKind = 11 // handled by the owner of the core
	Removed        MessageKind = 12 // handled by the owner of the core
)

// Message is a message between replicas.
type Message struct {
	Kind MessageKind `cbor:"1,keyasint"`
	From ID          `cbor:"2,keyasint"`
	To   ID          `cbor:"3,keyasint,omitempty"`
	Term uint64      `cbor:"4,keyasint,omitempty"`
	// Prev is, in an Append, the position before the entries; in a PreVote or
	// Vote, the last position of the candidate.
	Prev    Position `cbor:"5,keyasint,omitzero"`
	Entries []Entry  `cbor:"6,keyasint,omitempty"`
	Commit  uint64   `cbor:"7,keyasint,omitempty"`
	// Seq is the number of a heartbeat round of the leader. Replies repeat it.
	Seq    uint64 `cbor:"8,keyasint,omitempty"`
	Reject bool   `cbor:"9,keyasint,omitempty"`
	// Index is, in an AppendReply, the highest index known to match or, if
	// rejected, the index at which to try next; in a HeartbeatReply, the highest
	// index known to match, durable or not; in a SnapshotAck, the index of the
	// snapshot.
	Index uint64 `cbor:"10,keyasint,omitempty"`
	// Rejected is the Prev.Index that an AppendReply rejects.
	Rejected uint64 `cbor:"11,keyasint,omitempty"`
	// Transfer marks a Vote for a leadership transfer that the leader has
	// requested.
	Transfer bool `cbor:"12,keyasint,omitempty"`
	// Offset is, in a SnapshotAck, the number of bytes received.
	Offset    int64          `cbor:"13,keyasint,omitempty"`
	Bootstrap *BootstrapInfo `cbor:"14,keyasint,omitempty"`
	// Durable is, in a HeartbeatReply, the highest index known to match and to be
	// durable. It makes up for lost AppendReplies.
	Durable uint64 `cbor:"15,keyasint,omitempty"`
	// Unordered marks a Heartbeat that may overtake Appends, and the reply to it. Such
	// a reply does not show which Appends were lost.
	Unordered bool `cbor:"16,keyasint,omitempty"`
	// LacksSpace is set, in a HeartbeatReply, if the disk of the replica is full or
	// nearly so.
	LacksSpace bool `cbor:"17,keyasint,omitempty"`
	// StateLimit is, in a HeartbeatReply, the size of the state in bytes that the replica has
	// memory and disk for. Zero: unknown.
	StateLimit int64 `cbor:"18,keyasint,omitempty"`
}

// Delivery is what a message asks of the transport. All messages may be lost, delayed,
// duplicated and reordered; these are the ways in which a group works best.
type Delivery uint8

const (
	// DeliverInOrder asks for the order in which the messages to a replica were sent. An
	// ordered Heartbeat shows by its reply which of the Appends before it were lost.
	DeliverInOrder Delivery = iota
	// DeliverPromptly asks not to let the message wait for those delivered in order.
	DeliverPromptly
	// DeliverOnce asks for the same, and that the message is not sent again if it is lost,
	// since the next one replaces it.
	DeliverOnce
)

// Delivery returns what m asks of the transport.
func (m Message) Delivery() Delivery {
	switch m.Kind {
	case Heartbeat, HeartbeatReply:
		if m.Unordered {
			return DeliverOnce
		}
		if m.Kind == HeartbeatReply {
			return DeliverPromptly
		}
		return DeliverInOrder
	case PreVote, PreVoteReply, Vote, VoteReply, TimeoutNow, AppendReply:
		return DeliverPromptly
	default:
		return DeliverInOrder
	}
}

// BootstrapInfo is what a founder announces to the other founders.
type BootstrapInfo struct {
	Address string `cbor:"1,keyasint"`
	// Addresses are the addresses of the founders in the settings of the sender,
	// sorted.
	Addresses []string `cbor:"2,keyasint"`
	// Agreed is the membership that the sender has durably agreed to.
	Agreed *Config `cbor:"3,keyasint,omitempty"`
	// Formed reports that the group of the sender already exists.
	Formed bool `cbor:"4,keyasint,omitempty"`
}
