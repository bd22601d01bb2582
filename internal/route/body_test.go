package route

import (
	"context"
	"io"
	"testing"
	"testing/iotest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/filbertmast/filbertmast/internal/errkind"
)

// A body that the entry has no room for must be refused with its kind. For a request that is
// not repeatable, overloaded would promise that no earlier send has run, which is only known
// after the lookup of its record.
func TestRefusedBodyPromisesOnlyWhatIsKnown(t *testing.T) {
	c := newTestCluster(t, 100, "a")
	c.announce(newStandIn(t, c.history, "x1", nil).spec(testService, 8, 60))
	for _, row := range []struct {
		repeatable bool
		want       errkind.Kind
	}{{true, errkind.Overloaded}, {false, errkind.Draining}} {
		_, err := c.entries["a"].send("r1", row.repeatable, longTimeout)
		assert.NilError(t, err)
		again := request("r1", row.repeatable, longTimeout)
		again.Body = io.MultiReader(iotest.ErrReader(errkind.New(errkind.Overloaded, "no room")))
		_, err = c.entries["a"].router.Serve(context.Background(), again)
		assert.Equal(t, errkind.Of(err), row.want)
		assert.Assert(t, errkind.RetryAfter(err) >= time.Second)
		assert.Assert(t, errkind.RowOf(errkind.Of(err)).NotRun)
	}
}
