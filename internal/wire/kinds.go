// Package wire implements the protocol between filbertmast processes: typed CBOR
// messages over QUIC with mutual TLS.
package wire

// Kind identifies a message type. Its numbers are part of the protocol and are
// never reused.
type Kind uint16

// The kinds of messages.
const (
	KindReplica        Kind = 1  // one-way: replica.Message batches
	KindSnapshot       Kind = 2  // one-way: snapshot chunks
	KindRegister       Kind = 10 // entry to leader: renew the registration, fetch configuration and directory
	KindSubmit         Kind = 11 // entry to leader: submit a job
	KindGetJob         Kind = 12 // entry to leader: read a job or wait for it
	KindListJobs       Kind = 13 // entry to leader: list jobs by selector
	KindCancel         Kind = 14 // entry to leader: cancel jobs
	KindDeclare        Kind = 15 // entry to leader: apply a configuration
	KindDeclarations   Kind = 16 // entry to leader: read the configuration
	KindKey            Kind = 17 // entry to leader: grant or withdraw a key
	KindWorkers        Kind = 18 // entry to leader: list workers
	KindSetMode        Kind = 19 // entry to leader: cordon, drain or open a worker
	KindStatus         Kind = 20 // entry to leader: status of the cell
	KindAnnounce       Kind = 21 // entry to leader: a worker announces itself
	KindRenew          Kind = 22 // entry to leader: batched renewals of worker leases
	KindReports        Kind = 23 // entry to leader: batched reports of workers
	KindCommands       Kind = 24 // leader to entry, one-way: commands for worker sessions
	KindPermits        Kind = 25 // entry to leader: request and return request permits
	KindOwners         Kind = 26 // entry to leader: acquire, renew and release executors
	KindJournalStart   Kind = 27 // entry to leader: start a journaled request
	KindJournalEnd     Kind = 28 // entry to leader: finish or abandon a journaled request
	KindForward        Kind = 29 // entry to owner: one request, with body streams
	KindProbe          Kind = 30 // entry to control: find the leader
	KindReplaceReplica Kind = 31 // control to leader: replace a dead replica
	KindPing           Kind = 32 // entry to entry: health check

	KindSubmitWorkflow Kind = 33 // entry to leader: submit a workflow
	KindGetWorkflow    Kind = 34 // entry to leader: read a workflow
	KindCancelWorkflow Kind = 35 // entry to leader: cancel a workflow
	KindQueue          Kind = 36 // entry to leader: number of workflows that wait in a queue
	KindHeartbeat      Kind = 37 // entry to leader: heartbeat of a polled worker
	KindPolicyQuery    Kind = 38 // leader to entry: query the policy service
	KindDocument       Kind = 39 // entry to leader: read the configuration as the operator sent it
	KindRelayCalls     Kind = 40 // leader to control process, one-way: calls to workers to make
	KindRelayResults   Kind = 41 // control process to leader, one-way: results of such calls
	KindHeartbeats     Kind = 42 // entry to leader: heartbeats of polled workers that may need no action
	KindSetEvacuation  Kind = 43 // entry to leader: begin or end the evacuation of a failure domain
)

// Class is the traffic class of a kind, used for counters and for link budgets
// between regions.
type Class uint8

// The classes, highest priority first.
const (
	ClassConsensus Class = iota // log replication, leases and the cached configuration of entries
	ClassRequest                // calls of callers and operators, and requests to executors
	ClassSnapshot               // snapshots for replicas that are far behind
)

// String returns the name of c as used in metrics.
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

// ClassOf returns the class of kind k. Lease renewals and the messages that keep
// keys and routes fresh belong to ClassConsensus: if they were refused while
// requests fill the link, workers would stop their tasks and entry processes
// would reject all requests. An evacuation is called for when links may be full.
func ClassOf(k Kind) Class {
	switch k {
	case KindReplica, KindRegister, KindRenew, KindCommands, KindPermits, KindOwners, KindProbe, KindPing, KindHeartbeat,
		KindHeartbeats, KindRelayCalls, KindRelayResults, KindSetEvacuation:
		return ClassConsensus
	case KindSnapshot:
		return ClassSnapshot
	default:
		return ClassRequest
	}
}
