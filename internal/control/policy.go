package control

import (
	"context"
	"time"

	"github.com/filbertmast/filbertmast/internal/courier"
	"github.com/filbertmast/filbertmast/internal/errkind"
	"github.com/filbertmast/filbertmast/internal/model"
	"github.com/filbertmast/filbertmast/internal/permit"
	"github.com/filbertmast/filbertmast/internal/proto"
	"github.com/filbertmast/filbertmast/internal/schedule"
	"github.com/filbertmast/filbertmast/internal/state"
	"github.com/filbertmast/filbertmast/internal/wire"
)

const (
	// maxQuestions bounds the questions that are on their way to the policy service.
	maxQuestions = 48
	// askEvery is the time between looks at which jobs need permits.
	askEvery = 20 * time.Millisecond
)

// policy has entries ask the policy service for the jobs of queues that need it.
type policy struct {
	l     *leader
	desk  *permit.Desk
	costs map[model.JobID]model.PolicyCosts
	lines *permit.Lines // entries by inner address
	count int           // open questions
	next  model.Time
}

func newPolicy(l *leader) *policy {
	return &policy{
		l:     l,
		desk:  permit.NewDesk(),
		costs: map[model.JobID]model.PolicyCosts{},
		lines: permit.NewLines(),
	}
}

// add reports whether a job needs permits, and notes it if so.
func (p *policy) add(j *state.Job) bool {
	if j.Step == nil {
		return false
	}
	q := p.l.c.machine.Queue(j.Spec.Queue)
	if q == nil || !q.Policy.Required() {
		return false
	}
	p.desk.Add(j.ID, p.l.stepName(j), j.StartBy)
	p.costs[j.ID] = q.Policy
	p.next = 0
	return true
}

func (p *policy) remove(id model.JobID) {
	p.desk.Remove(id)
	delete(p.costs, id)
}

// Waits implements permit.Cell.
func (p *policy) Waits(id model.JobID) bool {
	return p.waiting(id) != nil
}

// waiting returns a job that has tasks to place; nil where it has none.
func (p *policy) waiting(id model.JobID) *state.Job {
	j := p.l.c.machine.Job(id)
	if j == nil || j.Finished != 0 || j.Count(model.TaskPending) == 0 {
		return nil
	}
	return j
}

// Candidates implements permit.Cell.
func (p *policy) Candidates(id model.JobID) []model.WorkerID {
	return p.l.sched.Candidates(id)
}

// ask puts the questions that are due to entries.
func (p *policy) ask(now model.Time) {
	if now < p.next || p.count >= maxQuestions {
		return
	}
	p.next = now.Add(askEvery)
	entries := p.entries(now)
	if !p.lines.Free(entries, now) {
		return
	}
	p.desk.Questions(now, p, func(q permit.Question) bool {
		cost := p.cost(&q)
		if at, ok := p.lines.Choose(entries, cost, now); ok {
			p.send(&q, at, cost)
		}
		return p.count < maxQuestions && p.lines.Free(entries, now)
	})
}

// cost returns the service time of a question.
func (p *policy) cost(q *permit.Question) time.Duration {
	c := p.costs[q.Job]
	return c.Base.Std() + time.Duration(len(q.Workers))*c.PerWorker.Std()
}

// entries returns the inner addresses of the entries that were heard lately.
func (p *policy) entries(now model.Time) []string {
	var out []string
	for _, e := range p.l.members.Entries(now) {
		if !e.Leaving && e.Age < p.l.c.s.opts.Times.RequestLease/2 {
			out = append(out, e.Member.Inner)
		}
	}
	return out
}

func (p *policy) send(q *permit.Question, to string, cost time.Duration) {
	p.count++
	p.desk.Asked(q)
	timeout := p.lines.Begin(to, cost)
	s := p.l.c.s
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), timeout)
		defer cancel()
		req := &proto.Advise{Step: q.Step, Workers: q.Workers}
		a, err := wire.Call[proto.Advise, courier.Advice](ctx, s.opts.Endpoint, to, wire.KindAdvise, req)
		s.run(func(*core) {
			p.count--
			p.lines.End(to, cost, err == nil, s.now())
			p.answered(q, a, err)
		})
	}()
}

func (p *policy) answered(q *permit.Question, a *courier.Advice, err error) {
	now := p.l.c.s.now()
	if err != nil {
		p.l.c.s.metrics.questions.WithLabelValues(string(errkind.Of(err))).Inc()
		p.l.c.log.Warn("Policy service gave no answer.", "workflow", q.Step.Workflow, "step", q.Step.Step, "err", err)
		p.desk.Unanswered(q, now)
		return
	}
	p.l.c.s.metrics.questions.WithLabelValues("ok").Inc()
	p.desk.Answered(q, a, now)
	p.l.c.log.Debug("Workers permitted.", "workflow", q.Step.Workflow, "step", q.Step.Step, "asked", len(q.Workers), "good", len(a.Permits))
	p.permit(q.Job)
}

// permit tells the scheduler the permits of a job.
func (p *policy) permit(id model.JobID) {
	held := p.desk.Permits(id)
	ev := schedule.JobPermitsChanged{ID: id, Permits: make([]schedule.Permit, len(held))}
	for i, h := range held {
		ev.Permits[i] = schedule.Permit(h)
	}
	p.l.sched.Apply(ev)
	p.l.dirty = true
}

// token returns the permit of a job for a worker, and whether the job may be
// started there: a job that needs no permit may.
func (p *policy) token(id model.JobID, worker model.WorkerID) (string, bool) {
	if _, gated := p.costs[id]; !gated {
		return "", true
	}
	token := p.desk.Token(id, worker, p.l.c.s.now())
	return token, token != ""
}

// void drops a permit that a worker did not take.
func (p *policy) void(id model.JobID, worker model.WorkerID) {
	p.desk.Void(id, worker)
	p.permit(id)
}
