package workerclient

// Dispatch determines which response decides a command that may be sent twice.
// Commands are idempotent on the worker, so a second call is harmless while the
// first is unanswered. The first response decides. The zero value has sent nothing.
type Dispatch struct {
	round      uint32 // counts the commands sent, repeats not included
	unanswered int    // calls of this round without a response
	repeated   bool
}

// InFlight reports whether a call awaits its response.
func (d *Dispatch) InFlight() bool { return d.unanswered > 0 }

// Begin records the first call of a command and returns its round, which tells
// apart the responses to successive commands.
func (d *Dispatch) Begin() uint32 {
	d.round++
	d.unanswered = 1
	d.repeated = false
	return d.round
}

// Repeat reports whether the command of a round must be sent a second time, and
// counts that call.
func (d *Dispatch) Repeat(round uint32) bool {
	if round != d.round || d.unanswered == 0 || d.repeated {
		return false
	}
	d.repeated = true
	d.unanswered++
	return true
}

// End records the response to a call and reports whether it decides. Unknown
// decides only if no other call of the round awaits a response.
func (d *Dispatch) End(round uint32, v Verdict) bool {
	if round != d.round || d.unanswered == 0 {
		return false
	}
	d.unanswered--
	if v == Unknown && d.unanswered > 0 {
		return false
	}
	d.unanswered = 0
	return true
}
