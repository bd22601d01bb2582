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
	Lease time.Duration // after the last renewal an entry is granted nothing more
	Drift time.Duration // of clocks within one lease
	// Hold is how long what an entry was granted may go on after its lease, such
	// as a request that it has sent.
	GrantGrace time.Duration
}

// Table follows the committed entries of one term. It is not safe for
// concurrent use.
type Table struct {
	opts     Options
	latest   model.Time
	entries  map[string]*entry
	revision uint64
}

type entry struct {
	member    state.Member
	renewedAt model.Time
	version   uint64 // of the configuration in force there
	lost      bool
	leaving   bool // says itself that it shuts down
	removing  bool // handed out by Removable, not yet committed
}

// Entry is what the leader knows of one entry process.
type EntryStatus struct {
	Member  state.Member
	Version uint64        // of the configuration in force there, as last heard
	Age     time.Duration // since it was last heard
	Lost    bool
	Leaving bool
}

// New returns a table of the committed entries at the start of a term. Each
// counts as heard now, since the last leader may have heard it just before.
func New(opts Options, committed []state.Member, now model.Time) *Table {
	t := &Table{opts: opts, latest: now, entries: make(map[string]*entry, len(committed))}
	t.Sync(committed, now)
	return t
}

// Revision grows with each change of the list of entries or of who is lost. An
// entry that holds the list of this term and revision needs no new copy.
func (t *Table) Revision() uint64 { return t.revision }

// Sync follows the committed list. A new incarnation of an entry counts as
// heard now, and one that is no longer listed is forgotten.
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

// Check reports whether exactly this incarnation of an entry is committed. It
// fails with StaleLease when a later process has started under the same name:
// two processes must not use one name's grants.
func (t *Table) CheckIncarnation(m state.Member) (committed bool, err error) {
	e := t.entries[m.Name]
	if e == nil {
		return false, nil
	}
	if m.Incarnation < e.member.Incarnation {
		return false, errkind.New(errkind.StaleLease, "entry %q has started again since", m.Name)
	}
	return e.member == m, nil
}

// Heard renews the lease of a committed incarnation. It reports false for any
// other: nothing may be granted to it.
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

// Lost returns the entries whose lease has ended since the last call, sorted by
// name. They stay listed until Removable, and come back when they are heard.
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

// Removable returns the lost entries that hold nothing any more, so that they
// may be taken off the committed list, each once. Restore undoes that where the
// removal was not committed.
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

// Restore makes an entry removable again.
func (t *Table) RetryRemoval(m state.Member) {
	if e := t.entries[m.Name]; e != nil && e.member == m {
		e.removing = false
	}
}

// Entries returns all entries, sorted by name.
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

// Behind returns the names of the entries under lease that have not confirmed
// the given configuration version, sorted.
func (t *Table) Behind(version uint64) []string {
	var out []string
	for name, e := range t.entries {
		if !e.lost && e.version < version {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}

func (t *Table) advance(now model.Time) { t.latest = max(t.latest, now) }

func sortMembers(list []state.Member) {
	slices.SortFunc(list, func(a, b state.Member) int { return cmp.Compare(a.Name, b.Name) })
}
