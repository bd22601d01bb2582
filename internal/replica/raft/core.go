package raft

import (
	"math/rand/v2"
	"slices"
)

const (
	// DefaultElectionTicks is the least time without a leader before an election.
	DefaultElectionTicks = 10
	// DefaultHeartbeatTicks is the time between heartbeats.
	DefaultHeartbeatTicks = 2

	defaultMaxAppendBytes   = 256 << 10
	defaultMaxInflightBytes = 4 << 20
	defaultMaxTailBytes     = 4 << 20
)

// Options sets up a core. Zero values mean the defaults.
type Options struct {
	ID             ID
	Seed           uint64 // for the jitter of elections
	ElectionTicks  int
	HeartbeatTicks int
	// ElectionDelayTicks is what this replica waits beyond others before it calls for an
	// election, so that one in a better place leads.
	ElectionDelayTicks int
	MaxAppendBytes     int // data of one Append
	MaxInflightBytes   int // appended to one peer and not yet acknowledged
	MaxTailBytes       int // entries kept in memory that are committed and durable

	unsafe unsafeOptions
}

// unsafeOptions turn protections off, so that tests can show that they are needed.
type unsafeOptions struct {
	noPreVote           bool
	noStickiness        bool // votes are granted while a leader is heard
	noStartupVoteDelay  bool // votes are granted right after a start
	noTermCheck         bool // entries of earlier terms are committed by count
	noPersistWait       bool // replies do not wait for the disk
	noCheckQuorum       bool
	promoteLagging      bool // learners are promoted before they are caught up
	leaseDuringTransfer bool // a transfer leaves the lease in force
	overlappingChanges  bool // membership changes overlap
}

func (o Options) withDefaults() Options {
	o.ElectionTicks = orDefault(o.ElectionTicks, DefaultElectionTicks)
	o.HeartbeatTicks = orDefault(o.HeartbeatTicks, DefaultHeartbeatTicks)
	o.MaxAppendBytes = orDefault(o.MaxAppendBytes, defaultMaxAppendBytes)
	o.MaxInflightBytes = orDefault(o.MaxInflightBytes, defaultMaxInflightBytes)
	o.MaxTailBytes = orDefault(o.MaxTailBytes, defaultMaxTailBytes)
	return o
}

func orDefault(v, def int) int {
	if v == 0 {
		return def
	}
	return v
}

// Restored is what a replica finds on its disk.
type Restored struct {
	State HardState
	// Start is the position before the first entry held.
	Start Position
	Terms []Position // first position of each run of entries with one term
	Last  uint64
	// Configs are the memberships in the log, oldest first, with the index of
	// their entry; the first is that of the snapshot, or the founding one.
	Configs []IndexedConfig
	// Snapshot is the position of the newest snapshot.
	Snapshot Position
	// Tail holds the newest entries; it must reach back to the commit index.
	Tail []Entry
}

// IndexedConfig is a membership and the index of the entry that brought it.
type IndexedConfig struct {
	Index  uint64
	Config Config
}

// Core is one replica. It is not safe for concurrent use.
type Core struct {
	opts Options
	rng  *rand.Rand

	role    Role
	term    uint64
	vote    ID
	leader  ID
	log     raftLog
	configs []IndexedConfig

	// Election state, in ticks.
	electionElapsed  int
	electionTimeout  int
	matched          uint64 // highest index known to agree with the leader of the term
	ticksSinceLeader int    // since a leader was last heard, or since the start
	votes            map[ID]bool

	// Leader state.
	progress         map[ID]*progress
	heartbeatElapsed int
	seq              uint64
	termStart        uint64 // index of the first entry of the leader's term
	transferee       ID
	transferElapsed  int

	out          Ready
	emittedState HardState    // the state handed out last
	nextBatch    uint64       // number of the next batch
	truncations  []truncation // of batches that may not be durable yet
}

// New returns a core that starts from r. It is a follower, and grants no vote
// until an election timeout has passed: it may have acknowledged a leader's
// lease just before it stopped.
func New(o Options, r Restored) *Core {
	o = o.withDefaults()
	c := &Core{
		opts:         o,
		rng:          rand.New(rand.NewPCG(o.Seed, uint64(o.ID))),
		term:         r.State.Term,
		vote:         r.State.Vote,
		emittedState: r.State,
		configs:      slices.Clone(r.Configs),
		log: raftLog{
			start:     r.Start,
			terms:     slices.Clone(r.Terms),
			last:      r.Last,
			persisted: r.Last,
			committed: max(min(r.State.Commit, r.Last), r.Snapshot.Index),
			tail:      slices.Clone(r.Tail),
			maxTail:   o.MaxTailBytes,
		},
	}
	for _, e := range c.log.tail {
		c.log.tailBytes += entryCost(e)
		if e.Index > c.log.committed {
			c.log.uncommittedBytes += entryCost(e)
		}
	}
	if o.unsafe.noStartupVoteDelay {
		c.ticksSinceLeader = o.ElectionTicks
	}
	c.resetElectionTimer()
	return c
}

// ID returns the identity of this replica.
func (c *Core) ID() ID { return c.opts.ID }

// Role returns what the replica does.
func (c *Core) Role() Role { return c.role }

// Term returns the current term.
func (c *Core) Term() uint64 { return c.term }

// LeaderID returns the leader of the term, or None.
func (c *Core) LeaderID() ID { return c.leader }

// Commit returns the highest committed index.
func (c *Core) Commit() uint64 { return c.log.committed }

// Deliverable returns the highest index that is both committed and durable
// here. Only up to it are entries given to the owner's state, so that a
// snapshot of that state never runs ahead of the log.
func (c *Core) Deliverable() uint64 { return min(c.log.committed, c.log.persisted) }

// Last returns the position of the last entry.
func (c *Core) Last() Position { return c.log.lastPosition() }

// TermStart returns, on a leader, the index of the first entry of its term.
func (c *Core) TermStart() uint64 { return c.termStart }

// UncommittedBytes returns the memory held by entries that are not committed.
func (c *Core) UncommittedBytes() int { return c.log.uncommittedBytes }

// TermAt returns the term of the entry at index; ok is false where it is not
// known any more.
func (c *Core) TermAt(index uint64) (term uint64, ok bool) { return c.log.term(index) }

// Config returns the membership in force: that of the newest entry that brings
// one, committed or not.
func (c *Core) Config() Config {
	if len(c.configs) == 0 {
		return Config{}
	}
	return c.configs[len(c.configs)-1].Config
}

// ConfigAt returns the membership in force at index.
func (c *Core) ConfigAt(index uint64) Config {
	for i := len(c.configs) - 1; i >= 0; i-- {
		if c.configs[i].Index <= index {
			return c.configs[i].Config
		}
	}
	return Config{}
}

func (c *Core) configIndex() uint64 {
	if len(c.configs) == 0 {
		return 0
	}
	return c.configs[len(c.configs)-1].Index
}

// isVoter reports whether this replica is a voter of the membership in force.
func (c *Core) isVoter() bool {
	p, ok := c.Config().Find(c.opts.ID)
	return ok && p.Voter
}

func (c *Core) soleVoter() bool { return c.isVoter() && c.Config().Voters() == 1 }

// bootstrapTerm is the term of the first entry, which all founders write alike.
const bootstrapTerm = 1

// Found gives an empty replica the membership that all founders have agreed to,
// as a first entry that is committed from the start.
func (c *Core) Bootstrap(config Config) {
	if c.log.last > 0 || len(c.configs) > 0 {
		return
	}
	c.term = max(c.term, bootstrapTerm)
	c.appendEntries([]Entry{{Index: 1, Term: bootstrapTerm, Kind: EntryConfig, Data: config.Encode()}})
	c.commitTo(1)
}

// appendEntries adds entries to the log and takes over memberships in them.
func (c *Core) appendEntries(entries []Entry) {
	if len(entries) == 0 {
		return
	}
	first := entries[0].Index
	for n := len(c.configs); n > 1 && c.configs[n-1].Index >= first; n-- {
		c.configs = c.configs[:n-1]
	}
	if first <= c.log.last {
		c.truncations = append(c.truncations, truncation{batch: c.nextBatch, index: first - 1})
	}
	c.log.append(entries)
	c.out.append(entries)
	for _, e := range entries {
		if e.Kind != EntryConfig {
			continue
		}
		config, err := DecodeConfig(e.Data)
		if err != nil {
			continue
		}
		c.configs = append(c.configs, IndexedConfig{Index: e.Index, Config: config})
		c.syncProgress()
	}
}

// Compact tells the core that the log on disk now starts after p and that a
// snapshot covers at least that much.
func (c *Core) Compact(p Position) {
	c.log.compact(p)
	for len(c.configs) > 1 && c.configs[1].Index <= p.Index {
		c.configs = c.configs[1:]
	}
}

// Restore replaces the log by a snapshot that is durable already. It reports
// false where the log holds as much, and then only the commit index moves.
func (c *Core) Restore(p Position, config Config) bool {
	if p.Index <= c.log.committed {
		c.replySnapshot()
		return false
	}
	if c.log.matches(p) {
		c.commitTo(p.Index)
		c.replySnapshot()
		return false
	}
	c.truncations = append(c.truncations, truncation{batch: c.nextBatch, index: c.log.committed})
	c.log.reset(p)
	c.configs = []IndexedConfig{{Index: p.Index, Config: config}}
	c.out.Entries = nil
	c.out.Reset = &p
	c.syncProgress()
	c.replySnapshot()
	return true
}

// replySnapshot tells the leader how far the log reaches after a snapshot.
func (c *Core) replySnapshot() {
	if c.leader == None || c.leader == c.opts.ID {
		return
	}
	c.sendDurable(Message{Kind: AppendReply, To: c.leader, Term: c.term, Index: c.log.committed})
}

// commitTo moves the commit index forward.
func (c *Core) commitTo(index uint64) {
	c.log.commitTo(min(index, c.log.last))
}
