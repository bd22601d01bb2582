package server

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/filbertmast/filbertmast/internal/settings"
)

func TestInMinorityRegion(t *testing.T) {
	regions := map[string]string{"selfoss": "south", "hvolsvollur": "south", "akureyri": "north"}
	for region, want := range map[string]bool{"south": false, "north": true} {
		set := settings.Default()
		set.Region, set.Platform.Regions = region, regions
		assert.Equal(t, inMinorityRegion(set), want, region)
	}
	assert.Assert(t, !inMinorityRegion(settings.Default()), "no regions are configured")
}
