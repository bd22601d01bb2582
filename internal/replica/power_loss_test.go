package replica

import (
	"cmp"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/filbertmast/filbertmast/internal/storage/faultfs"
)

func disk(o Options) *faultfs.FS { return o.FS.(*faultfs.FS) }

// A follower is killed while it syncs an entry, and acknowledges the entry after its restart.
// Then the leader loses its disk and the others lose power.
func TestEntryAcknowledgedAfterKillSurvivesPowerLoss(t *testing.T) {
	w := newNetwork()
	options := groupOptions(3)
	for i := range options {
		options[i].Tick = DefaultTick
	}
	group := startAll(t, w, options)
	proposeMany(10, group...)
	leader := awaitLeader(group...)
	for _, m := range group {
		m.awaitEntries(10)
	}
	rest := others(group, leader)
	killed, slow := slices.Index(group, rest[0]), slices.Index(group, rest[1])

	release := disk(options[slow]).BlockSyncs()
	defer release()
	disk(options[killed]).FailSyncs(true)
	proposeUntilAccepted("acknowledged", leader)
	assert.ErrorIs(t, <-group[killed].Fatal(), faultfs.ErrSync)
	group[killed].stop()
	disk(options[killed]).FailSyncs(false)
	group[killed] = startMember(t, w, options[killed])
	committed := leader.awaitEntries(11)

	group[killed].link.stop()
	group[slow].link.stop()
	leader.link.stop()
	options[killed].FS = disk(options[killed]).LosePower()
	options[slow].FS = disk(options[slow]).LosePower()
	release()
	for _, m := range group {
		m.stop()
	}
	next := awaitLeader(startMember(t, w, options[killed]), startMember(t, w, options[slow]))
	assert.DeepEqual(t, next.state(), committed)
}

// powerLossSim is a group whose processes are killed and whose machines lose power, some of
// them together with their disks.
type powerLossSim struct {
	t         *testing.T
	rng       *rand.Rand
	net       *network
	options   []Options
	group     []*member
	spared    map[int]bool // members that most often keep their disks in the next loss of power
	release   []func()     // ends the hanging of disks
	delivered []Entry      // on any member
	proposed  int
}

// Runs few seeds. FILBERTMAST_SIM_SEEDS sets how many.
func TestDeliveredEntriesSurvivePowerLossWithLostDisks(t *testing.T) {
	seeds := uint64(1)
	if v, err := strconv.ParseUint(os.Getenv("FILBERTMAST_SIM_SEEDS"), 10, 64); err == nil {
		seeds = v
	}
	for seed := uint64(1); seed <= seeds; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			const replicas, rounds = 5, 5
			s := &powerLossSim{t: t, rng: rand.New(rand.NewPCG(seed, 0)), net: newNetwork(), options: groupOptions(replicas), delivered: []Entry{}}
			for i := range s.options {
				s.options[i].Tick = 10 * time.Millisecond
			}
			s.group = startAll(t, s.net, s.options)
			for range rounds {
				s.propose(1 + s.rng.IntN(30))
				s.trySave(s.group[s.rng.IntN(len(s.group))])
				s.killSome()
				s.losePower()
			}
		})
	}
}

// propose proposes n entries, most of which share their syncs with others.
func (s *powerLossSim) propose(n int) {
	for range n {
		s.proposed++
		data := fmt.Sprintf("p%d", s.proposed)
		if s.rng.IntN(4) == 0 {
			proposeUntilAccepted(data, s.group...)
		} else {
			_ = s.group[s.rng.IntN(len(s.group))].Propose([]byte(data))
		}
	}
}

// trySave saves a snapshot unless the process is killed meanwhile.
func (s *powerLossSim) trySave(m *member) {
	s.net.mu.Lock()
	index, entries := m.applied, slices.Clone(m.entries)
	s.net.mu.Unlock()
	_ = m.SaveSnapshot(index, func(w io.Writer) error { return encodeState(w, entries) })
}

// killSome kills up to two processes at any point of their writes and starts them again on
// the files that they have left. The disks of up to two others hang until power is lost, so that
// commits rest on the killed ones. Sometimes nothing is proposed after that.
func (s *powerLossSim) killSome() {
	order := s.rng.Perm(len(s.group))
	leader := slices.Index(s.group, awaitLeader(s.group...))
	killed, hanging := order[:s.rng.IntN(3)], order[2:2+s.rng.IntN(3)]
	hanging = slices.DeleteFunc(slices.Clone(hanging), func(i int) bool { return i == leader })
	s.spared = map[int]bool{}
	for _, i := range hanging {
		s.spared[i] = true
		s.release = append(s.release, disk(s.options[i]).BlockSyncs())
	}
	for _, i := range killed {
		s.spared[i] = true
		m := s.group[i]
		disk(s.options[i]).KillAfter(s.rng.IntN(8))
		s.awaitDeath(m)
		m.stop()
		s.delivered = longerLog(s.t, s.delivered, m.state())
		disk(s.options[i]).Restart()
		s.group[i] = startMember(s.t, s.net, s.options[i])
	}
	if s.rng.IntN(3) == 0 {
		s.propose(1)
	}
	const ticksToRejoin = 8 // the leader hears which entries the killed ones hold
	awaitTicks(s.t, ticksToRejoin, s.group...)
}

// awaitDeath keeps the group busy until m has failed.
func (s *powerLossSim) awaitDeath(m *member) {
	pace := time.NewTicker(m.opts.Tick)
	defer pace.Stop()
	saves := s.rng.IntN(2) == 0
	for {
		select {
		case <-m.Fatal():
			return
		case <-pace.C:
			for _, to := range s.group {
				_ = to.Propose([]byte("busy"))
			}
			if saves {
				s.trySave(m)
			}
		}
	}
}

// losePower ends all processes, loses up to two disks, starts the processes again, and checks
// that the next leader delivers all that was delivered before. Then the lost disks are replaced.
func (s *powerLossSim) losePower() {
	for i := range s.group {
		disk(s.options[i]).KillAfter(0)
	}
	for _, release := range s.release {
		release()
	}
	s.release = nil
	for _, m := range s.group {
		m.stop()
	}
	for _, m := range s.group {
		s.delivered = longerLog(s.t, s.delivered, m.state())
	}
	lost := s.chooseLostDisks()
	var rest []*member
	for i := range s.group {
		if slices.Contains(lost, i) {
			continue
		}
		if s.rng.IntN(2) == 0 {
			s.options[i].FS = disk(s.options[i]).LosePower()
		} else {
			s.options[i].FS = disk(s.options[i]).Crash(s.rng.IntN)
		}
		s.group[i] = startMember(s.t, s.net, s.options[i])
		rest = append(rest, s.group[i])
	}
	state := awaitLeader(rest...).state()
	assert.Assert(s.t, len(state) >= len(s.delivered), "%d of %d delivered entries are left", len(state), len(s.delivered))
	longerLog(s.t, s.delivered, state)
	for _, i := range lost {
		s.replace(i, rest)
		rest = append(rest, s.group[i])
	}
}

// chooseLostDisks returns up to two members. Most often it chooses those that hold the longest
// logs and whose disks did all that was asked of them.
func (s *powerLossSim) chooseLostDisks() []int {
	order := s.rng.Perm(len(s.group))
	if s.rng.IntN(4) != 0 {
		slices.SortStableFunc(order, func(a, b int) int {
			switch {
			case s.spared[a] && !s.spared[b]:
				return 1
			case s.spared[b] && !s.spared[a]:
				return -1
			default:
				return cmp.Compare(s.group[b].log.Last().Index, s.group[a].log.Last().Index)
			}
		})
	}
	return order[:min(s.rng.IntN(4), 2)]
}

// replace starts a process on an empty disk in place of member i.
func (s *powerLossSim) replace(i int, rest []*member) {
	old := s.group[i].Status().ID
	s.options[i] = withEmptyDisk(s.options[i], true)
	s.group[i] = startMember(s.t, s.net, s.options[i])
	for awaitLeader(rest...).Replace(testContext(s.t), old, s.group[i].Status().ID, s.options[i].Address) != nil {
		continue
	}
}
