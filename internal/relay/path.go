package relay

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/filbertmast/filbertmast/internal/batch"
	"github.com/filbertmast/filbertmast/internal/model"
	"github.com/filbertmast/filbertmast/internal/wire"
)

const (
	// callLinger is how long a call waits for others.
	callLinger = 5 * time.Millisecond
	// overdueAfter is the time beyond the wait of a call after which its result is overdue.
	overdueAfter = 180 * time.Millisecond
	// maxSilence is how long a relay may send nothing while results are overdue.
	maxSilence = 300 * time.Millisecond
	// suspectSilence is how long a relay may send nothing before calls that are repeated take
	// another way.
	suspectSilence = 100 * time.Millisecond
	// lostPause is how long a relay that has gone silent gets no calls.
	lostPause = 3 * time.Second
)

var (
	// errLost reports a call whose relay has gone silent. The call may have been made.
	errLost = errors.New("the relay does not answer")
	// errNotMade reports a call that the relay did not get, or did not make.
	errNotMade = errors.New("the relay has not made the call")
)

// path holds the calls through one relay.
type path struct {
	clock func() time.Duration
	ids   *atomic.Uint64 // number of the last call of the process
	queue batch.Batch[call]

	mu       sync.Mutex
	waiting  map[uint64]chan<- outcome
	heardAt  time.Duration // when the last message of the relay arrived
	avoidEnd time.Duration // until then it gets no calls
}

// outcome is the end of a call: a result or an error.
type outcome struct {
	result *result
	err    error
}

func newPath(e *wire.Endpoint, relay string, clock func() time.Duration, ids *atomic.Uint64) *path {
	p := &path{clock: clock, ids: ids, waiting: map[uint64]chan<- outcome{}, heardAt: clock()}
	p.queue = batch.Batch[call]{Linger: callLinger, Send: func(cs []call) {
		if err := wire.PostBulk(e, relay, wire.KindRelayCalls, newCalls(clock(), cs)); err != nil {
			for i := range cs {
				p.end(cs[i].ID, outcome{err: errNotMade})
			}
		}
	}}
	return p
}

// usable reports whether the relay may get a call now. One that repeats another takes a
// different way if the relay has sent nothing for some time.
func (p *path) usable(again bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock()
	return now >= p.avoidEnd && !(again && now-p.heardAt > suspectSilence)
}

// do makes a call, whose worker may wait before it responds.
func (p *path) do(ctx context.Context, c *call, wait time.Duration) (*result, error) {
	if deadline, ok := ctx.Deadline(); ok {
		c.Timeout = model.Duration(time.Until(deadline))
	}
	ended := make(chan outcome, 1)
	p.begin(c, ended)
	overdue := time.NewTimer(wait + overdueAfter)
	defer overdue.Stop()
	for {
		select {
		case o := <-ended:
			return o.result, o.err
		case <-ctx.Done():
			p.end(c.ID, outcome{})
			return nil, ctx.Err()
		case <-overdue.C:
			p.loseIfSilent()
			overdue.Reset(maxSilence)
		}
	}
}

func (p *path) begin(c *call, ended chan<- outcome) {
	c.ID = p.ids.Add(1)
	p.mu.Lock()
	if len(p.waiting) == 0 {
		p.heardAt = p.clock() // it had nothing to answer
	}
	p.waiting[c.ID] = ended
	p.mu.Unlock()
	p.queue.Add(*c)
}

// end ends a call that has not ended before.
func (p *path) end(id uint64, o outcome) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if ended := p.waiting[id]; ended != nil {
		delete(p.waiting, id)
		ended <- o
	}
}

// receive ends the calls whose results have arrived.
func (p *path) receive(r []result) {
	p.mu.Lock()
	p.heardAt = p.clock()
	p.mu.Unlock()
	for i := range r {
		o := outcome{result: &r[i]}
		if r[i].Refused {
			o = outcome{err: errNotMade}
		}
		p.end(r[i].ID, o)
	}
}

// idle reports whether no call waits for its result.
func (p *path) idle() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.waiting) == 0
}

// loseIfSilent ends all calls if the relay has been silent for too long.
func (p *path) loseIfSilent() {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock()
	if now-p.heardAt <= maxSilence {
		return
	}
	p.avoidEnd = now + lostPause
	for id, ended := range p.waiting {
		delete(p.waiting, id)
		ended <- outcome{err: errLost}
	}
}
