package wire

import (
	"context"
	"io"
	"time"

	"github.com/quic-go/quic-go"

	"github.com/filbertmast/filbertmast/internal/errkind"
)

// queueUsage is the size of the queued messages for one peer.
type queueUsage struct{ bytes, count int }

// queueKey identifies the queue of a lane to a peer.
type queueKey struct {
	kind     Kind
	datagram bool // messages are sent as datagrams, not on a stream
}

// postQueue is the queue of one-way messages of one kind for one lane to a peer. While
// it has messages, a goroutine sends them and owns stream and conn.
type postQueue struct {
	p *peer
	queueKey
	queue   []queuedPost // guarded by peer.mu, as are running and report
	running bool
	report  postReport
	conn    *conn
	stream  *quic.SendStream
}

// postReport describes a postQueue since the last call of PathStats.
type postReport struct {
	longestWait  time.Duration // from the queueing of a message until it was written
	longestWrite time.Duration // of the write of one batch to its stream
	largestBatch int           // in bytes
	bytes        int           // written
}

// queuedPost is an encoded message and the time at which it was queued.
type queuedPost struct {
	frame  []byte
	queued time.Time
}

// Post queues a one-way message and returns without waiting. Messages for one
// peer and kind are delivered in order and at most once. Messages that are
// queued while the peer is unreachable are dropped and counted. If the peer's
// queue is full, the message is dropped and Post returns Overloaded.
func Post[T any](e *Endpoint, to string, k Kind, msg *T) error {
	b, err := appendFrame(nil, msg)
	if err != nil {
		return err
	}
	return e.peer(to).post(queueKey{kind: k}, b)
}

// PostPrompt is like Post for small messages that must not wait for others: it sends
// them over a connection of their own. The handler of kind k receives them in order
// among themselves, but concurrently with those of Post.
func PostPrompt[T any](e *Endpoint, to string, k Kind, msg *T) error {
	b, err := appendFrame(nil, msg)
	if err != nil {
		return err
	}
	return e.peerOf(peerKey{address: to, lane: lanePrompt}).post(queueKey{kind: k}, b)
}

// PostBulk is like Post for many messages that may wait: it sends them over a connection of
// their own, so that those of Post do not wait for them.
func PostBulk[T any](e *Endpoint, to string, k Kind, msg *T) error {
	b, err := appendFrame(nil, msg)
	if err != nil {
		return err
	}
	return e.peerOf(peerKey{address: to, lane: laneBulk}).post(queueKey{kind: k}, b)
}

func (p *peer) post(key queueKey, b []byte) error {
	k := key.kind
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.hasRoom(ClassOf(k), len(b)) {
		p.e.metrics.drop(ClassOf(k), reasonQueueFull, 1)
		return errkind.New(errkind.Overloaded, "the queue for %s is full", p.address)
	}
	q := p.postQueues[key]
	if q == nil {
		q = &postQueue{p: p, queueKey: key}
		p.postQueues[key] = q
	}
	if key.datagram && len(q.queue) >= maxQueuedDatagrams {
		q.dropOldest()
	}
	q.queue = append(q.queue, queuedPost{frame: b, queued: time.Now()})
	p.queued.bytes += len(b)
	p.queued.count++
	if !q.running {
		q.running = true
		go q.run()
	}
	return nil
}

// hasRoom reports whether the queue has room for a message of n bytes. Snapshots
// may use half of it, so that they do not crowd out consensus messages.
func (p *peer) hasRoom(c Class, n int) bool {
	maxBytes, maxCount := maxQueuedBytes, maxQueuedMessages
	if c == ClassSnapshot {
		maxBytes, maxCount = maxBytes/2, maxCount/2
	}
	return p.queued.bytes+n <= maxBytes && p.queued.count < maxCount
}

func (q *postQueue) run() {
	for {
		batch, oldest, n := q.nextBatch()
		if n == 0 {
			return
		}
		begun := time.Now()
		if err := q.send(batch); err != nil {
			q.p.e.metrics.drop(ClassOf(q.kind), dropReason(err), n)
			q.resetStream()
			continue
		}
		q.recordSent(len(batch), oldest, begun)
	}
}

// recordSent records that a batch of n bytes was written. Its oldest message was queued
// at oldest; the write began at begun.
func (q *postQueue) recordSent(n int, oldest, begun time.Time) {
	now := time.Now()
	q.p.e.metrics.postWait[ClassOf(q.kind)].Observe(now.Sub(oldest).Seconds())
	q.p.mu.Lock()
	defer q.p.mu.Unlock()
	r := &q.report
	r.longestWait = max(r.longestWait, now.Sub(oldest))
	r.longestWrite = max(r.longestWrite, now.Sub(begun))
	r.largestBatch = max(r.largestBatch, n)
	r.bytes += n
}

// dropOldest drops the first queued message. The caller holds peer.mu.
func (q *postQueue) dropOldest() {
	q.p.e.metrics.drop(ClassOf(q.kind), reasonQueueFull, 1)
	q.p.queued.bytes -= len(q.queue[0].frame)
	q.p.queued.count--
	q.queue[0] = queuedPost{}
	q.queue = q.queue[1:]
}

// maxBatchBytes returns the size up to which messages are joined.
func (q *postQueue) maxBatchBytes() int {
	if q.datagram {
		return datagramBatchBytes
	}
	return postBatchBytes
}

// nextBatch removes and joins queued messages up to maxBatchBytes, but at least one, and
// returns when the oldest of them was queued. If the queue is empty, it clears running
// and returns n == 0.
func (q *postQueue) nextBatch() (batch []byte, oldest time.Time, n int) {
	q.p.mu.Lock()
	defer q.p.mu.Unlock()
	if len(q.queue) == 0 {
		q.queue = nil
		q.running = false
		return nil, time.Time{}, 0
	}
	batch, oldest = q.queue[0].frame, q.queue[0].queued
	for n = 1; n < len(q.queue) && len(batch)+len(q.queue[n].frame) <= q.maxBatchBytes(); n++ {
		batch = append(batch, q.queue[n].frame...)
	}
	clear(q.queue[:n])
	q.queue = q.queue[n:]
	q.p.queued.bytes -= len(batch)
	q.p.queued.count -= n
	return batch, oldest, n
}

func dropReason(err error) string {
	switch errkind.Of(err) {
	case errkind.Unreachable:
		return reasonUnreachable
	case errkind.BodyTooLarge:
		return reasonTooLarge
	}
	return reasonWriteFailed
}

func (q *postQueue) send(batch []byte) error {
	e := q.p.e
	if q.p.address == e.self.Address {
		return e.postLocal(q.kind, batch)
	}
	ctx, cancel := context.WithTimeout(e.ctx, handshakeTimeout+postWriteTimeout)
	defer cancel()
	if q.datagram {
		return q.sendDatagram(ctx, batch)
	}
	if err := q.openStream(ctx); err != nil {
		return err
	}
	if err := e.admitMore(e.ctx, ClassOf(q.kind), q.conn.remote, len(batch)); err != nil {
		return err
	}
	q.conn.markUsed()
	q.stream.SetWriteDeadline(time.Now().Add(postWriteTimeout))
	if _, err := q.stream.Write(batch); err != nil {
		return err
	}
	q.conn.meter.countSent(ClassOf(q.kind), len(batch))
	return nil
}

// openStream opens a stream unless there is one on a usable connection.
func (q *postQueue) openStream(ctx context.Context) error {
	if q.stream != nil && q.conn.usable() {
		return nil
	}
	q.closeStream()
	c, err := q.p.connection(ctx)
	if err != nil {
		return err
	}
	s, err := c.qc.OpenUniStreamSync(ctx)
	if err != nil {
		q.p.dropConn(c)
		return errkind.Wrap(errkind.Unreachable, err, "cannot open a stream to "+q.p.address)
	}
	if _, err := s.Write(preface{mode: modePost, kind: q.kind}.append(nil)); err != nil {
		return err
	}
	c.meter.countSent(ClassOf(q.kind), prefaceLength)
	q.conn, q.stream = c, s
	return nil
}

// closeStream closes the stream without losing data that was already written.
func (q *postQueue) closeStream() {
	if q.stream != nil {
		q.stream.Close()
	}
	q.conn, q.stream = nil, nil
}

// resetStream resets the stream after a failed write.
func (q *postQueue) resetStream() {
	if q.stream != nil {
		q.stream.CancelWrite(streamAborted)
	}
	q.conn, q.stream = nil, nil
}

// servePosts passes the messages of one stream to the handler, in order.
func (c *conn) servePosts(s *quic.ReceiveStream) {
	p, err := readPreface(s)
	if err != nil || p.mode != modePost {
		c.e.metrics.refuse(reasonUnknownMode)
		s.CancelRead(streamProtocol)
		return
	}
	h := c.e.handlers.post(p.kind)
	if h == nil {
		c.e.metrics.refuse(reasonUnknownKind)
		s.CancelRead(streamRefused)
		return
	}
	for {
		b, err := readFrame(s)
		if err == io.EOF {
			return
		}
		if err != nil {
			s.CancelRead(streamProtocol)
			return
		}
		c.markUsed()
		c.meter.countReceived(ClassOf(p.kind), frameHeader+len(b))
		c.e.runPost(h, c.remote, b)
	}
}

// runPost runs a handler. A message that cannot be decoded is dropped and counted.
func (e *Endpoint) runPost(h postHandler, from Peer, b []byte) {
	var err error
	defer e.recoverPanic(&err)
	if err = h(from, b); err != nil {
		e.metrics.refuse(reasonUndecodable)
	}
}

func (e *Endpoint) postLocal(k Kind, batch []byte) error {
	h := e.handlers.post(k)
	if h == nil {
		e.metrics.refuse(reasonUnknownKind)
		return unknownKind(k)
	}
	for len(batch) > 0 {
		b, rest := splitFrame(batch)
		e.runPost(h, e.self, b)
		batch = rest
	}
	return nil
}
