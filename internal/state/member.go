package state

import (
	"cmp"
	"slices"

	"github.com/filbertmast/filbertmast/internal/errkind"
)

// Member is an entry process that may hold grants of a leader.
type Member struct {
	Name          string `cbor:"1,keyasint"`
	Inner         string `cbor:"2,keyasint"` // address for other processes, IP:port
	Outer         string `cbor:"3,keyasint"` // address for callers and targets, IP:port
	Region        string `cbor:"4,keyasint"`
	FailureDomain string `cbor:"5,keyasint"`
	Incarnation   uint64 `cbor:"6,keyasint"` // increases with each start of the process
}

// Members returns the registered entry processes, sorted by name. A change
// replaces the list and leaves the old one as it is, since a response in flight
// may still refer to it. The caller must not modify the list.
func (m *Machine) Members() []Member { return m.members }

func (m *Machine) findMember(name string) (int, bool) {
	return slices.BinarySearchFunc(m.members, name, func(v Member, n string) int { return cmp.Compare(v.Name, n) })
}

// join registers an entry process. A later incarnation replaces an earlier one;
// an earlier one is refused, since its process has been replaced.
func (m *Machine) join(c *Join) Result {
	i, found := m.findMember(c.Member.Name)
	if !found {
		m.members = slices.Insert(slices.Clone(m.members), i, c.Member)
		m.emit(MembersChanged{})
		return Result{}
	}
	if c.Member.Incarnation < m.members[i].Incarnation {
		return Result{Err: errkind.New(errkind.StaleLease, "a later incarnation of entry %q has joined", c.Member.Name)}
	}
	existing := m.members[i] == c.Member
	m.members = slices.Clone(m.members)
	m.members[i] = c.Member
	m.emit(MembersChanged{})
	return Result{Existing: existing}
}

func (m *Machine) leave(c *Leave) Result {
	i, found := m.findMember(c.Name)
	if !found || m.members[i].Incarnation != c.Incarnation {
		return Result{Existing: true}
	}
	m.members = slices.Delete(slices.Clone(m.members), i, i+1)
	m.emit(MembersChanged{})
	return Result{Count: 1}
}
