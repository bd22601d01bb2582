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

// session is one worker as this entry knows it. Manager.mu guards it.
type session struct {
	worker     model.WorkerID
	number     uint64 // zero: an announcement is under way
	until      time.Time
	leaving    bool
	attached   bool // the leader has answered a heartbeat or announcement from here
	announcing int
	orders     orders
	confirmed  confirmed
	usage      usage
	early      []delivery // overtook the answer to an announcement
	changed    chan struct{}
}

// delivery is one message of commands from the leader.
type delivery struct {
	session  uint64
	commands []api.Command
}

// Manager holds the sessions at one entry. It is safe for concurrent use.
type Manager struct {
	o       Options
	log     *log.Logger
	metrics *metrics
	slots   chan struct{}  // one token for each call to the leader under way
	sending sync.WaitGroup // batches not yet answered

	mu       sync.Mutex
	sessions map[model.WorkerID]*session
	announce lease.Pacer
	batch    *batch
	draining bool
	drained  chan struct{} // closed when draining begins
}

// New returns a Manager. Run must be called for sessions to lapse.
func New(o Options) *Manager {
	o = o.withDefaults()
	return &Manager{
		o:        o,
		log:      o.Logger.WithPrefix("session"),
		metrics:  newMetrics(o.Registerer),
		slots:    make(chan struct{}, o.MaxBatches),
		sessions: make(map[model.WorkerID]*session),
		announce: lease.NewPacer(o.AnnounceRate, o.AnnounceRate, o.Lease),
		drained:  make(chan struct{}),
	}
}

// Run forgets sessions that lapse, until ctx ends.
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

// sweep forgets sessions whose lease has ended. They live on at the leader, or
// at the entry that the worker has moved to.
func (m *Manager) sweep() {
	now := m.o.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	for id, s := range m.sessions {
		if s.announcing == 0 && now.After(s.until) {
			m.forget(id)
			m.metrics.lapsed.Inc()
		}
	}
}

func (m *Manager) forget(id model.WorkerID) {
	s := m.sessions[id]
	delete(m.sessions, id)
	s.wake()
	m.metrics.sessions.Set(float64(len(m.sessions)))
}

// open returns the session record of a worker, and makes one where there is none.
func (m *Manager) open(id model.WorkerID, number uint64) (*session, error) {
	if s := m.sessions[id]; s != nil {
		return s, nil
	}
	if len(m.sessions) >= m.o.MaxSessions {
		return nil, m.refuse(reasonFull, errkind.Overloaded, "this entry serves as many workers as it can")
	}
	s := &session{
		worker:  id,
		number:  number,
		until:   m.o.Now().Add(m.o.Lease),
		usage:   make(usage),
		changed: make(chan struct{}),
	}
	m.sessions[id] = s
	m.metrics.sessions.Set(float64(len(m.sessions)))
	return s, nil
}

// wake lets every poll of the session look again.
func (s *session) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// restart begins a later session of the same worker in place.
func (s *session) restart(number uint64) {
	s.number = number
	s.leaving = false
	s.attached = false
	s.orders = orders{}
	s.confirmed = confirmed{}
	s.usage = make(usage)
	s.wake()
}

func (m *Manager) refuse(reason string, k errkind.Kind, format string, args ...any) error {
	m.metrics.refused.WithLabelValues(reason).Inc()
	return errkind.New(k, format, args...)
}

func (m *Manager) refuseDraining() error {
	return m.refuse(reasonDraining, errkind.Draining, "this entry is shutting down")
}

// Announce passes on an announcement. Announcements of many workers at once are
// paced: those over the rate get Overloaded with evenly spread advice.
func (m *Manager) Announce(ctx context.Context, spec *model.WorkerSpec) (api.AnnounceAnswer, error) {
	if err := m.beginAnnounce(spec.ID); err != nil {
		return api.AnnounceAnswer{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, upstreamTimeout)
	defer cancel()
	a, err := m.o.Upstream.Announce(ctx, spec)
	m.endAnnounce(spec.ID, &a, err)
	return a, err
}

func (m *Manager) beginAnnounce(id model.WorkerID) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.draining {
		return m.refuseDraining()
	}
	if wait, ok := m.announce.Admit(model.TimeOf(m.o.Now())); !ok {
		err := m.refuse(reasonPaced, errkind.Overloaded, "many workers announce themselves at once")
		return errkind.WithRetryAfter(err, wait)
	}
	s, err := m.open(id, 0)
	if err != nil {
		return err
	}
	s.announcing++
	return nil
}

func (m *Manager) endAnnounce(id model.WorkerID, a *api.AnnounceAnswer, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.sessions[id]
	if s == nil {
		return
	}
	s.announcing--
	if err != nil {
		if s.number == 0 && s.announcing == 0 {
			m.forget(id)
		}
		return
	}
	if a.Session > s.number {
		s.restart(a.Session)
	}
	if a.Session == s.number {
		s.granted(m.o.Now(), time.Duration(a.LeaseMS)*time.Millisecond)
	}
	early := s.early
	s.early = nil
	for _, d := range early {
		m.take(s, d)
	}
}

// granted notes a lease from the leader. Polls that came before it begin to get
// commands.
func (s *session) granted(now time.Time, length time.Duration) {
	s.until = now.Add(length)
	if !s.attached {
		s.attached = true
		s.wake()
	}
}

// Sessions returns the workers whose sessions are attached here.
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

// Drain sends workers to other entries: polls end, and every further call fails
// with Draining. It returns once the batches under way are answered, or with
// the error of ctx. Leases go on meanwhile, so that no work is lost.
func (m *Manager) Drain(ctx context.Context) error {
	m.mu.Lock()
	if !m.draining {
		m.draining = true
		close(m.drained)
	}
	m.flush()
	m.mu.Unlock()
	sent := make(chan struct{})
	go func() {
		defer close(sent)
		m.sending.Wait()
	}()
	select {
	case <-sent:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
