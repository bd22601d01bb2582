package control

import (
	"context"
	"time"

	"github.com/filbertmast/filbertmast/internal/errkind"
	"github.com/filbertmast/filbertmast/internal/member"
	"github.com/filbertmast/filbertmast/internal/model"
	"github.com/filbertmast/filbertmast/internal/permit"
	"github.com/filbertmast/filbertmast/internal/proto"
	"github.com/filbertmast/filbertmast/internal/schedule"
	"github.com/filbertmast/filbertmast/internal/schedule/lateness"
	"github.com/filbertmast/filbertmast/internal/state"
	"github.com/filbertmast/filbertmast/internal/wire"
	"github.com/filbertmast/filbertmast/internal/workerclient"
)

const (
	// queryInterval is the least time from one check for jobs that need permits to the next.
	queryInterval = 20 * time.Millisecond
	// queryRest is the pause after a check, in multiples of the time that it took.
	queryRest = 3
)

// policy gets the permits for the jobs of queues that require them. Entries forward
// its queries to the policy service.
type policy struct {
	l        *leader
	tracker  *permit.Tracker
	costs    map[model.JobID]model.PolicyCosts
	byQueue  map[string]model.PolicyCosts // of the queues with work
	answered map[model.JobID]model.Time   // when the last query of a job was answered
	balancer *permit.Balancer             // entries by inner address
	inFlight int                          // queries in flight
	pace     pace
	unsent   unsentQueries
	ended    queryResults // since the last line about them

	takesShort bool // a short query can be sent
	takesLong  bool // a long query can be sent
	shortWaits bool // a short query could not be sent since the last check began
	longWaits  bool // a long query could not be sent since the last check began
}

func newPolicy(l *leader) *policy {
	scheduling := &l.c.s.opts.Scheduling
	return &policy{
		l:        l,
		tracker:  permit.NewTracker(permit.Options{Lateness: scheduling.Lateness}),
		costs:    map[model.JobID]model.PolicyCosts{},
		answered: map[model.JobID]model.Time{},
		balancer: permit.NewBalancer(l.c.s.now()),
		pace:     pace{interval: queryInterval, rest: queryRest},
		unsent:   newUnsentQueries(l.c.s.metrics.policyUnsent),
	}
}

// add reports whether a job needs permits, and tracks it if so.
func (p *policy) add(j *state.Job) bool {
	if j.Step == nil {
		return false
	}
	q := p.l.c.machine.ServedQueue(j.Spec.Queue)
	if q == nil || !q.Policy.Required() {
		return false
	}
	p.tracker.Add(j.ID, p.l.stepName(j), lateness.Job{PromisedStart: j.StartBy, Patience: j.StartBy.Sub(j.Submitted), RunTime: j.Spec.RunTime.Std()})
	p.costs[j.ID] = q.Policy
	return true
}

func (p *policy) remove(id model.JobID) {
	p.tracker.Remove(id)
	delete(p.costs, id)
	delete(p.answered, id)
}

// Demand implements permit.Scheduler.
func (p *policy) Demand(id model.JobID) permit.Demand {
	j := p.pendingJob(id)
	if j == nil {
		return permit.Demand{}
	}
	return permit.Demand{Tasks: int64(j.Count(model.TaskPending)), AllAtOnce: j.Spec.Policy == model.PolicyGang}
}

// pendingJob returns the job if it has tasks to place, else nil.
func (p *policy) pendingJob(id model.JobID) *state.Job {
	j := p.l.c.machine.Job(id)
	if j == nil || j.Finished != 0 || j.Count(model.TaskPending) == 0 {
		return nil
	}
	return j
}

// Candidates implements permit.Scheduler.
func (p *policy) Candidates(id model.JobID) []schedule.Candidate {
	return p.l.sched.Candidates(id)
}

// Booked implements permit.Scheduler.
func (p *policy) Booked() []schedule.Booked { return p.l.sched.Booked() }

// CanSend implements permit.Scheduler.
func (p *policy) CanSend(id model.JobID, workers int) bool {
	if permit.IsLong(p.cost(id, workers)) {
		p.longWaits = p.longWaits || !p.takesLong
		return p.takesLong
	}
	p.shortWaits = p.shortWaits || !p.takesShort
	return p.takesShort
}

// sendQueries sends the queries that are due to entries, and reports whether it looked for
// any.
func (p *policy) sendQueries(now model.Time) bool {
	began := p.l.c.s.clock()
	if !p.tracker.Waits() || !p.pace.due(began) {
		return false
	}
	p.sendDue(now)
	p.pace.ran(began, p.l.c.s.clock())
	return true
}

func (p *policy) sendDue(now model.Time) {
	entries := p.entries(now)
	switch {
	case len(entries) == 0:
		p.countUnsent(unsentNoEntry, now)
	case p.balancer.Full(entries, now):
		p.countUnsent(unsentInFlightLimit, now)
	case !p.updateAvailable(entries, now):
		p.countUnsent(unsentSaturated, now)
	default:
		p.sendTo(entries, now)
	}
}

// sendTo sends the queries that are due to the given entries.
func (p *policy) sendTo(entries []permit.Entry, now model.Time) {
	p.shortWaits, p.longWaits = false, false
	p.tracker.EachDueQuery(now, p, func(q permit.Query) bool {
		cost := p.cost(q.Job, len(q.Workers))
		entry, ok := p.balancer.Choose(entries, cost, now)
		switch {
		case ok:
			p.send(&q, entry, cost)
		case permit.IsLong(cost):
			p.longWaits = true
		default:
			p.shortWaits = true
		}
		return p.updateAvailable(entries, now)
	})
	p.countWaits(now)
}

// countWaits counts the last check if a due query could not be sent.
func (p *policy) countWaits(now model.Time) {
	if !p.shortWaits && !p.longWaits || !p.unsent.due(now) {
		return
	}
	if p.shortWaits {
		p.unsent.add(unsentInFlightLimit)
	}
	if p.longWaits {
		p.unsent.add(unsentLongQueries)
	}
}

// updateAvailable determines which queries the entries can take, and reports whether
// they can take any.
func (p *policy) updateAvailable(entries []permit.Entry, now model.Time) (anyQuery bool) {
	p.takesShort, p.takesLong = p.balancer.Available(entries, now)
	return p.takesShort || p.takesLong
}

// cost returns the time that the policy service takes for a query of a job.
func (p *policy) cost(id model.JobID, workers int) time.Duration {
	c := p.costs[id]
	return c.Base.Std() + time.Duration(workers)*c.PerWorker.Std()
}

// entries returns the entries that have renewed within half a lease and are not leaving. Those
// of control processes, which have other work, come last: of equally loaded ones the first is
// chosen.
func (p *policy) entries(now model.Time) []permit.Entry {
	members := p.l.members.Entries(now)
	if len(members) == 0 {
		return nil
	}
	region := regionOf(members, p.l.c.s.opts.Endpoint.Address())
	control := map[string]bool{}
	for _, m := range p.l.c.s.opts.Log.Status().Members {
		control[m.Address] = true
	}
	var out, last []permit.Entry
	for _, e := range members {
		if e.Leaving || e.Age >= p.l.c.s.opts.Times.RequestLease/2 {
			continue
		}
		entry := permit.Entry{Address: e.Member.Inner, Far: region != "" && e.Member.Region != region}
		if control[entry.Address] {
			last = append(last, entry)
			continue
		}
		out = append(out, entry)
	}
	return append(out, last...)
}

// regionOf returns the region of the process with an inner address, or "" if it is not registered.
func regionOf(members []member.EntryStatus, address string) string {
	for i := range members {
		if members[i].Member.Inner == address {
			return members[i].Member.Region
		}
	}
	return ""
}

func (p *policy) send(q *permit.Query, entry string, cost time.Duration) {
	p.inFlight++
	p.l.c.s.metrics.policyInFlight.Inc()
	p.tracker.MarkSent(q)
	timeout := p.balancer.Begin(entry, cost)
	s := p.l.c.s
	sent := s.now()
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), timeout)
		defer cancel()
		req := &proto.Advise{Step: q.Step, Workers: q.Workers}
		advice, err := wire.Call[proto.Advise, workerclient.Advice](ctx, s.opts.Endpoint, entry, wire.KindPolicyQuery, req)
		s.post(workAdvice, func(*core) {
			p.inFlight--
			s.metrics.policyInFlight.Dec()
			now := s.now()
			p.balancer.End(entry, cost, err == nil, now)
			p.ended.add(err == nil, now.Sub(sent))
			p.queryAnswered(q, advice, err)
		})
	}()
}

func (p *policy) queryAnswered(q *permit.Query, advice *workerclient.Advice, err error) {
	now := p.l.c.s.now()
	if err != nil {
		p.l.c.s.metrics.policyQueries.WithLabelValues(string(errkind.Of(err))).Inc()
		p.l.c.log.Warn("Policy query failed; it will be retried.", "workflow", q.Step.Workflow, "step", q.Step.Step, "err", err)
		p.tracker.MarkFailed(q, now)
		return
	}
	p.l.c.s.metrics.policyQueries.WithLabelValues("ok").Inc()
	if advice.Unreadable > 0 {
		p.l.c.s.metrics.unreadableRows.WithLabelValues(listPermits).Add(float64(advice.Unreadable))
		p.l.c.log.Warn("Permits cannot be read; they are left out.", "workflow", q.Step.Workflow, "step", q.Step.Step, "unreadable", advice.Unreadable)
	}
	if _, tracked := p.costs[q.Job]; tracked {
		p.answered[q.Job] = now
	}
	p.tracker.ApplyAdvice(q, advice, now)
	p.l.c.log.Debug("Workers permitted.", "workflow", q.Step.Workflow, "step", q.Step.Step, "asked", len(q.Workers), "good", len(advice.Permits))
	p.updateScheduler(q.Job)
}

// sinceAnswer returns how long ago the last query of a job was answered, and "never"
// if this leader has received no answer.
func (p *policy) sinceAnswer(id model.JobID, now model.Time) string {
	at, ok := p.answered[id]
	if !ok {
		return "never"
	}
	return now.Sub(at).String()
}

// updateScheduler passes the permits of a job to the scheduler.
func (p *policy) updateScheduler(id model.JobID) {
	grants := p.tracker.Permits(id)
	ev := schedule.JobPermitsChanged{ID: id, Permits: make([]schedule.Permit, len(grants))}
	for i, g := range grants {
		ev.Permits[i] = schedule.Permit(g)
	}
	p.l.sched.Apply(ev)
	p.l.dirty = true
}

// token returns the permit of a job for a worker, and whether tasks of the job may be
// started there. A job that needs no permit has none and may be started.
func (p *policy) token(id model.JobID, worker model.WorkerID) (string, bool) {
	if _, gated := p.costs[id]; !gated {
		return "", true
	}
	token := p.tracker.Token(id, worker, p.l.c.s.now())
	return token, token != ""
}

// invalidate drops a permit that a worker rejected.
func (p *policy) invalidate(id model.JobID, worker model.WorkerID) {
	p.tracker.Invalidate(id, worker)
	p.updateScheduler(id)
}

// forgetWorker drops the permits for a worker that was lost or has restarted.
func (p *policy) forgetWorker(worker model.WorkerID) {
	for _, id := range p.tracker.ForgetWorker(worker) {
		p.updateScheduler(id)
	}
}
