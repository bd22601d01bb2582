package control

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"

	"github.com/filbertmast/filbertmast/internal/errkind"
	"github.com/filbertmast/filbertmast/internal/model"
	"github.com/filbertmast/filbertmast/internal/state"
)

// metrics are the metrics of the control process.
type metrics struct {
	leads             prometheus.Gauge
	callsRefused      *prometheus.CounterVec
	placements        prometheus.Counter
	placementsRefused *prometheus.CounterVec
	preemptions       *prometheus.CounterVec
	workersLost       prometheus.Counter
	attemptsLost      prometheus.Counter
	capacityChanges   *prometheus.CounterVec
	workerCrashes     prometheus.Counter
	tasksGivenUp      *prometheus.CounterVec
	tasksHeld         prometheus.Counter
	planSeconds       prometheus.Histogram
	busySeconds       *prometheus.CounterVec

	commands          *prometheus.CounterVec
	ends              *prometheus.CounterVec
	releases          *prometheus.CounterVec
	furtherStarts     *prometheus.CounterVec
	workerEnds        *prometheus.CounterVec
	inheritedAttempts *prometheus.CounterVec
	unknownAttempts   *prometheus.CounterVec
	lateResponses     *prometheus.CounterVec
	policyQueries     *prometheus.CounterVec
	policyUnsent      *prometheus.CounterVec
	policyInFlight    prometheus.Gauge
	lateSteps         prometheus.Gauge
	stalledJobs       *prometheus.GaugeVec
	workerSpeeds      *prometheus.GaugeVec
	speedChanges      prometheus.Counter
	notAdmitted       *prometheus.CounterVec
	acceptedBytes     prometheus.Gauge
	acceptedLimit     prometheus.Gauge
	evacuatedDomains  prometheus.Gauge
	evacuatedTasks    prometheus.Gauge
	startsWithheld    prometheus.Counter
	unresponsive      prometheus.Gauge
	pastLoad          *prometheus.GaugeVec
	lostPolls         prometheus.Counter
	workerPauses      prometheus.Counter
	unreadableRows    *prometheus.CounterVec
	firstStartSeconds prometheus.Histogram
	workflowSeconds   *prometheus.HistogramVec
}

// newMetrics registers the metrics. Queued returns the number of closures that wait for
// the control goroutine.
func newMetrics(r prometheus.Registerer, queued func() float64) *metrics {
	f := promauto.With(r)
	f.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "filbertmast_control_calls_queued", Help: "Calls that wait for the control goroutine."}, queued)
	return &metrics{
		leads: f.NewGauge(prometheus.GaugeOpts{
			Name: "filbertmast_control_leads", Help: "1 while this process leads, else 0."}),
		callsRefused: f.NewCounterVec(prometheus.CounterOpts{
			Name: "filbertmast_control_refusals_total", Help: "Calls refused by the control process, by kind."},
			[]string{"kind"}),
		placements: f.NewCounter(prometheus.CounterOpts{
			Name: "filbertmast_control_placements_total", Help: "Tasks placed by commit."}),
		placementsRefused: f.NewCounterVec(prometheus.CounterOpts{
			Name: "filbertmast_control_placements_refused_total", Help: "Planned placements that the state did not admit, by reason."},
			[]string{"reason"}),
		preemptions: f.NewCounterVec(prometheus.CounterOpts{
			Name: "filbertmast_control_preemptions_total", Help: "Tasks told to stop for other work, by reason."},
			[]string{"reason"}),
		attemptsLost: f.NewCounter(prometheus.CounterOpts{
			Name: "filbertmast_control_attempts_lost_total", Help: "Attempts lost with the lease of their worker while the loss of the worker is deferred."}),
		workersLost: f.NewCounter(prometheus.CounterOpts{
			Name: "filbertmast_control_workers_lost_total", Help: "Workers whose leases have expired."}),
		capacityChanges: f.NewCounterVec(prometheus.CounterOpts{
			Name: "filbertmast_control_capacity_changes_total", Help: "Changes of the capacity of a running worker by commit, by direction."},
			[]string{"change"}),
		workerCrashes: f.NewCounter(prometheus.CounterOpts{
			Name: "filbertmast_control_worker_crashes_total", Help: "Certain crashes of workers that had tasks."}),
		tasksGivenUp: f.NewCounterVec(prometheus.CounterOpts{
			Name: "filbertmast_control_tasks_given_up_total", Help: "Tasks that are not started again, since workers crash under them, by reason."},
			[]string{"reason"}),
		tasksHeld: f.NewCounter(prometheus.CounterOpts{
			Name: "filbertmast_control_tasks_held_total", Help: "Starts delayed until it is known whether the task crashed its worker."}),
		planSeconds: f.NewHistogram(prometheus.HistogramOpts{
			Name: "filbertmast_control_plan_seconds", Help: "Time to make one plan.",
			Buckets: prometheus.ExponentialBuckets(10e-6, 4, 8)}),
		busySeconds: f.NewCounterVec(prometheus.CounterOpts{
			Name: "filbertmast_control_busy_seconds_total", Help: "Time that the control goroutine has worked, by kind of work."},
			[]string{"work"}),
		commands: f.NewCounterVec(prometheus.CounterOpts{
			Name: "filbertmast_control_orders_total", Help: "Orders to workers that are called, by order and what the worker said."},
			[]string{"order", "verdict"}),
		ends: f.NewCounterVec(prometheus.CounterOpts{
			Name: "filbertmast_control_ends_total", Help: "Ended attempts that called workers list, by step: listed, committed, or not committed."},
			[]string{"step"}),
		releases: f.NewCounterVec(prometheus.CounterOpts{
			Name: "filbertmast_control_releases_total", Help: "Attempts that the leader reports as ended without an end that the worker has listed, by basis."},
			[]string{"basis"}),
		furtherStarts: f.NewCounterVec(prometheus.CounterOpts{
			Name: "filbertmast_control_further_starts_total", Help: "Placements that are not the first of their task, by what ended the attempt before."},
			[]string{"before"}),
		workerEnds: f.NewCounterVec(prometheus.CounterOpts{
			Name: "filbertmast_control_attempts_ended_with_worker_total", Help: "Attempts that ended with their worker or its lease, by cause."},
			[]string{"cause"}),
		inheritedAttempts: f.NewCounterVec(prometheus.CounterOpts{
			Name: "filbertmast_control_inherited_attempts_total", Help: "Attempts that a new leader has inherited, by what the first answer of their worker tells about them."},
			[]string{"found"}),
		unknownAttempts: f.NewCounterVec(prometheus.CounterOpts{
			Name: "filbertmast_control_unknown_attempts_total", Help: "Attempts that were told to stop since the state does not place them on their worker, by what it knows of them."},
			[]string{"known"}),
		lateResponses: f.NewCounterVec(prometheus.CounterOpts{
			Name: "filbertmast_control_late_responses_total", Help: "Responses to orders that came while the process that sent them could not prove that it leads, by order and verdict."},
			[]string{"order", "verdict"}),
		policyQueries: f.NewCounterVec(prometheus.CounterOpts{
			Name: "filbertmast_control_policy_questions_total", Help: "Questions to the policy service, by result."},
			[]string{"result"}),
		policyUnsent: f.NewCounterVec(prometheus.CounterOpts{
			Name: "filbertmast_control_policy_queries_unsent_total", Help: "Checks, 20 ms apart, at which a due query to the policy service was not sent, by reason."},
			[]string{"reason"}),
		policyInFlight: f.NewGauge(prometheus.GaugeOpts{
			Name: "filbertmast_control_policy_queries_in_flight", Help: "Queries to the policy service that are not answered yet."}),
		lateSteps: f.NewGauge(prometheus.GaugeOpts{
			Name: "filbertmast_control_late_steps", Help: "Steps and jobs past the deadline of their start that have pending tasks."}),
		stalledJobs: f.NewGaugeVec(prometheus.GaugeOpts{
			Name: "filbertmast_control_stalled_jobs", Help: "Jobs of which no task runs although at most half of the cell is in use, by reason."},
			[]string{"reason"}),
		workerSpeeds: f.NewGaugeVec(prometheus.GaugeOpts{
			Name: "filbertmast_control_workers_by_speed", Help: "Workers that are not lost, by class of their estimated speed."},
			[]string{"class"}),
		speedChanges: f.NewCounter(prometheus.CounterOpts{
			Name: "filbertmast_control_worker_speed_changes_total", Help: "Estimates of a worker's speed that the scheduler was given."}),
		notAdmitted: f.NewCounterVec(prometheus.CounterOpts{
			Name: "filbertmast_control_submissions_not_admitted_total", Help: "Submissions refused since there was no room for more accepted work, by team."},
			[]string{"team"}),
		acceptedBytes: f.NewGauge(prometheus.GaugeOpts{
			Name: "filbertmast_control_accepted_bytes", Help: "Approximate memory of the accepted work that is still kept, at the leader."}),
		acceptedLimit: f.NewGauge(prometheus.GaugeOpts{
			Name: "filbertmast_control_accepted_limit_bytes", Help: "Limit of the memory of accepted work, at the leader. Zero: none."}),
		evacuatedDomains: f.NewGauge(prometheus.GaugeOpts{
			Name: "filbertmast_control_evacuated_domains", Help: "Failure domains that are evacuated."}),
		evacuatedTasks: f.NewGauge(prometheus.GaugeOpts{
			Name: "filbertmast_control_evacuated_tasks", Help: "Tasks that hold resources in evacuated failure domains."}),
		startsWithheld: f.NewCounter(prometheus.CounterOpts{
			Name: "filbertmast_control_starts_withheld_total", Help: "Starts and repeats of starts that were not sent, since the failure domain is evacuated."}),
		pastLoad: f.NewGaugeVec(prometheus.GaugeOpts{
			Name: "filbertmast_control_team_past_load", Help: "Decayed average of what a team has reserved, in multiples of its share of the cell."},
			[]string{"team"}),
		unresponsive: f.NewGauge(prometheus.GaugeOpts{
			Name: "filbertmast_control_workers_silent", Help: "Called workers that did not answer the last call."}),
		lostPolls: f.NewCounter(prometheus.CounterOpts{
			Name: "filbertmast_control_looks_lost_total", Help: "Looks at called workers whose answer was lost: a second look was answered first."}),
		workerPauses: f.NewCounter(prometheus.CounterOpts{
			Name: "filbertmast_control_worker_pauses_total", Help: "Pauses in which a called worker is given no tasks, since it has refused a start or accepted no connection for one."}),
		unreadableRows: f.NewCounterVec(prometheus.CounterOpts{
			Name: "filbertmast_control_unreadable_rows_total", Help: "Rows that could not be read in lists from outside, by list."},
			[]string{"list"}),
		firstStartSeconds: f.NewHistogram(prometheus.HistogramOpts{
			Name: "filbertmast_control_first_start_seconds", Help: "From the submission of a workflow to the first confirmed start.",
			Buckets: prometheus.ExponentialBuckets(0.025, 2, 12)}),
		workflowSeconds: f.NewHistogramVec(prometheus.HistogramOpts{
			Name: "filbertmast_control_workflow_seconds", Help: "From the submission of a workflow to its end, by how it ended.",
			Buckets: prometheus.ExponentialBuckets(0.25, 2, 12)}, []string{"phase"}),
	}
}

func (m *metrics) callRefused(k errkind.Kind) { m.callsRefused.WithLabelValues(string(k)).Inc() }

func (m *metrics) placementRefused(r state.RefusalReason) {
	m.placementsRefused.WithLabelValues(string(r)).Inc()
}

// capacityChanged counts a change of a worker's capacity: reduced if any component is
// smaller than before, else raised.
func (m *metrics) capacityChanged(before, after model.Resources) {
	change := "raised"
	if !before.Fits(after) {
		change = "reduced"
	}
	m.capacityChanges.WithLabelValues(change).Inc()
}
