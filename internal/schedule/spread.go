package schedule

import "slices"

// spread counts the assigned tasks of one job by worker, rack and failure domain.
type spread struct {
	job      *job
	onWorker []int32
	onRack   []int32
	onDomain []int32
}

// load counts the tasks of j unless they are counted already.
func (c *spread) load(s *Scheduler, j *job) {
	if c.job == j {
		return
	}
	c.clear()
	c.job = j
	c.onWorker = extend(c.onWorker, len(s.workers))
	c.onRack = extend(c.onRack, len(s.racks.byName))
	c.onDomain = extend(c.onDomain, len(s.domains.byName))
	for i := range j.tasks {
		if t := &j.tasks[i]; t.state.assigned() {
			c.count(s, t.worker)
		}
	}
}

func extend[T any](v []T, n int) []T {
	if len(v) >= n {
		return v
	}
	return append(v, make([]T, n-len(v))...)
}

// placed counts a task that was just placed if its job is the one counted.
func (c *spread) placed(s *Scheduler, j *job, slot int32) {
	if c.job == j {
		c.count(s, slot)
	}
}

func (c *spread) count(s *Scheduler, slot int32) {
	w := &s.workers[slot]
	c.onWorker[slot]++
	c.onRack[w.rack]++
	c.onDomain[w.domain]++
}

// clear resets the counts.
func (c *spread) clear() {
	if c.job == nil {
		return
	}
	clear(c.onWorker)
	clear(c.onRack)
	clear(c.onDomain)
	c.job = nil
}

// fewest splits bins into those of the failure domains with the fewest tasks and
// the others. It reorders bins.
func (c *spread) fewest(s *Scheduler, bins []int32) (now, later []int32) {
	least := int32(maxInt32)
	for _, bin := range bins {
		least = min(least, c.onDomain[s.bins.keys[bin].domain])
	}
	n := 0
	for i, bin := range bins {
		if c.onDomain[s.bins.keys[bin].domain] == least {
			bins[n], bins[i] = bins[i], bins[n]
			n++
		}
	}
	return bins[:n], bins[n:]
}

const maxInt32 = 1<<31 - 1

// levels returns the distinct numbers of tasks per rack, including zero, in
// ascending order.
func (c *spread) levels() []int32 {
	out := []int32{0}
	for _, n := range c.onRack {
		if n > 0 && !slices.Contains(out, n) {
			out = append(out, n)
		}
	}
	slices.Sort(out)
	return out
}
