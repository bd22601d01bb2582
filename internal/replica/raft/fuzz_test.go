package raft

import (
	"testing"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"
)

func seedMessages(tb testing.TB) [][]byte {
	tb.Helper()
	msgs := []Message{
		{Kind: Append, From: 2, To: 1, Term: 2, Prev: Position{Index: 1, Term: 1}, Commit: 1,
			Entries: []Entry{{Index: 2, Term: 2, Data: []byte("x")}}},
		{Kind: Heartbeat, From: 2, To: 1, Term: 2, Seq: 3, Commit: 1},
		{Kind: HeartbeatReply, From: 2, To: 1, Term: 2, Seq: 1, Index: 2, Durable: 2},
		{Kind: Vote, From: 3, To: 1, Term: 9, Prev: Position{Index: 1, Term: 1}, Transfer: true},
		{Kind: AppendReply, From: 2, To: 1, Term: 2, Reject: true, Rejected: 1},
		{Kind: TimeoutNow, From: 2, To: 1, Term: 2},
	}
	var out [][]byte
	for _, m := range msgs {
		b, err := cbor.Marshal(m)
		assert.NilError(tb, err)
		out = append(out, b)
	}
	return out
}

// FuzzStep passes decoded messages to a leader and to a follower. Neither may
// panic or report entries as deliverable that its log does not contain.
func FuzzStep(f *testing.F) {
	for _, b := range seedMessages(f) {
		f.Add(b, b)
	}
	f.Fuzz(func(t *testing.T, first, second []byte) {
		for _, lead := range []bool{true, false} {
			s := &script{sim: newSim(3, Options{}, func(int) int { return 0 }), t: nil}
			n := s.find(1)
			if lead {
				s.t = t
				s.elect(1, 1, 2, 3)
			}
			for _, data := range [][]byte{first, second} {
				var m Message
				if cbor.Unmarshal(data, &m) != nil {
					continue
				}
				m.To = n.id
				n.core.Step(m)
				n.core.Ready()
				assert.Assert(t, n.core.Deliverable() <= n.core.Last().Index)
			}
		}
	})
}

func TestUnknownMessageFieldsAreIgnored(t *testing.T) {
	type newer struct {
		Message
		Extra string `cbor:"99,keyasint"`
	}
	b, err := cbor.Marshal(newer{Message: Message{Kind: Heartbeat, From: 2, To: 1, Term: 4}, Extra: "x"})
	assert.NilError(t, err)
	var m Message
	assert.NilError(t, cbor.Unmarshal(b, &m))
	assert.Equal(t, m.Term, uint64(4))
}
