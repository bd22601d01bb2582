package limit

import (
	"time"

	"github.com/filbertmast/filbertmast/internal/model"
)

// Options configures a Granter. Zero times stand for the defaults.
type Options struct {
	Lease time.Duration // of a grant
	// Margin is added to leases and deadlines for the drift between two clocks.
	Margin time.Duration
	// TimeSlice is how long a holder keeps a permit that others wait for.
	TimeSlice time.Duration
	// Ceilings is set if the caller commits ceilings; see Ceiling.
	Ceilings bool
}

// Defaults of Options.
const (
	DefaultLease     = 3 * time.Second
	DefaultMargin    = 600 * time.Millisecond
	DefaultTimeSlice = 100 * time.Millisecond
)

func (o Options) withDefaults() Options {
	if o.Lease == 0 {
		o.Lease = DefaultLease
	}
	if o.Margin == 0 {
		o.Margin = DefaultMargin
	}
	if o.TimeSlice == 0 {
		o.TimeSlice = DefaultTimeSlice
	}
	return o
}

// MaxPermitUse returns the longest time for which a permit may be in use without
// a demand from its holder if no request lasts longer than maxRequest. It is meant
// for NewTerm and assumes that pools use DefaultPeriod.
func MaxPermitUse(maxRequest time.Duration) time.Duration {
	return max(DefaultLease, maxRequest+2*DefaultPeriod)
}

// team is what the leader knows of one team's permits and tasks.
type team struct {
	limit    int64
	tasks    int64
	counted  int64 // sum over holdings
	unknown  int64 // upper bound of an earlier term's permits that no holder has reported
	ceiling  ceiling
	holdings map[holder]*holding
	reported map[holder]bool // holders whose permits were deducted from unknown
}

// free returns the permits that no holder and no task can be using. It is
// negative while a lowered limit is exceeded.
func (t *team) free() int64 { return t.limit - t.tasks - t.counted - t.unknown }

// Granter divides the permits of each team among entry processes on the leader.
// It is not safe for concurrent use.
type Granter struct {
	opts         Options
	teams        map[string]*team
	incarnations map[string]uint64 // latest one of each entry process
	unknownUntil model.Time        // until then permits of an earlier term may be in use; zero: none
}

// NewGranter returns a Granter without teams. A team without a limit gets no
// permits.
func NewGranter(opts Options) *Granter {
	return &Granter{
		opts:         opts.withDefaults(),
		teams:        make(map[string]*team),
		incarnations: make(map[string]uint64),
	}
}

func (g *Granter) team(name string) *team {
	t, ok := g.teams[name]
	if !ok {
		t = &team{holdings: make(map[holder]*holding), reported: make(map[holder]bool)}
		g.teams[name] = t
		if g.unknownUntil > 0 {
			t.unknown = g.inheritedBound(t)
		}
	}
	return t
}

// SetLimit sets the upper limit of a team. Permits above a lowered limit are
// revoked with the answers to the holders' next demands.
func (g *Granter) SetLimit(name string, limit int64) { g.team(name).limit = max(limit, 0) }

// SetTasks sets how many tasks of the team hold resources.
func (g *Granter) SetTasks(name string, running int64) { g.team(name).tasks = running }

// ReserveForTasks counts n further tasks of the team against its limit. If the
// limit does not allow them, it counts none and returns false.
func (g *Granter) ReserveForTasks(name string, n int64) bool {
	t := g.team(name)
	if t.free() < n {
		return false
	}
	t.tasks += n
	return true
}

// Outstanding returns the permits of the team that may be in use, as far as
// holders have reported them in this term.
func (g *Granter) Outstanding(name string) int64 { return g.team(name).counted }

// Headroom returns how many more tasks of the team may start.
func (g *Granter) Headroom(name string) int64 { return max(g.team(name).free(), 0) }

// HandleDemands applies the demands of an entry process and returns its grants.
// Demands that are older than one seen before, or of an earlier incarnation, are
// ignored and get no grant.
func (g *Granter) HandleDemands(entry string, incarnation uint64, demands []Demand, now model.Time) []Grant {
	if incarnation < g.incarnations[entry] {
		return nil
	}
	if incarnation > g.incarnations[entry] {
		g.markLost(entry)
		g.incarnations[entry] = incarnation
	}
	g.expireUnknown(now)
	grants := make([]Grant, 0, len(demands))
	for i := range demands {
		d := &demands[i]
		permits, ok := g.handleDemand(holder{entry, incarnation}, d, now)
		if !ok {
			continue
		}
		grants = append(grants, Grant{
			Team:    d.Team,
			Seq:     d.Seq,
			Permits: permits,
			LeaseMS: g.opts.Lease.Milliseconds(),

			Contended: g.team(d.Team).contendedByOthers(holder{entry, incarnation}),
		})
	}
	return grants
}

func (g *Granter) handleDemand(id holder, d *Demand, now model.Time) (int64, bool) {
	t := g.team(d.Team)
	h, ok := t.holdings[id]
	if !ok {
		h = &holding{}
		t.holdings[id] = h
		t.deductUnknown(id, d)
	}
	if d.Seq <= h.seq {
		return 0, false
	}
	g.recordDemand(t, h, d, now)
	permits := g.permitsFor(t, h, now)
	if permits > h.counted {
		t.counted += permits - h.counted
		h.counted = permits
	}
	return permits, true
}

// deductUnknown deducts the permits that a holder reports for the first time in
// this term from those unknown of an earlier term. Permits without a lease are
// not deducted, since the unknown ones no longer include them.
func (t *team) deductUnknown(id holder, d *Demand) {
	if t.unknown == 0 || t.reported[id] || !d.Leased {
		return
	}
	t.reported[id] = true
	t.unknown = max(t.unknown-d.held(), 0)
}

// recordDemand records the state of a holding as its holder reports it.
func (g *Granter) recordDemand(t *team, h *holding, d *Demand, now model.Time) {
	held := d.held()
	t.counted += held - h.counted
	h.counted = held
	h.seq = d.Seq
	h.inUse = max(d.InUse, 0)
	h.want = max(d.Want, 0)
	h.spare = max(d.Spare, 0)
	h.lost = false
	h.leaseEnd = now.Add(g.opts.Lease + g.opts.Margin)
	h.lastDeadline = now.Add(time.Duration(d.DeadlineMS)*time.Millisecond + g.opts.Margin)
}

// MarkLost records that an entry process was lost. Its permits stay counted until
// its leases have expired and the deadline of the last request that it could have
// sent has passed.
func (g *Granter) MarkLost(entry string, now model.Time) {
	g.markLost(entry)
	g.Tick(now)
}

func (g *Granter) markLost(entry string) {
	for _, t := range g.teams {
		for id, h := range t.holdings {
			if id.entry == entry {
				h.lost = true
			}
		}
	}
}

// Tick frees the permits of holders that can no longer be using them.
func (g *Granter) Tick(now model.Time) {
	g.expireUnknown(now)
	for _, t := range g.teams {
		for id, h := range t.holdings {
			if now >= h.leaseEnd {
				h.lost = true
			}
			if h.expired(now) {
				t.counted -= h.counted
				delete(t.holdings, id)
			}
		}
	}
}

// NewTerm resets g for a new leader, which does not know the permits that the old
// leader granted. Entry processes keep what they hold and report it with their
// next demands. Until maxUse has passed, permits that may be outstanding beyond
// the reported ones stay counted: up to the committed ceiling of a team or,
// without ceilings, up to its whole limit. The longest time for which a permit of
// the old leader may be in use, including leases and deadlines, is maxUse.
func (g *Granter) NewTerm(now model.Time, maxUse time.Duration) {
	g.incarnations = make(map[string]uint64)
	g.unknownUntil = now.Add(maxUse + g.opts.Margin)
	for _, t := range g.teams {
		t.counted = 0
		t.holdings = make(map[holder]*holding)
		t.reported = make(map[holder]bool)
		t.unknown = g.inheritedBound(t)
	}
}

// unbounded is a number of permits above every limit, for an unknown bound.
const unbounded = 1 << 40

// inheritedBound returns how many permits of t an earlier leader may have granted.
func (g *Granter) inheritedBound(t *team) int64 {
	if !g.opts.Ceilings {
		return unbounded
	}
	return t.ceiling.inForce()
}

func (g *Granter) expireUnknown(now model.Time) {
	if g.unknownUntil == 0 || now < g.unknownUntil {
		return
	}
	g.unknownUntil = 0
	for _, t := range g.teams {
		t.unknown = 0
	}
}
