// Package wire is the protocol between the processes of filbertmast: typed
// messages in CBOR over QUIC with mutual TLS.
package wire

// Kind identifies a message type. Numbers are never reused.
type Kind uint16

// The kinds of messages.
const (
	KindReplica      Kind = 1  // one-way: replica.Message batches
	KindSnapshot     Kind = 2  // one-way: snapshot chunks
	KindRegister     Kind = 10 // entry to leader: register, renew, fetch configuration
	KindSubmit       Kind = 11 // entry to leader: any caller or operator call
	KindWorker       Kind = 12 // entry to leader: announce, batched renewals, reports
	KindCommands     Kind = 13 // leader to entry, one-way: commands for worker sessions
	KindPermits      Kind = 14 // entry to leader: ask for and return request permits
	KindOwners       Kind = 15 // entry to leader: acquire, renew and release executors
	KindJournal      Kind = 16 // entry to leader: start or finish a journaled request
	KindForward      Kind = 20 // entry to owner: one request, with body streams
	KindOwnerChanged Kind = 21 // entry to entry, one-way: directory updates
	KindProbe        Kind = 22 // liveness of a peer
)

// Class groups kinds for counters and for the budget of the link between regions.
type Class uint8

// The classes, most urgent first.
const (
	ClassConsensus Class = iota
	ClassRequest
	ClassCopy
)

// String returns the name of c as metrics show it.
func (c Class) String() string {
	switch c {
	case ClassConsensus:
		return "consensus"
	case ClassRequest:
		return "request"
	default:
		return "copy"
	}
}

// ClassOf returns the class of kind k.
func ClassOf(k Kind) Class {
	switch k {
	case KindReplica:
		return ClassConsensus
	case KindSnapshot:
		return ClassCopy
	default:
		return ClassRequest
	}
}
