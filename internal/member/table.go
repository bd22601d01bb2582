package member

import (
	"cmp"
	"slices"
	"time"

	"github.com/filbertmast/filbertmast/internal/errkind"
	"github.com/filbertmast/filbertmast/internal/model"
	"github.com/filbertmast/filbertmast/internal/state"
)

// Options configures a Table.
type Options struct {
	Lease time.Duration // time after its last renewal from which an entry gets no new grants
	Drift time.Duration // bound on clock drift within one lease
	// GrantGrace bounds how long an entry's grants may remain in use after its
	// lease has expired, for example by a request that it has sent.
	GrantGrace time.Duration
}

// Table tracks the leases of the committed entries during one term. It is not
// safe for concurrent use.
type Table struct {
	opts     Options
	latest   model.Time
	entries  map[string]*entry
	revision uint64
}

type entry struct {
	member    state.Member
	renewedAt model.Time
	version   uint64 // of the configuration that the entry last reported
	lost      bool
	leaving   bool // the entry reported that it is shutting down
	removing  bool // returned by TakeRemovable, removal not yet committed
}

// EntryStatus is the leader's view of one entry process.
type EntryStatus struct {
	Member  state.Member
	Version uint64        // of the configuration that the entry last reported
	Age     time.Duration // time since the last renewal
	Lost    bool
	Leaving bool
}

// New returns a table of the committed entries at the start of a term. Each
// counts as renewed now, since it may just have renewed at the previous leader.
func New(opts Options, committed []state.Member, now model.Time) *Table {
	t := &Table{opts: opts, latest: now, entries: make(map[string]*entry, len(committed))}
	t.Sync(committed, now)
	return t
}

// Revision returns a number that increases with each change to the list of
// entries or to which of them are lost. An entry that holds the list of this
// term and revision needs no new copy.
func (t *Table) Revision() uint64 { return t.revision }

// Sync updates the table to the committed list. A new incarnation of an entry
// counts as renewed now. An entry that is no longer listed is removed.
func (t *Table) Sync(committed []state.Member, now model.Time) {
	t.advance(now)
	listed := make(map[string]bool, len(committed))
	for _, m := range committed {
		listed[m.Name] = true
		if e := t.entries[m.Name]; e == nil || e.member != m {
			t.entries[m.Name] = &entry{member: m, renewedAt: t.latest}
			t.revision++
		}
	}
	for name := range t.entries {
		if !listed[name] {
			delete(t.entries, name)
			t.revision++
		}
	}
}

// CheckIncarnation reports whether exactly this incarnation of an entry is
// committed. It fails with StaleLease if a later process with the same name has
// started: two processes must not use the grants of one name.
func (t *Table) CheckIncarnation(m state.Member) (committed bool, err error) {
	e := t.entries[m.Name]
	if e == nil {
		return false, nil
	}
	if m.Incarnation < e.member.Incarnation {
		return false, errkind.New(errkind.StaleLease, "a later process of entry %q has started", m.Name)
	}
	return e.member == m, nil
}

// Renew renews the lease of a committed incarnation. It returns false for any
// other incarnation, which must not be granted anything.
func (t *Table) Renew(name string, incarnation, version uint64, leaving bool, now model.Time) bool {
	t.advance(now)
	e := t.entries[name]
	if e == nil || e.member.Incarnation != incarnation {
		return false
	}
	if e.lost {
		t.revision++
	}
	e.renewedAt, e.version = t.latest, version
	e.lost, e.leaving, e.removing = false, leaving, false
	return true
}

// MarkLost marks the entries whose lease has expired as lost and returns those
// not marked before, sorted by name. They stay listed until their removal is
// committed, and are no longer lost once they renew.
func (t *Table) MarkLost(now model.Time) []state.Member {
	t.advance(now)
	var out []state.Member
	for _, e := range t.entries {
		if e.lost || t.latest.Sub(e.renewedAt) <= t.opts.Lease+t.opts.Drift {
			continue
		}
		e.lost = true
		t.revision++
		out = append(out, e.member)
	}
	sortMembers(out)
	return out
}

// TakeRemovable returns the lost entries whose grants have expired, sorted by
// name, each once. They may be removed from the committed list. RetryRemoval
// must be called for an entry whose removal was not committed.
func (t *Table) TakeRemovable(now model.Time) []state.Member {
	t.advance(now)
	var out []state.Member
	for _, e := range t.entries {
		if !e.lost || e.removing || t.latest.Sub(e.renewedAt) <= t.opts.Lease+t.opts.GrantGrace+2*t.opts.Drift {
			continue
		}
		e.removing = true
		out = append(out, e.member)
	}
	sortMembers(out)
	return out
}

// RetryRemoval makes TakeRemovable return the entry again.
func (t *Table) RetryRemoval(m state.Member) {
	if e := t.entries[m.Name]; e != nil && e.member == m {
		e.removing = false
	}
}

// Entries returns the status of all entries, sorted by name.
func (t *Table) Entries(now model.Time) []EntryStatus {
	t.advance(now)
	out := make([]EntryStatus, 0, len(t.entries))
	for _, e := range t.entries {
		out = append(out, EntryStatus{
			Member:  e.member,
			Version: e.version,
			Age:     t.latest.Sub(e.renewedAt),
			Lost:    e.lost,
			Leaving: e.leaving,
		})
	}
	slices.SortFunc(out, func(a, b EntryStatus) int { return cmp.Compare(a.Member.Name, b.Member.Name) })
	return out
}

func (t *Table) advance(now model.Time) { t.latest = max(t.latest, now) }

func sortMembers(list []state.Member) {
	slices.SortFunc(list, func(a, b state.Member) int { return cmp.Compare(a.Name, b.Name) })
}
