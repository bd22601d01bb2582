package control

import (
	"time"

	"github.com/filbertmast/filbertmast/internal/model"
	"github.com/filbertmast/filbertmast/internal/replica"
	"github.com/filbertmast/filbertmast/internal/state"
)

// electionPriorityInterval is the time between checks of the regions of the voters.
const electionPriorityInterval = time.Second

// electionPriority is the priority that this replica has in elections.
type electionPriority struct {
	nextCheck model.Time
	known     bool // low was determined from the regions of the voters
	low       bool
}

// updateElectionPriority lowers the priority of this replica in elections while another region
// has more voters than its own: as the leader it would need the link between regions for each
// commit. Until the regions of all voters are known, the priority of the settings applies.
func (c *core) updateElectionPriority(now model.Time) {
	p := &c.priority
	if now < p.nextCheck {
		return
	}
	p.nextCheck = now.Add(electionPriorityInterval)
	low, known := inSmallerRegion(c.s.opts.Log.Status(), c.machine.Members())
	if !known {
		return
	}
	if !p.known || p.low != low {
		p.known, p.low = true, low
		c.s.opts.Log.SetLowElectionPriority(low)
		c.log.Info("Priority in elections was determined by the regions of the voters.", "low", low)
	}
	c.resignWhileIdle()
}

// resignWhileIdle lets a replica of a region with more voters lead. While there is work, a
// change of the leader would cost callers more than the commits.
func (c *core) resignWhileIdle() {
	if !c.priority.low || c.leader == nil || c.leader.sched.Stats().Jobs > 0 {
		return
	}
	c.log.Info("Leader resigns: another region has more voters, and no job is unfinished.", "term", c.leader.term)
	c.s.opts.Log.Resign()
}

// inSmallerRegion reports whether another region has more voters than that of the replica with
// the given status. The second result is false if the region of a voter is not known, or if the
// replica is no voter.
func inSmallerRegion(st replica.Status, members []state.Member) (smaller, known bool) {
	regions := make(map[string]string, len(members))
	for _, m := range members {
		regions[m.Inner] = m.Region
	}
	own := ""
	voters := map[string]int{}
	for _, m := range st.Members {
		if !m.Voter {
			continue
		}
		region := regions[m.Address]
		if region == "" {
			return false, false
		}
		voters[region]++
		if m.ID == st.ID {
			own = region
		}
	}
	for _, n := range voters {
		smaller = smaller || n > voters[own]
	}
	return smaller, own != ""
}
