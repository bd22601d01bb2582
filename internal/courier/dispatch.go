package courier

// Sending tells which answer decides an order that may be sent twice. An order
// that the worker has carried out already is no error there, so that a second
// call beside one without an answer does no harm; the first answer decides. The
// zero value has sent nothing.
type Dispatch struct {
	round      uint32 // counts what was sent anew
	unanswered int    // of this round without an answer
	repeated   bool
}

// Open reports whether an answer is awaited.
func (d *Dispatch) InFlight() bool { return d.unanswered > 0 }

// Begin sends an order anew and returns the round, by which answers are told apart.
func (d *Dispatch) Begin() uint32 {
	d.round++
	d.unanswered = 1
	d.repeated = false
	return d.round
}

// Repeat reports whether the order of a round is to be sent a second time, and
// counts that call.
func (d *Dispatch) Repeat(round uint32) bool {
	if round != d.round || d.unanswered == 0 || d.repeated {
		return false
	}
	d.repeated = true
	d.unanswered++
	return true
}

// End takes in the answer to a call and reports whether it decides. Unknown
// decides only once no call is left.
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
