package entry

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/filbertmast/filbertmast/internal/errkind"
	"github.com/filbertmast/filbertmast/internal/model"
	"github.com/filbertmast/filbertmast/internal/proto"
	"github.com/filbertmast/filbertmast/internal/testwait"
	"github.com/filbertmast/filbertmast/internal/wire"
)

const (
	// lateDelivery is far beyond the time for which the tests below wait for an answer.
	lateDelivery = 1500 * time.Millisecond
	unlimited    = 1e9 // bytes a second
)

// reach lets an entry find the leader and hear from it.
func (e *fakeEntry) reach(t *testing.T) {
	t.Helper()
	assert.NilError(t, e.submit("reach", 10*time.Second))
}

func (c *fakeCell) assertNeverStored(id model.WorkflowID) {
	c.t.Helper()
	time.Sleep(lateDelivery)
	assert.Assert(c.t, !c.isStored(id), "%s was answered as not stored and is stored", id)
}

// A submission that is written to a connection can't be taken back: the packets arrive
// although its caller has been told that it was not stored.
func TestSubmissionToSilentLeaderIsHeldBackAndNeverArrives(t *testing.T) {
	c := newFakeCell(t, 1)
	e := c.newEntry(1)
	e.reach(t)
	time.Sleep(2 * contactFreshness)
	e.faults.SetLink(c.processes[0].address, lateDelivery, unlimited)
	assert.Equal(t, errkind.Of(e.submit("held", 600*time.Millisecond)), errkind.NoLeader)
	c.assertNeverStored("held")
}

// A submission that was handed to the connection before the leader was suspected arrives
// after its caller has given up. To answer 503 would be untrue.
func TestSubmissionThatArrivesLateIsNotAnsweredAsNotStored(t *testing.T) {
	c := newFakeCell(t, 1)
	e := c.newEntry(1)
	e.reach(t)
	e.faults.SetLink(c.processes[0].address, lateDelivery, unlimited)
	e.client.heard(e.client.current()) // no check delays the submission
	err := e.submit("late", 600*time.Millisecond)
	assert.Equal(t, errkind.Of(err), errkind.OutcomeUnknown)
	testwait.Until(t, 10*time.Second, "arrival of the late submission", func() error {
		if c.isStored("late") {
			return nil
		}
		return errkind.New(errkind.UnknownJob, "not stored yet")
	})
}

// A search that is under way holds back what comes later, too; without that each call would
// be handed to the leader whose packets may be delivered at any time.
func TestCallsAreHeldBackWhileSuspectedLeaderIsSilent(t *testing.T) {
	c := newFakeCell(t, 1)
	e := c.newEntry(1)
	e.reach(t)
	c.processes[0].cutPower()
	c.elect(-1)
	time.Sleep(2 * contactFreshness)
	for _, id := range []model.WorkflowID{"a", "b", "c"} {
		assert.Equal(t, errkind.Of(e.submit(id, 400*time.Millisecond)), errkind.NoLeader)
	}
	c.processes[0].start()
	c.elect(0)
	e.reach(t)
	c.assertNeverStored("a")
	c.assertNeverStored("c")
}

// The leader is frozen and another is elected: what was handed to the old one is resolved by
// the new one, since a submission is idempotent.
func TestSubmissionToFrozenLeaderIsResolvedByNextLeader(t *testing.T) {
	c := newFakeCell(t, 3)
	e := c.newEntry(3)
	e.reach(t)
	c.processes[0].faults.Isolate()
	e.client.heard(e.client.current())
	time.AfterFunc(700*time.Millisecond, func() { c.elect(1) })
	assert.NilError(t, e.submit("handed-over", 10*time.Second))
	assert.Assert(t, c.isStored("handed-over"))
	assert.NilError(t, e.submit("next", 10*time.Second))
}

// Followers name a dead leader until they elect another. A call must not go to it.
func TestLeaderThatOthersNameIsNotCalledUntilItConfirms(t *testing.T) {
	c := newFakeCell(t, 3)
	e := c.newEntry(3)
	e.reach(t)
	c.processes[0].cutPower() // the others still name it
	time.Sleep(2 * contactFreshness)
	assert.Equal(t, errkind.Of(e.submit("named", time.Second)), errkind.NoLeader)
	c.elect(1)
	assert.NilError(t, e.submit("elected", 10*time.Second))
}

// An entry that is cut off has sent nothing, and says so, so that its callers can go to another.
func TestSubmissionsAtEntryThatIsCutOffAreAnsweredAsNotStored(t *testing.T) {
	c := newFakeCell(t, 3)
	e := c.newEntry(3)
	e.reach(t)
	time.Sleep(2 * contactFreshness)
	e.faults.Isolate()
	assert.Equal(t, errkind.Of(e.submit("cut-off", time.Second)), errkind.NoLeader)
	e.faults.Heal()
	c.assertNeverStored("cut-off")
	e.reach(t)
}

// The next leader refuses a submission that may have reached the former one: it must not be
// answered as not stored.
func TestRefusalAfterSubmissionMayHaveArrivedIsUnknown(t *testing.T) {
	c := newFakeCell(t, 3)
	e := c.newEntry(3)
	e.reach(t)
	c.processes[0].faults.Isolate()
	c.setRefusal(errkind.New(errkind.QueueFull, "full"))
	e.client.heard(e.client.current())
	time.AfterFunc(300*time.Millisecond, func() { c.elect(1) })
	assert.Equal(t, errkind.Of(e.submit("doubtful", 10*time.Second)), errkind.OutcomeUnknown)
}

// A submission that is sent for the first time just before its deadline would mostly end
// without an answer, and its caller could not try again.
func TestSubmissionIsNotSentWithHardlyAnyTimeLeft(t *testing.T) {
	c := newFakeCell(t, 1)
	e := c.newEntry(1)
	e.reach(t)
	c.elect(-1)
	time.Sleep(2 * contactFreshness)
	began := time.Now()
	err := e.submit("too-late", 2*time.Second)
	took := time.Since(began)
	assert.Equal(t, errkind.Of(err), errkind.NoLeader)
	assert.Assert(t, took < 2*time.Second-100*time.Millisecond, "answered after %s", took)
	c.elect(0)
	c.assertNeverStored("too-late")
}

// A call that fails by its own timeout says nothing about the others: they must not be
// cancelled, which would leave their outcomes unknown.
func TestTimeoutOfOneCallDoesNotCancelOthers(t *testing.T) {
	c := newFakeCell(t, 1)
	e := c.newEntry(1)
	e.reach(t)
	e.faults.SetLink(c.processes[0].address, 300*time.Millisecond, unlimited)
	e.client.heard(e.client.current())
	other := make(chan error, 1)
	before := e.client.current()
	go func() { other <- e.submit("slow", 10*time.Second) }()
	assert.Assert(t, e.submit("short", 100*time.Millisecond) != nil)
	assert.NilError(t, before.ctx.Err())
	assert.NilError(t, <-other)
}

// What a renewal is granted counts from when it was sent. Held back until the next leader is found, the configuration of an
// entry was stale again as soon as it was confirmed.
func TestSingleAttemptIsHeldBackBriefly(t *testing.T) {
	c := newFakeCell(t, 1)
	e := c.newEntry(1)
	e.reach(t)
	c.elect(-1)
	time.Sleep(2 * contactFreshness)
	assert.Equal(t, errkind.Of(e.submit("suspect", 300*time.Millisecond)), errkind.NoLeader)
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	began := time.Now()
	_, err := tryLeader[proto.Heartbeats, proto.HeartbeatsRecorded](ctx, e.client, wire.KindHeartbeats, &proto.Heartbeats{}, 0)
	assert.Equal(t, errkind.Of(err), errkind.NoLeader)
	assert.Assert(t, time.Since(began) < 5*time.Second)
}
