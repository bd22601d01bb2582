package limit

import (
	"context"
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"pgregory.net/rapid"

	"github.com/filbertmast/filbertmast/internal/errkind"
	"github.com/filbertmast/filbertmast/internal/model"
)

const (
	simTeam        = "rota"
	maxRequestTime = 4 * time.Second // of the longest request
)

// simEntry is a simulated entry process with its own clock.
type simEntry struct {
	name        string
	incarnation uint64
	pool        *Pool
	offset      time.Duration // of its clock
	drift       int64         // of its clock, in thousandths
	waiting     []*simRequest
	frozen      bool
}

// simRequest is a request that waits or has got a permit.
type simRequest struct {
	w        *waiter
	deadline time.Time // by the clock of the simulation
}

// sim simulates pools and a granter and tracks which requests run.
type sim struct {
	t        *rapid.T
	now      time.Time
	granter  *Granter
	entries  []*simEntry
	running  []*simRequest // got a permit
	owners   map[*simRequest]*simEntry
	delayed  []func() // demands in flight
	delivery string   // outcome of the permit request being sent
	limit    int64
	tasks    int64
	opts     Options
	ceilings map[string]int64
}

func (e *simEntry) clock(s *sim) time.Time {
	elapsed := s.now.Sub(time.Unix(0, 0))
	return time.Unix(0, 0).Add(e.offset + elapsed + elapsed*time.Duration(e.drift)/1000)
}

// simUpstream delivers, delays or drops the permit requests of one incarnation.
type simUpstream struct {
	sim         *sim
	entry       string
	incarnation uint64
}

func (u simUpstream) RequestPermits(_ context.Context, demands []Demand) ([]Grant, error) {
	s := u.sim
	deliver := func() []Grant { return s.granter.HandleDemands(u.entry, u.incarnation, demands, model.TimeOf(s.now)) }
	lost := errkind.New(errkind.NoLeader, "lost")
	switch s.delivery {
	case "ask lost":
		return nil, lost
	case "ask late":
		s.delayed = append(s.delayed, func() { deliver() })
		return nil, lost
	case "answer lost":
		deliver()
		return nil, lost
	}
	return deliver(), nil
}

func (s *sim) start(e *simEntry) {
	e.incarnation++
	e.waiting = nil
	e.pool = NewPool(PoolOptions{
		Upstream: simUpstream{s, e.name, e.incarnation},
		Now:      func() time.Time { return e.clock(s) },
		Log:      log.New(io.Discard),
	})
}

func newSim(t *rapid.T, ceilings bool) *sim {
	s := &sim{
		t:        t,
		now:      time.Unix(1000, 0),
		limit:    int64(rapid.SampledFrom([]int{1, 2, 5, 40}).Draw(t, "limit")),
		owners:   make(map[*simRequest]*simEntry),
		opts:     Options{Ceilings: ceilings},
		ceilings: make(map[string]int64),
	}
	s.granter = NewGranter(s.opts)
	s.granter.SetLimit(simTeam, s.limit)
	for i := range rapid.IntRange(2, 8).Draw(t, "entries") {
		e := &simEntry{
			name:   fmt.Sprintf("e%d", i),
			offset: time.Duration(rapid.Int64Range(-1e6, 1e6).Draw(t, "offset")) * time.Millisecond,
			// DefaultMargin allows for a relative drift of 10 % over the longest request.
			drift: rapid.Int64Range(-50, 50).Draw(t, "drift"),
		}
		s.start(e)
		s.entries = append(s.entries, e)
	}
	return s
}

func (s *sim) pick() *simEntry { return rapid.SampledFrom(s.entries).Draw(s.t, "entry") }

// collectGranted moves waiting requests that got a permit to the running ones.
func (s *sim) collectGranted() {
	for _, e := range s.entries {
		left := e.waiting[:0]
		for _, r := range e.waiting {
			select {
			case <-r.w.ready:
				s.running = append(s.running, r)
				s.owners[r] = e
			default:
				left = append(left, r)
			}
		}
		e.waiting = left
	}
}

func (s *sim) acquire(t *rapid.T, e *simEntry) {
	duration := 100 * time.Millisecond
	if rapid.Bool().Draw(t, "long") {
		duration = maxRequestTime
	}
	w, ok := e.pool.acquireOrWait(simTeam, e.clock(s).Add(duration))
	// The duration by the clock of the simulation differs by the drift of the
	// entry process's clock.
	r := &simRequest{w: w, deadline: s.now.Add(duration * 1000 / time.Duration(1000+e.drift))}
	if ok {
		s.running = append(s.running, r)
		s.owners[r] = e
		return
	}
	e.waiting = append(e.waiting, r)
}

func (s *sim) release(t *rapid.T) {
	if len(s.running) == 0 {
		t.Skip("no request runs")
	}
	i := rapid.IntRange(0, len(s.running)-1).Draw(t, "request")
	r := s.running[i]
	s.running = append(s.running[:i:i], s.running[i+1:]...)
	if e := s.owners[r]; e != nil {
		e.pool.release(simTeam)
	}
}

func (s *sim) exchange(t *rapid.T) {
	e := s.pick()
	s.delivery = rapid.SampledFrom([]string{"ok", "ok", "ok", "ok", "ask lost", "ask late", "answer lost"}).Draw(t, "fate")
	e.pool.exchange(context.Background(), true)
	s.collectGranted()
}

// load lets every entry process that is not frozen start a request and request
// permits.
func (s *sim) load(t *rapid.T) {
	s.delivery = "ok"
	for _, e := range s.entries {
		if e.frozen {
			continue
		}
		s.acquire(t, e)
		e.pool.exchange(context.Background(), true)
		s.collectGranted()
	}
}

// freeze pauses or resumes an entry process. A resumed one starts a request at
// once.
func (s *sim) freeze(t *rapid.T) {
	e := s.pick()
	e.frozen = !e.frozen
	if !e.frozen {
		s.acquire(t, e)
	}
}

func (s *sim) releaseSome(t *rapid.T) {
	for range rapid.IntRange(1, 10).Draw(t, "releases") {
		if len(s.running) > 0 {
			s.release(t)
		}
	}
}

func (s *sim) deliverDelayed(t *rapid.T) {
	if len(s.delayed) == 0 {
		t.Skip("no demand is in flight")
	}
	i := rapid.IntRange(0, len(s.delayed)-1).Draw(t, "which")
	deliver := s.delayed[i]
	s.delayed = append(s.delayed[:i:i], s.delayed[i+1:]...)
	deliver()
}

func (s *sim) advanceTime(t *rapid.T) {
	s.now = s.now.Add(time.Duration(rapid.Int64Range(1, 2000).Draw(t, "ms")) * time.Millisecond)
	s.granter.Tick(model.TimeOf(s.now))
}

// crash restarts an entry process. Requests that it sent run to their deadlines.
func (s *sim) crash(*rapid.T) {
	e := s.pick()
	for _, r := range s.running {
		if s.owners[r] == e {
			s.owners[r] = nil
		}
	}
	s.start(e)
}

func (s *sim) lose(*rapid.T) { s.granter.MarkLost(s.pick().name, model.TimeOf(s.now)) }

// elect replaces the leader. Only ceilings, limits and tasks persist.
func (s *sim) elect(*rapid.T) {
	s.delayed = nil
	s.granter = NewGranter(s.opts)
	s.granter.SetLimit(simTeam, s.limit)
	s.granter.SetTasks(simTeam, s.tasks)
	for team, n := range s.ceilings {
		s.granter.SetCeiling(team, n)
	}
	// The clock of an entry process may be up to 5 % slow.
	s.granter.NewTerm(model.TimeOf(s.now), MaxPermitUse(maxRequestTime)*21/20)
}

func (s *sim) commitCeilings(*rapid.T) {
	for _, c := range s.granter.Ceilings() {
		s.ceilings[c.Team] = c.Permits
		s.granter.SetCeiling(c.Team, c.Permits)
	}
}

func (s *sim) tasksStart(t *rapid.T) {
	n := rapid.Int64Range(1, 4).Draw(t, "tasks")
	if s.granter.ReserveForTasks(simTeam, n) {
		s.tasks += n
	}
}

func (s *sim) tasksEnd(t *rapid.T) {
	s.tasks -= rapid.Int64Range(0, s.tasks).Draw(t, "ended")
	s.granter.SetTasks(simTeam, s.tasks)
}

// check checks that requests before their deadline whose permit has not been
// released, together with the tasks, stay within the limit.
func (s *sim) check(t *rapid.T) {
	var n int64
	for _, r := range s.running {
		if s.now.Before(r.deadline) {
			n++
		}
	}
	if n+s.tasks > s.limit {
		t.Fatalf("%d requests and %d tasks run, limit %d", n, s.tasks, s.limit)
	}
}

func testSafety(t *testing.T, ceilings bool) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSim(t, ceilings)
		act := func(f func(*rapid.T)) func(*rapid.T) {
			return func(t *rapid.T) {
				s.t = t
				f(t)
			}
		}
		// rarely runs f in one of eight calls, so that the system can recover from it.
		rarely := func(f func(*rapid.T)) func(*rapid.T) {
			return act(func(t *rapid.T) {
				if rapid.IntRange(0, 7).Draw(t, "seldom") == 7 {
					f(t)
				}
			})
		}
		send := act(func(t *rapid.T) { s.acquire(t, s.pick()) })
		t.Repeat(map[string]func(*rapid.T){
			"acquire":   send,
			"acquire 2": send,
			"release":   act(s.releaseSome),
			"ask":       act(s.exchange),
			"ask 2":     act(s.exchange),
			"load":      act(s.load),
			"load 2":    act(s.load),
			"load 3":    act(s.load),
			"late":      act(s.deliverDelayed),
			"pass":      act(s.advanceTime),
			"pass 2":    act(s.advanceTime),
			"pass 3":    act(s.advanceTime),
			"freeze":    act(s.freeze),
			"crash":     act(s.crash),
			"lose":      rarely(s.lose),
			"elect":     rarely(s.elect),
			"ceilings":  act(s.commitCeilings),
			"start":     rarely(s.tasksStart),
			"end":       act(s.tasksEnd),
			"":          s.check,
		})
	})
}

func TestLimitHoldsAcrossFailures(t *testing.T) { testSafety(t, false) }

func TestLimitHoldsAcrossFailuresWithCeilings(t *testing.T) { testSafety(t, true) }
