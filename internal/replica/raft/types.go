// Package raft is the consensus core of a replica as a pure step function: its
// inputs are messages, ticks, proposals and completed writes; its outputs are
// messages to send, records to persist and the commit index. It does no I/O,
// reads no clock, starts no goroutine and is deterministic.
//
// It implements the published Raft algorithm with pre-vote, check-quorum,
// pipelined appends, learners, membership changes of one replica at a time and
// leadership transfer.
package raft

import (
	"slices"

	"github.com/fxamacker/cbor/v2"
)

// ID identifies a disk. It is random and generated when a data folder is first
// written. A replica that lost its disk returns under a new ID.
type ID uint64

// None means no replica.
const None ID = 0

// EntryKind is the kind of an entry.
type EntryKind uint8

// The kinds of entries.
const (
	EntryData   EntryKind = iota // proposed by the owner
	EntryEmpty                   // first entry of the term of a leader
	EntryConfig                  // a new membership, effective once appended
)

// Entry is one record of the replicated log.
type Entry struct {
	Index uint64    `cbor:"1,keyasint"`
	Term  uint64    `cbor:"2,keyasint"`
	Kind  EntryKind `cbor:"3,keyasint,omitempty"`
	Data  []byte    `cbor:"4,keyasint,omitempty"`
}

// Position identifies a place in the log: an index and the term of the entry
// there.
type Position struct {
	Index uint64 `cbor:"1,keyasint"`
	Term  uint64 `cbor:"2,keyasint"`
}

// Peer is one member of the group.
type Peer struct {
	ID      ID     `cbor:"1,keyasint"`
	Address string `cbor:"2,keyasint"`
	Voter   bool   `cbor:"3,keyasint,omitempty"`
}

// Config is a membership. Its peers are sorted by ID.
type Config struct {
	Peers []Peer `cbor:"1,keyasint"`
}

// Find returns the peer with the given ID and reports whether it exists.
func (c Config) Find(id ID) (Peer, bool) {
	for _, p := range c.Peers {
		if p.ID == id {
			return p, true
		}
	}
	return Peer{}, false
}

// Voters returns the number of voters.
func (c Config) Voters() int {
	n := 0
	for _, p := range c.Peers {
		if p.Voter {
			n++
		}
	}
	return n
}

// Quorum returns the size of a majority of the voters.
func (c Config) Quorum() int { return c.Voters()/2 + 1 }

// with returns a copy of c in which p replaces any peer with the same ID.
func (c Config) with(p Peer) Config {
	out := c.without(p.ID)
	out.Peers = append(out.Peers, p)
	out.sort()
	return out
}

func (c Config) without(id ID) Config {
	var out Config
	for _, p := range c.Peers {
		if p.ID != id {
			out.Peers = append(out.Peers, p)
		}
	}
	return out
}

func (c Config) sort() {
	slices.SortFunc(c.Peers, func(a, b Peer) int {
		if a.ID < b.ID {
			return -1
		}
		if a.ID > b.ID {
			return 1
		}
		return 0
	})
}

// NewConfig returns a membership of the given peers, sorted by ID.
func NewConfig(peers []Peer) Config {
	c := Config{Peers: slices.Clone(peers)}
	c.sort()
	return c
}

// Encode returns the stored encoding of c.
func (c Config) Encode() []byte {
	b, err := cbor.Marshal(c)
	if err != nil {
		panic(err) // encoding a struct of numbers and strings cannot fail
	}
	return b
}

// DecodeConfig decodes the result of Encode. It returns an error if data is
// malformed.
func DecodeConfig(data []byte) (Config, error) {
	var c Config
	err := cbor.Unmarshal(data, &c)
	return c, err
}

// HardState is the state that must be durable before messages that depend on it
// are sent.
type HardState struct {
	Term   uint64 `cbor:"1,keyasint"`
	Vote   ID     `cbor:"2,keyasint,omitempty"`
	Commit uint64 `cbor:"3,keyasint,omitempty"`
}

// Role is the role of a replica in its term.
type Role uint8

// The roles.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// String returns the name of the role.
func (r Role) String() string {
	switch r {
	case Follower:
		return "follower"
	case PreCandidate:
		return "pre-candidate"
	case Candidate:
		return "candidate"
	default:
		return "leader"
	}
}
