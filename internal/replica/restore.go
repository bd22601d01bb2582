package replica

import (
	"fmt"
	"math"

	"github.com/fxamacker/cbor/v2"

	"github.com/filbertmast/filbertmast/internal/replica/raft"
	"github.com/filbertmast/filbertmast/internal/storage"
)

// restore opens the log and creates the core from the stored state.
func (n *Node) restore() error {
	var err error
	if n.identity.Formed {
		if err := n.requireLog(); err != nil {
			return err
		}
	}
	n.log, err = storage.OpenLog(storage.LogOptions{
		Dir:          n.opts.Dir,
		FS:           n.opts.FS,
		Owner:        uint64(n.identity.ID),
		SegmentBytes: n.opts.SegmentBytes,
	})
	if err != nil {
		return err
	}
	r, err := n.loadRestored()
	if err != nil {
		return err
	}
	if n.identity.Formed && n.log.Last().Index == 0 {
		return &storage.CorruptError{File: n.opts.Dir, Reason: "the log has no entries although the replica belongs to a group"}
	}
	o := raft.Options{ID: n.identity.ID, Seed: n.opts.Seed, ElectionDelayTicks: electionDelay(n.opts.LowElectionPriority)}
	n.core = raft.New(o, r)
	n.compactCore(r.Snapshot.Index)
	n.formed.Store(n.identity.Formed)
	n.logRestored(&r)
	if !n.identity.Formed && r.Last == 0 && !n.opts.Join {
		n.bootstrap, err = newBootstrap(n.opts)
	}
	return err
}

// logRestored logs what the data folder held. A replica that has lost its disk shows here as
// one with an empty folder and a new identity.
func (n *Node) logRestored(r *raft.Restored) {
	n.logger.Info("data folder was read", "id", n.identity.ID, "empty", n.identity.created, "formed", n.identity.Formed,
		"term", r.State.Term, "vote", r.State.Vote, "last", formatPosition(raft.Position(n.log.Last())), "commit", r.State.Commit,
		"snapshot", formatPosition(r.Snapshot), "torn_bytes", n.log.TornBytes())
}

// formatPosition formats the term and the index of a log entry.
func formatPosition(p raft.Position) string { return fmt.Sprintf("%d/%d", p.Term, p.Index) }

func (n *Node) requireLog() error {
	names, err := n.opts.FS.List(n.opts.Dir)
	if err != nil {
		return fmt.Errorf("replica: list data folder: %w", err)
	}
	for _, name := range names {
		if storage.IsSegment(name) {
			return nil
		}
	}
	return &storage.CorruptError{File: n.opts.Dir, Reason: "the log is missing"}
}

// loadRestored reads the position of the newest snapshot, the hard state, the
// terms and memberships of the log, and its uncommitted entries.
func (n *Node) loadRestored() (raft.Restored, error) {
	var r raft.Restored
	snap, config, err := n.newestSnapshot()
	if err != nil {
		return r, err
	}
	if err := n.alignLog(snap); err != nil {
		return r, err
	}
	if state := n.log.State(); state != nil {
		if err := cbor.Unmarshal(state, &r.State); err != nil {
			return r, fmt.Errorf("replica: decode state: %w", err)
		}
	}
	r.Snapshot = snap
	r.Start = raft.Position(n.log.Start())
	for _, t := range n.log.Terms() {
		r.Terms = append(r.Terms, raft.Position(t))
	}
	r.Last = n.log.Last().Index
	if config != nil {
		r.Configs = append(r.Configs, raft.IndexedConfig{Index: snap.Index, Config: *config})
	}
	commit := max(min(r.State.Commit, r.Last), snap.Index)
	return r, n.scanLog(&r, commit)
}

func (n *Node) newestSnapshot() (raft.Position, *raft.Config, error) {
	reader, ok, err := n.snaps.Newest()
	if err != nil || !ok {
		return raft.Position{}, nil, err
	}
	defer func() { _ = reader.Close() }()
	config, err := raft.DecodeConfig(reader.Meta.Config)
	if err != nil {
		return raft.Position{}, nil, fmt.Errorf("replica: decode snapshot membership: %w", err)
	}
	return raft.Position{Index: reader.Meta.Index, Term: reader.Meta.Term}, &config, nil
}

// alignLog resets the log to start after snap if it does not contain that
// position. This happens when a crash came between the installation of a snapshot
// from a leader and the reset of the log.
func (n *Node) alignLog(snap raft.Position) error {
	start := n.log.Start()
	if snap.Index < start.Index {
		return &storage.CorruptError{
			File:   n.opts.Dir,
			Reason: fmt.Sprintf("the log starts after index %d but the newest snapshot is at index %d", start.Index, snap.Index),
		}
	}
	if term, ok := n.log.Term(snap.Index); ok && term == snap.Term {
		return nil
	}
	at := storage.Position(snap)
	return n.log.Append(storage.Batch{Reset: &at})
}

// scanLog reads the entries after the snapshot. It collects the memberships and
// the entries after commit.
func (n *Node) scanLog(r *raft.Restored, commit uint64) error {
	const batchBytes = 1 << 20
	next := r.Snapshot.Index + 1
	for next <= r.Last {
		entries, err := n.log.Read(next, math.MaxUint64, batchBytes)
		if err != nil {
			return err
		}
		for _, e := range entries {
			if err := scanEntry(r, fromStored(e), commit); err != nil {
				return err
			}
		}
		next += uint64(len(entries))
	}
	return nil
}

func scanEntry(r *raft.Restored, e raft.Entry, commit uint64) error {
	if e.Kind == raft.EntryConfig {
		config, err := raft.DecodeConfig(e.Data)
		if err != nil {
			return fmt.Errorf("replica: decode membership at index %d: %w", e.Index, err)
		}
		r.Configs = append(r.Configs, raft.IndexedConfig{Index: e.Index, Config: config})
	}
	if e.Index > commit {
		r.Tail = append(r.Tail, e)
	}
	return nil
}

func fromStored(e storage.Entry) raft.Entry {
	return raft.Entry{Index: e.Index, Term: e.Term, Kind: raft.EntryKind(e.Kind), Data: e.Data}
}

func toStored(e raft.Entry) storage.Entry {
	return storage.Entry{Index: e.Index, Term: e.Term, Kind: uint8(e.Kind), Data: e.Data}
}
