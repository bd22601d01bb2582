package exchange

// sessionBits is the part of a fence that numbers sessions; the term takes the higher bits.
const sessionBits = 32

// FenceOf returns the fence of calls to one incarnation of a worker: it rises with the term
// of the leader and, within a term, with the worker's session. A worker that has restarted
// under its ID therefore executes no late call that was meant for its earlier incarnation,
// once a call with its own fence has reached it.
func FenceOf(term, session uint64) uint64 {
	return term<<sessionBits | min(session, 1<<sessionBits-1)
}
