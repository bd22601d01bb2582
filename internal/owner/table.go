package owner

import (
	"cmp"
	"slices"
	"time"

	"github.com/filbertmast/filbertmast/internal/model"
)

// Options sets the times of a Table.
type Options struct {
	Lease time.Duration // of an ownership
	// Margin is added to leases and deadlines for the drift between two clocks.
	Margin time.Duration
	// MaxMoves bounds how many executors of one region are asked back at once.
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

// executor is one row of the table.
type executor struct {
	spec             model.ExecutorSpec
	region           string
	leaving          bool
	withdrawn        bool
	owner            string // entry that may be sending; "" for none
	epoch            uint64
	releaseRequested bool // asked back from its owner
	// freeAt is set when the owner can no longer renew: the time after which
	// it surely sends nothing and nothing that it sent is still running.
	freeAt model.Time
	// silent is set while an owner of an earlier term, which has not told of
	// itself in this one, may be sending or may have something running there.
	ownerUnknown bool
}

// orphan reports whether the owner of e has lost it but may still be sending.
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
	lastResort   bool // is given executors only where no other entry can be
	heldReported bool // has told what it holds to this leader
	leaseEnd     model.Time
	requestsEnd  model.Time // when the last request that it sent is surely over
	version      uint64     // of the set that it owns
	owned        int
	services     map[string]int // owned executors by service
}

// open reports whether n may be given executors.
func (n *entry) assignable() bool { return !n.leaving && n.heldReported }

// Table is the leader's account of ownership. One goroutine owns it.
type Table struct {
	opts            Options
	term            uint64
	epochCounter    uint64
	version         uint64
	executors       map[string]*executor
	entries         map[string]*entry
	orphans         map[string]*executor
	dirty           bool       // something has changed since executors were last given out
	unknownUntil    model.Time // when the silence of the term's first executors ends
	lastResortEntry string     // entry that owns executors only where no other can
}

// NewTable returns an empty table. Call NewTerm before it is used.
func NewTable(opts Options) *Table {
	return &Table{
		opts:      opts.withDefaults(),
		executors: make(map[string]*executor),
		entries:   make(map[string]*entry),
		orphans:   make(map[string]*executor),
	}
}

// termShift leaves the low bits of epochs and versions to a counter within one term.
const termShift = 40

// NewTerm starts the account of a new leader. Executors stay known; who owns
// them is told by the entries. One that nobody tells of is given anew only after
// longest: the longest time for which an owner from an earlier term may be
// sending, or something that it sent may run. Executors that are announced
// later had no owner before and are given out at once.
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

// Avoid names the entry of the leader's own process. It is given executors only
// where its region has no other entry, and gives them up to others: when the
// leader dies, nothing then waits for an owner that died with it.
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

// Announce makes an executor known, or updates it.
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

// Withdraw makes an executor unknown. It stays on the account until its owner
// surely sends it nothing, in case that it is announced again.
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

// Renew takes an entry's renewal and returns what it owns. Renewals that are
// older than one seen before get false.
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

// entry finds or makes the account of the entry that sent r.
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

// applyHeld books what an entry owns since an earlier term.
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
		// The later epoch is the true owner: the other claim was under way
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

// Release notes that entry sends nothing more to an executor and that nothing
// that it sent is running there.
func (t *Table) Release(entryID, executorID string) {
	e, ok := t.executors[executorID]
	if ok && e.owner == entryID && !e.orphan() {
		t.free(e)
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

// Lost notes that an entry is gone. Its executors are given to others only once
// its leases and the deadlines of its requests are over.
func (t *Table) Lost(entryID string, now model.Time) {
	if n, ok := t.entries[entryID]; ok {
		t.dropEntry(n, now)
	}
	t.Tick(now)
}

// drop makes the executors of n wait for the end of its leases and requests.
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

// Version returns the version of the directory without building its rows.
func (t *Table) Version() uint64 { return t.version }

// Directory returns the rows of all executors, sorted by ID, and the version
// of the directory, which rises with every change.
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

// Longest returns the longest time for which an owner may be sending, or
// something that it sent may run, without a word from it, when no request may
// last longer than life: what NewTerm needs. It assumes that entries renew
// three times a lease.
func MaxResidualUse(maxRequest time.Duration) time.Duration {
	return max(DefaultLease, maxRequest+2*DefaultLease/3)
}
