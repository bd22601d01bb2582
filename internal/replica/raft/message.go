package raft

// MessageKind says what a message asks or answers.
type MessageKind uint8

// The kinds of messages. Numbers are never reused.
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
	SnapshotAck    MessageKind = 10 // handled by the owner, not by the core
	Bootstrap      MessageKind = 11 // handled by the owner, not by the core
	Removed        MessageKind = 12 // handled by the owner, not by the core
)

// Message is what replicas tell each other.
type Message struct {
	Kind MessageKind `cbor:"1,keyasint"`
	From ID          `cbor:"2,keyasint"`
	To   ID          `cbor:"3,keyasint,omitempty"`
	Term uint64      `cbor:"4,keyasint,omitempty"`
	// Prev is, in Append, the position before the entries; in votes, the
	// candidate's last position.
	Prev    Position `cbor:"5,keyasint,omitzero"`
	Entries []Entry  `cbor:"6,keyasint,omitempty"`
	Commit  uint64   `cbor:"7,keyasint,omitempty"`
	// Seq numbers heartbeat rounds of a leader; replies repeat it.
	Seq    uint64 `cbor:"8,keyasint,omitempty"`
	Reject bool   `cbor:"9,keyasint,omitempty"`
	// Index is, in an AppendReply, the highest index known to match, or where
	// rejected the index at which to try again; in a HeartbeatReply, the
	// highest index known to match, durable or not; in a SnapshotAck, the
	// snapshot's index.
	Index uint64 `cbor:"10,keyasint,omitempty"`
	// Rejected is the Prev.Index that an AppendReply refuses.
	Rejected uint64 `cbor:"11,keyasint,omitempty"`
	// Transfer marks a vote that the leader itself asked for.
	Transfer bool `cbor:"12,keyasint,omitempty"`
	// Offset is, in a SnapshotAck, the number of bytes held.
	Offset    int64          `cbor:"13,keyasint,omitempty"`
	Bootstrap *BootstrapInfo `cbor:"14,keyasint,omitempty"`
	// Durable is, in a HeartbeatReply, the highest index known to match and to
	// be durable, in case that AppendReplies were lost.
	Durable uint64 `cbor:"15,keyasint,omitempty"`
}

// Founding is what an empty founder tells the others listed with it.
type BootstrapInfo struct {
	Address string `cbor:"1,keyasint"`
	// Addresses are the founders as the sender's settings list them, sorted.
	Addresses []string `cbor:"2,keyasint"`
	// Agreed is the membership that the sender has durably agreed to.
	Agreed *Config `cbor:"3,keyasint,omitempty"`
	// Formed says that the sender's group exists already.
	Formed bool `cbor:"4,keyasint,omitempty"`
}
