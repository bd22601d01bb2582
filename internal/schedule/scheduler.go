package schedule

import (
	"cmp"
	"encoding/binary"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/filbertmast/filbertmast/internal/ledger"
	"github.com/filbertmast/filbertmast/internal/model"
	"github.com/filbertmast/filbertmast/internal/schedule/capacity"
	"github.com/filbertmast/filbertmast/internal/schedule/learn"
)

// Scheduler holds the view of the cell from which plans are made. It must be used
// by one goroutine only.
type Scheduler struct {
	opts Options

	teams      []*team
	teamByName map[string]int32
	shares     int64 // sum over the declared teams
	queues     map[string]string
	prices     []model.PricePoint

	workers               []worker
	workerByID            map[model.WorkerID]int32
	freeSlots             []int32 // slots of removed workers, for reuse
	regions               interner
	domains               interner
	domainTies            []uint64       // hash of the name, by failure domain
	evacuated             map[int32]bool // evacuated failure domains
	racks                 interner
	labels                labelClasses
	bins                  bins
	shapes                map[shape]int64 // number of workers, by label class and capacity
	groupsCellVersion     uint64          // cellVersion for which all groups were evaluated
	countsVersion         uint64          // incremented when the number of workers of a shape changes
	groupsCountsVersion   uint64          // countsVersion for which all gangs were evaluated
	unreportedFitFailures bool            // some group has a fit failure that was not reported
	planSeq               uint64          // number of the current plan
	gangWorkers           gangWorkers     // scratch space of a plan
	candidates            []Candidate     // scratch space of Candidates
	spread                spread          // scratch space of a plan
	rollingBack           bool            // the placements of a plan are being undone
	cellVersion           uint64          // incremented when limits or the set of worker shapes change
	selectors             selectors
	free                  capacity.Index
	fitBounds             fitBounds
	total                 model.Resources // capacity of the workers that are neither lost nor evacuated
	reserved              model.Resources
	workerCount           int64

	jobs           map[model.JobID]*job
	groups         map[groupKey]*group
	byClass        map[uint64][]*group // groups that share learned sizes and run times, by class
	timers         timers
	deadlines      deadlines
	late           lateMoves // jobs whose place in the order changes with time
	reservations   []*reservation
	bookings       []*booking   // oldest first
	slotsVersion   uint64       // counts changes of which worker has which slot
	pauseEnds      []model.Time // when jobs whose bookings have lapsed may book again
	learned        *learn.Table
	overUses       map[taskRef]overUse
	probation      []int32     // slots of workers on probation
	draining       []int32     // slots of workers to be drained or evacuated
	moving         model.JobID // the last gang that was stopped for an evacuation
	isolated       []int32     // slots of workers kept for a suspect
	keptAlone      int64       // number of those that are kept for the suspect alone
	pendingReports planReports
	readyTasks     int64
	waitingTasks   int64
	assignedTasks  int64

	pastHalfLife   time.Duration   // of the past use of teams; zero: it is not considered
	pastTotal      model.Resources // total for which the terms of past use were computed
	pastTermsStale bool            // the terms must be computed again
}

// Stats counts the tasks, jobs and workers of the cell and sums their resources.
type Stats struct {
	Running      int64 // tasks assigned to a worker
	Waiting      int64 // pending tasks, including those in backoff
	Jobs         int64
	Workers      int64           // known and not lost
	Reserved     model.Resources // on the workers of Total
	Total        model.Resources // capacity of the workers that are neither lost nor evacuated
	Reservations int             // jobs for which workers are reserved
}

// New returns a Scheduler of an empty cell.
func New(o Options) *Scheduler {
	o = o.withDefaults()
	s := &Scheduler{
		opts:       o,
		teamByName: map[string]int32{},
		queues:     map[string]string{},
		workerByID: map[model.WorkerID]int32{},
		jobs:       map[model.JobID]*job{},
		groups:     map[groupKey]*group{},
		byClass:    map[uint64][]*group{},
		shapes:     map[shape]int64{},
		bins:       bins{shared: maxSeparateClasses},
		overUses:   map[taskRef]overUse{},
	}
	s.learned = learn.New(o.MaxClasses, s.learnedChanged)
	return s
}

// Stats returns the current counts.
func (s *Scheduler) Stats() Stats {
	return Stats{
		Running:      s.assignedTasks,
		Waiting:      s.readyTasks + s.waitingTasks,
		Jobs:         int64(len(s.jobs)),
		Workers:      s.workerCount,
		Reserved:     s.inUse(),
		Total:        s.total,
		Reservations: len(s.reservations),
	}
}

// PriceFor returns the price of one core-second, in micro-units, for work with the
// given patience.
func (s *Scheduler) PriceFor(patience model.Duration) int64 {
	return ledger.PriceFor(s.prices, patience)
}

// Team returns the current usage of the named team, and false if the team is
// unknown.
func (s *Scheduler) Team(name string) (TeamUsage, bool) {
	i, ok := s.teamByName[name]
	if !ok {
		return TeamUsage{}, false
	}
	t := s.teams[i]
	return TeamUsage{Running: t.running, Reserved: t.reserved, RequestPermits: t.requestPermits}, true
}

// Worker returns the resources reserved on a worker, the number of its tasks and
// whether it is on probation. The last result is false if the worker is unknown.
func (s *Scheduler) Worker(id model.WorkerID) (reserved model.Resources, tasks int32, probation, ok bool) {
	slot, ok := s.workerByID[id]
	if !ok {
		return model.Resources{}, 0, false, false
	}
	w := &s.workers[slot]
	return w.capacity.Sub(w.free), int32(len(w.tasks)), w.onProbation(), true
}

func (s *Scheduler) configure(e ConfigChanged) {
	for _, t := range s.teams {
		t.declared = false
		t.share, t.maxRunning, t.maxResources = 0, 0, model.Resources{}
	}
	s.shares = 0
	s.pastTermsStale = true
	s.cellVersion++
	for i := range e.Teams {
		d := &e.Teams[i]
		t := s.team(d.Name)
		t.declared = true
		t.share, t.maxRunning, t.maxResources = d.Share, d.MaxRunning, d.MaxResources
		s.shares += max(d.Share, 0)
	}
	s.setQueues(e.Queues)
	s.prices = slices.Clone(e.Prices)
	slices.SortFunc(s.prices, func(a, b model.PricePoint) int { return cmp.Compare(a.Patience, b.Patience) })
}

func (s *Scheduler) team(name string) *team { return s.teams[s.teamIndex(name)] }

func (s *Scheduler) teamIndex(name string) int32 {
	i, ok := s.teamByName[name]
	if !ok {
		name = strings.Clone(name)
		i = int32(len(s.teams))
		s.teams = append(s.teams, &team{name: name, victims: newVictims()})
		s.teamByName[name] = i
	}
	return i
}

// groupFor returns the group of a submitted job, which it creates if need be.
func (s *Scheduler) groupFor(e *JobSubmitted) *group {
	spec := &e.Spec
	team := s.teamIndex(e.Team)
	key := groupKey{
		team:        team,
		queue:       spec.Queue,
		jobSelector: spec.Selector,
		class:       s.classOf(e.Team, spec),
		policy:      policyOf(spec.Policy),
		lasting:     spec.Lasting,
		perWorker:   spec.PerWorker(),
		repeatable:  !spec.NotRepeatable,
		checkpoint:  spec.Checkpointable,
		size:        spec.Size,
	}
	if key.policy == gang {
		key.gang = spec.Tasks
	}
	g := s.groups[key]
	if g == nil {
		g = &group{groupKey: key, slot: -1, sizeCellVersion: noVersion, fitCellVersion: noVersion}
		s.groups[key] = g
		s.useSelector(g, s.queues[key.queue])
		s.byClass[key.class] = append(s.byClass[key.class], g)
	}
	return g
}

// classOf returns the ID under which the sizes and run times of a job are learned.
func (s *Scheduler) classOf(team string, spec *model.JobSpec) uint64 {
	class := spec.Class
	if class == "" {
		class = spec.Name
	}
	var d xxhash.Digest
	d.ResetWithSeed(s.opts.Seed)
	_, _ = d.WriteString(team)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(class)
	return d.Sum64()
}

// hash returns a hash of the seed and the given values.
func (s *Scheduler) hash(values ...uint64) uint64 {
	var d xxhash.Digest
	d.ResetWithSeed(s.opts.Seed)
	var b [8]byte
	for _, v := range values {
		binary.LittleEndian.PutUint64(b[:], v)
		_, _ = d.Write(b[:])
	}
	return d.Sum64()
}

func (s *Scheduler) hashString(v string) uint64 {
	var d xxhash.Digest
	d.ResetWithSeed(s.opts.Seed)
	_, _ = d.WriteString(v)
	return d.Sum64()
}

// interner assigns dense numbers to strings.
type interner struct {
	byName map[string]int32
}

func (n *interner) intern(name string) int32 {
	if i, ok := n.byName[name]; ok {
		return i
	}
	if n.byName == nil {
		n.byName = map[string]int32{}
	}
	i := int32(len(n.byName))
	n.byName[strings.Clone(name)] = i
	return i
}
