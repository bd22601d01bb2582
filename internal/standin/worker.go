package standin

import (
	"context"
	"math/rand/v2"
	"net/http"
	"net/url"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"github.com/filbertmast/filbertmast/internal/api"
	"github.com/filbertmast/filbertmast/internal/errkind"
	"github.com/filbertmast/filbertmast/internal/model"
)

const (
	commandPollTimeout = 10 * time.Second // maximum duration of a long poll for commands
	heartbeatsPerLease = 3
	leaveDelay         = 2 * time.Second // from announcing the leave until closing, for executors
)

// WorkerOptions configures RunWorker.
type WorkerOptions struct {
	Entries     []string // base URLs, such as http://10.0.0.1:7400
	Key         string   // must have the right to announce workers
	Spec        model.WorkerSpec
	TaskTime    time.Duration // run time of a task whose payload specifies none; zero: 1 s
	HistoryFile string        // empty: no history is written
	// ExecutorAddress is the IP address on which tasks of services serve requests;
	// empty: they serve no requests.
	ExecutorAddress string
	Behavior        Behavior
	LeaveTimeout    time.Duration // time for running tasks to finish after ctx ends; zero: 30 s
	Logger          *log.Logger

	delaysLeave bool // wait leaveDelay after announcing the leave
}

// worker is a simulated worker. Its tasks run only while the lease of its session is
// valid.
type worker struct {
	options WorkerOptions
	client  *client
	history *history
	log     *log.Logger
	tasks   *taskTracker

	mu                 sync.Mutex
	session            uint64
	leaseUntil         time.Time
	lease              time.Duration
	leaving            bool
	heartbeatRequested chan struct{} // requests an immediate heartbeat
}

// RunWorker announces a worker, renews its lease and executes its commands. When the
// lease expires, it stops all tasks and announces the worker again. When ctx ends, it
// reports that the worker leaves, gives running tasks LeaveTimeout to finish, and returns
// nil. It returns an error if the options are invalid or the history file cannot be
// opened.
func RunWorker(ctx context.Context, o WorkerOptions) error {
	if err := o.Behavior.validate(); err != nil {
		return err
	}
	c, err := newClient(o.Entries, o.Key)
	if err != nil {
		return err
	}
	h, err := openHistory(o.HistoryFile)
	if err != nil {
		return err
	}
	defer h.close()
	w := newWorker(o, c, h)
	h.add(Event{At: now(), Kind: EventBoot, Worker: string(o.Spec.ID)})
	for ctx.Err() == nil {
		if err := w.announce(ctx); err != nil {
			return nil // ctx has ended and no task is running
		}
		w.runSession(ctx)
	}
	return nil
}

func newWorker(o WorkerOptions, c *client, h *history) *worker {
	if o.TaskTime == 0 {
		o.TaskTime = defaultRunTime
	}
	if o.LeaveTimeout == 0 {
		o.LeaveTimeout = leaveTimeout
	}
	if o.Logger == nil {
		o.Logger = log.Default()
	}
	w := &worker{options: o, client: c, history: h, log: o.Logger.WithPrefix("standin").With("worker", o.Spec.ID)}
	w.heartbeatRequested = make(chan struct{}, 1)
	w.tasks = newTaskTracker(w)
	return w
}

// announce announces the worker and retries until an entry accepts it or ctx ends.
func (w *worker) announce(ctx context.Context) error {
	for attempt := 0; ; attempt++ {
		sentAt := time.Now()
		var a api.AnnounceAnswer
		err := w.client.call(ctx, callTimeout, http.MethodPost, "/v1/workers", &w.options.Spec, &a)
		if err == nil {
			w.client.addEntries(a.Entries)
			w.beginSession(a, sentAt)
			return nil
		}
		w.log.Debug("Announcement failed; retrying.", "err", err)
		if err := pause(ctx, backoff(attempt, err)); err != nil {
			return err
		}
	}
}

// backoff returns the delay before the next attempt: the exponential delay or the retry
// delay that err advises, whichever is longer, times a random factor from 0.5 to 1.5. The
// jitter prevents the workers of a recovering failure domain from calling at the same
// time.
func backoff(attempt int, err error) time.Duration {
	d := min(retryPause<<min(attempt, 10), maxRetryPause)
	d = max(d, errkind.RetryAfter(err))
	return d/2 + rand.N(d)
}

func (w *worker) beginSession(a api.AnnounceAnswer, sentAt time.Time) {
	w.mu.Lock()
	w.session = a.Session
	w.mu.Unlock()
	w.renewLease(sentAt, a.LeaseMS)
	w.tasks.applyCommands(a.Commands)
	w.tasks.signalReports() // sends the pending reports of an earlier session
	w.log.Info("Announced.", "session", a.Session, "lease_ms", a.LeaseMS)
}

// renewLease renews the lease, measured from sentAt, when the call for it was sent.
func (w *worker) renewLease(sentAt time.Time, leaseMS int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lease = time.Duration(leaseMS) * time.Millisecond
	until := sentAt.Add(w.lease)
	if until.After(w.leaseUntil) {
		w.leaseUntil = until
	}
	w.history.add(Event{At: now(), Kind: EventLease, Worker: string(w.options.Spec.ID), Until: w.leaseUntil.UnixNano()})
}

// currentLease returns the session and the end of its lease; ok is false
// once the lease has expired.
func (w *worker) currentLease() (session uint64, until time.Time, ok bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.session, w.leaseUntil, time.Now().Before(w.leaseUntil)
}

// runSession runs one session. It returns when the lease has expired, the system no
// longer knows the session, or the worker has left.
func (w *worker) runSession(ctx context.Context) {
	session, end := context.WithCancel(context.WithoutCancel(ctx))
	defer end()
	var wg sync.WaitGroup
	for _, loop := range []func(context.Context, context.CancelFunc){w.heartbeatLoop, w.pollLoop, w.reportLoop, w.watchLease} {
		wg.Add(1)
		go func() {
			defer wg.Done()
			loop(session, end)
		}()
	}
	select {
	case <-session.Done():
	case <-ctx.Done():
		w.leave(session)
	}
	w.tasks.stopAll("session over")
	end()
	wg.Wait()
	w.mu.Lock()
	w.leaseUntil = time.Time{}
	w.mu.Unlock()
}

// leave reports that the worker leaves and gives running tasks LeaveTimeout to finish.
// It then stops the others and waits up to stopGrace until all reports are acknowledged.
func (w *worker) leave(session context.Context) {
	w.mu.Lock()
	w.leaving = true
	w.mu.Unlock()
	w.requestHeartbeat()
	ctx, cancel := context.WithTimeout(session, w.options.LeaveTimeout)
	defer cancel()
	if w.options.delaysLeave {
		pause(ctx, leaveDelay)
	}
	w.tasks.waitIdle(ctx)
	w.tasks.stopAll("worker leaves")
	flush, cancelFlush := context.WithTimeout(session, stopGrace)
	defer cancelFlush()
	w.tasks.waitReported(flush)
}

func (w *worker) requestHeartbeat() {
	select {
	case w.heartbeatRequested <- struct{}{}:
	default:
	}
}

func (w *worker) heartbeatLoop(ctx context.Context, end context.CancelFunc) {
	wait := w.interval()
	for attempt := 0; w.waitForHeartbeat(ctx, wait); {
		err := w.heartbeat(ctx)
		wait = w.interval()
		switch {
		case err == nil:
			attempt = 0
		case errkind.Is(err, errkind.StaleLease), errkind.Is(err, errkind.UnknownWorker):
			w.log.Warn("Session ended: the entry rejected the heartbeat.", "err", err)
			end()
			return
		default:
			wait = min(wait, backoff(attempt, nil))
			attempt++
		}
	}
}

func (w *worker) interval() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	d := w.lease / heartbeatsPerLease
	return d - rand.N(d/10+1)
}

func (w *worker) waitForHeartbeat(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
	case <-w.heartbeatRequested:
	case <-w.client.onEntryChange(): // send a heartbeat to the new entry
	}
	return true
}

func (w *worker) heartbeat(ctx context.Context) error {
	session, until, _ := w.currentLease()
	w.mu.Lock()
	leaving := w.leaving
	w.mu.Unlock()
	hb := api.Heartbeat{Session: session, Leaving: leaving, Usage: w.tasks.usage()}
	sentAt := time.Now()
	timeout := min(callTimeout, max(time.Until(until), retryPause))
	var a api.HeartbeatAnswer
	err := w.client.call(ctx, timeout, http.MethodPost, w.path("heartbeat"), &hb, &a)
	if err != nil {
		w.log.Debug("Heartbeat failed.", "err", err)
		return err
	}
	w.renewLease(sentAt, a.LeaseMS)
	w.tasks.acknowledgeUsage(hb.Usage)
	return nil
}

func (w *worker) path(last string) string {
	return "/v1/workers/" + url.PathEscape(string(w.options.Spec.ID)) + "/" + last
}

// watchLease ends the session when the lease expires, also if the process was suspended
// past that time.
func (w *worker) watchLease(ctx context.Context, end context.CancelFunc) {
	for {
		_, until, ok := w.currentLease()
		if !ok {
			w.log.Warn("Lease expired; stopping all tasks.")
			w.tasks.expire(until)
			end()
			return
		}
		if pause(ctx, time.Until(until)) != nil {
			return
		}
	}
}
