package control

import (
	"slices"

	"github.com/filbertmast/filbertmast/internal/api"
	"github.com/filbertmast/filbertmast/internal/errkind"
	"github.com/filbertmast/filbertmast/internal/ledger"
	"github.com/filbertmast/filbertmast/internal/model"
	"github.com/filbertmast/filbertmast/internal/proto"
	"github.com/filbertmast/filbertmast/internal/state"
	"github.com/filbertmast/filbertmast/internal/wire"
)

const (
	maxTasksShown = 1000 // tasks listed in the view of one job
	maxJobsListed = 1000 // jobs in one listing
)

func (l *leader) submit(_ wire.Peer, req *proto.Submit, done reply[proto.Submitted]) {
	spec := req.Spec
	q, err := l.queueFor(&spec)
	if err != nil {
		done(nil, err)
		return
	}
	if err := l.admit(&spec, q, req); err != nil {
		done(nil, err)
		return
	}
	if req.DryRun {
		replyIfLeading(l.c, done, &proto.Submitted{Quote: l.quote(&spec, q)})
		return
	}
	l.commitJob(&state.Submit{Spec: spec, IdempotencyKey: req.IdempotencyKey, Digest: req.Digest}, done)
}

// jobSubmissionKey identifies the submission of a job that has an idempotency key.
type jobSubmissionKey struct {
	team           string
	idempotencyKey string
	digest         [32]byte
}

// commitJob commits a job and responds after the commit. Like that of a workflow, a
// submission that is repeated is not proposed again.
func (l *leader) commitJob(cmd *state.Submit, done reply[proto.Submitted]) {
	if r, found := l.c.machine.FindResent(cmd); found && r.Err == nil {
		replyIfLeading(l.c, done, l.submitted(r))
		return
	}
	key := jobSubmissionKey{cmd.Spec.Team, cmd.IdempotencyKey, cmd.Digest}
	if cmd.IdempotencyKey != "" && l.jobSubmissions.proposed(key) {
		l.jobSubmissions.join(key, done)
		return
	}
	cmd.Limit = l.acceptedLimit()
	if err := l.c.machine.AdmitJob(&cmd.Spec, cmd.Limit); err != nil {
		l.recordNotAdmitted(cmd.Spec.Team, err)
		done(nil, err)
		return
	}
	if cmd.IdempotencyKey == "" {
		l.proposeJob(cmd, func() []reply[proto.Submitted] { return []reply[proto.Submitted]{done} })
		return
	}
	l.jobSubmissions.join(key, done)
	l.proposeJob(cmd, func() []reply[proto.Submitted] { return l.jobSubmissions.take(key) })
}

// proposeJob proposes a job and answers the calls that wait for it then.
func (l *leader) proposeJob(cmd *state.Submit, calls func() []reply[proto.Submitted]) {
	l.c.propose(&state.Command{Submit: cmd}, func(r state.Result, err error) {
		l.recordNotAdmitted(cmd.Spec.Team, err)
		for _, done := range calls() {
			if err != nil {
				done(nil, err)
				continue
			}
			done(l.submitted(r), nil)
			r.Existing = true // for the repeats
		}
	})
}

func (l *leader) submitted(r state.Result) *proto.Submitted {
	view := l.viewOf(l.c.machine.Job(r.Job), false)
	view.Existing = r.Existing
	return &proto.Submitted{Job: view}
}

// queueFor returns the queue of a submission and sets it in spec if it is the default.
func (l *leader) queueFor(spec *model.JobSpec) (*model.Queue, error) {
	q := l.c.machine.Queue(spec.Queue)
	if spec.Queue == "" {
		q = l.c.machine.DefaultQueue(spec.Team)
	}
	if q == nil {
		return nil, errkind.New(errkind.UnknownQueue, "queue %q is not declared", spec.Queue)
	}
	if !q.Admits(spec.Team) {
		return nil, errkind.New(errkind.QueueClosed, "queue %q does not admit team %q", q.Name, spec.Team)
	}
	spec.Queue = q.Name
	return q, nil
}

// admit returns an error if the job can never run or its queue is full. It admits the
// repeat of an accepted submission, which then gets the same response as the first.
func (l *leader) admit(spec *model.JobSpec, q *model.Queue, req *proto.Submit) error {
	if req.IdempotencyKey != "" && l.c.machine.HasSubmission(spec.Team, req.IdempotencyKey) {
		return nil
	}
	if err := l.sched.Check(spec, q); err != nil {
		return err
	}
	if q.MaxPending > 0 && l.c.machine.PendingJobs(q.Name) >= q.MaxPending {
		return errkind.New(errkind.QueueFull, "queue %q is full: it holds %d waiting jobs", q.Name, q.MaxPending)
	}
	return nil
}

func (l *leader) quote(spec *model.JobSpec, q *model.Queue) *api.Quote {
	price := l.sched.PriceFor(spec.Patience)
	return &api.Quote{
		Price:     price,
		Estimated: ledger.Estimate(price, spec),
		Queue:     q.Name,
		Team:      q.ChargedTeam(spec.Team),
	}
}

func (l *leader) getJob(_ wire.Peer, req *proto.GetJob, done reply[api.JobView]) {
	j, err := l.visibleJob(req.Caller, req.ID)
	if err != nil {
		done(nil, err)
		return
	}
	answer := func(j *state.Job) {
		view := l.viewOf(j, req.Why)
		replyIfLeading(l.c, done, &view)
	}
	if req.Wait <= 0 || settled(j, req) {
		answer(j)
		return
	}
	l.waits.add(j.ID, &jobWait{
		req:   req,
		until: l.c.s.now().Add(req.Wait.Std()),
		done:  answer,
		fail:  func(err error) { done(nil, err) },
	})
}

// visibleJob returns a job that the caller may see. A job of another team gets the same
// error as an unknown one.
func (l *leader) visibleJob(caller proto.Caller, id model.JobID) (*state.Job, error) {
	j := l.c.machine.Job(id)
	if j == nil || (!caller.Operator && j.Spec.Team != caller.Team && j.Team != caller.Team) {
		return nil, errkind.New(errkind.UnknownJob, "job %s is not known to team %q", id, caller.Team)
	}
	return j, nil
}

func (l *leader) listJobs(_ wire.Peer, req *proto.ListJobs, done reply[proto.Jobs]) {
	jobs, err := l.matchingJobs(req.Caller, req.Selector)
	if err != nil {
		done(nil, err)
		return
	}
	limit := maxJobsListed
	if req.Limit > 0 {
		limit = min(limit, req.Limit)
	}
	out := &proto.Jobs{}
	for _, j := range jobs {
		if j.ID <= req.After {
			continue
		}
		if len(out.Jobs) == limit {
			out.Next = out.Jobs[limit-1].ID
			break
		}
		view := l.viewOf(j, false)
		view.Tasks = nil
		out.Jobs = append(out.Jobs, view)
	}
	replyIfLeading(l.c, done, out)
}

// matchingJobs returns the caller's jobs whose labels match the selector, oldest
// first.
func (l *leader) matchingJobs(caller proto.Caller, selector string) ([]*state.Job, error) {
	sel, err := model.ParseSelector(selector)
	if err != nil {
		return nil, errkind.Wrap(errkind.BadRequest, err, "selector")
	}
	var out []*state.Job
	for _, id := range l.c.machine.JobIDs() {
		j, err := l.visibleJob(caller, id)
		if err == nil && sel.Matches(j.Spec.Labels) {
			out = append(out, j)
		}
	}
	return out, nil
}

func (l *leader) cancel(_ wire.Peer, req *proto.Cancel, done reply[proto.Cancelled]) {
	cmd := &state.Cancel{}
	if !req.Caller.Operator {
		cmd.Team = req.Caller.Team
	}
	if req.ID != 0 {
		j, err := l.visibleJob(req.Caller, req.ID)
		if err != nil {
			done(nil, err)
			return
		}
		cmd.Jobs = []model.JobID{j.ID}
	} else {
		jobs, err := l.matchingJobs(req.Caller, req.Selector)
		if err != nil {
			done(nil, err)
			return
		}
		for _, j := range jobs {
			cmd.Jobs = append(cmd.Jobs, j.ID)
		}
	}
	cmd.Jobs = slices.DeleteFunc(cmd.Jobs, func(id model.JobID) bool {
		j := l.c.machine.Job(id)
		return j.Finished != 0 || j.Cancelled
	})
	if len(cmd.Jobs) == 0 { // a repeat writes nothing to the log
		replyIfLeading(l.c, done, &proto.Cancelled{})
		return
	}
	l.c.propose(&state.Command{Cancel: cmd}, func(r state.Result, err error) {
		done(&proto.Cancelled{Count: r.Count}, err)
	})
}

// viewOf returns the view of a job, with the reasons why it waits if why is set.
func (l *leader) viewOf(j *state.Job, why bool) api.JobView {
	v := api.JobView{
		ID:       j.ID,
		Spec:     j.Spec,
		Phase:    j.Phase(),
		Counts:   countsOf(j),
		Reason:   j.Reason,
		Price:    j.Price,
		Charged:  j.Charged - j.Refunded,
		Version:  j.Version,
		Deadline: j.StartBy,
		Created:  j.Submitted,
	}
	if why && j.Finished == 0 {
		v.Why = l.waitReasons(j, l.c.s.now())
	}
	v.Tasks = l.taskViews(j)
	return v
}

// taskViews returns the views of the first maxTasksShown tasks of a job, unfinished or
// finished.
func (l *leader) taskViews(j *state.Job) []api.TaskView {
	out := make([]api.TaskView, 0, min(maxTasksShown, max(len(j.Tasks), len(j.Ended))))
	for i := range j.Tasks[:min(maxTasksShown, len(j.Tasks))] {
		t := &j.Tasks[i]
		out = append(out, api.TaskView{
			Index:    int32(i),
			Phase:    t.Phase.String(),
			Worker:   l.c.machine.TaskWorker(t),
			Fence:    t.Fence,
			Restarts: int32(t.Restarts),
			Reason:   j.ReasonOf(int32(i)),
		})
	}
	for i := range j.Ended[:min(maxTasksShown, len(j.Ended))] {
		t := &j.Ended[i]
		out = append(out, api.TaskView{
			Index:    int32(i),
			Phase:    t.Phase.String(),
			Worker:   l.c.machine.WorkerByNumber(t.Worker),
			Restarts: int32(t.Restarts),
			Reason:   j.ReasonOf(int32(i)),
		})
	}
	return out
}

func countsOf(j *state.Job) api.TaskCounts {
	return api.TaskCounts{
		Pending:   j.Count(model.TaskPending),
		Starting:  j.Count(model.TaskStarting),
		Running:   j.Count(model.TaskRunning),
		Stopping:  j.Count(model.TaskStopping),
		Succeeded: j.Count(model.TaskSucceeded),
		Failed:    j.Count(model.TaskFailed),
		Cancelled: j.Count(model.TaskCancelled),
	}
}
