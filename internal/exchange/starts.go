package exchange

import (
	"github.com/filbertmast/filbertmast/internal/model"
	"github.com/filbertmast/filbertmast/internal/workerclient"
)

// StartCalls tells whether another incarnation of the worker can have executed a call of
// a start.
type StartCalls struct {
	inFlight  int
	unclearAt model.Time // end of the last call that another incarnation may have executed or may still execute; zero: there is none
}

// Begin records that a call is sent.
func (c *StartCalls) Begin() { c.inFlight++ }

// End records the end of a call to the worker with the given clock that was sent at sentAt.
func (c *StartCalls) End(clock *workerclient.Clock, resp *workerclient.Response, sentAt, now model.Time) {
	c.inFlight--
	switch {
	case resp.Verdict == workerclient.Unknown && !resp.NotSent,
		resp.Verdict == workerclient.Accepted && !clock.Matches(resp.Clock, sentAt, now):
		c.unclearAt = now
	}
}

// InFlight reports whether a call awaits its response.
func (c *StartCalls) InFlight() bool { return c.inFlight > 0 }

// MayBeExecuted reports whether a call without a response may have reached a worker, or may
// still do so.
func (c *StartCalls) MayBeExecuted() bool { return c.inFlight > 0 || c.unclearAt != 0 }

// MayBeMisdirected reports whether another incarnation than the one that was called may run
// the attempt. AnsweredAt is when the last poll was sent that the called one has answered. If
// that was after the last call ended, there was no other incarnation when the call was made.
func (c *StartCalls) MayBeMisdirected(answeredAt model.Time) bool {
	return c.inFlight > 0 || c.unclearAt != 0 && answeredAt <= c.unclearAt
}
