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

// freeSpaceCheckTicks is the time between looks at the room on the disk.
const freeSpaceCheckTicks = 20

// SaveSnapshot stores the state at index, which write puts out, and drops the
// log well before it. The owner of the state calls it with a state that has
// applied exactly the entries up to index. On a full disk it returns StorageFull
// and the snapshot before stays in place.
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
	if index <= n.opts.TrailingEntries {
		return nil
	}
	start, err := n.log.Compact(index - n.opts.TrailingEntries)
	if err != nil {
		return n.storageError(err)
	}
	return n.call(func() { n.core.Compact(raft.Position(start)) })
}

// storageError turns a full disk into a refusal; a failed sync is fatal.
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

// setDiskFull records whether the log found room; its writer tries until it does.
func (n *Node) setDiskFull(full bool) {
	if n.diskFull.Swap(full) == full {
		return
	}
	if full {
		n.logger.Error("disk is full, proposals are refused")
	} else {
		n.logger.Info("disk has room again")
	}
}

// checkFreeSpace looks at the room on the disk.
func (n *Node) checkFreeSpace() {
	free, err := n.opts.FS.FreeBytes(n.opts.Dir)
	if err != nil {
		n.logger.Warn("free space is not known", "err", err)
		return
	}
	low := free < n.opts.MinFreeBytes
	if n.lowSpace.Swap(low) != low {
		n.logger.Warn("free space crossed the reserve", "low", low, "free", free)
	}
	n.metrics.free.Set(float64(free))
}

// ignoreClosed drops the error of a file that was closed under a waiting read.
func ignoreClosed(err error) error {
	if errors.Is(err, os.ErrClosed) {
		return nil
	}
	return err
}
