package wire

import (
	"context"
	"encoding/binary"
	"errors"
	"slices"
	"sync"

	"github.com/quic-go/quic-go"

	"github.com/filbertmast/filbertmast/internal/errkind"
)

const (
	// datagramBatchBytes is the size up to which messages are joined to one datagram. It
	// fits in a packet of every path.
	datagramBatchBytes = 1000
	// maxQueuedDatagrams limits the messages of one kind that wait to be sent as
	// datagrams. Beyond it the oldest is dropped, since these messages are repeated.
	maxQueuedDatagrams = 16
)

// errDatagramMalformed refuses a datagram that is not a preface followed by frames.
var errDatagramMalformed = errors.New("datagram is malformed")

// PostDatagram queues a small one-way message and returns without waiting. It is sent
// once, as a datagram on the connection of PostPrompt: a lost one delays no other, and
// messages may arrive in another order. It is dropped and counted if the peer is
// unreachable, if its process does not receive datagrams, or if the message does not fit.
// The handler of kind k receives it concurrently with those of Post and PostPrompt.
func PostDatagram[T any](e *Endpoint, to string, k Kind, msg *T) error {
	b, err := appendFrame(nil, msg)
	if err != nil {
		return err
	}
	return e.peerOf(peerKey{address: to, lane: lanePrompt}).post(queueKey{kind: k, datagram: true}, b)
}

func (q *postQueue) sendDatagram(ctx context.Context, batch []byte) error {
	c, err := q.p.connection(ctx)
	if err != nil {
		return err
	}
	e := q.p.e
	if err := e.admitMore(e.ctx, ClassOf(q.kind), c.remote, len(batch)); err != nil {
		return err
	}
	c.markUsed()
	payload := slices.Concat(preface{mode: modePost, kind: q.kind}.append(nil), batch)
	if err := c.qc.SendDatagram(payload); err != nil {
		var tooLarge *quic.DatagramTooLargeError
		if errors.As(err, &tooLarge) {
			return errkind.Wrap(errkind.BodyTooLarge, err, "message does not fit in a datagram to "+q.p.address)
		}
		return err
	}
	c.meter.countSent(ClassOf(q.kind), len(payload))
	return nil
}

// serveDatagrams passes the messages of datagrams to their handlers until the connection
// ends. A malformed datagram is dropped and counted.
func (c *conn) serveDatagrams(wg *sync.WaitGroup) {
	defer wg.Done()
	for {
		b, err := c.qc.ReceiveDatagram(c.e.ctx)
		if err != nil {
			return
		}
		c.markUsed()
		if err := c.serveDatagram(b); err != nil {
			c.e.metrics.refuse(reasonUndecodable)
		}
	}
}

func (c *conn) serveDatagram(b []byte) error {
	p, frames, err := parseDatagram(b)
	if err != nil {
		return err
	}
	c.meter.countReceived(ClassOf(p.kind), len(b))
	h := c.e.handlers.post(p.kind)
	if h == nil {
		c.e.metrics.refuse(reasonUnknownKind)
		return nil
	}
	for _, f := range frames {
		c.e.runPost(h, c.remote, f)
	}
	return nil
}

// parseDatagram returns the preface and the frames of a datagram.
func parseDatagram(b []byte) (preface, [][]byte, error) {
	if len(b) < prefaceLength {
		return preface{}, nil, errDatagramMalformed
	}
	p, err := parsePreface([prefaceLength]byte(b))
	if err != nil {
		return preface{}, nil, err
	}
	if p.mode != modePost {
		return preface{}, nil, errDatagramMalformed
	}
	var frames [][]byte
	for b = b[prefaceLength:]; len(b) > 0; {
		if len(b) < frameHeader || uint64(binary.BigEndian.Uint32(b)) > uint64(len(b)-frameHeader) {
			return preface{}, nil, errDatagramMalformed
		}
		var f []byte
		f, b = splitFrame(b)
		frames = append(frames, f)
	}
	return p, frames, nil
}
