package control

import (
	"github.com/filbertmast/filbertmast/internal/api"
	"github.com/filbertmast/filbertmast/internal/errkind"
	"github.com/filbertmast/filbertmast/internal/model"
	"github.com/filbertmast/filbertmast/internal/owner"
	"github.com/filbertmast/filbertmast/internal/proto"
	"github.com/filbertmast/filbertmast/internal/schedule"
	"github.com/filbertmast/filbertmast/internal/state"
	"github.com/filbertmast/filbertmast/internal/wire"
)

// register renews an entry. A new incarnation is committed before it can be
// granted anything, so that a later leader knows of it.
func (l *leader) register(_ wire.Peer, req *proto.Register, done reply[proto.Registered]) {
	committed, err := l.members.CheckIncarnation(req.Member)
	if err != nil {
		done(nil, err)
		return
	}
	if committed {
		l.replyRegistered(req, done)
		return
	}
	l.c.propose(&state.Command{Join: &state.Join{Member: req.Member}}, func(_ state.Result, err error) {
		if err != nil {
			done(nil, err)
			return
		}
		l.replyRegistered(req, done)
	})
}

func (l *leader) replyRegistered(req *proto.Register, done reply[proto.Registered]) {
	m := &req.Member
	if !l.members.Renew(m.Name, m.Incarnation, req.ConfigVersion, req.Leaving, l.c.s.now()) {
		done(nil, errkind.New(errkind.StaleLease, "entry %q is not registered", m.Name))
		return
	}
	if m.Inner == l.c.s.opts.Endpoint.Address() {
		l.owners.SetLastResort(m.Name)
	}
	version, digest, _ := l.c.machine.Config()
	out := &proto.Registered{
		Term:            l.term,
		ConfigVersion:   version,
		ConfigDigest:    digest,
		EntriesRevision: l.members.Revision(),
	}
	if update, behind := l.history.Update(req.ConfigVersion, req.ConfigDigest); behind {
		out.Full, out.Delta = update.Full, update.Delta
	}
	sameTerm := req.DirectoryTerm == l.term
	if !sameTerm || req.EntriesRevision != out.EntriesRevision {
		out.Entries = l.c.machine.Members()
	}
	out.DirectoryVersion = l.owners.Version()
	if !sameTerm || req.DirectoryVersion != out.DirectoryVersion {
		_, out.Directory = l.owners.Directory()
	}
	replyIfLeading(l.c, done, out)
}

// expireEntries notes entries that have not renewed within a lease, and takes
// them off the list once everything that they were granted is over.
func (l *leader) expireEntries(now model.Time) {
	for _, m := range l.members.MarkLost(now) {
		l.permits.MarkLost(m.Name, now)
		l.owners.Lost(m.Name, now)
		l.c.log.Warn("Entry lost.", "entry", m.Name)
	}
	for _, m := range l.members.TakeRemovable(now) {
		cmd := &state.Leave{Name: m.Name, Incarnation: m.Incarnation}
		l.c.propose(&state.Command{Leave: cmd}, func(_ state.Result, err error) {
			if err != nil {
				l.members.RetryRemoval(m)
			}
		})
	}
}

func (l *leader) entryViews() []api.EntryView {
	var out []api.EntryView
	for _, e := range l.members.Entries(l.c.s.now()) {
		out = append(out, api.EntryView{
			ID:            e.Member.Name,
			Address:       e.Member.Outer,
			FailureDomain: e.Member.FailureDomain,
			Version:       e.Version,
			AgeMS:         e.Age.Milliseconds(),
		})
	}
	return out
}

// grantPermits grants request permits to an entry.
func (l *leader) grantPermits(_ wire.Peer, req *proto.Permits, done reply[proto.Granted]) {
	if err := l.checkIncarnation(req.Entry, req.Incarnation); err != nil {
		done(nil, err)
		return
	}
	l.syncLimits()
	grants := l.permits.HandleDemands(req.Entry, req.Incarnation, req.Demands, l.c.s.now())
	l.proposeCeilings()
	for i := range req.Demands {
		l.syncRequestPermits(req.Demands[i].Team)
	}
	replyIfLeading(l.c, done, &proto.Granted{Grants: grants})
}

// syncRequestPermits tells the scheduler how much of a team's limit requests may be
// using: all that is neither free nor held by tasks.
func (l *leader) syncRequestPermits(name string) {
	team := l.c.machine.Team(name)
	use, ok := l.sched.Team(name)
	if team == nil || !ok {
		return
	}
	held := max(team.MaxRunning-use.Running-l.permits.Headroom(name), 0)
	if held != use.RequestPermits {
		l.sched.Apply(schedule.RequestPermitsChanged{Team: name, Permits: held})
		l.dirty = true
	}
}

// syncAllRequestPermits brings the scheduler up to date where no ask has led to it:
// at the start of a term, and when grants of an earlier one have ended.
func (l *leader) syncAllRequestPermits() {
	_, _, d := l.c.machine.Config()
	for i := range d.Teams {
		l.syncRequestPermits(d.Teams[i].Name)
	}
}

// renewOwnership renews an entry's ownership of executors.
func (l *leader) renewOwnership(_ wire.Peer, req *owner.Renewal, done reply[owner.RenewalResponse]) {
	if err := l.checkIncarnation(req.Entry, req.Incarnation); err != nil {
		done(nil, err)
		return
	}
	resp, ok := l.owners.Renew(req, l.c.s.now())
	if !ok {
		done(nil, errkind.New(errkind.StaleLease, "a later renewal of entry %q has arrived", req.Entry))
		return
	}
	replyIfLeading(l.c, done, &resp)
}

// checkIncarnation refuses grants to an entry that is not committed as a member.
func (l *leader) checkIncarnation(name string, incarnation uint64) error {
	for _, m := range l.c.machine.Members() {
		if m.Name == name && m.Incarnation == incarnation {
			return nil
		}
	}
	return errkind.New(errkind.StaleLease, "entry %q is not registered", name)
}
