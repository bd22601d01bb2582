package raft

import (
	"math/rand/v2"
	"slices"
)

const (
	// DefaultElectionTicks is the shortest time without a leader before an
	// election.
	DefaultElectionTicks = 10
	// DefaultHeartbeatTicks is the time between heartbeats.
	DefaultHeartbeatTicks = 2

	defaultMaxAppendBytes = 256 << 10
	// defaultMaxInflightBytes fills a path of 10 MB/s with 100 ms there and back. More
	// would wait in the transport's queue, and the owner would be busy with sending it.
	defaultMaxInflightBytes = 1 << 20
	defaultMaxTailBytes     = 4 << 20
)

// Options configures a core. Zero values select the defaults.
type Options struct {
	ID             ID
	Seed           uint64 // of the random election timeouts
	ElectionTicks  int
	HeartbeatTicks int
	// ElectionDelayTicks is added to the election timeout of this replica, so
	// that a better placed replica becomes leader.
	ElectionDelayTicks int
	MaxAppendBytes     int // entries in one Append message
	MaxInflightBytes   int // entries sent to one peer and not yet acknowledged
	MaxTailBytes       int // committed and durable entries kept in memory

	unsafe unsafeOptions
}

// unsafeOptions disable protections, so that tests can show that each of them is
// needed.
type unsafeOptions struct {
	noPreVote           bool
	noStickiness        bool // votes are granted despite recent contact with a leader
	noStartupVoteDelay  bool // votes are granted right after a start
	noTermCheck         bool // entries of earlier terms are committed by counting replicas
	noPersistWait       bool // replies do not wait for the disk
	noCheckQuorum       bool
	promoteLagging      bool // learners are promoted before they are caught up
	leaseDuringTransfer bool // a transfer does not void the lease
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

// Restored is the state that a replica has read from its disk.
type Restored struct {
	State HardState
	// Start is the position before the first entry in the log.
	Start Position
	Terms []Position // first position of each run of entries with equal terms
	Last  uint64
	// Configs are the memberships with the index of their entries, oldest first.
	// The first is that of the snapshot, or the initial one.
	Configs []IndexedConfig
	// Snapshot is the position of the newest snapshot.
	Snapshot Position
	// Tail holds the newest entries. It must contain all entries after the commit
	// index.
	Tail []Entry
}

// IndexedConfig is a membership and the index of the entry that contains it.
type IndexedConfig struct {
	Index  uint64
	Config Config
}

// Core is the consensus state of one replica. It is not safe for concurrent use.
type Core struct {
	opts Options
	rng  *rand.Rand

	role    Role
	term    uint64
	vote    ID
	leader  ID
	log     raftLog
	configs []IndexedConfig

	lacksSpace bool
	stateLimit int64 // of this replica in bytes; zero: unknown

	// Election state, in ticks.
	electionElapsed  int
	electionTimeout  int
	retryTicks       int    // shortest time until a candidate tries again
	matched          uint64 // highest index known to match the log of the leader of this term
	ticksSinceLeader int    // since the last contact with a leader, or since the start
	votes            map[ID]bool

	// Leader state.
	progress         map[ID]*progress
	heartbeatElapsed int
	seq              uint64
	termStart        uint64 // index of the first entry of the leader's term
	transferee       ID
	transferElapsed  int

	out          Ready
	emittedState HardState    // the state returned last by Ready
	nextBatch    uint64       // number of the next batch
	truncations  []truncation // by batches that may not be durable yet
}

// New returns a core with the state r, as a follower. It grants no vote until an
// election timeout has passed, since it may have acknowledged the lease of a
// leader just before it stopped.
func New(o Options, r Restored) *Core {
	o = o.withDefaults()
	c := &Core{
		opts:         o,
		rng:          rand.New(rand.NewPCG(o.Seed, uint64(o.ID))),
		term:         r.State.Term,
		vote:         r.State.Vote,
		emittedState: r.State,
		retryTicks:   firstRetryTicks,
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

// Role returns the current role.
func (c *Core) Role() Role { return c.role }

// Term returns the current term.
func (c *Core) Term() uint64 { return c.term }

// LeaderID returns the leader of the term, or None if it is unknown.
func (c *Core) LeaderID() ID { return c.leader }

// Commit returns the highest committed index.
func (c *Core) Commit() uint64 { return c.log.committed }

// Deliverable returns the highest index that is both committed and durable here.
// Only entries up to it are applied to the state of the owner, so that a snapshot
// of that state is never ahead of the log.
func (c *Core) Deliverable() uint64 { return min(c.log.committed, c.log.persisted) }

// Last returns the position of the last entry.
func (c *Core) Last() Position { return c.log.lastPosition() }

// TermStart returns, on a leader, the index of the first entry of its term.
func (c *Core) TermStart() uint64 { return c.termStart }

// UncommittedBytes returns the memory of the uncommitted entries in bytes.
func (c *Core) UncommittedBytes() int { return c.log.uncommittedBytes }

// TermAt returns the term of the entry at index. ok is false if the term is not
// known.
func (c *Core) TermAt(index uint64) (term uint64, ok bool) { return c.log.term(index) }

// Config returns the current membership: that of the newest entry that contains
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

// isVoter reports whether this replica is a voter of the current membership.
func (c *Core) isVoter() bool {
	p, ok := c.Config().Find(c.opts.ID)
	return ok && p.Voter
}

func (c *Core) soleVoter() bool { return c.isVoter() && c.Config().Voters() == 1 }

// bootstrapTerm is the term of the first entry, which is the same on all
// founders.
const bootstrapTerm = 1

// Bootstrap initializes an empty replica with the membership that all founders
// have agreed to. The membership becomes the first entry, which is committed from
// the start.
func (c *Core) Bootstrap(config Config) {
	if c.log.last > 0 || len(c.configs) > 0 {
		return
	}
	c.term = max(c.term, bootstrapTerm)
	c.appendEntries([]Entry{{Index: 1, Term: bootstrapTerm, Kind: EntryConfig, Data: config.Encode()}})
	c.commitTo(1)
}

// appendEntries adds entries to the log and applies the memberships in them.
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

// Compact notifies the core that a snapshot covers all entries up to p, and that peers
// which lack any of them are to be sent the snapshot.
func (c *Core) Compact(p Position) {
	c.log.compact(p)
	for len(c.configs) > 1 && c.configs[1].Index <= p.Index {
		c.configs = c.configs[1:]
	}
}

// Restore replaces the log by a snapshot that is already durable. It returns
// false if the log already contains the position p; then it only advances the
// commit index.
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

// replySnapshot reports to the leader how far the log reaches after a snapshot.
func (c *Core) replySnapshot() {
	if c.leader == None || c.leader == c.opts.ID {
		return
	}
	c.sendDurable(Message{Kind: AppendReply, To: c.leader, Term: c.term, Index: c.log.committed})
}

// commitTo advances the commit index.
func (c *Core) commitTo(index uint64) {
	c.log.commitTo(min(index, c.log.last))
}
