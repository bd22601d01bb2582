package lateness

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/filbertmast/filbertmast/internal/model"
)

func TestPosition(t *testing.T) {
	const promised model.Time = 100_000
	short := Job{PromisedStart: promised, Patience: 900 * time.Millisecond, RunTime: 600 * time.Millisecond}
	long := Job{PromisedStart: promised, Patience: 9 * time.Second, RunTime: 6 * time.Second}
	shift := Options{Shift: 20 * time.Second, Grace: 500 * time.Millisecond}
	margin := Options{Shift: 20 * time.Second, Margin: 400 * time.Millisecond}
	useful := Options{Shift: 20 * time.Second, UsefulFactor: 3}
	longest := Job{PromisedStart: promised, Patience: model.MaxDuration.Std(), RunTime: model.MaxDuration.Std()}
	mostUseful := Options{Shift: 20 * time.Second, UsefulFactor: 1000}
	rows := []struct {
		name           string
		options        Options
		job            Job
		now            model.Time
		startBy, until model.Time
	}{
		{"without a shift a job keeps its place", Options{Margin: time.Second}, short, promised + 1e6, promised, 0},
		{"in time", shift, short, promised, promised, promised + 501},
		{"within the grace", shift, short, promised + 500, promised, promised + 501},
		{"after the grace", shift, short, promised + 501, promised + 20_000, 0},
		{"before the margin", margin, long, promised - 400, promised, promised - 399},
		{"within the margin", margin, long, promised - 399, promised + 20_000, 0},
		{"the margin takes a third of the patience at most", margin, short, promised - 300, promised, promised - 299},
		{"late and of use", useful, short, promised + 1, promised + 3000, promised + 3001},
		{"at the last start that is of use", useful, short, promised + 3000, promised + 3000, promised + 3001},
		{"of no use any more", useful, short, promised + 3001, promised + 20_000, 0},
		{"of use for longer than the shift", useful, long, promised + 1, promised + 20_000, 0},
		{"of use for longer than a duration can be", mostUseful, longest, promised + 1, promised + 20_000, 0},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			startBy, until := row.options.Position(row.job, row.now)
			assert.Equal(t, startBy, row.startBy)
			assert.Equal(t, until, row.until)
		})
	}
}

// Guards against a job that is moved back again and again, and so never starts.
func TestPositionNeverPassesShift(t *testing.T) {
	o := Options{Margin: time.Second, Grace: time.Second, UsefulFactor: 5, Shift: 20 * time.Second}
	for patience := time.Duration(0); patience < 10*time.Second; patience += 700 * time.Millisecond {
		j := Job{PromisedStart: 50_000, Patience: patience, RunTime: time.Second}
		last := model.Time(0)
		for now := model.Time(0); now < 200_000; now += 100 {
			startBy, until := o.Position(j, now)
			assert.Assert(t, startBy >= last && startBy <= j.PromisedStart.Add(o.Shift))
			assert.Assert(t, until == 0 || until > now, "the place is valid for some time")
			last = startBy
		}
	}
}
