package control

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// workKind is a kind of work of the control goroutine.
type workKind int

const (
	workUpdates  workKind = iota // committed entries and changes of the role, with what follows from them
	workCalls                    // calls of entries
	workPolls                    // responses to polls of workers
	workCommands                 // responses to commands to workers
	workAdvice                   // responses of the policy service
	workTimers                   // repeated polls and commands
	workTicks                    // checks of the lease tables and of all else that becomes due
	workReports                  // proposals of reports of workers
	workQueries                  // selection of the queries to the policy service
	workPlans                    // plans and the proposals that follow from them
	workKinds                    // number of kinds
)

// workNames are the kinds of work as metrics and logs name them.
var workNames = [workKinds]string{"updates", "calls", "polls", "commands", "advice", "timers", "ticks", "reports", "queries", "plans"}

// load measures how long the control goroutine works on each kind of work. It is wall
// time, so it includes the time for which the goroutine waits for a processor. Only
// the control goroutine accesses it.
type load struct {
	seconds [workKinds]prometheus.Counter
	turn    time.Time // start of the current turn of the control goroutine
	last    time.Time // end of the work that was measured last
	since   loadReport
}

// loadReport is the load since a time.
type loadReport struct {
	from         time.Time
	spent        [workKinds]time.Duration
	runs         [workKinds]int // how often work of the kind was done
	proposals    int            // commands proposed
	longestTurn  time.Duration
	longestQueue int // closures in the queue at the same time
}

// newLoad returns a load that adds the time of each kind of work to busySeconds.
func newLoad(busySeconds *prometheus.CounterVec) *load {
	l := &load{}
	for k, name := range workNames {
		l.seconds[k] = busySeconds.WithLabelValues(name)
	}
	return l
}

// begin starts a turn at now, with queued closures waiting.
func (l *load) begin(now time.Time, queued int) {
	l.turn, l.last = now, now
	l.since.longestQueue = max(l.since.longestQueue, queued)
}

// end attributes the time from the last call of begin or end until now to a kind of
// work.
func (l *load) end(kind workKind, now time.Time) {
	spent := now.Sub(l.last)
	l.last = now
	l.seconds[kind].Add(spent.Seconds())
	l.since.spent[kind] += spent
	l.since.runs[kind]++
	l.since.longestTurn = max(l.since.longestTurn, now.Sub(l.turn))
}

// take returns the load since the last call of take, and starts anew at now.
func (l *load) take(now time.Time) loadReport {
	r := l.since
	l.since = loadReport{from: now}
	return r
}

// fields returns the load until now as log fields, with times in milliseconds.
func (r *loadReport) fields(now time.Time) []any {
	var busy time.Duration
	for _, d := range r.spent {
		busy += d
	}
	out := []any{"over_ms", now.Sub(r.from).Milliseconds(), "busy_ms", busy.Milliseconds()}
	for k, d := range r.spent {
		out = append(out, workNames[k]+"_ms", d.Milliseconds())
	}
	return append(out, "longest_turn_ms", r.longestTurn.Milliseconds(), "longest_queue", r.longestQueue)
}

// counts returns how often each kind of work was done as log fields.
func (r *loadReport) counts() []any {
	var out []any
	for k, n := range r.runs {
		out = append(out, workNames[k], n)
	}
	return append(out, "proposals", r.proposals)
}
