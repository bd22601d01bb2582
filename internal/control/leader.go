package control

import (
	"time"

	"github.com/filbertmast/filbertmast/internal/exchange"
	"github.com/filbertmast/filbertmast/internal/lease"
	"github.com/filbertmast/filbertmast/internal/limit"
	"github.com/filbertmast/filbertmast/internal/member"
	"github.com/filbertmast/filbertmast/internal/model"
	"github.com/filbertmast/filbertmast/internal/owner"
	"github.com/filbertmast/filbertmast/internal/proto"
	"github.com/filbertmast/filbertmast/internal/schedule"
	"github.com/filbertmast/filbertmast/internal/speed"
	"github.com/filbertmast/filbertmast/internal/state"
)

// leader is the state that exists only while this process leads. It is rebuilt at the
// start of a term from the replicated state, and from what entries report when they
// renew.
type leader struct {
	c              *core
	term           uint64
	sched          *schedule.Scheduler
	leases         *lease.Table
	permits        *limit.Granter
	owners         *owner.Table
	members        *member.Table
	history        *member.History // of configurations, to send deltas
	pendingLosses  []lease.Holder  // expired, loss to be proposed
	sessions       map[model.WorkerID]attachment
	waits          jobWaits
	dirty          bool // something has changed since the last plan
	nextPlan       model.Time
	uncommitted    []*state.Command // decisions of the scheduler whose proposals have failed
	unrevoked      []model.WorkerID // workers whose unconfirmed starts are still to be stopped
	plansInFlight  int              // proposed placement commands that are not committed yet
	reportPace     pace
	planPace       pace
	nextExpiry     model.Time
	nextRelays     model.Time          // when relays are chosen again
	changedTeams   map[string]struct{} // teams whose tasks have changed since syncLimits last ran
	polled         *polledWorkers      // workers that the leader calls
	policy         *policy
	heartbeats     exchange.Heartbeats
	submissions    sharedCalls[submissionKey, proto.WorkflowView]
	jobSubmissions sharedCalls[jobSubmissionKey, proto.Submitted]
	stalled        stalledJobs
	notAdmitted    notAdmitted
	pastUse        pastUse
	// proposedCeilings are the teams whose ceilings are proposed and not committed yet.
	proposedCeilings map[string]struct{}
	startingRuns     bool                           // a proposal to start due runs is not committed yet
	settingSpeed     bool                           // a proposal of whether the speed of workers is estimated is not committed yet
	speedClasses     map[model.WorkerID]speed.Class // as last logged
}

// attachment is a worker's session and the entry that holds it.
type attachment struct {
	session uint64
	entry   string // inner address
}

// newLeader returns the leader of a term. Every worker in the state keeps its tasks
// until the longest lease that an earlier leader may have granted has expired.
func newLeader(c *core, term uint64) *leader {
	t := c.s.opts.Times
	now := c.s.now()
	l := &leader{
		c:       c,
		term:    term,
		sched:   schedule.New(c.s.opts.Scheduling),
		leases:  lease.New(lease.Options{Duration: t.WorkerLease, DriftMargin: t.Drift}),
		permits: limit.NewGranter(limit.Options{Lease: t.RequestLease, Margin: t.Drift, Ceilings: true}),
		owners:  owner.NewTable(owner.Options{Lease: t.RequestLease, Margin: t.Drift}),
		members: member.New(member.Options{
			Lease:      t.RequestLease,
			Drift:      t.Drift,
			GrantGrace: t.MaxRequestDeadline,
		}, c.machine.Members(), now),
		history:      member.NewHistory(member.DefaultHistoryLength),
		sessions:     make(map[model.WorkerID]attachment),
		waits:        newJobWaits(),
		dirty:        true,
		reportPace:   pace{interval: reportInterval},
		planPace:     pace{interval: planInterval, rest: planRest},
		changedTeams: make(map[string]struct{}),
		heartbeats:   exchange.Heartbeats{},
		submissions:  sharedCalls[submissionKey, proto.WorkflowView]{},

		jobSubmissions:   sharedCalls[jobSubmissionKey, proto.Submitted]{},
		proposedCeilings: map[string]struct{}{},
		speedClasses:     map[model.WorkerID]speed.Class{},
	}
	l.polled = newPolledWorkers(l)
	l.policy = newPolicy(l)
	var holders []lease.Holder
	c.machine.Replay(func(ev state.Event) {
		l.applyEvent(ev)
		if w, ok := ev.(state.WorkerChanged); ok && w.Mode != model.WorkerLost {
			holders = append(holders, lease.Holder{Worker: w.Spec.ID, Session: w.Session})
		}
	})
	l.inheritSpeedClasses()
	l.assumeEarlierGrants(now)
	l.syncLimits()
	l.syncAllRequestPermits()
	l.pastUse = pastUse{l: l}
	l.pastUse.refresh(now)
	l.leases.BeginTerm(now, holders)
	l.revokeInheritedStarts()
	l.countEvacuated()
	return l
}

// assumeEarlierGrants assumes that entries hold all that an earlier leader may have
// granted them, until they report what they hold: permits up to the ceiling of each
// team, and every executor that serves or did so recently.
func (l *leader) assumeEarlierGrants(now model.Time) {
	t := l.c.s.opts.Times
	longest := t.RequestLease + t.MaxRequestDeadline + t.Drift
	l.permits.NewTerm(now, longest)
	gone := l.c.machine.WithdrawnExecutors()
	for _, g := range gone {
		l.owners.Announce(g.Spec, g.Region, true)
	}
	l.owners.NewTerm(l.term, now, longest)
	for _, g := range gone {
		l.owners.Withdraw(g.Spec.ID)
	}
}

// stop ends the calls to polled workers and fails the calls that wait for a job.
func (l *leader) stop() {
	l.c.s.metrics.lateSteps.Set(0)
	l.c.s.metrics.setStalled(nil)
	l.c.s.metrics.workerSpeeds.Reset()
	l.c.s.metrics.evacuatedDomains.Set(0)
	l.c.s.metrics.evacuatedTasks.Set(0)
	l.c.s.metrics.pastLoad.Reset()
	l.polled.stop()
	l.waits.failAll()
}

// handleEvents applies the events of one committed command.
func (l *leader) handleEvents(events []state.Event) {
	for _, ev := range events {
		l.applyEvent(ev)
		l.handleLiveEvent(ev)
	}
}

// handleLiveEvent does what a newly committed change requires and a replayed one does
// not.
func (l *leader) handleLiveEvent(ev state.Event) {
	switch e := ev.(type) {
	case state.WorkerChanged:
		l.workerChanged(&e)
	case state.EvacuationChanged:
		l.evacuationChanged(&e)
	case state.WorkersRemoved:
		l.heartbeats.Forget(e.IDs)
		l.forgetSpeedClasses(e.IDs)
	case state.WorkerSpeedChanged:
		l.logSpeedClass(e.Worker, e.Permille)
	case state.TaskChanged:
		l.sendTaskCommand(&e)
		l.polled.taskChanged(&e)
		l.waits.changed(l.c, e.Task.Job)
		if e.To == model.TaskStarting {
			l.c.s.metrics.placements.Inc()
			l.countFurtherStart(e.Task)
		}
	case state.PlacementRefused:
		l.c.s.metrics.placementRefused(e.Reason)
		l.c.log.Warn("Placement was refused by the state.", "task", e.Task, "worker", e.Worker, "reason", e.Reason)
	case state.JobsCancelled:
		for _, id := range e.IDs {
			l.waits.changed(l.c, id)
		}
	case state.WorkerCrashed, state.TaskSuspected, state.TaskGivenUp:
		l.recordCrashes(ev)
	case state.MembersChanged:
		l.members.Sync(l.c.machine.Members(), l.c.s.now())
	case state.JobFinished:
		l.waits.changed(l.c, e.ID)
	case state.WorkflowChanged:
		l.recordWorkflow(&e)
	case state.PastUseChanged:
		l.pastUse.halfLifeChanged(e.HalfLife)
	}
}

func (l *leader) workerChanged(e *state.WorkerChanged) {
	l.polled.workerChanged(e)
	if e.Mode == model.WorkerLeaving {
		l.revokeUnconfirmedStarts(e.Spec.ID)
	}
	if e.Mode == model.WorkerLost {
		l.leases.Release(lease.Holder{Worker: e.Spec.ID, Session: e.Session})
		delete(l.sessions, e.Spec.ID)
	}
}

// revokeUnconfirmedStarts stops the starts that a worker has not confirmed which leaves, or
// whose failure domain is evacuated.
func (l *leader) revokeUnconfirmedStarts(id model.WorkerID) {
	cmd := &state.Stop{}
	w := l.c.machine.Worker(id)
	reason := l.revocation(w)
	if reason == "" {
		return
	}
	for _, task := range w.Held {
		if _, t := l.task(task); t != nil && t.Phase == model.TaskStarting {
			cmd.Tasks = append(cmd.Tasks, state.TaskStop{Task: task, Cause: state.StopDrained, Reason: reason})
		}
	}
	if len(cmd.Tasks) > 0 {
		l.c.propose(&state.Command{Stop: cmd}, func(_ state.Result, err error) {
			if err != nil && l.c.leader == l {
				l.unrevoked = append(l.unrevoked, id)
			}
		})
	}
}

// expiryInterval is the time between checks for records whose retention has ended.
const expiryInterval = 2 * time.Second

// tick checks the lease tables and everything else that becomes due with time.
func (l *leader) tick(now model.Time) {
	if _, err := l.c.leading(); err != nil {
		return
	}
	l.proposeLosses(now)
	l.proposeUncommitted()
	l.expireEntries(now)
	l.permits.Tick(now)
	l.proposeCeilings()
	l.proposeWorkerSpeed()
	l.pastUse.tick(now)
	l.owners.Tick(now)
	l.waits.expire(l.c, now)
	l.startDueRuns(now)
	l.chooseRelays(now)
	if now >= l.nextExpiry {
		l.nextExpiry = now.Add(expiryInterval)
		l.syncAllRequestPermits()
		l.logBacklog()
		l.c.logLoad()
		l.c.budgets.report()
		l.reportAccepted()
		l.policy.logLateSteps(now)
		l.policy.logQueryLoad(now)
		l.c.s.metrics.lateSteps.Set(float64(l.sched.LateJobs(now)))
		l.countStalled(now)
		l.countWorkerSpeeds()
		l.countEvacuated()
		if l.c.machine.ExpireDue(now) {
			l.c.propose(&state.Command{Expire: &state.Expire{}}, func(state.Result, error) {})
		}
	}
}

// maxDueRuns bounds the workflow runs that start with one commit.
const maxDueRuns = 256

// startDueRuns proposes the start of the workflow runs that are due.
func (l *leader) startDueRuns(now model.Time) {
	if l.startingRuns {
		return
	}
	limit := l.acceptedLimit()
	due := l.c.machine.DueRuns(now, maxDueRuns, limit)
	if len(due) == 0 {
		return
	}
	l.startingRuns = true
	l.c.propose(&state.Command{StartRuns: &state.StartRuns{Runs: due, Limit: limit}}, func(r state.Result, err error) {
		l.startingRuns = false
		if err == nil {
			l.c.log.Info("Workflow runs started.", "due", len(due), "begun", r.Count)
		}
	})
}

// proposeCeilings proposes new ceilings of request permits, which must be committed
// before they are used. A ceiling is not proposed again while its proposal waits.
func (l *leader) proposeCeilings() {
	cmd := &state.SetCeilings{}
	for _, c := range l.permits.Ceilings() {
		if _, proposed := l.proposedCeilings[c.Team]; !proposed {
			cmd.Ceilings = append(cmd.Ceilings, state.Ceiling(c))
			l.proposedCeilings[c.Team] = struct{}{}
		}
	}
	if len(cmd.Ceilings) == 0 {
		return
	}
	l.c.propose(&state.Command{SetCeilings: cmd}, func(state.Result, error) {
		for _, c := range cmd.Ceilings {
			delete(l.proposedCeilings, c.Team)
		}
	})
}

// proposeLosses proposes the loss of workers whose leases have expired. If a proposal
// fails it is made again later; nothing renews these leases meanwhile.
func (l *leader) proposeLosses(now model.Time) {
	for _, holder := range l.leases.TakeExpired(now) {
		if !l.polled.deferLoss(holder, now) {
			l.pendingLosses = append(l.pendingLosses, holder)
		}
	}
	if len(l.pendingLosses) == 0 {
		return
	}
	expired := l.pendingLosses
	l.pendingLosses = nil
	cmd := &state.MarkWorkersLost{}
	for _, holder := range expired {
		cmd.Workers = append(cmd.Workers, state.LostWorker{ID: holder.Worker, Session: holder.Session,
			CommonCause: l.polled.commonCause(holder.Worker)})
	}
	l.c.log.Warn("Worker leases expired.", "workers", len(expired))
	l.c.propose(&state.Command{MarkWorkersLost: cmd}, func(r state.Result, err error) {
		if err != nil {
			l.pendingLosses = append(l.pendingLosses, expired...)
			return
		}
		l.c.s.metrics.workersLost.Add(float64(r.Count))
	})
}
