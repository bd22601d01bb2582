package control

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/filbertmast/filbertmast/internal/model"
	"github.com/filbertmast/filbertmast/internal/proto"
	"github.com/filbertmast/filbertmast/internal/workerclient"
)

const (
	simWorkerSlots = 4
	simHoldMax     = 6 * time.Second
	simGangTimeout = 2 * time.Second
	simListed      = 500 // ends in one response
)

// simWorker is one incarnation of a worker. It follows the platform's protocol.
type simWorker struct {
	sim      *simulation
	id       model.WorkerID
	address  string
	born     uint64
	up       bool
	bootedAt time.Duration
	rate     float64 // of its clock
	offset   int64   // of its clock, in milliseconds

	fence   uint64
	until   int64 // end of the lease, on its clock
	lapsed  bool
	lapses  int
	active  map[string]*simRun
	highest map[string]uint32 // highest attempt that was stopped or has ended, by task
	ended   []*simRun
	numbers uint64
	runs    int    // that have begun
	cursor  uint64 // highest that it was told
	waiting []*simCall

	slots    int
	draining bool
	sequence uint64 // of its last heartbeat

	heartbeatAt time.Duration
	sickUntil   time.Duration // it rejects starts
}

func (w *simWorker) label() string { return fmt.Sprintf("%s/%d@%s", w.id, w.born, w.address) }

func (w *simWorker) clock() int64 {
	return w.offset + int64(float64((w.sim.now()-w.bootedAt).Milliseconds())*w.rate) + 1
}

// spec returns what the worker announces about itself.
func (w *simWorker) spec() model.WorkerSpec {
	return model.WorkerSpec{
		ID: w.id, Address: w.address, Incarnation: w.born, Region: "south", FailureDomain: w.domain(),
		Capacity: model.Resources{CPU: int64(w.slots) * 1000, Memory: 1 << 14},
	}
}

func (w *simWorker) heartbeat() *proto.Heartbeat {
	w.sequence++
	return &proto.Heartbeat{Spec: w.spec(), Clock: w.clock(), Sequence: w.sequence, Leaving: w.draining}
}

// extend extends the lease.
func (w *simWorker) extend(until int64) {
	if longest := w.clock() + w.sim.holdMax.Milliseconds(); until > longest {
		w.sim.trace("", "%s shortens a lease until %d to %d", w.label(), until, longest)
	}
	if until = min(until, w.clock()+w.sim.holdMax.Milliseconds()); until > w.until {
		w.until = until
	}
	if w.until > w.clock() {
		w.lapsed = false
	}
}

// checkFence reports whether a call has no lower fence than an earlier one.
func (w *simWorker) checkFence(fence uint64) bool {
	if fence < w.fence {
		return false
	}
	w.fence = fence
	return true
}

func (w *simWorker) startTask(c *workerclient.StartCommand) workerclient.Response {
	name := simTaskName(c.Attempt.Task)
	answer := func(v workerclient.Verdict, reason string) workerclient.Response {
		w.sim.trace(name, "%s answers start of attempt %d (fence %d, until %d, clock %d): %s %s", w.label(), c.Attempt.Number, c.Fence, c.LeaseUntil, w.clock(), v, reason)
		return workerclient.Response{Verdict: v, Clock: w.clock(), Reason: reason}
	}
	if w.sim.now() < w.sickUntil {
		return answer(workerclient.Unavailable, "503")
	}
	if !w.checkFence(c.Fence) {
		return answer(workerclient.Fenced, "fence")
	}
	if r := w.active[name]; r != nil && r.attempt.Number == c.Attempt.Number && !r.stopping {
		w.extend(c.LeaseUntil)
		return answer(workerclient.Accepted, "is there")
	}
	if r := w.active[name]; r != nil || c.Attempt.Number <= w.highest[name] {
		w.extend(c.LeaseUntil)
		return answer(workerclient.Outdated, "old")
	}
	if c.LeaseUntil <= w.clock() {
		return answer(workerclient.Refused, "late")
	}
	w.extend(c.LeaseUntil)
	if len(w.active) >= w.slots {
		return answer(workerclient.Unavailable, "room")
	}
	w.begin(name, c.Attempt)
	return answer(workerclient.Accepted, "")
}

// begin starts a run.
func (w *simWorker) begin(name string, attempt workerclient.Attempt) {
	r := &simRun{worker: w, attempt: attempt, started: w.sim.now()}
	if w.runs++; w.runs == 1 && w.sim.chance(w.sim.faults.cutAfterStart) {
		w.sim.after(w.sim.between(50*time.Millisecond, time.Second), func() { w.sim.cutOff(w.address) })
	}
	r.outcome = workerclient.Succeeded
	if w.sim.chance(w.sim.faults.failure) {
		r.outcome = workerclient.Failed
	}
	w.active[name] = r
	if !w.sim.joinGang(r) {
		r.ends = w.sim.now() + w.sim.between(50*time.Millisecond, w.sim.faults.longestRun)
	}
	w.sim.trace(name, "RUN begins: %s", r.name())
	w.sim.check.started(r)
}

func (w *simWorker) stopTask(c *workerclient.StopCommand) workerclient.Response {
	name := simTaskName(c.Attempt.Task)
	if !w.checkFence(c.Fence) {
		return workerclient.Response{Verdict: workerclient.Fenced, Clock: w.clock(), Reason: "fence"}
	}
	w.highest[name] = max(w.highest[name], c.Attempt.Number)
	w.sim.trace(name, "%s is told to stop attempt %d (fence %d)", w.label(), c.Attempt.Number, c.Fence)
	if r := w.active[name]; r != nil && r.attempt.Number <= c.Attempt.Number && !r.stopping {
		r.stopping = true
		r.outcome = workerclient.Stopped
		r.ends = w.sim.now() + w.sim.between(0, 80*time.Millisecond)
	}
	return workerclient.Response{Verdict: workerclient.Accepted, Clock: w.clock()}
}

// end ends a run and lists it.
func (w *simWorker) end(name string, outcome workerclient.Outcome) {
	r := w.active[name]
	delete(w.active, name)
	w.numbers++
	r.ended, r.outcome, r.number, r.lapses = w.sim.now(), outcome, w.numbers, w.lapses
	w.highest[name] = max(w.highest[name], r.attempt.Number)
	w.sim.trace(name, "RUN ends: %s, end %d: %s", r.name(), r.number, outcome)
	if w.sim.faults.stickyCursor && r.number <= w.cursor {
		w.sim.check.acknowledged(r)
	} else {
		w.ended = append(w.ended, r)
	}
	if r.gang != nil {
		r.gang.ended(r)
	}
	w.answerWaiting()
}

// acknowledge forgets the ends up to a cursor.
func (w *simWorker) acknowledge(cursor uint64) {
	w.cursor = max(w.cursor, cursor)
	for len(w.ended) > 0 && w.ended[0].number <= cursor {
		r := w.ended[0]
		w.ended = w.ended[1:]
		w.sim.trace(simTaskName(r.attempt.Task), "%s forgets end %d (%s) by cursor %d", w.label(), r.number, r.outcome, cursor)
		w.sim.check.acknowledged(r)
	}
}

// pollFor answers a poll, at once or once a run has ended.
func (w *simWorker) pollFor(call *simCall) {
	q := call.poll
	if !w.checkFence(q.Fence) {
		call.answerPoll(nil, workerclient.ErrFenced)
		return
	}
	w.extend(q.LeaseUntil)
	w.acknowledge(q.Cursor)
	if len(w.ended) > 0 || q.Wait == 0 {
		call.answerPoll(w.lists(), nil)
		return
	}
	call.deadline = w.sim.now() + q.Wait
	w.waiting = append(w.waiting, call)
}

func (w *simWorker) answerWaiting() {
	waiting := w.waiting
	w.waiting = nil
	for _, call := range waiting {
		call.answerPoll(w.lists(), nil)
	}
}

func (w *simWorker) lists() *workerclient.PollResponse {
	out := &workerclient.PollResponse{Clock: w.clock(), Incarnation: w.born}
	for _, name := range w.activeNames() {
		out.Active = append(out.Active, workerclient.ActiveAttempt{Attempt: w.active[name].attempt})
	}
	for _, r := range w.ended[:min(len(w.ended), simListed)] {
		out.Ended = append(out.Ended, workerclient.EndedAttempt{Number: r.number, Attempt: r.attempt, Outcome: r.outcome})
	}
	return out
}

func (w *simWorker) activeNames() []string {
	var names []string
	for name := range w.active {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// step ends what is due and lets the lease expire.
func (w *simWorker) step() {
	if !w.up {
		return
	}
	if !w.lapsed && w.until != 0 && w.clock() > w.until {
		w.lapse()
	}
	for _, name := range w.activeNames() {
		r := w.active[name]
		if r == nil {
			continue // another member's end has ended it
		}
		if r.ends != 0 && r.ends <= w.sim.now() {
			w.end(name, r.outcome)
		}
	}
	w.waiting = slices.DeleteFunc(w.waiting, func(call *simCall) bool {
		if w.sim.now() < call.deadline {
			return false
		}
		call.answerPoll(w.lists(), nil)
		return true
	})
	if w.sim.now() >= w.heartbeatAt {
		w.heartbeatAt = w.sim.now() + 300*time.Millisecond
		w.sim.sendHeartbeat(w)
	}
}

func (w *simWorker) lapse() {
	w.lapsed = true
	w.lapses++
	w.sim.trace("", "lease of %s ends at %d", w.label(), w.until)
	for _, name := range w.activeNames() {
		if w.active[name] != nil {
			w.end(name, workerclient.Lapsed)
		}
	}
}

// crash ends the worker without a word.
func (w *simWorker) crash() {
	w.up = false
	w.sim.trace("", "%s crashes", w.label())
	for _, name := range w.activeNames() {
		r := w.active[name]
		w.sim.trace(name, "RUN ends with its worker: %s", r.name())
		r.ended, r.outcome = w.sim.now(), workerclient.Lapsed
		if r.gang != nil {
			r.gang.ended(r)
		}
	}
	for _, call := range w.waiting {
		call.breaks()
	}
	w.waiting, w.active = nil, nil
}

// simGang is one attempt of a gang.
type simGang struct {
	sim     *simulation
	members []*simRun
	size    int
	over    bool
}

// joinGang adds a run to its gang if its step is one. The members work once all are
// there.
func (s *simulation) joinGang(r *simRun) bool {
	size := s.gangSizes[string(r.attempt.Task.Workflow)]
	if size == 0 {
		return false
	}
	key := fmt.Sprintf("%s.%d.%d", r.attempt.Task.Workflow, r.attempt.Task.Step, r.attempt.Number)
	g := s.gangs[key]
	if g == nil {
		g = &simGang{sim: s, size: size}
		s.gangs[key] = g
	}
	r.gang = g
	g.members = append(g.members, r)
	r.ends, r.outcome = s.now()+simGangTimeout, workerclient.Broken
	if len(g.members) < size || g.over {
		return true
	}
	ends, outcome := s.now()+s.between(50*time.Millisecond, s.faults.longestRun), workerclient.Succeeded
	if s.chance(s.faults.failure) {
		outcome = workerclient.Failed
	}
	for i, m := range g.members {
		m.ends, m.outcome = ends, outcome
		if i > 0 && outcome == workerclient.Failed {
			m.outcome = workerclient.Broken
		}
	}
	return true
}

// ended ends the other members: together if the gang has succeeded, else soon after.
func (g *simGang) ended(r *simRun) {
	if g.over {
		return
	}
	g.over = true
	if r.outcome == workerclient.Succeeded {
		slices.SortFunc(g.members, func(a, b *simRun) int { return cmp.Compare(a.attempt.Task.Index, b.attempt.Task.Index) })
		for _, m := range g.members {
			if m == r || m.ended != 0 || !m.worker.up {
				continue
			}
			if m.ends = g.sim.now() + g.sim.between(0, g.sim.faults.gangSkew); m.ends == g.sim.now() {
				m.worker.end(simTaskName(m.attempt.Task), workerclient.Succeeded)
			}
		}
		return
	}
	for _, m := range g.members {
		if m.ended == 0 && !m.stopping {
			m.outcome, m.ends = workerclient.Broken, g.sim.now()+g.sim.between(5*time.Millisecond, 60*time.Millisecond)
		}
	}
}
