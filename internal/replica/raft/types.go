// Package raft is the consensus core of a replica as a pure step function: a
// message, a tick, a proposal or the end of a write goes in, and messages to
// send, records to persist and the commit index come out. It does no I/O, reads
// no clock and starts no goroutine, and equal inputs give equal outputs.
//
// It follows the published Raft paper with pre-vote, check-quorum, pipelined
// appends, learners, membership changes of one replica at a time and leadership
// transfer.
package raft

import (
	"slices"

	"github.com/fxamacker/cbor/v2"
)

// ID is a disk identity: random, made when a data folder is first written. A
// replica that lost its disk comes back under another one.
type ID uint64

// None is no replica.
const None ID = 0

// EntryKind says what an entry holds.
type EntryKind uint8

// The kinds of entries.
const (
	EntryData   EntryKind = iota // proposed by the owner
	EntryEmpty                   // first of a leader's term
	EntryConfig                  // a new membership, in force once appended
)

// Entry is one record of the replicated log.
type Entry struct {
	Index uint64    `cbor:"1,keyasint"`
	Term  uint64    `cbor:"2,keyasint"`
	Kind  EntryKind `cbor:"3,keyasint,omitempty"`
	Data  []byte    `cbor:"4,keyasint,omitempty"`
}

// Position names a place in the log: an index and the term of its entry.
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

// Config is a membership, its peers sorted by ID.
type Config struct {
	Peers []Peer `cbor:"1,keyasint"`
}

// Find returns the peer with the ID.
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

// with returns a copy of c in which p replaces the peer of the same ID.
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

// NewConfig returns the membership of peers.
func NewConfig(peers []Peer) Config {
	c := Config{Peers: slices.Clone(peers)}
	c.sort()
	return c
}

// Encode returns the stored form of c.
func (c Config) Encode() []byte {
	b, err := cbor.Marshal(c)
	if err != nil {
		panic(err) // a struct of numbers and strings always encodes
	}
	return b
}

// DecodeConfig reads what Encode wrote.
func DecodeConfig(data []byte) (Config, error) {
	var c Config
	err := cbor.Unmarshal(data, &c)
	return c, err
}

// HardState must be durable before the messages that rest on it are sent.
type HardState struct {
	Term   uint64 `cbor:"1,keyasint"`
	Vote   ID     `cbor:"2,keyasint,omitempty"`
	Commit uint64 `cbor:"3,keyasint,omitempty"`
}

// Role is what a replica does in its term.
type Role uint8

// The roles.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// String returns the role's name.
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
