package lease

import (
	"time"

	"github.com/filbertmast/filbertmast/internal/errkind"
	"github.com/filbertmast/filbertmast/internal/model"
)

// Defaults of Options.
const (
	DefaultLength       = 15 * time.Second
	DefaultDrift        = time.Second
	DefaultExpiryRate   = 500 // workers a second
	DefaultExpiryBatch  = 250 // workers
	DefaultAnnounceRate = 500 // workers a second
)

// Options configures a Table. Zero fields take the defaults.
type Options struct {
	Length time.Duration // of a lease, as the worker counts it
	Drift  time.Duration // added to it by the leader
	// ExpiryRate bounds how many workers a second are declared lost, and
	// ExpiryBatch how many at once, so that the loss of a failure domain does not
	// crowd out other work.
	ExpiryRate  int
	ExpiryBatch int
	// AnnounceRate bounds how many workers a second may announce, so that a
	// failure domain that returns at once is taken in step by step.
	AnnounceRate int
}

func (o Options) withDefaults() Options {
	if o.Length == 0 {
		o.Length = DefaultLength
	}
	if o.Drift == 0 {
		o.Drift = DefaultDrift
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

// Claim names one session of a worker.
type Claim struct {
	Worker  model.WorkerID
	Session uint64 // grows with each announcement of the worker
}

// entry is the lease of one worker. Its place in the wheel may lag behind its
// deadline: renewals only move the deadline, and the wheel moves it when its
// slot comes up.
type entry struct {
	claim    Claim
	deadline model.Time
	live     bool
	next     int32 // free list, when not live
}

// Table holds the leases of one term. It is not safe for concurrent use.
type Table struct {
	o        Options
	byID     map[model.WorkerID]int32
	entries  []entry
	free     int32
	wheel    wheel
	due      []int32 // past their deadline when the wheel passed them, oldest first
	now      model.Time
	expiries bucket
	announce Pacer
}

// New returns an empty table.
func New(o Options) *Table {
	t := &Table{o: o.withDefaults()}
	t.announce = NewPacer(t.o.AnnounceRate, t.o.AnnounceRate, t.o.Length)
	t.Begin(0, nil)
	return t
}

// Length returns the length of a lease as a worker counts it.
func (t *Table) Length() time.Duration { return t.o.Length }

// Len returns how many workers hold a lease.
func (t *Table) Len() int { return len(t.byID) }

// Begin starts a term at now with the workers that the durable state holds.
// Each counts as renewed now: an earlier leader may have granted its lease just
// before, so that none may be declared lost until a whole lease and the drift
// margin have passed.
func (t *Table) Begin(now model.Time, workers []Claim) {
	t.now = now
	t.byID = make(map[model.WorkerID]int32, len(workers))
	t.entries = make([]entry, 0, len(workers))
	t.free = none
	t.due = nil
	t.wheel = newWheel(t.o.Length+t.o.Drift, now)
	t.expiries = newBucket(t.o.ExpiryRate, t.o.ExpiryBatch, now)
	for _, c := range workers {
		t.insert(c)
	}
}

// Admit reports whether a worker may announce itself now. When too many do at
// once it fails with Overloaded and advice that spreads their next tries.
func (t *Table) Admit(now model.Time) error {
	t.advance(now)
	wait, ok := t.announce.Admit(t.now)
	if ok {
		return nil
	}
	err := errkind.New(errkind.Overloaded, "many workers announce themselves at once")
	return errkind.WithRetryAfter(err, wait)
}

// Grant gives a lease to a worker whose announcement is committed. It fails
// with StaleLease when a later session of the worker is known.
func (t *Table) Grant(c Claim, now model.Time) error {
	t.advance(now)
	i, ok := t.byID[c.Worker]
	if !ok {
		t.insert(c)
		return nil
	}
	e := &t.entries[i]
	if e.claim.Session > c.Session {
		return staleLease(c)
	}
	e.claim = c
	e.deadline = t.deadline()
	return nil
}

// Renew extends the lease of c. It fails with UnknownWorker when the worker
// holds none here, or was declared lost, and with StaleLease when it has
// announced itself anew since. A lease past its deadline that was not declared
// lost yet may be renewed: nothing has been placed again on its account.
func (t *Table) Renew(c Claim, now model.Time) error {
	t.advance(now)
	return t.renew(c)
}

// RenewBatch extends the leases of a batch, and returns one error or nil for each.
func (t *Table) RenewBatch(batch []Claim, now model.Time) []error {
	t.advance(now)
	out := make([]error, len(batch))
	for i, c := range batch {
		out[i] = t.renew(c)
	}
	return out
}

func (t *Table) renew(c Claim) error {
	i, ok := t.byID[c.Worker]
	if !ok {
		return errkind.New(errkind.UnknownWorker, "worker %s holds no lease", c.Worker)
	}
	e := &t.entries[i]
	if e.claim.Session != c.Session {
		return staleLease(c)
	}
	e.deadline = t.deadline()
	return nil
}

func staleLease(c Claim) error {
	return errkind.New(errkind.StaleLease, "session %d of worker %s is over", c.Session, c.Worker)
}

// Release ends the lease of c, because the worker has left. An older session is ignored.
func (t *Table) Release(c Claim) {
	if i, ok := t.byID[c.Worker]; ok && t.entries[i].claim.Session == c.Session {
		t.remove(i)
	}
}

// Holds reports whether c is the live session of its worker.
func (t *Table) Holds(c Claim) bool {
	i, ok := t.byID[c.Worker]
	return ok && t.entries[i].claim.Session == c.Session
}

// Expired removes and returns workers whose lease has ended for certain, those
// that ended first first, at most ExpiryBatch and not more than ExpiryRate a
// second. The rest follow at later calls.
func (t *Table) Expired(now model.Time) []Claim {
	t.advance(now)
	room := t.expiries.available(t.now)
	var out []Claim
	for len(t.due) > 0 && len(out) < room {
		i := t.due[0]
		t.due = t.due[1:]
		e := &t.entries[i]
		if e.deadline >= t.now {
			t.wheel.add(i, e.deadline)
			continue
		}
		if e.live {
			out = append(out, e.claim)
		}
		t.drop(i)
	}
	t.expiries.take(len(out))
	return out
}

// Waiting returns how many workers may be past their deadline and are held back
// by the rate bound, or were renewed since.
func (t *Table) Waiting() int { return len(t.due) }

func (t *Table) deadline() model.Time { return t.now.Add(t.o.Length + t.o.Drift) }

// advance moves the wheel to now.
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

func (t *Table) insert(c Claim) {
	i := t.free
	if i == none {
		i = int32(len(t.entries))
		t.entries = append(t.entries, entry{})
	} else {
		t.free = t.entries[i].next
	}
	t.entries[i] = entry{claim: c, deadline: t.deadline(), live: true}
	t.byID[c.Worker] = i
	t.wheel.add(i, t.entries[i].deadline)
}

// remove ends a lease at once. Its place in the wheel, or in due, is freed when
// its turn comes.
func (t *Table) remove(i int32) {
	e := &t.entries[i]
	delete(t.byID, e.claim.Worker)
	e.live = false
	e.deadline = 0
}

// drop frees an entry that is in neither the wheel nor due.
func (t *Table) drop(i int32) {
	e := &t.entries[i]
	if e.live {
		delete(t.byID, e.claim.Worker)
	}
	*e = entry{next: t.free}
	t.free = i
}
