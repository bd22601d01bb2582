package lease

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/filbertmast/filbertmast/internal/errkind"
	"github.com/filbertmast/filbertmast/internal/model"
)

const epoch = model.Time(1_700_000_000_000)

func holder(n int, session uint64) Holder {
	return Holder{Worker: model.WorkerID(fmt.Sprintf("w%d", n)), Session: session}
}

func unbounded() Options {
	return Options{Duration: 10 * time.Second, DriftMargin: time.Second, ExpiryRate: 1 << 20, ExpiryBatch: 1 << 20}
}

func at(d time.Duration) model.Time { return epoch.Add(d) }

func newTable(o Options, workers ...Holder) *Table {
	t := New(o)
	t.BeginTerm(epoch, workers)
	return t
}

func TestLeaseExpiresAfterItsDurationAndTheDriftMargin(t *testing.T) {
	table := newTable(unbounded(), holder(1, 1))
	assert.Equal(t, len(table.TakeExpired(at(11*time.Second))), 0)
	assert.DeepEqual(t, table.TakeExpired(at(11*time.Second+slotWidth)), []Holder{holder(1, 1)})
}

func TestNewTermCountsEveryLeaseAsRenewedAtItsStart(t *testing.T) {
	table := newTable(unbounded(), holder(1, 1))
	later := at(time.Hour)
	table.BeginTerm(later, []Holder{holder(1, 1)})
	assert.Equal(t, len(table.TakeExpired(later.Add(11*time.Second))), 0)
	assert.Equal(t, len(table.TakeExpired(later.Add(11*time.Second+slotWidth))), 1)
}

// Guards against a worker that is declared lost long after the deadline that it was granted.
func TestLeaseThatIsGrantedUntilDeadlineExpiresThen(t *testing.T) {
	for _, deadline := range []time.Duration{13 * time.Second, 20 * time.Second, time.Minute} {
		table := newTable(unbounded(), holder(1, 1))
		expired := at(11*time.Second + slotWidth)
		assert.Equal(t, len(table.TakeExpired(expired)), 1)
		assert.NilError(t, table.GrantUntil(holder(1, 1), at(deadline), expired))
		assert.Equal(t, len(table.TakeExpired(at(deadline))), 0)
		assert.Equal(t, len(table.TakeExpired(at(deadline+slotWidth))), 1, "%s", deadline)
	}
}

func TestRenewErrors(t *testing.T) {
	for name, row := range map[string]struct {
		claim Holder
		want  errkind.Kind
	}{
		"the current session is renewed":             {holder(1, 5), ""},
		"an older session is stale":                  {holder(1, 4), errkind.StaleLease},
		"a later session without a grant is stale":   {holder(1, 6), errkind.StaleLease},
		"a worker without a lease is unknown":        {holder(2, 1), errkind.UnknownWorker},
		"a worker that has left is unknown":          {holder(3, 1), errkind.UnknownWorker},
		"a worker that was declared lost is unknown": {holder(4, 1), errkind.UnknownWorker},
	} {
		t.Run(name, func(t *testing.T) {
			table := newTable(unbounded(), holder(4, 1))
			assert.Equal(t, len(table.TakeExpired(at(time.Minute))), 1)
			now := at(time.Minute)
			assert.NilError(t, table.Grant(holder(1, 5), now))
			assert.NilError(t, table.Grant(holder(3, 1), now))
			table.Release(holder(3, 1))
			assert.Equal(t, errkind.Of(table.Renew(row.claim, now)), row.want)
		})
	}
}

func TestGrantOfAnOlderSessionIsStale(t *testing.T) {
	table := newTable(unbounded(), holder(1, 5))
	assert.Equal(t, errkind.Of(table.Grant(holder(1, 4), epoch)), errkind.StaleLease)
	table.Release(holder(1, 4))
	assert.Assert(t, table.IsHolder(holder(1, 5)))
}

func TestExpiredLeaseCanBeRenewedUntilItIsTaken(t *testing.T) {
	table := newTable(unbounded(), holder(1, 1))
	late := at(time.Minute)
	assert.NilError(t, table.Renew(holder(1, 1), late))
	assert.Equal(t, len(table.TakeExpired(late)), 0)
}

func TestBackwardTimeStepExpiresNoLease(t *testing.T) {
	table := newTable(unbounded(), holder(1, 1))
	now := at(5 * time.Second)
	assert.NilError(t, table.Renew(holder(1, 1), now))
	assert.NilError(t, table.Renew(holder(1, 1), epoch)) // treated as the latest time seen
	assert.Equal(t, len(table.TakeExpired(now.Add(11*time.Second))), 0)
}

func TestFailureDomainExpiriesAreRateLimited(t *testing.T) {
	o := unbounded()
	o.ExpiryRate, o.ExpiryBatch = 100, 20
	const workers = 500
	var all []Holder
	for i := range workers {
		all = append(all, holder(i, 1))
	}
	table := newTable(o, all...)
	now := at(time.Minute)
	lost := len(table.TakeExpired(now))
	assert.Equal(t, lost, o.ExpiryBatch)
	assert.Equal(t, len(table.TakeExpired(now)), 0)
	for step := 1; lost < workers; step++ {
		now = now.Add(100 * time.Millisecond)
		n := len(table.TakeExpired(now))
		assert.Equal(t, n, 10, "step %d", step)
		lost += n
	}
	assert.Equal(t, table.Len(), 0)
}

func TestRejectedAnnouncementsAreSpreadEvenly(t *testing.T) {
	o := unbounded()
	o.AnnounceRate = 100
	table := newTable(o)
	const workers = 500
	tries := make(map[model.Time]int) // number of retries by interval of 100 ms
	for range workers {
		err := table.AdmitAnnouncement(epoch)
		if err == nil {
			continue
		}
		assert.Equal(t, errkind.Of(err), errkind.Overloaded)
		tries[epoch.Add(errkind.RetryAfter(err).Truncate(100*time.Millisecond))]++
	}
	for when, n := range tries {
		assert.Assert(t, n <= 11, "%d retries in the interval at %d", n, when)
	}
}

// referenceTable is a table model without a wheel, batches or rate limits.
type referenceTable map[model.WorkerID]struct {
	session  uint64
	deadline model.Time
}

func TestTableMatchesReferenceModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := unbounded()
		table := newTable(o)
		want := make(referenceTable)
		now := epoch
		session := uint64(0)
		put := func(c Holder) {
			want[c.Worker] = struct {
				session  uint64
				deadline model.Time
			}{c.Session, now.Add(o.Duration + o.DriftMargin)}
		}
		t.Repeat(map[string]func(*rapid.T){
			"wait": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 13_000).Draw(t, "ms")) * time.Millisecond)
			},
			"grant": func(t *rapid.T) {
				session++
				c := holder(rapid.IntRange(0, 20).Draw(t, "worker"), session)
				if err := table.Grant(c, now); err != nil {
					t.Fatal(err)
				}
				put(c)
			},
			"renew": func(t *rapid.T) {
				c := holder(rapid.IntRange(0, 20).Draw(t, "worker"), uint64(rapid.IntRange(0, int(session)).Draw(t, "session")))
				if old, ok := want[c.Worker]; ok && rapid.Bool().Draw(t, "live") {
					c.Session = old.session
				}
				err := table.Renew(c, now)
				old, ok := want[c.Worker]
				if (err == nil) != (ok && old.session == c.Session) {
					t.Fatalf("renewal of %v at %d: %v, reference has %v", c, now, err, old)
				}
				if err == nil {
					put(c)
				}
			},
			"release": func(t *rapid.T) {
				id := holder(rapid.IntRange(0, 20).Draw(t, "worker"), 0).Worker
				if old, ok := want[id]; ok {
					table.Release(Holder{id, old.session})
					delete(want, id)
				}
			},
			"expire": func(t *rapid.T) {
				for _, c := range table.TakeExpired(now) {
					old, ok := want[c.Worker]
					if !ok || old.session != c.Session || old.deadline >= now {
						t.Fatalf("%v expired at %d, reference has %v", c, now, old)
					}
					delete(want, c.Worker)
				}
				for id, old := range want {
					if now.Sub(old.deadline) > slotWidth {
						t.Fatalf("%s has not expired at %d, its deadline was %d", id, now, old.deadline)
					}
				}
			},
			"": func(t *rapid.T) {
				if table.Len() != len(want) {
					t.Fatalf("%d leases, reference has %d", table.Len(), len(want))
				}
			},
		})
	})
}
