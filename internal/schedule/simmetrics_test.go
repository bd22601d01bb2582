package schedule

import (
	"fmt"
	"math"
	"slices"
	"testing"

	"github.com/filbertmast/filbertmast/internal/model"
)

// sampleShares measures how far the reserved resources of the teams are from their
// weighted fair shares, given the demand of each team.
func (c *simulation) sampleShares() {
	reserved, demand := make([]float64, len(simShares)), make([]float64, len(simShares))
	for _, j := range c.jobs {
		var team int
		_, _ = fmt.Sscanf(j.spec.Team, "team-%d", &team)
		for _, r := range j.runs {
			reserved[team] += float64(r.size.CPU)
			demand[team] += float64(r.size.CPU)
		}
		demand[team] += float64(int(j.left)-len(j.runs)) * float64(j.spec.Size.CPU)
	}
	total, totalDemand := 0.0, 0.0
	for team := range reserved {
		total += reserved[team]
		totalDemand += demand[team]
	}
	if capacity := float64(simWorkers) * float64(c.workload.size.CPU); totalDemand < capacity || total == 0 {
		return
	}
	distance := 0.0
	for team, fair := range waterFill(total, demand) {
		distance += math.Abs(reserved[team]-fair) / 2
	}
	c.shareError += distance / total
	c.samples++
}

// waterFill divides total by weight, giving no team more than its demand.
func waterFill(total float64, demand []float64) []float64 {
	out := make([]float64, len(demand))
	full := make([]bool, len(demand))
	for range demand {
		weights, left := 0.0, total
		for i, done := range full {
			if done {
				left -= out[i]
			} else {
				weights += float64(simShares[i])
			}
		}
		for i := range demand {
			if full[i] {
				continue
			}
			out[i] = left * float64(simShares[i]) / weights
		}
		for i := range demand {
			if !full[i] && out[i] > demand[i] {
				out[i], full[i] = demand[i], true
			}
		}
	}
	return out
}

// waits returns the sorted waiting times, in seconds, of the jobs whose patience
// is in the range from (inclusive) to (exclusive). A job that never started has
// waited until the end of the simulation.
func (c *simulation) waits(from, to model.Duration) []float64 {
	var out []float64
	for _, j := range c.jobs {
		if j.spec.Patience < from || j.spec.Patience >= to || j.started < 0 {
			continue
		}
		started := j.started
		if started == 0 {
			started = c.now
		}
		out = append(out, started.Sub(j.at).Seconds())
	}
	slices.Sort(out)
	return out
}

func quantile(sorted []float64, q float64) float64 {
	return sorted[int(q*float64(len(sorted)-1))]
}

func (c *simulation) failed() (n float64) {
	for _, j := range c.jobs {
		if j.failed {
			n++
		}
	}
	return n
}

func (c *simulation) reportTo(t *testing.B) {
	urgent := c.waits(0, minutes(1))
	middle := c.waits(minutes(1), 2*hour)
	patient := c.waits(2*hour, math.MaxInt64)
	capacity := float64(simWorkers) * float64(c.workload.size.CPU) / 1000 * simLength.Seconds()
	t.ReportMetric(quantile(urgent, 0.5), "urgent-p50-s")
	t.ReportMetric(quantile(urgent, 0.99), "urgent-p99-s")
	t.ReportMetric(quantile(middle, 0.5), "middle-p50-s")
	t.ReportMetric(quantile(middle, 0.99), "middle-p99-s")
	t.ReportMetric(quantile(patient, 0.5), "patient-p50-s")
	t.ReportMetric(100*c.useful/capacity, "useful-%")
	t.ReportMetric(float64(c.planTime.Microseconds())/float64(c.placed), "µs/start")
	t.ReportMetric(float64(c.placed)/float64(len(c.jobs)), "starts/job")
	t.ReportMetric(float64(c.stops), "stops")
	t.ReportMetric(100*c.shareError/max(c.samples, 1), "far-%")
	t.ReportMetric(100*c.failed()/float64(len(c.jobs)), "failed-%")
	t.ReportMetric(float64(len(c.jobs)), "jobs")
}
