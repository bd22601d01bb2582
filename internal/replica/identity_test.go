package replica

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/filbertmast/filbertmast/internal/replica/raft"
	"github.com/filbertmast/filbertmast/internal/storage/faultfs"
)

func TestFounderDoesNotHoldAgreementThatIsNotDurable(t *testing.T) {
	fsys := faultfs.New()
	f, err := openIdentity(fsys, "/data")
	assert.NilError(t, err)
	fsys.FailSyncs(true)
	config := raft.NewConfig([]raft.Peer{{ID: f.ID, Address: "10.0.0.1:7000", Voter: true}})
	assert.ErrorIs(t, f.agree(config), faultfs.ErrSync)
	assert.Assert(t, f.Agreed == nil)
}
