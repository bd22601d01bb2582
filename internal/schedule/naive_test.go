package schedule

import (
	"cmp"
	"slices"

	"github.com/filbertmast/filbertmast/internal/model"
)

// naive makes plans by scanning all jobs, tasks and workers of a Scheduler of its
// own. It uses no index, no group queue, no victim order, no cache and no running
// sum. Its plans must equal those of Plan.
type naive struct {
	planner
	blockedGroup      map[*group]bool
	blockedTeam       map[int32]bool
	reservationStarts map[*reservation]model.Time
	skippedHeads      map[*job]bool
	freeBefore        []model.Resources // free capacity of each worker when the plan began
	reservedBefore    []int32           // workers reserved in advance when the plan began
	isolatedBefore    bool              // a worker was kept for a suspect when the plan began
}

func naivePlan(s *Scheduler, now model.Time, max int) Plan {
	s.endBackoffs(now)
	s.passProbes(now)
	n := &naive{planner{s: s, now: now, max: max, spread: &s.spread}, map[*group]bool{}, map[int32]bool{}, map[*reservation]model.Time{}, map[*job]bool{}, nil, nil, false}
	s.planSeq++
	for _, t := range s.teams {
		t.plannedStops = model.Resources{}
	}
	for _, j := range n.jobs() {
		if n.ready(j) > 0 {
			s.evaluateGroup(j.group)
		}
	}
	s.dropInvalidReservations(now)
	for _, r := range s.reservations {
		r.startKnown = false
		n.reservationStarts[r] = s.reservationStart(r, now)
	}
	n.recordUse()
	n.report()
	n.blockNeverFitting()
	n.drain()
	n.keepBookings()
	for len(n.plan.Placements) < max && !n.full {
		j := n.first()
		if j == nil {
			break
		}
		n.try(j)
	}
	n.rollBack()
	n.endLending()
	n.scheduleWakes()
	n.plan.NextWake = n.nextWake()
	return n.plan
}

func (n *naive) jobs() []*job {
	var out []*job
	for _, j := range n.s.jobs {
		out = append(out, j)
	}
	slices.SortFunc(out, func(a, b *job) int { return cmp.Compare(a.id, b.id) })
	return out
}

func (n *naive) ready(j *job) (count int64) {
	for i := range j.tasks {
		if j.tasks[i].state == taskReady && !j.cancelled {
			count++
		}
	}
	return count
}

// blockNeverFitting blocks the groups that can never fit, by the capacities of all
// workers.
func (n *naive) blockNeverFitting() {
	for _, j := range n.jobs() {
		g := j.group
		tasks := int64(max(g.gang, 1))
		t := n.s.teams[g.team]
		over := tasks > t.maxRunning || !within(g.size.Mul(tasks), t.maxResources)
		if over || n.mayRunAny() && n.slots(g, g.size) < tasks {
			n.blockedGroup[g] = true
		}
	}
}

// mayRunAny reports whether any worker may be given tasks.
func (n *naive) mayRunAny() bool {
	return slices.ContainsFunc(n.s.workers, func(w worker) bool { return w.mayRun() })
}

func (n *naive) slots(g *group, size model.Resources) (count int64) {
	for i := range n.s.workers {
		w := &n.s.workers[i]
		if !w.mayRun() || !n.matches(g, w) || !size.Fits(w.capacity) {
			continue
		}
		fit := copies(size, w.capacity)
		if g.perWorker > 0 {
			fit = min(fit, int64(g.perWorker))
		}
		count += fit
	}
	return count
}

func (n *naive) matches(g *group, w *worker) bool {
	r := &n.s.selectors.all[g.selector]
	return !r.malformed && r.terms.Matches(w.labels)
}

func (n *naive) size(g *group) model.Resources {
	size := n.s.learned.Class(g.class).Size(g.size)
	tasks := int64(max(g.gang, 1))
	if n.slots(g, size) < tasks || !within(size.Mul(tasks), n.s.teams[g.team].maxResources) {
		return g.size
	}
	return size
}

// use returns the sum of the resources reserved by a team and the number of its
// assigned tasks.
func (n *naive) use(team int32) (sum model.Resources, running int64) {
	return n.useOf(func(j *job) bool { return j.group.team == team })
}

// servicesOf returns what use returns, for the services of the team only.
func (n *naive) servicesOf(team int32) (sum model.Resources, running int64) {
	return n.useOf(func(j *job) bool { return j.group.team == team && n.lasts(j) })
}

// lasts reports whether the tasks of j do not end by themselves.
func (n *naive) lasts(j *job) bool { return j.group.policy == service || j.group.lasting }

func (n *naive) useOf(counts func(*job) bool) (sum model.Resources, running int64) {
	for _, j := range n.s.jobs {
		for i := range j.tasks {
			if counts(j) && j.tasks[i].state.assigned() {
				sum = sum.Add(j.tasks[i].size)
				running++
			}
		}
	}
	return sum, running
}

// first returns the job that comes first: of the team with the least key, the one
// with the earliest startBy.
func (n *naive) first() *job {
	heads := map[int32]*job{}
	for _, j := range n.jobs() {
		team := j.group.team
		if n.ready(j) == 0 || j.group.policy == gang && (j.waiting > 0 || j.assigned > 0) || n.skippedHeads[j] || n.blockedGroup[j.group] || n.blockedTeam[team] {
			continue
		}
		if heads[team] == nil || j.less(heads[team]) {
			heads[team] = j
		}
	}
	var best *job
	for _, j := range heads {
		if best == nil {
			best = j
			continue
		}
		a, b := n.key(n.s.teams[j.group.team], j.startBy), n.key(n.s.teams[best.group.team], best.startBy)
		if a < b || a == b && j.less(best) {
			best = j
		}
	}
	return best
}

// key returns the precedence key of a team, computed from its tasks and its past use.
func (n *naive) key(t *team, startBy model.Time) int64 {
	use, _ := n.use(n.s.teamByName[t.name])
	key := n.s.loadOf(t, use)
	if n.s.pastHalfLife != 0 {
		past := min(n.s.loadOf(t, t.past), ppm*ppm)
		term := ppm - (ppm*ppm+past+ppm-1)/(past+ppm) // one share times past/(past+1), rounded down
		key = min(key, maxInt64-term) + term
	}
	if late := int64(n.now-startBy) + n.s.opts.PressingSlack.Milliseconds(); late > 0 {
		key -= mulDiv(late, ppm, n.s.opts.AgeingSpan.Milliseconds())
	}
	return key
}

func (n *naive) try(j *job) {
	g := j.group
	size := n.size(g)
	count := int64(1)
	if g.policy == gang {
		count = n.ready(j)
	}
	mayPlace := n.mayStartNow(j)
	if !mayPlace {
		n.recordKeptWaiting(j, size)
	}
	if !mayPlace && (g.policy != gang || len(j.permits.until) == 0) {
		n.skippedHeads[j] = true
		return
	}
	t := n.s.teams[g.team]
	use, running := n.use(g.team)
	atMaxRunning := running+t.requestPermits+count > t.maxRunning
	if atMaxRunning || !within(use.Add(size.Mul(count)), t.maxResources) {
		held := n.holds(j, size, count)
		n.blockedTeam[g.team] = held || count == 1 && atMaxRunning
		n.blockedGroup[g] = true
		return
	}
	if !mayPlace {
		if !n.tryBooking(j, size) {
			n.reserveFor(j, size)
			n.skippedHeads[j] = true
		}
		return
	}
	until := j.suspects[j.nextReady(0)].aloneUntil
	waits := g.policy == batch && until > n.now && n.findAlone(j, size) == noSlot
	if waits && n.findAmongSuspects(j, size) != noSlot {
		n.skippedHeads[j] = true
		n.wakeAt(min(n.now.Add(aloneRetry), until))
		return
	}
	if g.policy == gang && n.tryGang(j, size) || g.policy != gang && n.tryOne(j, size) || n.full || n.tryBooking(j, size) {
		return
	}
	n.handleUnplacedJob(j, size)
	if j.reservation != nil && !j.reservation.advance || g.perWorker > 0 || j.permits != nil || n.mayLendTo(j, size) {
		n.skippedHeads[j] = true
		return
	}
	n.blockedGroup[g] = true
}

// best returns the least of the workers that may accepts.
func (n *naive) best(may func(int32) bool, less func(a, b int32) bool) int32 {
	best := noSlot
	for i := range n.s.workers {
		slot := int32(i)
		if may(slot) && (best == noSlot || less(slot, best)) {
			best = slot
		}
	}
	return best
}

func (n *naive) tighter(a, b int32) bool { return n.compareTight(a, b) < 0 }

// fits reports whether a task of j fits on a worker with a valid permit, regardless of
// reservations.
func (n *naive) fits(j *job, slot int32, size model.Resources) bool {
	return n.fitsOnce(j, slot, size) && n.permittedUntil(j, slot, false) > n.now
}

// fitsOnce is fits without the check for a permit.
func (n *naive) fitsOnce(j *job, slot int32, size model.Resources) bool {
	return n.mayUse(j, slot) && size.Fits(n.free(slot))
}

func (n *naive) mayUse(j *job, slot int32) bool {
	w := &n.s.workers[slot]
	if !w.open() || !n.matches(j.group, w) {
		return false
	}
	return j.group.perWorker == 0 || n.countOn(j, func(o *worker) bool { return o == w }) < int(j.group.perWorker)
}

// free returns the capacity of a worker less what ends there and the sizes of all tasks
// assigned to it.
func (n *naive) free(slot int32) model.Resources {
	free := n.s.workers[slot].capacity.Sub(n.s.workers[slot].ending)
	for _, j := range n.s.jobs {
		for i := range j.tasks {
			if j.tasks[i].state.assigned() && j.tasks[i].worker == slot {
				free = free.Sub(j.tasks[i].size)
			}
		}
	}
	return free
}

// countOn returns the number of assigned tasks of j on workers for which in
// returns true.
func (n *naive) countOn(j *job, in func(*worker) bool) (count int) {
	for i := range j.tasks {
		if j.tasks[i].state.assigned() && in(&n.s.workers[j.tasks[i].worker]) {
			count++
		}
	}
	return count
}

func (n *naive) spreadLess(j *job) func(a, b int32) bool {
	rank := func(slot int32) (domain, rack int) {
		w := &n.s.workers[slot]
		domain = n.countOn(j, func(o *worker) bool { return o.domain == w.domain })
		return domain, n.countOn(j, func(o *worker) bool { return o.rack == w.rack })
	}
	return func(a, b int32) bool {
		da, ra := rank(a)
		db, rb := rank(b)
		return cmp.Or(cmp.Compare(da, db), cmp.Compare(ra, rb), n.compareTight(a, b)) < 0
	}
}

func (n *naive) tryOne(j *job, size model.Resources) bool {
	index := j.nextReady(0)
	less := n.preferring(j)
	if j.group.policy == service {
		less = n.spreadLess(j)
	}
	available := func(slot int32) bool { return n.s.workers[slot].available() && n.fits(j, slot, size) }
	reserved := func(slot int32) bool {
		w := &n.s.workers[slot]
		return w.reservation != nil && w.reservation.job == j && n.fits(j, slot, size)
	}
	slot := noSlot
	if j.suspects[index].suspicion != NotSuspected {
		slot = n.findAlone(j, size)
		if slot == noSlot {
			slot = n.findAmongSuspects(j, size)
		}
	} else {
		slot = n.findProbe(j, index, size)
	}
	if slot == noSlot {
		slot = n.best(available, less)
	}
	if slot == noSlot {
		slot = n.best(reserved, n.tighter)
	}
	if slot == noSlot {
		slot = n.backfill(j, size)
	}
	if slot == noSlot && n.borrows(j, size) {
		slot = n.best(func(slot int32) bool {
			r := n.s.workers[slot].reservation
			return r != nil && r.advance && r.job != j && n.fits(j, slot, size) && n.lends(r)
		}, n.tighter)
	}
	if slot == noSlot {
		slot = n.best(func(slot int32) bool { return n.shared(j, slot) && n.fits(j, slot, size) }, func(a, b int32) bool {
			qa, qb := n.quiet(&n.s.workers[a]), n.quiet(&n.s.workers[b])
			return qa && !qb || qa == qb && n.tighter(a, b)
		})
	}
	if slot == noSlot {
		slot = n.findTry(j, index, size)
	}
	if slot == noSlot {
		return false
	}
	n.addPlacement(j, index, slot, size)
	return true
}

func (n *naive) backfill(j *job, size model.Resources) int32 {
	run, ok := n.s.learned.Class(j.group.class).RunTime()
	if !ok || j.group.policy != batch {
		return noSlot
	}
	return n.best(func(slot int32) bool {
		r := n.s.workers[slot].reservation
		if r == nil || r.job == j || !n.fits(j, slot, size) {
			return false
		}
		return n.reservationStarts[r] > n.now && n.now.Add(n.runOn(run, slot)) <= n.reservationStarts[r]
	}, n.tighter)
}

func (n *naive) tryGang(j *job, size model.Resources) bool {
	claims := n.gangClaims(j, size, func(slot int32) bool { return n.fits(j, slot, size) })
	if claims == nil {
		return false
	}
	if len(n.plan.Placements) > 0 && len(n.plan.Placements)+int(n.ready(j)) > n.max {
		n.full = true
		return false
	}
	n.eachClaimed(j, claims, func(index, slot int32) { n.addPlacement(j, index, slot, size) })
	return true
}

// eachClaimed calls assign for each task of a gang, in order.
func (n *naive) eachClaimed(j *job, claims []claim, assign func(index, slot int32)) {
	for _, c := range claims {
		for range c.tasks {
			assign(j.nextReady(0), c.slot)
		}
	}
}

// gangClaims returns the workers for all tasks of a gang, in order, among those that may
// accepts; nil if they do not suffice.
func (n *naive) gangClaims(j *job, size model.Resources, may func(int32) bool) []claim {
	claims := n.fastGangClaims(j, size, may)
	if claims == nil && n.borrows(j, size) {
		claims = n.gangClaimsOn(j, size, may, true)
	}
	if claims == nil {
		claims = n.gangClaimsAmong(j, size, may)
	}
	return claims
}

func (n *naive) gangClaimsOn(j *job, size model.Resources, may func(int32) bool, borrow bool) []claim {
	return n.gangClaimsFrom(j, size, may, borrow, func(w *worker) bool {
		return w.available() || w.reservation != nil && (w.reservation.job == j || borrow && w.reservation.advance)
	})
}

func (n *naive) gangClaimsFrom(j *job, size model.Resources, may func(int32) bool, borrow bool, usable func(*worker) bool) (claims []claim) {
	byRack := map[int32]*gangRack{}
	on := map[int32][]gangWorker{}
	for i := range n.s.workers {
		slot, w := int32(i), &n.s.workers[i]
		if !usable(w) || !may(slot) {
			continue
		}
		if byRack[w.rack] == nil {
			byRack[w.rack] = &gangRack{rack: w.rack, domain: w.domain, region: w.region, tie: w.tie}
		}
		r, tasks := byRack[w.rack], j.tasksThatFit(size, n.free(slot))
		r.tasks += tasks
		r.tie = min(r.tie, w.tie)
		on[w.rack] = append(on[w.rack], gangWorker{slot, noGangWorker, tasks})
	}
	var racks []gangRack
	for _, r := range byRack {
		racks = append(racks, *r)
	}
	var chosen []gangRack
	for _, domain := range n.s.domainsFor(j) {
		in := slices.DeleteFunc(slices.Clone(racks), func(r gangRack) bool { return r.domain != domain })
		if one := fewestRacks(in, n.ready(j)); len(one) == 1 && chosen == nil {
			chosen = one
		}
	}
	if chosen == nil {
		chosen = packRacks(racks, n.ready(j))
	}
	if borrow && !n.lentAll(j, chosen, on) {
		return nil
	}
	left := n.ready(j)
	for _, r := range chosen {
		n.sortGangWorkers(on[r.rack])
		for _, at := range on[r.rack] {
			if tasks := min(at.tasks, left); tasks > 0 {
				claims = append(claims, claim{at.slot, tasks})
				left -= tasks
			}
		}
	}
	return claims
}

func (n *naive) handleUnplacedJob(j *job, size model.Resources) {
	if !n.pressing(j) || n.preemptForJob(j, size) {
		return
	}
	if n.reserveFor(j, size) && j.group.policy == gang {
		n.preemptOnReserved(j, size)
	}
}

// reserveFor reserves workers for a job that has waited long, and reports whether it did.
func (n *naive) reserveFor(j *job, size model.Resources) bool {
	g := j.group
	if !n.pressing(j) || j.reservation != nil || !n.s.mayReserve() || n.now < j.mayReserveFrom() || n.now < j.bookAfter {
		return false
	}
	claims := n.choosePlainClaims(j, size)
	if claims == nil {
		j.reserveAfter = n.now + reservationRetryMillis
		g.reserveAfter = j.reserveAfter
		return false
	}
	for _, c := range claims {
		n.s.addClaim(j, c.slot, c.tasks)
	}
	j.reservation.advance = true
	return true
}

// choosePlainClaims chooses workers to reserve: the emptiest of one failure
// domain, else of all.
func (n *naive) choosePlainClaims(j *job, size model.Resources) []claim {
	need := n.tasksToReserve(j)
	var slots []int32
	for i := range n.s.workers {
		w := &n.s.workers[i]
		if w.available() && n.mayUse(j, int32(i)) && n.mayBook(j, int32(i)) && size.Fits(n.s.freeWithoutBatch(int32(i))) {
			slots = append(slots, int32(i))
		}
	}
	slices.SortFunc(slots, func(a, b int32) int { return n.compareTight(b, a) })
	slots = slots[:min(len(slots), int(need)+reservationScanSpare)]
	ties := slices.Clone(n.s.domainTies)
	slices.Sort(ties)
	for _, tie := range ties {
		in := slices.DeleteFunc(slices.Clone(slots), func(slot int32) bool { return n.s.domainTie(slot) != tie })
		if claims := n.cover(j, in, size, need); claims != nil {
			return claims
		}
	}
	return n.cover(j, slots, size, need)
}

func (n *naive) preemptForJob(j *job, size model.Resources) bool {
	g := j.group
	if j.reservation != nil {
		if n.now >= j.reservation.preemptAfter && n.searches < maxSearches {
			n.searches++
			n.preemptOnReserved(j, size)
		}
		return true
	}
	if n.now < g.searchAfter || n.searches >= maxSearches || g.policy == gang {
		return false
	}
	n.searches++
	for range n.tasksToReserve(j) {
		if j.reservation == nil && !n.s.mayAddPreemptor() || !n.preemptForNext(j, size) {
			break
		}
	}
	if j.reservation == nil {
		g.searchAfter = n.now + searchRetryMillis
	}
	return j.reservation != nil
}

// preemptForNext compares the workers of the first victims and preempts where it
// costs least.
func (n *naive) preemptForNext(j *job, size model.Resources) bool {
	q := &victimSearch{&n.planner, j, size, n.entitled(j, size)}
	var best *candidate
	for _, slot := range n.victimWorkers(q) {
		victims, ok := q.victimsOn(slot, size.Mul(j.reservation.claimed(slot)+1))
		if !ok {
			continue
		}
		if o := q.cost(slot, victims); best == nil || o.less(best) {
			best = &o
		}
	}
	if best == nil {
		return false
	}
	n.s.addClaim(j, best.slot, 1)
	j.reservation.preemptAfter = n.now + searchRetryMillis
	q.preempt(best.victims)
	return true
}

func (n *naive) victimWorkers(q *victimSearch) (out []int32) {
	jobs := slices.DeleteFunc(n.jobs(), func(v *job) bool { return !q.mayPreempt(v) })
	slices.SortFunc(jobs, compareVictims)
	seen := 0
	for _, v := range jobs {
		for i := range v.tasks {
			if !v.tasks[i].state.stoppable() {
				continue
			}
			seen++
			slot := v.tasks[i].worker
			if !slices.Contains(out, slot) && q.eligible(slot) {
				out = append(out, slot)
			}
			if seen >= maxVictimsSeen || len(out) >= maxWorkersCompared {
				return out
			}
		}
	}
	return out
}
