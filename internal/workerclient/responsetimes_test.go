package workerclient

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestTimeoutFollowsResponseTimesWithinBounds(t *testing.T) {
	const least, most = 250 * time.Millisecond, 600 * time.Millisecond
	var r ResponseTimes
	assert.Equal(t, r.Timeout(least, most), least)
	observe := func(took time.Duration) time.Duration {
		for range 100 {
			r.Observe(took)
		}
		return r.Timeout(least, most)
	}
	assert.Equal(t, observe(10*time.Millisecond), least)
	slow := observe(400 * time.Millisecond)
	assert.Assert(t, slow >= 400*time.Millisecond && slow < 450*time.Millisecond, "%v", slow)
	assert.Equal(t, observe(5*time.Second), most)
	assert.Equal(t, observe(10*time.Millisecond), least)
}
