package server

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/filbertmast/filbertmast/internal/model"
	"github.com/filbertmast/filbertmast/internal/settings"
)

// Guards against a setting that is read and checked but reaches no leader, and against past use
// that is lost on its way to operators.
func TestHalfLifeOfSettingsIsInForceAndShown(t *testing.T) {
	const halfLife = model.Duration(time.Hour)
	g := startGroup(t, 1, func(set *settings.Settings) { set.Scheduling.PastUseHalfLife = halfLife })
	g.await("the half-life of the settings", func() error {
		st, err := g.clientOf(g.operatorKey, g.nodes[0]).Status(context.Background())
		if err != nil {
			return err
		}
		if st.PastUseHalfLife != halfLife || len(st.Teams) != 1 || st.Teams[0].PastUse == nil {
			return fmt.Errorf("half-life %s, teams %v", st.PastUseHalfLife, st.Teams)
		}
		return nil
	})
}
