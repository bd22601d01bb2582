package schedule

import (
	"slices"
	"time"

	"github.com/filbertmast/filbertmast/internal/model"
)

// booking holds room for a gang that fits now, but not on workers with valid permits, until
// its permits for exactly these workers are valid. Without it a gang would need room and
// permits at the same moment by chance: the room is taken while the permits are renewed,
// and the permits end while the room is taken.
type booking struct {
	job    *job
	claims []claim
	size   model.Resources // of a task
	since  model.Time
	until  model.Time // when it lapses
}

// maxBookingDoublings bounds how often the time after which a booking lapses is doubled.
const maxBookingDoublings = 3

// book books room for the ready tasks of a gang on workers whose permits may have expired.
// It reports whether they fit. A reservation of the job ends.
func (p *planner) book(j *job, size model.Resources) bool {
	if j.group.policy != gang || j.permits == nil || p.now < j.bookAfter || !p.s.mayHold(j, size) || !p.leavesRoom(j, size) {
		return false
	}
	chosen := p.findRacks(j, size, j.claims(), p.bookable)
	if chosen == nil {
		chosen = p.findFurtherRacks(j, size, tasksIn(p.s.gangWorkers.racks), p.bookable)
	}
	if chosen == nil {
		return false
	}
	b := &booking{job: j, size: size, since: p.now, until: p.now.Add(p.s.bookingTime(j))}
	left := int64(j.ready)
	for i := range chosen {
		rack := p.s.gangWorkers.of(&chosen[i])
		p.sortGangWorkers(rack)
		for _, at := range rack {
			if n := min(at.tasks, left); n > 0 {
				b.claims = append(b.claims, claim{at.slot, n})
				left -= n
			}
		}
	}
	p.s.addBooking(b)
	p.holdBooked(b)
	return true
}

// mayHold reports whether the workers that a job had permits for have free capacity for what
// it must start at once, whoever may use it. It is a bound that spares a search for room.
func (s *Scheduler) mayHold(j *job, size model.Resources) bool {
	need := j.tasksAtOnce()
	for _, slot := range s.permittedSlots(j.permits) {
		if need -= j.tasksThatFit(size, s.workers[slot].free); need <= 0 {
			return true
		}
	}
	return false
}

// applyBookings assigns the booked tasks within the plan. Those whose permits are all valid
// are placed; a booking that can no longer be kept is dropped.
func (p *planner) applyBookings() {
	for _, b := range slices.Clone(p.s.bookings) {
		switch {
		case !p.bookingHolds(b):
			p.s.dropBooking(b)
		case p.now >= b.until && !p.bookingPermitted(b):
			p.lapse(b)
		case p.bookingPermitted(b) && p.fitsPlan(b.job):
			p.eachBooked(b, p.addPlacement)
		default:
			p.holdBooked(b)
		}
	}
}

// bookingTime returns after what time a booking of j lapses. It doubles with each one that
// has lapsed, since responses may take longer.
func (s *Scheduler) bookingTime(j *job) time.Duration {
	return s.opts.MaxIdleWait << min(j.lapses, maxBookingDoublings)
}

// lapse drops a booking whose permits were not renewed in time. The job books again after a
// pause of the same length or a response. Its workers are not booked or reserved by any job that needs permits
// in the pause: jobs would hold the room in turn while the policy service is silent.
func (p *planner) lapse(b *booking) {
	resume := p.now.Add(p.now.Sub(b.since))
	b.job.lapses++
	b.job.bookAfter = resume
	for _, c := range b.claims {
		p.s.workers[c.slot].bookAfter = resume
	}
	p.s.pauseEnds = append(p.s.pauseEnds, resume)
	p.s.dropBooking(b)
}

// leavesRoom reports whether j, if it was moved behind jobs that can still start in time,
// leaves enough room for the gangs of these that wait: they may not know yet where they may
// run, and would start late because of a job that is late already. While less than half is in
// use, room is not what they wait for.
func (p *planner) leavesRoom(j *job, size model.Resources) bool {
	if !j.movedBack() || p.now >= p.pressingFrom(j) || p.mostlyIdle(j.group.selector) {
		return true
	}
	free := p.s.total.Sub(p.s.inUse())
	if size.Mul(j.tasksAtOnce()).Add(p.neededInTime()).Fits(free) {
		return true
	}
	p.wakeAt(p.pressingFrom(j))
	if len(p.s.late) > 0 {
		p.wakeAt(p.s.late[0].startByUntil)
	}
	return false
}

// neededInTime returns what the gangs with permits need that wait, that the limits of their
// teams allow and that can still start in time, without those that were placed or booked
// before the first call in a plan.
func (p *planner) neededInTime() model.Resources {
	if p.inTime != nil {
		return *p.inTime
	}
	p.inTime = new(model.Resources)
	for _, j := range p.s.jobs {
		if j.group.policy != gang || j.permits == nil || !j.startable() || j.movedBack() || j.group.fitFailure.Err != nil {
			continue
		}
		size := p.s.sizeFor(j.group)
		if p.s.teams[j.group.team].allows(j.tasksAtOnce(), size) {
			*p.inTime = p.inTime.Add(size.Mul(j.tasksAtOnce()))
		}
	}
	return *p.inTime
}

// movedBack reports whether j missed its promised start and comes behind others.
func (j *job) movedBack() bool { return j.startBy > j.promisedStart }

// bookable reports whether a worker may be booked or reserved for j.
func (p *planner) bookable(j *job, slot int32) bool {
	return p.allowed(j, slot) && p.now >= p.s.workers[slot].bookAfter
}

// wakeAfterPauses requests a plan for when the next job may book again.
func (p *planner) wakeAfterPauses() {
	p.s.pauseEnds = slices.DeleteFunc(p.s.pauseEnds, func(at model.Time) bool { return at <= p.now })
	if len(p.s.pauseEnds) > 0 {
		p.wakeAt(slices.Min(p.s.pauseEnds))
	}
}

// holdBooked assigns the tasks of a booking within the plan without placing them.
func (p *planner) holdBooked(b *booking) {
	p.eachBooked(b, p.assign)
	p.wakeAt(b.until)
}

func (p *planner) eachBooked(b *booking, assign func(j *job, index, slot int32, size model.Resources)) {
	index := b.job.nextReady(b.job.next)
	for _, c := range b.claims {
		for range c.tasks {
			assign(b.job, index, c.slot, b.size)
			index = b.job.nextReady(index)
		}
	}
}

// bookingHolds reports whether the tasks of a booking could be placed on the booked workers
// with valid permits.
func (p *planner) bookingHolds(b *booking) bool {
	j := b.job
	if !j.startable() || j.group.fitFailure.Err != nil || b.tasks() != int64(j.ready) {
		return false
	}
	if b.size != p.s.sizeFor(j.group) || !p.s.teams[j.group.team].allows(int64(j.ready), b.size) {
		return false
	}
	for _, c := range b.claims {
		w := &p.s.workers[c.slot]
		if !w.open() || p.keptFromGang(j.group, w) || !p.s.matches(j.group.selector, w.class) {
			return false
		}
		if !p.allowed(j, c.slot) || !b.size.Mul(c.tasks).Fits(w.free) {
			return false
		}
	}
	return true
}

// bookingPermitted reports whether all permits for a booking are valid.
func (p *planner) bookingPermitted(b *booking) bool {
	return !slices.ContainsFunc(b.claims, func(c claim) bool { return !p.permitted(b.job, c.slot) })
}

func (b *booking) tasks() (n int64) {
	for _, c := range b.claims {
		n += c.tasks
	}
	return n
}

func (s *Scheduler) addBooking(b *booking) {
	if b.job.reservation != nil {
		s.dropReservation(b.job.reservation)
	}
	b.job.booking = b
	s.bookings = append(s.bookings, b)
	for _, c := range b.claims {
		w := &s.workers[c.slot]
		w.booked = w.booked.Add(b.size.Mul(c.tasks))
	}
}

func (s *Scheduler) dropBooking(b *booking) {
	if b == nil {
		return
	}
	for _, c := range b.claims {
		w := &s.workers[c.slot]
		w.booked = w.booked.Sub(b.size.Mul(c.tasks))
	}
	b.job.booking = nil
	s.bookings = slices.DeleteFunc(s.bookings, func(o *booking) bool { return o == b })
}

// dropBookingsOn drops the bookings of a worker that is removed.
func (s *Scheduler) dropBookingsOn(slot int32) {
	for _, b := range slices.Clone(s.bookings) {
		if b.claimed(slot) > 0 {
			s.dropBooking(b)
		}
	}
}

// claimed returns how many tasks are booked on a worker.
func (b *booking) claimed(slot int32) int64 {
	if b == nil {
		return 0
	}
	for _, c := range b.claims {
		if c.slot == slot {
			return c.tasks
		}
	}
	return 0
}

// freeFor returns what a worker has free for a job: what is not booked for others.
func (s *Scheduler) freeFor(j *job, slot int32) model.Resources {
	w := &s.workers[slot]
	free := w.free.Sub(w.booked)
	if n := j.booking.claimed(slot); n > 0 {
		free = free.Add(j.booking.size.Mul(n))
	}
	return free
}

// Booked is a job with the workers on which its tasks are booked.
type Booked struct {
	Job     model.JobID
	Workers []model.WorkerID
}

// Booked returns the bookings, the oldest first.
func (s *Scheduler) Booked() []Booked {
	out := make([]Booked, len(s.bookings))
	for i, b := range s.bookings {
		out[i] = Booked{b.job.id, make([]model.WorkerID, len(b.claims))}
		for k, c := range b.claims {
			out[i].Workers[k] = s.workers[c.slot].id
		}
	}
	return out
}
