package session

import (
	"context"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"github.com/filbertmast/filbertmast/internal/api"
	"github.com/filbertmast/filbertmast/internal/errkind"
	"github.com/filbertmast/filbertmast/internal/lease"
	"github.com/filbertmast/filbertmast/internal/model"
)

// session is the state of one worker at this entry, guarded by Manager.mu.
type session struct {
	worker            model.WorkerID
	number            uint64 // zero until the first announcement is answered
	leaseEnd          time.Time
	leaving           bool
	attached          bool // the leader has answered a heartbeat or announcement from this entry
	announcesInFlight int
	pending           pendingCommands
	committed         committedReports
	usage             usage
	early             []delivery // received before the answer to the announcement
	changed           chan struct{}
}

// delivery is one message from the leader with commands for a session.
type delivery struct {
	session  uint64
	commands []api.Command
}

// Manager manages the sessions at one entry. It is safe for concurrent use.
type Manager struct {
	opts            Options
	log             *log.Logger
	metrics         *metrics
	slots           chan struct{}  // semaphore for concurrent calls to the leader
	batchesInFlight sync.WaitGroup // batches not yet answered

	mu            sync.Mutex
	sessions      map[model.WorkerID]*session
	announcePacer lease.Pacer
	batch         *batch
	draining      bool
	drainStarted  chan struct{} // closed when draining begins
}

// New returns a Manager. Run must be called for sessions to expire.
func New(opts Options) *Manager {
	opts = opts.withDefaults()
	return &Manager{
		opts:          opts,
		log:           opts.Logger.WithPrefix("session"),
		metrics:       newMetrics(opts.Registerer),
		slots:         make(chan struct{}, opts.MaxConcurrentBatches),
		sessions:      make(map[model.WorkerID]*session),
		announcePacer: lease.NewPacer(opts.AnnounceRate, opts.AnnounceRate, opts.Lease),
		drainStarted:  make(chan struct{}),
	}
}

// Run removes expired sessions until ctx ends.
func (m *Manager) Run(ctx context.Context) {
	tick := time.NewTicker(sweepPeriod)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			m.sweep()
		}
	}
}

// sweep removes sessions whose lease has expired at this entry. The leader
// still has them, and they may be attached to another entry.
func (m *Manager) sweep() {
	now := m.opts.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	for id, s := range m.sessions {
		if s.announcesInFlight == 0 && now.After(s.leaseEnd) {
			m.remove(id)
			m.metrics.lapsed.Inc()
		}
	}
}

func (m *Manager) remove(id model.WorkerID) {
	s := m.sessions[id]
	delete(m.sessions, id)
	s.wakePolls()
	m.metrics.sessions.Set(float64(len(m.sessions)))
}

// getOrCreate returns the session of a worker and creates it if there is none.
// It fails with Overloaded when this entry holds MaxSessions sessions.
func (m *Manager) getOrCreate(id model.WorkerID, number uint64) (*session, error) {
	if s := m.sessions[id]; s != nil {
		return s, nil
	}
	if len(m.sessions) >= m.opts.MaxSessions {
		return nil, m.refuse(reasonFull, errkind.Overloaded, "this entry is at its limit of worker sessions")
	}
	s := &session{
		worker:   id,
		number:   number,
		leaseEnd: m.opts.Now().Add(m.opts.Lease),
		usage:    make(usage),
		changed:  make(chan struct{}),
	}
	m.sessions[id] = s
	m.metrics.sessions.Set(float64(len(m.sessions)))
	return s, nil
}

// wakePolls makes every long poll of the session check for commands again.
func (s *session) wakePolls() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// restart replaces the state by that of a later session of the same worker.
func (s *session) restart(number uint64) {
	s.number = number
	s.leaving = false
	s.attached = false
	s.pending = pendingCommands{}
	s.committed = committedReports{}
	s.usage = make(usage)
	s.wakePolls()
}

func (m *Manager) refuse(reason string, k errkind.Kind, format string, args ...any) error {
	m.metrics.refused.WithLabelValues(reason).Inc()
	return errkind.New(k, format, args...)
}

func (m *Manager) refuseDraining() error {
	return m.refuse(reasonDraining, errkind.Draining, "this entry is shutting down")
}

// Announce forwards an announcement to the leader. Announcements are
// rate-limited: those over the rate fail with Overloaded and retry times that
// are spread evenly.
func (m *Manager) Announce(ctx context.Context, spec *model.WorkerSpec) (api.AnnounceAnswer, error) {
	if err := m.beginAnnounce(spec.ID); err != nil {
		return api.AnnounceAnswer{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, upstreamTimeout)
	defer cancel()
	a, err := m.opts.Upstream.Announce(ctx, spec)
	m.endAnnounce(spec.ID, &a, err)
	return a, err
}

func (m *Manager) beginAnnounce(id model.WorkerID) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.draining {
		return m.refuseDraining()
	}
	if wait, ok := m.announcePacer.Admit(model.TimeOf(m.opts.Now())); !ok {
		err := m.refuse(reasonPaced, errkind.Overloaded, "too many workers announce themselves at once")
		return errkind.WithRetryAfter(err, wait)
	}
	s, err := m.getOrCreate(id, 0)
	if err != nil {
		return err
	}
	s.announcesInFlight++
	return nil
}

func (m *Manager) endAnnounce(id model.WorkerID, a *api.AnnounceAnswer, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.sessions[id]
	if s == nil {
		return
	}
	s.announcesInFlight--
	if err != nil {
		if s.number == 0 && s.announcesInFlight == 0 {
			m.remove(id)
		}
		return
	}
	if a.Session > s.number {
		s.restart(a.Session)
	}
	if a.Session == s.number {
		s.recordGrant(m.opts.Now(), time.Duration(a.LeaseMS)*time.Millisecond)
	}
	early := s.early
	s.early = nil
	for _, d := range early {
		m.applyDelivery(s, d)
	}
}

// recordGrant records a lease granted by the leader. From the first grant on,
// polls receive commands.
func (s *session) recordGrant(now time.Time, length time.Duration) {
	s.leaseEnd = now.Add(length)
	if !s.attached {
		s.attached = true
		s.wakePolls()
	}
}

// Sessions returns the workers whose sessions are attached to this entry.
func (m *Manager) Sessions() []model.WorkerID {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make([]model.WorkerID, 0, len(m.sessions))
	for id, s := range m.sessions {
		if s.attached {
			out = append(out, id)
		}
	}
	return out
}

// Drain makes workers move to other entries: it ends their polls, and every
// further call except Report fails with Draining. It returns nil once the
// batches in flight are answered, or the error of ctx. Leases remain valid, so
// no work is lost.
func (m *Manager) Drain(ctx context.Context) error {
	m.mu.Lock()
	if !m.draining {
		m.draining = true
		close(m.drainStarted)
	}
	m.flush()
	m.mu.Unlock()
	sent := make(chan struct{})
	go func() {
		defer close(sent)
		m.batchesInFlight.Wait()
	}()
	select {
	case <-sent:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
