package replica

import (
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/filbertmast/filbertmast/internal/storage/faultfs"
)

func disk(o Options) *faultfs.FS { return o.FS.(*faultfs.FS) }

// A follower is killed while it syncs an entry, and acknowledges the entry after its restart.
// Then the leader loses its disk and the others lose power.
func TestEntryAcknowledgedAfterKillSurvivesPowerLoss(t *testing.T) {
	w := newNetwork()
	options := groupOptions(3)
	for i := range options {
		options[i].Tick = DefaultTick
	}
	group := startAll(t, w, options)
	proposeMany(10, group...)
	leader := awaitLeader(group...)
	for _, m := range group {
		m.awaitEntries(10)
	}
	rest := others(group, leader)
	killed, slow := slices.Index(group, rest[0]), slices.Index(group, rest[1])

	release := disk(options[slow]).BlockSyncs()
	defer release()
	disk(options[killed]).FailSyncs(true)
	proposeUntilAccepted("acknowledged", leader)
	assert.ErrorIs(t, <-group[killed].Fatal(), faultfs.ErrSync)
	group[killed].stop()
	disk(options[killed]).FailSyncs(false)
	group[killed] = startMember(t, w, options[killed])
	committed := leader.awaitEntries(11)

	group[killed].link.stop()
	group[slow].link.stop()
	leader.link.stop()
	options[killed].FS = disk(options[killed]).LosePower()
	options[slow].FS = disk(options[slow]).LosePower()
	release()
	for _, m := range group {
		m.stop()
	}
	next := awaitLeader(startMember(t, w, options[killed]), startMember(t, w, options[slow]))
	assert.DeepEqual(t, next.state(), committed)
}
