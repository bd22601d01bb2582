package lease

import (
	"time"

	"github.com/filbertmast/filbertmast/internal/errkind"
	"github.com/filbertmast/filbertmast/internal/model"
)

// Defaults of Options.
const (
	DefaultDuration     = 15 * time.Second
	DefaultDriftMargin  = time.Second
	DefaultExpiryRate   = 500 // workers a second
	DefaultExpiryBatch  = 250 // workers
	DefaultAnnounceRate = 500 // workers a second
)

// Options configures a Table. Zero values select the defaults.
type Options struct {
	Duration    time.Duration // of a lease, as measured by the worker
	DriftMargin time.Duration // added to Duration by the leader
	// ExpiryRate limits how many workers a second are declared lost, and
	// ExpiryBatch how many at once, so that the loss of a failure domain does not
	// crowd out other work.
	ExpiryRate  int
	ExpiryBatch int
	// AnnounceRate limits how many workers a second may announce themselves, so
	// that a failure domain that returns at once is admitted gradually.
	AnnounceRate int
}

func (o Options) withDefaults() Options {
	if o.Duration == 0 {
		o.Duration = DefaultDuration
	}
	if o.DriftMargin == 0 {
		o.DriftMargin = DefaultDriftMargin
	}
	if o.ExpiryRate == 0 {
		o.ExpiryRate = DefaultExpiryRate
	}
	if o.ExpiryBatch == 0 {
		o.ExpiryBatch = DefaultExpiryBatch
	}
	if o.AnnounceRate == 0 {
		o.AnnounceRate = DefaultAnnounceRate
	}
	return o
}

// Holder identifies the holder of a lease: one session of a worker.
type Holder struct {
	Worker  model.WorkerID
	Session uint64 // increases with each announcement of the worker
}

// entry is the lease of one worker. Its slot in the timing wheel may be earlier
// than its deadline: renewals only extend the deadline, and the entry is moved
// when its slot comes due.
type entry struct {
	holder   Holder
	deadline model.Time
	live     bool
	next     int32 // next entry of the free list, if not live
}

// Table holds the leases of one term. It is not safe for concurrent use.
type Table struct {
	opts          Options
	byID          map[model.WorkerID]int32
	entries       []entry
	free          int32
	wheel         timingWheel
	due           []int32 // past their deadline when their slot came due, oldest first
	now           model.Time
	expiryBucket  tokenBucket
	announcePacer Pacer
}

// New returns an empty table.
func New(o Options) *Table {
	t := &Table{opts: o.withDefaults()}
	t.announcePacer = NewPacer(t.opts.AnnounceRate, t.opts.AnnounceRate, t.opts.Duration)
	t.BeginTerm(0, nil)
	return t
}

// Duration returns the duration of a lease as measured by the worker.
func (t *Table) Duration() time.Duration { return t.opts.Duration }

// Len returns the number of workers that hold a lease.
func (t *Table) Len() int { return len(t.byID) }

// BeginTerm starts a term at now with the workers in the durable state. Each
// lease counts as renewed now: the previous leader may have granted it just
// before, so no worker may be declared lost until a whole lease and the drift
// margin have passed.
func (t *Table) BeginTerm(now model.Time, holders []Holder) {
	t.now = now
	t.byID = make(map[model.WorkerID]int32, len(holders))
	t.entries = make([]entry, 0, len(holders))
	t.free = noEntry
	t.due = nil
	t.wheel = newTimingWheel(t.opts.Duration+t.opts.DriftMargin, now)
	t.expiryBucket = newTokenBucket(t.opts.ExpiryRate, t.opts.ExpiryBatch, now)
	for _, h := range holders {
		t.insert(h, t.deadline())
	}
}

// AdmitAnnouncement returns nil if a worker may announce itself now. If the rate
// limit is reached it fails with Overloaded and a retry delay that spreads the
// retries.
func (t *Table) AdmitAnnouncement(now model.Time) error {
	t.advance(now)
	wait, ok := t.announcePacer.Admit(t.now)
	if ok {
		return nil
	}
	err := errkind.New(errkind.Overloaded, "too many workers are announcing themselves; retry after the given delay")
	return errkind.WithRetryAfter(err, wait)
}

// Grant grants a lease to a worker whose announcement is committed. It fails
// with StaleLease if a later session of the worker holds a lease.
func (t *Table) Grant(h Holder, now model.Time) error {
	t.advance(now)
	return t.grant(h, t.deadline())
}

func (t *Table) grant(h Holder, deadline model.Time) error {
	i, ok := t.byID[h.Worker]
	if !ok {
		t.insert(h, deadline)
		return nil
	}
	e := &t.entries[i]
	if e.holder.Session > h.Session {
		return staleLease(h)
	}
	e.holder = h
	e.deadline = deadline
	return nil
}

// GrantUntil grants a lease with a deadline to a worker whose lease has expired and that
// is not declared lost.
func (t *Table) GrantUntil(h Holder, deadline, now model.Time) error {
	t.advance(now)
	return t.grant(h, deadline)
}

// Renew extends the lease of h. It fails with UnknownWorker if the worker holds
// no lease or was declared lost, and with StaleLease if another session of the
// worker holds the lease. A lease past its deadline can be renewed until the
// worker is declared lost, since none of its tasks has been rescheduled yet.
func (t *Table) Renew(h Holder, now model.Time) error {
	t.advance(now)
	return t.renew(h)
}

// RenewBatch renews the leases of a batch and returns the result of each Renew.
func (t *Table) RenewBatch(batch []Holder, now model.Time) []error {
	t.advance(now)
	out := make([]error, len(batch))
	for i, h := range batch {
		out[i] = t.renew(h)
	}
	return out
}

func (t *Table) renew(h Holder) error {
	i, ok := t.byID[h.Worker]
	if !ok {
		return errkind.New(errkind.UnknownWorker, "worker %s holds no lease and must announce itself", h.Worker)
	}
	e := &t.entries[i]
	if e.holder.Session != h.Session {
		return staleLease(h)
	}
	e.deadline = t.deadline()
	return nil
}

func staleLease(h Holder) error {
	return errkind.New(errkind.StaleLease, "session %d does not hold the lease of worker %s", h.Session, h.Worker)
}

// Release ends the lease of h after the worker has left. It does nothing if
// another session holds the lease.
func (t *Table) Release(h Holder) {
	if i, ok := t.byID[h.Worker]; ok && t.entries[i].holder.Session == h.Session {
		t.deactivate(i)
	}
}

// IsHolder reports whether h holds the lease of its worker.
func (t *Table) IsHolder(h Holder) bool {
	i, ok := t.byID[h.Worker]
	return ok && t.entries[i].holder.Session == h.Session
}

// TakeExpired removes and returns the holders of expired leases, oldest deadline
// slot first: at most ExpiryBatch at once and ExpiryRate a second. Later calls
// return the rest.
func (t *Table) TakeExpired(now model.Time) []Holder {
	t.advance(now)
	room := t.expiryBucket.available(t.now)
	var out []Holder
	for len(t.due) > 0 && len(out) < room {
		i := t.due[0]
		t.due = t.due[1:]
		e := &t.entries[i]
		if e.deadline >= t.now {
			t.wheel.add(i, e.deadline)
			continue
		}
		if e.live {
			out = append(out, e.holder)
		}
		t.freeEntry(i)
	}
	t.expiryBucket.take(len(out))
	return out
}

// PendingExpiries returns how many leases were past their deadline and wait for
// the rate limit. Leases that were renewed or released since are included.
func (t *Table) PendingExpiries() int { return len(t.due) }

func (t *Table) deadline() model.Time { return t.now.Add(t.opts.Duration + t.opts.DriftMargin) }

// advance moves the wheel to now and queues expired leases in due.
func (t *Table) advance(now model.Time) {
	if now <= t.now {
		return
	}
	t.now = now
	t.wheel.advance(now, func(i int32) {
		e := &t.entries[i]
		if e.live && e.deadline >= now {
			t.wheel.add(i, e.deadline)
			return
		}
		t.due = append(t.due, i)
	})
}

func (t *Table) insert(h Holder, deadline model.Time) {
	i := t.free
	if i == noEntry {
		i = int32(len(t.entries))
		t.entries = append(t.entries, entry{})
	} else {
		t.free = t.entries[i].next
	}
	t.entries[i] = entry{holder: h, deadline: deadline, live: true}
	t.byID[h.Worker] = i
	t.wheel.add(i, deadline)
}

// deactivate ends a lease at once. Its entry is freed later, when TakeExpired
// finds it in due.
func (t *Table) deactivate(i int32) {
	e := &t.entries[i]
	delete(t.byID, e.holder.Worker)
	e.live = false
	e.deadline = 0
}

// freeEntry puts an entry that is in neither the wheel nor due on the free list.
func (t *Table) freeEntry(i int32) {
	e := &t.entries[i]
	if e.live {
		delete(t.byID, e.holder.Worker)
	}
	*e = entry{next: t.free}
	t.free = i
}
