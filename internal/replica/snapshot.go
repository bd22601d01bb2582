package replica

import (
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/filbertmast/filbertmast/internal/errkind"
	"github.com/filbertmast/filbertmast/internal/replica/raft"
	"github.com/filbertmast/filbertmast/internal/storage"
)

// freeSpaceCheckTicks is the number of ticks between checks of the free disk
// space.
const freeSpaceCheckTicks = 20

// maxTrailingBytes bounds the entries in bytes that stay in the log behind a snapshot. The disk
// keeps whole segments.
const maxTrailingBytes = 16 << 20

// SaveSnapshot stores the state at index, which write produces, and drops log
// entries older than TrailingEntries or maxTrailingBytes before it. The owner of the state calls it
// with a state that has applied exactly the entries up to index. If the disk is
// full it returns StorageFull and the previous snapshot stays in place.
func (n *Node) SaveSnapshot(index uint64, write func(io.Writer) error) error {
	var meta storage.SnapshotMeta
	known := false
	err := n.call(func() {
		meta.Index = index
		meta.Term, known = n.core.TermAt(index)
		meta.Config = n.core.ConfigAt(index).Encode()
	})
	if err != nil {
		return err
	}
	if !known || index == 0 {
		return errkind.New(errkind.BadRequest, "the log does not reach back to index %d", index)
	}
	if err := n.snaps.Save(meta, write); err != nil {
		return n.storageError(err)
	}
	var keepAfter uint64
	if err := n.call(func() { keepAfter = n.compactCore(index) }); err != nil {
		return err
	}
	if keepAfter == 0 {
		return nil
	}
	if _, err := n.log.Compact(keepAfter); err != nil {
		return n.storageError(err)
	}
	return nil
}

// compactCore notifies the core that a snapshot at index exists, and returns the index
// after which entries are kept for other replicas. The disk may hold older ones, since it
// removes whole segments; a replica that lacks them is sent the snapshot, which is
// smaller. Entries after a snapshot that is being sent are kept.
func (n *Node) compactCore(index uint64) (keepAfter uint64) {
	keepAfter = max(index-min(index, n.opts.TrailingEntries), n.log.StartOfLast(index, maxTrailingBytes))
	for _, s := range n.senders {
		keepAfter = min(keepAfter, s.file.Meta.Index)
	}
	if term, ok := n.core.TermAt(keepAfter); ok {
		n.core.Compact(raft.Position{Index: keepAfter, Term: term})
	}
	return keepAfter
}

// storageError wraps a full disk as StorageFull. A failed sync is fatal.
func (n *Node) storageError(err error) error {
	var sync *storage.SyncError
	switch {
	case storage.IsFull(err) && !errors.As(err, &sync):
		return errkind.Wrap(errkind.StorageFull, err, "replica")
	case errors.As(err, &sync):
		n.fail(err)
	}
	return fmt.Errorf("replica: %w", err)
}

// setDiskFull records whether the last write of the log failed because the disk
// is full. The writer retries until it succeeds.
func (n *Node) setDiskFull(full bool) {
	if n.diskFull.Swap(full) == full {
		return
	}
	if full {
		n.logger.Error("disk is full, proposals are refused")
	} else {
		n.logger.Info("disk has room again, proposals are accepted")
	}
}

// checkFreeSpace compares the free disk space with MinFreeBytes.
func (n *Node) checkFreeSpace() {
	free, err := n.opts.FS.FreeBytes(n.opts.Dir)
	if err != nil {
		n.logger.Warn("could not determine the free disk space", "err", err)
		return
	}
	low := free < n.opts.MinFreeBytes
	if n.lowSpace.Swap(low) != low {
		n.logger.Warn("free disk space crossed the reserve; proposals are refused while it is low", "low", low, "free", free)
	}
	n.metrics.free.Set(float64(free))
}

// lacksSpace reports whether the disk is full or nearly so.
func (n *Node) lacksSpace() bool { return n.diskFull.Load() || n.lowSpace.Load() }

// lackOfSpaceTicks is how long the disk of a leader may lack space before it transfers
// leadership. The others report meanwhile whether theirs does, too.
const lackOfSpaceTicks = raft.DefaultElectionTicks

// checkLackOfSpace makes a leader that refuses proposals for want of disk space transfer
// leadership, if the disk of another voter has space.
func (n *Node) checkLackOfSpace() {
	lacks := n.lacksSpace()
	n.core.SetLacksSpace(lacks)
	if !lacks || n.core.Role() != raft.Leader {
		n.lackingTicks = 0
		return
	}
	n.lackingTicks++
	if n.lackingTicks < lackOfSpaceTicks || n.core.Transferring() {
		return
	}
	if n.core.TransferToSpace() == nil {
		n.logger.Warn("disk lacks space; transferring leadership", "term", n.core.Term())
	}
}

// ignoreClosed drops the error of a file that was closed while a read was queued.
func ignoreClosed(err error) error {
	if errors.Is(err, os.ErrClosed) {
		return nil
	}
	return err
}
