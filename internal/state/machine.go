// Package state implements the deterministic state machine to which the
// replicated log is applied: configuration, workers, jobs, accounts and the
// journal of requests. The same log gives the same bytes on every replica. The
// package has no clock, no random numbers and no I/O, and its results never
// depend on map order.
//
// A Machine is not safe for concurrent use.
package state

import (
	"time"

	"github.com/filbertmast/filbertmast/internal/admission"
	"github.com/filbertmast/filbertmast/internal/errkind"
	"github.com/filbertmast/filbertmast/internal/journal"
	"github.com/filbertmast/filbertmast/internal/ledger"
	"github.com/filbertmast/filbertmast/internal/model"
	"github.com/filbertmast/filbertmast/internal/speed"
)

// Options limits what a Machine retains. It must be equal on every replica.
type Options struct {
	KeepFinished model.Duration // retention of finished jobs; zero: DefaultKeepFinished
	Journal      journal.Options
}

// DefaultKeepFinished is the default retention of finished jobs.
const DefaultKeepFinished = model.Duration(time.Hour)

// Machine is the replicated state of one cell.
type Machine struct {
	opts  Options
	index uint64     // of the last command applied
	term  uint64     // of the last command applied
	now   model.Time // latest time of a command; never decreases

	config             config
	workers            workerTable
	jobs               map[model.JobID]*Job
	lastJob            model.JobID   // highest job ID assigned
	finishedJobs       []model.JobID // in order of finishing; removed from the front
	submissions        map[submissionKey]model.JobID
	workflows          map[model.WorkflowID]*Workflow
	recurring          map[model.WorkflowID]*Workflow // recurring workflows with runs to start
	finishedWorkflows  []model.WorkflowID             // in order of finishing; removed from the front
	unstarted          map[string]int64               // number of workflows without a started task, by queue
	teams              map[string]*teamUsage
	accounts           map[string]*ledger.Account
	journal            *journal.Journal
	members            []Member            // sorted by name
	pendingJobs        map[string]int64    // number of jobs with pending tasks, by queue
	ceilings           map[string]int64    // upper bounds of request permits, by team
	withdrawnExecutors []WithdrawnExecutor // oldest first
	speeds             workerSpeeds
	evacuations        []Evacuation // sorted by domain
	pastUse            pastUse
	accepted           admission.Usage

	events []Event // of the command being applied
}

// New returns an empty machine.
func New(o Options) *Machine {
	if o.KeepFinished == 0 {
		o.KeepFinished = DefaultKeepFinished
	}
	return &Machine{
		opts:        o,
		config:      newConfig(),
		workers:     newWorkerTable(),
		jobs:        make(map[model.JobID]*Job),
		submissions: make(map[submissionKey]model.JobID),
		workflows:   make(map[model.WorkflowID]*Workflow),
		recurring:   make(map[model.WorkflowID]*Workflow),
		unstarted:   make(map[string]int64),
		teams:       make(map[string]*teamUsage),
		accounts:    make(map[string]*ledger.Account),
		journal:     journal.New(o.Journal),
		pendingJobs: make(map[string]int64),
		ceilings:    make(map[string]int64),
		pastUse:     newPastUse(),
		accepted:    admission.NewUsage(),
	}
}

// Result is the result of a command for its proposer.
type Result struct {
	Err      error // has an errkind.Kind; if set, the command changed nothing
	Job      model.JobID
	Existing bool   // the command was a resend or had no effect
	Version  uint64 // of the configuration
	Digest   string // of the configuration
	Session  uint64
	Count    int // number of items changed, such as jobs cancelled or reports accepted
	Fence    model.Fence
	Journal  journal.StartResult
}

// Apply applies one command. Index and term are those of its log entry. The
// returned events are valid until the next call.
func (m *Machine) Apply(index, term uint64, c *Command) (Result, []Event) {
	m.index, m.term = index, term
	m.now = max(m.now, c.At)
	m.events = m.events[:0]
	r := m.applyCommand(c)
	return r, m.events
}

func (m *Machine) applyCommand(c *Command) Result {
	switch {
	case c.Place != nil:
		return m.place(c.Place)
	case c.Report != nil:
		return m.applyReports(c.Report)
	case c.SubmitWorkflow != nil:
		return m.submitWorkflow(c.SubmitWorkflow)
	case c.StartRuns != nil:
		return m.startRuns(c.StartRuns)
	case c.CancelWorkflow != nil:
		return m.cancelWorkflow(c.CancelWorkflow)
	case c.Submit != nil:
		return m.submit(c.Submit)
	case c.Cancel != nil:
		return m.cancel(c.Cancel)
	case c.Stop != nil:
		return m.stop(c.Stop)
	case c.JournalStart != nil:
		return m.journalStart(c.JournalStart)
	case c.JournalEnd != nil:
		return m.journalEnd(c.JournalEnd)
	case c.Announce != nil:
		return m.announce(c.Announce)
	case c.SetMode != nil:
		return m.setMode(c.SetMode)
	case c.SetCapacity != nil:
		return m.setCapacity(c.SetCapacity)
	case c.MarkWorkersLost != nil:
		return m.markWorkersLost(c.MarkWorkersLost)
	case c.LoseAttempts != nil:
		return m.loseAttempts(c.LoseAttempts)
	case c.Declare != nil:
		return m.declare(c.Declare)
	case c.GrantKey != nil:
		return m.grantKey(c.GrantKey)
	case c.WithdrawKey != nil:
		return m.withdrawKey(c.WithdrawKey)
	case c.Fail != nil:
		return m.fail(c.Fail)
	case c.Refund != nil:
		return m.refund(c.Refund)
	case c.Expire != nil:
		return m.expire()
	case c.Join != nil:
		return m.join(c.Join)
	case c.Leave != nil:
		return m.leave(c.Leave)
	case c.SetCeilings != nil:
		return m.setCeilings(c.SetCeilings)
	case c.SetWorkerSpeed != nil:
		return m.setWorkerSpeed(c.SetWorkerSpeed)
	case c.SetEvacuation != nil:
		return m.setEvacuation(c.SetEvacuation)
	case c.SetPastUse != nil:
		return m.setPastUse(c.SetPastUse)
	}
	return Result{Err: errkind.New(errkind.BadRequest, "empty command")}
}

// Index returns the log index of the last command applied.
func (m *Machine) Index() uint64 { return m.index }

// Now returns the latest time of a command applied.
func (m *Machine) Now() model.Time { return m.now }

// Job returns the job with the ID, or nil. The caller must not modify it.
func (m *Machine) Job(id model.JobID) *Job { return m.jobs[id] }

// JobIDs returns the IDs of all jobs in the state in ascending order.
func (m *Machine) JobIDs() []model.JobID {
	return sortedKeys(m.jobs)
}

func (m *Machine) emit(e Event) { m.events = append(m.events, e) }

func (m *Machine) fence() model.Fence { return model.Fence{Term: m.term, Index: m.index} }

// Replay calls fn with the events that bring an empty scheduler and empty tables
// to the state of m, in a fixed order.
func (m *Machine) Replay(fn func(Event)) {
	fn(m.configEvent())
	for _, team := range sortedKeys(m.ceilings) {
		fn(CeilingChanged{Team: team, Permits: m.ceilings[team]})
	}
	m.replayEvacuations(fn)
	for _, w := range m.Workers() {
		fn(WorkerChanged{Spec: w.Spec, Mode: w.Mode, Session: w.Session, At: m.now})
		if permille := w.Speed.PublishedPermille(); permille != speed.Normal {
			fn(WorkerSpeedChanged{Worker: w.Spec.ID, Permille: permille})
		}
		if len(w.Ending) > 0 {
			fn(m.endingEvent(w))
		}
		m.replayExecutors(w, fn)
	}
	for _, id := range m.JobIDs() {
		m.replayJob(m.jobs[id], fn)
	}
}

func (m *Machine) replayJob(j *Job, fn func(Event)) {
	if j.Finished != 0 {
		return
	}
	fn(JobSubmitted{Job: j})
	for i := range j.Tasks {
		t := &j.Tasks[i]
		id := model.TaskID{Job: j.ID, Index: int32(i)}
		if t.Phase == model.TaskPending {
			continue
		}
		ev := m.taskEvent(id, t)
		ev.From = model.TaskPending
		if t.Phase.Done() {
			ev.To = t.Phase
			ev.Outcome = outcomeOfPhase(t.Phase)
			fn(ev)
			continue
		}
		ev.To = model.TaskStarting
		fn(ev)
		if t.Phase != model.TaskStarting {
			ev.From, ev.To = model.TaskStarting, t.Phase
			fn(ev)
		}
	}
	m.replaySuspicions(j, fn)
	if j.Cancelled {
		fn(JobsCancelled{IDs: []model.JobID{j.ID}})
	}
}
