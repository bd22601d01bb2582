package control

import "time"

// pace spaces the runs of work that looks at all that waits. Events that arrive between two
// runs share the next one, so that its cost does not grow with their number. A run that took
// long is followed by a longer pause, in which calls, polls and commits are handled.
type pace struct {
	interval time.Duration // from the begin of one run to the next
	rest     int           // pause after a run, in multiples of the time that it took
	next     time.Duration // earliest begin of the next run, by the clock of the server
}

// maxPause bounds the pause after a run that took long.
const maxPause = 500 * time.Millisecond

// due reports whether a run may begin at now.
func (p *pace) due(now time.Duration) bool { return now >= p.next }

// ran records a run.
func (p *pace) ran(began, ended time.Duration) {
	pause := min(time.Duration(p.rest)*(ended-began), maxPause)
	p.next = max(began+p.interval, ended+pause)
}
