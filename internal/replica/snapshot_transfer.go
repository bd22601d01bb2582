package replica

import (
	"errors"
	"time"

	"github.com/filbertmast/filbertmast/internal/replica/raft"
	"github.com/filbertmast/filbertmast/internal/storage"
)

const (
	// chunkBytes is the size of a snapshot chunk.
	chunkBytes = 64 << 10
	// windowChunks limits the unacknowledged chunks in flight to one replica.
	windowChunks = 16
	// resendTicks is the number of ticks without progress after which sending
	// restarts from the last acknowledged offset.
	resendTicks = 10
	// maxResends is the number of restarts without progress after which the
	// transfer is given up.
	maxResends = 20
)

// SnapshotChunk is a part of a snapshot file.
type SnapshotChunk struct {
	From   ID     `cbor:"1,keyasint"`
	To     ID     `cbor:"2,keyasint"`
	Term   uint64 `cbor:"3,keyasint"` // of the leader
	Index  uint64 `cbor:"4,keyasint"` // of the snapshot
	Offset int64  `cbor:"5,keyasint,omitempty"`
	Total  int64  `cbor:"6,keyasint"` // length of the file in bytes
	Data   []byte `cbor:"7,keyasint,omitempty"`
}

type receivedChunk struct {
	from  string
	chunk SnapshotChunk
}

// snapshotSender sends one snapshot to one replica with a sliding window.
type snapshotSender struct {
	to           ID
	file         *storage.SnapshotReader
	begun        time.Duration
	acked        int64
	lastAck      int64 // offset of the newest acknowledgement, which may be lower than acked
	next         int64
	stalledTicks int // ticks without progress
	resends      int
}

func (n *Node) startSender(id ID) {
	if n.senders[id] != nil {
		return
	}
	file, ok, err := n.snaps.Newest()
	if err != nil {
		n.fail(err)
		return
	}
	if !ok {
		n.core.SnapshotDone(id, 0, false)
		return
	}
	s := &snapshotSender{to: id, file: file, begun: n.opts.Now()}
	n.senders[id] = s
	n.logger.Info("sending snapshot to a replica that is behind", "to", id, "index", file.Meta.Index, "bytes", file.RawSize())
	n.fillWindow(s)
}

// fillWindow sends chunks until the window is full.
func (n *Node) fillWindow(s *snapshotSender) {
	total := s.file.RawSize()
	for s.next < total && s.next < s.acked+windowChunks*chunkBytes {
		size := min(chunkBytes, total-s.next)
		if !n.sendChunk(s, s.next, size) {
			return
		}
		s.next += size
	}
}

// sendChunk queues one chunk to be read and sent on the goroutine of the reader.
// It returns false if the address is unknown or the queue is full.
func (n *Node) sendChunk(s *snapshotSender, offset, size int64) bool {
	address, ok := n.addrs.find(s.to)
	if !ok {
		return false
	}
	c := SnapshotChunk{
		From:   n.identity.ID,
		To:     s.to,
		Term:   n.core.Term(),
		Index:  s.file.Meta.Index,
		Offset: offset,
		Total:  s.file.RawSize(),
	}
	return n.reader.add(func() error {
		c.Data = make([]byte, size)
		if _, err := s.file.ReadRawAt(c.Data, offset); err != nil {
			return ignoreClosed(err)
		}
		n.metrics.snapshotBytes.Add(float64(size))
		n.opts.Transport.SendSnapshot(address, c)
		return nil
	})
}

// receiveSnapshotAck advances the window.
func (n *Node) receiveSnapshotAck(m Message) {
	s := n.senders[m.From]
	if s == nil || m.Index != s.file.Meta.Index || m.Offset > s.file.RawSize() {
		return
	}
	s.lastAck = m.Offset
	if m.Offset <= s.acked {
		return
	}
	s.acked = m.Offset
	s.next = max(s.next, s.acked)
	s.stalledTicks = 0
	s.resends = 0
	if s.acked == s.file.RawSize() {
		n.endSender(s, true)
		return
	}
	n.fillWindow(s)
}

func (n *Node) tickSenders() {
	for id, s := range n.senders {
		if _, member := n.core.Config().Find(id); !member || n.core.Role() != raft.Leader {
			n.endSender(s, false)
			continue
		}
		s.stalledTicks++
		if s.stalledTicks < resendTicks {
			continue
		}
		s.stalledTicks = 0
		s.resends++
		if s.resends > maxResends {
			n.endSender(s, false)
			continue
		}
		s.acked = s.lastAck
		s.next = s.acked
		n.fillWindow(s)
	}
}

func (n *Node) endSender(s *snapshotSender, ok bool) {
	delete(n.senders, s.to)
	n.logger.Info("sending of a snapshot ended", "to", s.to, "index", s.file.Meta.Index, "ok", ok,
		"acknowledged", s.acked, "after_ms", milliseconds(n.opts.Now()-s.begun))
	// Queued reads still use the file, so it is closed after them.
	if !n.reader.add(func() error { return ignoreClosed(s.file.Close()) }) {
		_ = s.file.Close()
	}
	n.core.SnapshotDone(s.to, s.file.Meta.Index, ok)
}

// ReceiveSnapshot queues a chunk from the replica at address from. It is dropped
// if the inbox is full.
func (n *Node) ReceiveSnapshot(from string, c SnapshotChunk) {
	if !n.inbox.addChunk(from, c) {
		n.metrics.dropped.Inc()
	}
}

// receiveChunk passes a chunk from the current leader to the writer.
func (n *Node) receiveChunk(r receivedChunk) {
	c := r.chunk
	if c.To != n.identity.ID || c.Term < n.core.Term() || c.Total <= 0 {
		n.metrics.misaddressed.Inc()
		return
	}
	n.addrs.learn(c.From, r.from)
	if c.Index <= n.core.Commit() {
		n.ackChunk(c, c.Total)
		return
	}
	n.writer.add(writeRequest{step: func() error { return n.writer.receive(c) }})
}

func (n *Node) ackChunk(c SnapshotChunk, offset int64) {
	n.sendAll([]Message{{
		Kind:   raft.SnapshotAck,
		From:   n.identity.ID,
		To:     c.From,
		Term:   c.Term,
		Index:  c.Index,
		Offset: offset,
	}})
}

// incomingSnapshot is the snapshot that is being received.
type incomingSnapshot struct {
	index uint64
	total int64
	file  *storage.SnapshotReceiver
}

// receive writes c if it is the next chunk and acknowledges the bytes received so
// far. After the last chunk the snapshot is installed and passed to the core.
func (w *writer) receive(c SnapshotChunk) error {
	if w.incoming != nil && (w.incoming.index != c.Index || w.incoming.total != c.Total) {
		w.incoming.file.Abort()
		w.incoming = nil
	}
	if w.incoming == nil {
		if c.Offset != 0 {
			w.n.ackChunk(c, 0)
			return nil
		}
		file, err := w.n.snaps.Receive(c.Index)
		if err != nil {
			return w.dropIncoming(err)
		}
		w.incoming = &incomingSnapshot{index: c.Index, total: c.Total, file: file}
	}
	if c.Offset == w.incoming.file.Offset() {
		if _, err := w.incoming.file.Write(c.Data); err != nil {
			return w.dropIncoming(err)
		}
	}
	if w.incoming.file.Offset() < w.incoming.total {
		w.n.ackChunk(c, w.incoming.file.Offset())
		return nil
	}
	return w.install(c)
}

func (w *writer) install(c SnapshotChunk) error {
	meta, err := w.incoming.file.Commit()
	w.incoming = nil
	if err != nil {
		return w.dropIncoming(err)
	}
	config, err := raft.DecodeConfig(meta.Config)
	if err != nil {
		return err
	}
	at := raft.Position{Index: meta.Index, Term: meta.Term}
	w.n.inbox.addCall(func() {
		w.n.core.Restore(at, config)
		w.n.logger.Info("installed snapshot from the leader", "index", at.Index)
		w.n.ackChunk(c, c.Total)
	})
	return nil
}

// dropIncoming aborts a failed transfer. After a full disk or data damaged in
// transit the leader retries; any other error is fatal.
func (w *writer) dropIncoming(err error) error {
	if w.incoming != nil {
		w.incoming.file.Abort()
		w.incoming = nil
	}
	var corrupt *storage.CorruptError
	switch {
	case storage.IsFull(err):
		w.n.logger.Warn("aborted snapshot transfer: no room on the disk", "err", err)
	case errors.As(err, &corrupt):
		w.n.logger.Warn("discarded damaged snapshot; waiting for the leader to send it again", "err", err)
	default:
		return err
	}
	return nil
}
