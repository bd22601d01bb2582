package control

import (
	"cmp"
	"slices"

	"github.com/filbertmast/filbertmast/internal/api"
	"github.com/filbertmast/filbertmast/internal/declare"
	"github.com/filbertmast/filbertmast/internal/errkind"
	"github.com/filbertmast/filbertmast/internal/model"
	"github.com/filbertmast/filbertmast/internal/owner"
	"github.com/filbertmast/filbertmast/internal/proto"
	"github.com/filbertmast/filbertmast/internal/schedule"
	"github.com/filbertmast/filbertmast/internal/state"
	"github.com/filbertmast/filbertmast/internal/wire"
)

// keptVersions is how many past configurations a leader keeps, to send an
// entry only what has changed.
const keptVersions = 64

// pastConfig is a configuration that was in force.
type pastConfig struct {
	version uint64
	digest  string
	decl    *model.Declarations
}

// remember keeps the configuration in force for later deltas.
func (l *leader) remember(version uint64) {
	_, digest, d := l.c.machine.Config()
	kept := *d
	l.past = append(l.past, pastConfig{version: version, digest: digest, decl: &kept})
	if n := len(l.past) - keptVersions; n > 0 {
		l.past = slices.Delete(l.past, 0, n)
	}
}

// register renews an entry. A new incarnation is committed before it can be
// granted anything, so that a later leader knows of it.
func (l *leader) register(_ wire.Peer, req *proto.Register, done reply[proto.Registered]) {
	known, err := l.member(req.Member)
	if err != nil {
		done(nil, err)
		return
	}
	if known {
		l.registered(req, done)
		return
	}
	l.c.propose(&state.Command{Join: &state.Join{Member: req.Member}}, func(_ state.Result, err error) {
		if err != nil {
			done(nil, err)
			return
		}
		l.registered(req, done)
	})
}

// member reports whether exactly this incarnation of an entry is committed.
func (l *leader) member(m state.Member) (bool, error) {
	for _, v := range l.c.machine.Members() {
		if v.Name != m.Name {
			continue
		}
		if m.Incarnation < v.Incarnation {
			return false, errkind.New(errkind.StaleLease, "entry %q has started again since", m.Name)
		}
		return v == m, nil
	}
	return false, nil
}

func (l *leader) registered(req *proto.Register, done reply[proto.Registered]) {
	l.heard(req)
	version, digest, d := l.c.machine.Config()
	out := &proto.Registered{
		Term:          l.term,
		ConfigVersion: version,
		ConfigDigest:  digest,
		Entries:       l.c.machine.Members(),
	}
	if req.ConfigVersion != version {
		l.fillConfig(out, req, d)
	}
	dirVersion, rows := l.owners.Directory()
	out.DirectoryVersion = dirVersion
	if req.DirectoryTerm != l.term || req.DirectoryVersion != dirVersion {
		out.Directory = rows
	}
	confirmed(l.c, done, out)
}

// fillConfig sends the difference to an entry that is near, and a whole copy
// to one that is far behind or holds something else.
func (l *leader) fillConfig(out *proto.Registered, req *proto.Register, d *model.Declarations) {
	for i := range l.past {
		if p := &l.past[i]; p.version == req.ConfigVersion && p.digest == req.ConfigDigest {
			delta := declare.DeltaBetween(p.decl, d, p.digest, out.ConfigDigest)
			out.Delta = &delta
			return
		}
	}
	whole := *d
	out.Whole = &whole
}

// entryState is what the leader last heard from an entry.
type entryState struct {
	member  state.Member
	version uint64 // of the configuration in force there
	heard   model.Time
	lost    bool
	leaving bool // its removal is proposed
}

func (l *leader) heard(req *proto.Register) {
	if req.Member.Inner == l.c.s.opts.Endpoint.Address() {
		l.owners.Avoid(req.Member.Name)
	}
	l.entries[req.Member.Name] = &entryState{
		member:  req.Member,
		version: req.ConfigVersion,
		heard:   l.c.s.now(),
	}
}

// loseEntries notes entries that have not renewed within a lease.
func (l *leader) loseEntries(now model.Time) {
	for _, m := range l.c.machine.Members() {
		e, ok := l.entries[m.Name]
		if !ok {
			e = &entryState{member: m, heard: now}
			l.entries[m.Name] = e
		}
		if e.lost || now.Sub(e.heard) <= l.c.s.opts.Times.RequestLease+l.c.s.opts.Times.Drift {
			continue
		}
		e.lost = true
		l.permits.Lost(m.Name, now)
		l.owners.Lost(m.Name, now)
		l.c.log.Warn("Entry lost.", "entry", m.Name)
	}
	l.forgetEntries(now)
}

// forgetEntries drops entries once everything that they were granted is over.
func (l *leader) forgetEntries(now model.Time) {
	t := l.c.s.opts.Times
	hold := t.RequestLease + t.LongestHold + 2*t.Drift
	for name, e := range l.entries {
		if !e.lost || e.leaving || now.Sub(e.heard) <= hold {
			continue
		}
		e.leaving = true
		cmd := &state.Leave{Name: name, Incarnation: e.member.Incarnation}
		l.c.propose(&state.Command{Leave: cmd}, func(_ state.Result, err error) {
			if err != nil {
				e.leaving = false
				return
			}
			if l.entries[name] == e {
				delete(l.entries, name)
			}
		})
	}
}

func (l *leader) entryViews() []api.EntryView {
	now := l.c.s.now()
	var out []api.EntryView
	for _, e := range l.entries {
		out = append(out, api.EntryView{
			ID:            e.member.Name,
			Address:       e.member.Outer,
			FailureDomain: e.member.FailureDomain,
			Version:       e.version,
			AgeMS:         now.Sub(e.heard).Milliseconds(),
		})
	}
	slices.SortFunc(out, func(a, b api.EntryView) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// permitsAsked grants request permits to an entry.
func (l *leader) permitsAsked(_ wire.Peer, req *proto.Permits, done reply[proto.Granted]) {
	if err := l.incarnation(req.Entry, req.Incarnation); err != nil {
		done(nil, err)
		return
	}
	l.syncLimits()
	grants := l.permits.Ask(req.Entry, req.Incarnation, req.Demands, l.c.s.now())
	l.proposeCeilings()
	for i := range req.Demands {
		l.holdRequests(req.Demands[i].Team)
	}
	confirmed(l.c, done, &proto.Granted{Grants: grants})
}

// holdRequests tells the scheduler how much of a team's limit requests may be
// using: all that is neither free nor held by tasks.
func (l *leader) holdRequests(name string) {
	team := l.c.machine.Team(name)
	use, ok := l.sched.Team(name)
	if team == nil || !ok {
		return
	}
	held := max(team.MaxRunning-use.Running-l.permits.Headroom(name), 0)
	if held != use.RequestPermits {
		l.sched.Apply(schedule.RequestsHeld{Team: name, Permits: held})
		l.dirty = true
	}
}

// holdAllRequests brings the scheduler up to date where no ask has led to it:
// at the start of a term, and when grants of an earlier one have ended.
func (l *leader) holdAllRequests() {
	_, _, d := l.c.machine.Config()
	for i := range d.Teams {
		l.holdRequests(d.Teams[i].Name)
	}
}

// ownersAsked renews an entry's ownership of executors.
func (l *leader) ownersAsked(_ wire.Peer, req *owner.Renewal, done reply[owner.Renewed]) {
	if err := l.incarnation(req.Entry, req.Process); err != nil {
		done(nil, err)
		return
	}
	resp, ok := l.owners.Renew(req, l.c.s.now())
	if !ok {
		done(nil, errkind.New(errkind.StaleLease, "a later renewal of entry %q has arrived", req.Entry))
		return
	}
	confirmed(l.c, done, &resp)
}

// incarnation refuses grants to an entry that is not committed as a member.
func (l *leader) incarnation(name string, incarnation uint64) error {
	for _, m := range l.c.machine.Members() {
		if m.Name == name && m.Incarnation == incarnation {
			return nil
		}
	}
	return errkind.New(errkind.StaleLease, "entry %q is not registered", name)
}
