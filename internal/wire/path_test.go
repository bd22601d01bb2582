package wire

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestPathStatsDescribeConnectionAndSendQueue(t *testing.T) {
	a, b := listen(t, "a", nil), listen(t, "b", nil)
	arrived := make(chan struct{})
	HandlePost(b, KindReplica, func(Peer, *echoRequest) { close(arrived) })
	assert.Equal(t, a.PathStats(b.Address(), KindReplica), PathStats{})
	assert.NilError(t, Post(a, b.Address(), KindReplica, &echoRequest{Text: "x"}))
	<-arrived

	s := a.PathStats(b.Address(), KindReplica)
	assert.Assert(t, s.RTT > 0 && s.MinRTT > 0 && s.CongestionWindow > 0)
	assert.Equal(t, a.PathStats(b.Address(), KindRegister).SendWait, time.Duration(0), "another kind has its own queue")
}

func TestReceiveDropsOfOwnSocket(t *testing.T) {
	a := listen(t, "a", nil)
	n, err := a.ReceiveDrops()
	assert.NilError(t, err)
	assert.Equal(t, n, uint64(0))
}

// An entry takes a leader for lost that it hears nothing from. If the reception did not
// change with each packet, calls to a sound leader would be held back.
func TestReceptionChangesWithEachAnswer(t *testing.T) {
	a, b := listen(t, "a", nil), listen(t, "b", nil)
	Handle(b, KindProbe, func(context.Context, Peer, *echoRequest) (*echoResponse, error) { return &echoResponse{}, nil })
	none, rtt := a.Reception(b.Address())
	assert.Equal(t, none, Reception{})
	assert.Equal(t, rtt, time.Duration(0))
	call := func() Reception {
		_, err := Call[echoRequest, echoResponse](t.Context(), a, b.Address(), KindProbe, &echoRequest{})
		assert.NilError(t, err)
		r, _ := a.Reception(b.Address())
		return r
	}
	first := call()
	assert.Assert(t, first != none)
	assert.Assert(t, call() != first)
}

// A pause after a dial to a silent peer would delay by up to a second that calls to a
// process that has returned are sent.
func TestDialToSilentPeerIsRepeatedWithoutPause(t *testing.T) {
	a, b, faults := pair(t)
	faults.Partition(b.Address())
	p := a.peer(b.Address())
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	for range 6 { // far into the backoff
		_, err := p.connection(ctx)
		assert.Assert(t, err != nil)
		p.mu.Lock()
		next := p.nextDial
		p.mu.Unlock()
		assert.Assert(t, !next.After(time.Now()), "the next dial waits for %s", time.Until(next))
	}
}
