package wire

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/quic-go/quic-go"
)

// Application error codes for closing a connection.
const (
	codeClosed  quic.ApplicationErrorCode = 0
	codeIdle    quic.ApplicationErrorCode = 1
	codeNoHello quic.ApplicationErrorCode = 2
	codeRefused quic.ApplicationErrorCode = 3 // refused before any of its streams was processed
)

// Application error codes for resetting a stream.
const (
	streamDone       quic.StreamErrorCode = 0 // the rest is not needed
	streamRefused    quic.StreamErrorCode = 1 // the stream was not processed
	streamCallerLeft quic.StreamErrorCode = 2 // the caller has cancelled
	streamAborted    quic.StreamErrorCode = 3 // the sender failed
	streamProtocol   quic.StreamErrorCode = 4 // the content is invalid
)

// conn is a connection after the hello exchange. Either end may open streams.
type conn struct {
	e       *Endpoint
	qc      *quic.Conn
	control *quic.Stream
	remote  Peer
	lane    lane
	dialled bool
	meter   *meter
	lastUse atomic.Int64 // Unix nanoseconds of the last stream
	calls   atomic.Int64 // open calls and exchanges that this end has started
	served  atomic.Int64 // open calls and exchanges that the peer has started
	retired atomic.Bool  // this end opens no more streams

	mu           sync.Mutex
	sentBye      bool
	sentDone     bool
	receivedDone bool
	packets      packetCount
}

// packetCount holds the bytes and lost packets that were already added to the packet
// counters.
type packetCount struct{ sent, received, lost uint64 }

func newConn(e *Endpoint, qc *quic.Conn, control *quic.Stream, remote hello, dialled bool) *conn {
	c := &conn{e: e, qc: qc, control: control, remote: remote.Peer, lane: remote.Lane, dialled: dialled}
	c.meter = e.metrics.meterFor(e.self, remote.Peer)
	c.markUsed()
	return c
}

// peer returns the peer and the lane to which the connection belongs.
func (c *conn) peer() *peer { return c.e.peerOf(peerKey{address: c.remote.Address, lane: c.lane}) }

func (c *conn) markUsed() { c.lastUse.Store(time.Now().UnixNano()) }

func (c *conn) unusedFor(now time.Time) time.Duration {
	return now.Sub(time.Unix(0, c.lastUse.Load()))
}

// usable reports whether new streams may be opened.
func (c *conn) usable() bool { return !c.retired.Load() && c.qc.Context().Err() == nil }

func (c *conn) close(code quic.ApplicationErrorCode, why string) {
	c.qc.CloseWithError(code, why)
}

// serve accepts the peer's streams until the connection ends.
func (c *conn) serve() {
	defer c.e.wg.Done()
	defer c.e.unregisterConn(c)
	var wg sync.WaitGroup
	wg.Add(3)
	go c.acceptStreams(&wg)
	go c.acceptPosts(&wg)
	go c.readControl(&wg)
	if c.lane == lanePrompt {
		wg.Add(1)
		go c.serveDatagrams(&wg)
	}
	<-c.qc.Context().Done()
	wg.Wait()
	c.countPackets()
	c.logEnd()
}

func (c *conn) acceptStreams(wg *sync.WaitGroup) {
	defer wg.Done()
	for {
		s, err := c.qc.AcceptStream(c.e.ctx)
		if err != nil {
			return
		}
		c.markUsed()
		if c.served.Add(1) > maxStreams {
			c.served.Add(-1)
			c.refuse(s, reasonTooManyStreams)
			continue
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			defer c.served.Add(-1)
			c.serveStream(s)
		}()
	}
}

func (c *conn) acceptPosts(wg *sync.WaitGroup) {
	defer wg.Done()
	for {
		s, err := c.qc.AcceptUniStream(c.e.ctx)
		if err != nil {
			return
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			c.servePosts(s)
		}()
	}
}

func (c *conn) serveStream(s *quic.Stream) {
	s.SetReadDeadline(time.Now().Add(handshakeTimeout))
	p, err := readPreface(s)
	if err != nil {
		c.refuse(s, reasonUndecodable)
		return
	}
	s.SetReadDeadline(time.Time{})
	c.meter.countReceived(ClassOf(p.kind), prefaceLength)
	switch p.mode {
	case modeCall:
		c.serveCall(s, p)
	case modeExchange:
		c.serveExchange(s, p)
	default:
		c.refuse(s, reasonUnknownMode)
	}
}

// refuse resets a stream that was not processed.
func (c *conn) refuse(s *quic.Stream, reason string) {
	c.e.metrics.refuse(reason)
	s.CancelRead(streamRefused)
	s.CancelWrite(streamRefused)
}

// countPackets adds the bytes and lost packets since its last call to the packet counters.
func (c *conn) countPackets() {
	st := c.qc.ConnectionStats()
	c.mu.Lock()
	defer c.mu.Unlock()
	from, to := c.e.metrics.regions.labelFor(c.e.self.Region), c.e.metrics.regions.labelFor(c.remote.Region)
	v := c.e.metrics.packetBytes
	v.WithLabelValues(sent, from, to).Add(float64(st.BytesSent - c.packets.sent))
	v.WithLabelValues(received, from, to).Add(float64(st.BytesReceived - c.packets.received))
	c.e.metrics.packetsLost.WithLabelValues(from, to).Add(float64(st.PacketsLost - c.packets.lost))
	c.packets = packetCount{sent: st.BytesSent, received: st.BytesReceived, lost: st.PacketsLost}
}

func (c *conn) logEnd() {
	cause := context.Cause(c.qc.Context())
	var app *quic.ApplicationError
	if errors.As(cause, &app) && (app.ErrorCode == codeIdle || app.ErrorCode == codeClosed || app.ErrorCode == codeRefused) {
		return
	}
	c.e.log.Warn("Connection lost.", "peer", c.remote.Name, "address", c.remote.Address, "cause", cause)
}
