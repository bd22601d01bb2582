package member

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/filbertmast/filbertmast/internal/declare"
	"github.com/filbertmast/filbertmast/internal/errkind"
	"github.com/filbertmast/filbertmast/internal/model"
	"github.com/filbertmast/filbertmast/internal/state"
)

const (
	start     = model.Time(1_700_000_000_000)
	testLease = 3 * time.Second
	testDrift = time.Second
	testGrace = 30 * time.Second
)

func testMember(name string, incarnation uint64) state.Member {
	return state.Member{Name: name, Incarnation: incarnation, Inner: name + ":1"}
}

func newTable(members ...state.Member) *Table {
	return New(Options{Lease: testLease, Drift: testDrift, GrantGrace: testGrace}, members, start)
}

func at(d time.Duration) model.Time { return start.Add(d) }

const (
	leaseEnd = testLease + testDrift + time.Millisecond
	graceEnd = testLease + testGrace + 2*testDrift + time.Millisecond
)

func TestEntryIsMarkedLostOnceAfterLeaseAndDrift(t *testing.T) {
	table := newTable(testMember("a", 1), testMember("b", 1))
	assert.Assert(t, table.Renew("b", 1, 7, false, at(testLease)))
	assert.Equal(t, len(table.MarkLost(at(testLease+testDrift))), 0)
	assert.DeepEqual(t, table.MarkLost(at(leaseEnd)), []state.Member{testMember("a", 1)})
	assert.Equal(t, len(table.MarkLost(at(leaseEnd))), 0)
}

func TestLostEntryIsRemovableOnlyAfterGrantGrace(t *testing.T) {
	table := newTable(testMember("a", 1))
	table.MarkLost(at(leaseEnd))
	assert.Equal(t, len(table.TakeRemovable(at(graceEnd-time.Millisecond))), 0)
	assert.Equal(t, len(table.TakeRemovable(at(graceEnd))), 1)
	assert.Equal(t, len(table.TakeRemovable(at(graceEnd))), 0)
	table.RetryRemoval(testMember("a", 1))
	assert.Equal(t, len(table.TakeRemovable(at(graceEnd))), 1)
}

func TestLostEntryRejoinsOnRenewal(t *testing.T) {
	table := newTable(testMember("a", 1))
	table.MarkLost(at(leaseEnd))
	revision := table.Revision()
	assert.Assert(t, table.Renew("a", 1, 1, false, at(leaseEnd)))
	assert.Assert(t, table.Revision() > revision)
	assert.Equal(t, len(table.TakeRemovable(at(graceEnd))), 0)
	assert.Equal(t, len(table.MarkLost(at(2*leaseEnd))), 1)
}

func TestOnlyCommittedIncarnationRenews(t *testing.T) {
	table := newTable(testMember("a", 5))
	for name, row := range map[string]struct {
		m         state.Member
		committed bool
		want      errkind.Kind
	}{
		"the committed process":                       {testMember("a", 5), true, ""},
		"an earlier process of the same name":         {testMember("a", 4), false, errkind.StaleLease},
		"a later process that is not yet committed":   {testMember("a", 6), false, ""},
		"a process that is not listed":                {testMember("b", 1), false, ""},
		"the same process with another inner address": {state.Member{Name: "a", Incarnation: 5, Inner: "z:1"}, false, ""},
	} {
		committed, err := table.CheckIncarnation(row.m)
		assert.Equal(t, committed, row.committed, name)
		assert.Equal(t, errkind.Of(err), row.want, name)
	}
	assert.Assert(t, !table.Renew("a", 4, 1, false, start))
	assert.Assert(t, !table.Renew("a", 6, 1, false, start))
	assert.Assert(t, !table.Renew("b", 1, 1, false, start))
}

func TestNewIncarnationReplacesOldOne(t *testing.T) {
	table := newTable(testMember("a", 1), testMember("b", 1))
	table.MarkLost(at(leaseEnd))
	table.Sync([]state.Member{testMember("a", 2)}, at(leaseEnd))
	list := table.Entries(at(leaseEnd))
	assert.Equal(t, len(list), 1)
	assert.Equal(t, list[0].Member.Incarnation, uint64(2))
	assert.Assert(t, !list[0].Lost)
	revision := table.Revision()
	table.Sync([]state.Member{testMember("a", 2)}, at(leaseEnd))
	assert.Equal(t, table.Revision(), revision)
}

func TestClockGoingBackwardsLosesNoEntry(t *testing.T) {
	table := newTable(testMember("a", 1))
	assert.Assert(t, table.Renew("a", 1, 1, false, at(time.Second)))
	assert.Assert(t, table.Renew("a", 1, 1, false, start))
	assert.Equal(t, len(table.MarkLost(at(time.Second+testLease+testDrift))), 0)
}

// testDeclarations returns 50 teams, the first n of which have share 2.
func testDeclarations(n int) *model.Declarations {
	d := &model.Declarations{}
	for i := range 50 {
		share := int64(1)
		if i < n {
			share = 2
		}
		d.Teams = append(d.Teams, model.Team{Name: fmt.Sprintf("team%02d", i), Share: share, MaxRunning: 10})
	}
	return d
}

func TestUpdateIsDeltaOrFullCopy(t *testing.T) {
	h := NewHistory(10)
	digests := make([]string, 31)
	for v := 1; v <= 30; v++ {
		d := testDeclarations(v)
		digests[v] = declare.Digest(d)
		h.Add(uint64(v), digests[v], d)
	}
	for name, row := range map[string]struct {
		version     uint64
		digest      string
		delta, full bool
	}{
		"an up-to-date entry gets no update":                     {30, digests[30], false, false},
		"an entry one change behind gets a delta":                {29, digests[29], true, false},
		"the oldest kept version gets a delta":                   {21, digests[21], true, false},
		"a version that is no longer kept gets a full copy":      {20, digests[20], false, true},
		"an entry without a configuration gets a full copy":      {0, "", false, true},
		"another digest for a kept version gets a full copy":     {29, "other", false, true},
		"a version later than the one in force gets a full copy": {31, "other", false, true},
	} {
		u, ok := h.Update(row.version, row.digest)
		assert.Equal(t, ok, row.delta || row.full, name)
		assert.Equal(t, u.Delta != nil, row.delta, name)
		assert.Equal(t, u.Full != nil, row.full, name)
		if u.Delta != nil {
			before := testDeclarations(int(row.version))
			got, err := declare.Apply(before, declare.Digest(before), *u.Delta)
			assert.NilError(t, err)
			assert.Equal(t, declare.Digest(&got), digests[30], name)
		}
	}
}

func TestLargeChangeIsSentAsFullCopy(t *testing.T) {
	h := NewHistory(10)
	a, b := testDeclarations(0), testDeclarations(26)
	h.Add(1, declare.Digest(a), a)
	h.Add(2, declare.Digest(b), b)
	u, ok := h.Update(1, declare.Digest(a))
	assert.Assert(t, ok && u.Full != nil)
}

func TestOlderConfigurationIsIgnored(t *testing.T) {
	h := NewHistory(10)
	a, b := testDeclarations(1), testDeclarations(2)
	h.Add(2, declare.Digest(b), b)
	h.Add(1, declare.Digest(a), a)
	_, ok := h.Update(2, declare.Digest(b))
	assert.Assert(t, !ok)
}

func TestDeltaIsComputedOnce(t *testing.T) {
	h := NewHistory(10)
	a, b := testDeclarations(1), testDeclarations(2)
	h.Add(1, declare.Digest(a), a)
	h.Add(2, declare.Digest(b), b)
	first, _ := h.Update(1, declare.Digest(a))
	second, _ := h.Update(1, declare.Digest(a))
	assert.Assert(t, first.Delta == second.Delta)
	c := testDeclarations(3)
	h.Add(3, declare.Digest(c), c)
	third, _ := h.Update(1, declare.Digest(a))
	assert.Equal(t, third.Delta.To, declare.Digest(c))
}

func TestRenewalSchedule(t *testing.T) {
	const period = 500 * time.Millisecond
	noLeader := errkind.New(errkind.NoLeader, "election")
	r := NewRenewalSchedule(period)
	for i, want := range []time.Duration{50, 100, 200, 400, 500, 500} {
		action, wait := r.Next(noLeader, 1)
		assert.Equal(t, action, Renew)
		assert.Equal(t, wait, want*time.Millisecond, "failure %d", i)
	}
	_, wait := r.Next(nil, 0)
	assert.Equal(t, wait, period/2)
	_, wait = r.Next(errors.New("unexpected error"), 1)
	assert.Equal(t, wait, backoffBase)
	action, _ := r.Next(errkind.New(errkind.StaleLease, "later process started"), 0)
	assert.Equal(t, action, Stop)
	action, _ = r.Next(errkind.New(errkind.VersionConflict, "digest differs"), 0)
	assert.Equal(t, action, Resync)
}
