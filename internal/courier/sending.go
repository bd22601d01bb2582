package courier

// Sending tells which answer decides an order that may be sent twice. An order
// that the worker has carried out already is no error there, so that a second
// call beside one without an answer does no harm; the first answer decides. The
// zero value has sent nothing.
type Sending struct {
	round uint32 // counts what was sent anew
	calls int    // of this round without an answer
	twice bool
}

// Open reports whether an answer is awaited.
func (s *Sending) Open() bool { return s.calls > 0 }

// Begin sends an order anew and returns the round, by which answers are told apart.
func (s *Sending) Begin() uint32 {
	s.round++
	s.calls = 1
	s.twice = false
	return s.round
}

// Repeat reports whether the order of a round is to be sent a second time, and
// counts that call.
func (s *Sending) Repeat(round uint32) bool {
	if round != s.round || s.calls == 0 || s.twice {
		return false
	}
	s.twice = true
	s.calls++
	return true
}

// End takes in the answer to a call and reports whether it decides. Unknown
// decides only once no call is left.
func (s *Sending) End(round uint32, v Verdict) bool {
	if round != s.round || s.calls == 0 {
		return false
	}
	s.calls--
	if v == Unknown && s.calls > 0 {
		return false
	}
	s.calls = 0
	return true
}
