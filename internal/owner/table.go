package owner

import (
	"cmp"
	"slices"
	"time"

	"github.com/filbertmast/filbertmast/internal/model"
)

// Options configures a Table. A zero field takes its default.
type Options struct {
	Lease time.Duration // length of an ownership lease
	// Margin is added to leases and deadlines for the drift between two clocks.
	Margin time.Duration
	// MaxMoves bounds the executors of one region whose release is requested for
	// rebalancing at a time.
	MaxMoves int
}

// Defaults of Options.
const (
	DefaultLease    = 3 * time.Second
	DefaultMargin   = 600 * time.Millisecond
	DefaultMaxMoves = 4
)

func (o Options) withDefaults() Options {
	if o.Lease == 0 {
		o.Lease = DefaultLease
	}
	if o.Margin == 0 {
		o.Margin = DefaultMargin
	}
	if o.MaxMoves == 0 {
		o.MaxMoves = DefaultMaxMoves
	}
	return o
}

// executor is one executor of a Table.
type executor struct {
	spec             model.ExecutorSpec
	region           string
	leaving          bool
	withdrawn        bool
	owner            string // entry that may send requests; "" for none
	epoch            uint64
	releaseRequested bool // the owner must release it
	// freeAt is set once the owner can no longer renew: the time from which on it
	// certainly sends no request and none of its requests is still running.
	freeAt model.Time
	// ownerUnknown is set while an owner from an earlier term, which has not renewed
	// in this one, may send requests or have some running on the executor.
	ownerUnknown bool
}

// orphan reports whether the owner of e has lost it but may still send requests.
func (e *executor) orphan() bool { return e.freeAt != 0 }

// entry is one entry process.
type entry struct {
	id           string
	address      string
	region       string
	load         float64
	incarnation  uint64
	seq          uint64
	leaving      bool
	lastResort   bool // owns executors only if no other entry can
	heldReported bool // has reported to this leader which executors it holds
	leaseEnd     model.Time
	requestsEnd  model.Time // when the last request that it sent has certainly ended
	version      uint64     // of the set of executors that it owns
	owned        int
	services     map[string]int // owned executors by service
}

// assignable reports whether executors may be assigned to n.
func (n *entry) assignable() bool { return !n.leaving && n.heldReported }

// Table records, on the leader, which entry owns which executor. It is not safe for
// concurrent use.
type Table struct {
	opts            Options
	term            uint64
	epochCounter    uint64
	version         uint64
	executors       map[string]*executor
	entries         map[string]*entry
	orphans         map[string]*executor
	dirty           bool       // something has changed since executors were last assigned
	unknownUntil    model.Time // when owners from earlier terms have certainly ended; zero: they have
	lastResortEntry string     // entry that owns executors only if no other entry can
}

// NewTable returns an empty Table. NewTerm must be called before it is used.
func NewTable(opts Options) *Table {
	return &Table{
		opts:      opts.withDefaults(),
		executors: make(map[string]*executor),
		entries:   make(map[string]*entry),
		orphans:   make(map[string]*executor),
	}
}

// termShift is the number of low bits of epochs and versions that hold a counter
// within one term; the bits above hold the term.
const termShift = 40

// NewTerm prepares the table for a new leader. It keeps the executors; the entries
// report which of them they own. An executor that no entry reports is assigned only
// after maxResidualUse: the longest time for which an owner from an earlier term may
// send requests or have some running. Executors announced later had no owner before
// and are assigned at once.
func (t *Table) NewTerm(term uint64, now model.Time, maxResidualUse time.Duration) {
	t.term = term
	t.epochCounter = 0
	t.entries = make(map[string]*entry)
	t.orphans = make(map[string]*executor)
	t.dirty = true
	t.unknownUntil = now.Add(maxResidualUse + t.opts.Margin)
	for _, e := range t.executors {
		e.owner, e.epoch, e.releaseRequested, e.freeAt = "", 0, false, 0
		e.ownerUnknown = true
	}
	t.version = term << termShift
}

// SetLastResort sets the entry that runs in the leader's own process. It owns
// executors only if its region has no other entry, and releases them to others.
// When the leader fails, no executor then waits for an owner that failed with it.
func (t *Table) SetLastResort(entryID string) {
	if t.lastResortEntry == entryID {
		return
	}
	t.lastResortEntry = entryID
	t.dirty = true
	for _, n := range t.entries {
		n.lastResort = n.id == entryID
	}
}

// Announce adds or updates an executor.
func (t *Table) Announce(spec model.ExecutorSpec, region string, leaving bool) {
	e, ok := t.executors[spec.ID]
	if !ok {
		e = &executor{}
		t.executors[spec.ID] = e
	}
	if ok && !e.withdrawn && e.spec == spec && e.region == region && e.leaving == leaving {
		return
	}
	if ok && e.owner != "" && e.spec.Service != spec.Service {
		t.moveServiceCount(e, spec.Service)
	}
	e.spec, e.region, e.leaving, e.withdrawn = spec, region, leaving, false
	t.noteChange(e)
}

func (t *Table) moveServiceCount(e *executor, service string) {
	if n := t.entries[e.owner]; n != nil && !e.orphan() {
		n.services[e.spec.Service]--
		n.services[service]++
	}
}

// Withdraw removes an executor. The table keeps it until its owner certainly sends
// no request to it, in case it is announced again.
func (t *Table) Withdraw(id string) {
	e, ok := t.executors[id]
	if !ok {
		return
	}
	e.withdrawn = true
	t.noteChange(e)
	if e.owner == "" && !e.ownerUnknown {
		delete(t.executors, id)
	}
}

// Renew applies the renewal of an entry and returns the executors that it owns. It
// returns false if a later renewal of the entry has been applied.
func (t *Table) Renew(r *Renewal, now model.Time) (RenewalResponse, bool) {
	n, ok := t.entryFor(r, now)
	if !ok {
		return RenewalResponse{}, false
	}
	n.leaseEnd = now.Add(t.opts.Lease + t.opts.Margin)
	n.requestsEnd = now.Add(time.Duration(r.DeadlineMS)*time.Millisecond + t.opts.Margin)
	if r.HasHeld {
		t.applyHeld(n, r.Held)
	}
	t.applyReleased(n, r.Released)
	t.Tick(now)
	return t.responseTo(n, r), true
}

// entryFor returns the entry that sent r, updated from r, and adds it if needed. It
// returns false if a later renewal of the entry has been applied.
func (t *Table) entryFor(r *Renewal, now model.Time) (*entry, bool) {
	n, ok := t.entries[r.Entry]
	if ok && (r.Incarnation < n.incarnation || (r.Incarnation == n.incarnation && r.Seq <= n.seq)) {
		return nil, false
	}
	if ok && r.Incarnation > n.incarnation {
		t.dropEntry(n, now)
		ok = false
	}
	if !ok {
		n = &entry{id: r.Entry, incarnation: r.Incarnation, lastResort: r.Entry == t.lastResortEntry, services: make(map[string]int)}
		t.entries[r.Entry] = n
		t.bumpVersion(n)
	}
	if n.address != r.Address || n.leaving != r.Leaving {
		t.version++
		t.dirty = true
	}
	n.address, n.region, n.load = r.Address, r.Region, r.Load
	n.seq, n.leaving = r.Seq, r.Leaving
	return n, true
}

// applyHeld records the executors that an entry owns since an earlier term.
func (t *Table) applyHeld(n *entry, held []Grant) {
	if n.heldReported {
		return
	}
	n.heldReported = true
	t.dirty = true
	for _, c := range held {
		e, ok := t.executors[c.Executor]
		if !ok || c.Epoch <= e.epoch || e.orphan() {
			continue
		}
		// The later epoch is the true owner: the other renewal was in flight
		// when its lease ended.
		if e.owner != "" {
			t.free(e)
		}
		t.grant(e, n, c.Epoch)
	}
}

func (t *Table) applyReleased(n *entry, released []Grant) {
	for _, c := range released {
		e, ok := t.executors[c.Executor]
		if ok && e.owner == n.id && e.epoch == c.Epoch && !e.orphan() {
			t.free(e)
		}
	}
}

func (t *Table) responseTo(n *entry, r *Renewal) RenewalResponse {
	if !n.heldReported {
		return RenewalResponse{Seq: r.Seq, WantHeld: true}
	}
	out := RenewalResponse{Seq: r.Seq, LeaseMS: t.opts.Lease.Milliseconds(), Version: n.version}
	if r.KnownVersion != n.version {
		out.Changed = true
		out.Owned = t.ownedBy(n)
	}
	return out
}

func (t *Table) ownedBy(n *entry) []Ownership {
	out := make([]Ownership, 0, n.owned)
	for _, e := range t.executors {
		if e.owner != n.id || e.orphan() {
			continue
		}
		out = append(out, Ownership{
			Executor:         e.spec,
			Epoch:            e.epoch,
			Leaving:          e.leaving || e.withdrawn,
			ReleaseRequested: e.releaseRequested,
		})
	}
	slices.SortFunc(out, func(a, b Ownership) int { return cmp.Compare(a.Executor.ID, b.Executor.ID) })
	return out
}

// Lost records that an entry has failed. Its executors are assigned to others only
// after its lease and the deadlines of its requests have passed.
func (t *Table) Lost(entryID string, now model.Time) {
	if n, ok := t.entries[entryID]; ok {
		t.dropEntry(n, now)
	}
	t.Tick(now)
}

// dropEntry removes n. Its executors become orphans until its lease and its requests
// have ended.
func (t *Table) dropEntry(n *entry, now model.Time) {
	freeAt := max(n.leaseEnd, n.requestsEnd, now)
	for _, e := range t.executors {
		if e.owner == n.id && !e.orphan() {
			e.freeAt = freeAt
			t.orphans[e.spec.ID] = e
			n.owned--
			n.services[e.spec.Service]--
		}
	}
	delete(t.entries, n.id)
	t.dirty = true
	t.version++
}

// Version returns the version of the directory without building its records.
func (t *Table) Version() uint64 { return t.version }

// Directory returns the version of the directory, which rises with every change, and
// the records of all executors, sorted by ID.
func (t *Table) Directory() (uint64, []DirectoryRecord) {
	records := make([]DirectoryRecord, 0, len(t.executors))
	for _, e := range t.executors {
		if e.withdrawn {
			continue
		}
		records = append(records, t.record(e))
	}
	slices.SortFunc(records, func(a, b DirectoryRecord) int { return cmp.Compare(a.Executor, b.Executor) })
	return t.version, records
}

func (t *Table) record(e *executor) DirectoryRecord {
	record := DirectoryRecord{
		Executor: e.spec.ID,
		Service:  e.spec.Service,
		Region:   e.region,
		Slots:    e.spec.Slots,
		Leaving:  e.leaving,
	}
	if n := t.entries[e.owner]; n != nil && !e.orphan() {
		record.Owner = n.id
		record.Address = n.address
		record.Epoch = e.epoch
	}
	return record
}

// MaxResidualUse returns the longest time for which an owner that no longer renews
// may send requests or have some running, if no request may last longer than
// maxRequest. NewTerm needs this bound. It assumes that entries renew three times per
// lease.
func MaxResidualUse(maxRequest time.Duration) time.Duration {
	return max(DefaultLease, maxRequest+2*DefaultLease/3)
}
