package wire

import "time"

// PathStats describes the path to a peer and the queue of one kind of one-way messages
// for it.
type PathStats struct {
	// SendWait is the longest time from Post until a message was written to its stream,
	// since the last call of Endpoint.PathStats for the same peer and kind.
	SendWait time.Duration
	// LongestWrite is the longest time that writing a batch of messages took, in the
	// same time. A write waits for the congestion window and the peer's flow control.
	LongestWrite time.Duration
	// LargestBatch and Bytes are the size of the largest batch and of all, in the same
	// time.
	LargestBatch, Bytes int
	// PromptWait is like SendWait for the messages of PostPrompt and PostDatagram.
	PromptWait time.Duration
	// RTT is the smoothed round-trip time of the connection, LatestRTT its last sample
	// and MinRTT its smallest. They include the time for which packets wait to be read
	// at either end.
	RTT, LatestRTT, MinRTT time.Duration
	// CongestionWindow is the number of bytes that may be in flight on the connection.
	CongestionWindow uint64
	// PacketsLost counts the packets of the connection that were declared lost.
	PacketsLost uint64
}

// PathStats returns figures of the path to the peer at address and of its queue of kind
// k. The figures of the connection are zero if there is none.
func (e *Endpoint) PathStats(address string, k Kind) PathStats {
	prompt := e.peerOf(peerKey{address: address, lane: lanePrompt})
	var s PathStats
	s.PromptWait = max(prompt.takeReport(queueKey{kind: k}).longestWait, prompt.takeReport(queueKey{kind: k, datagram: true}).longestWait)
	p := e.peer(address)
	r := p.takeReport(queueKey{kind: k})
	s.SendWait, s.LongestWrite, s.LargestBatch, s.Bytes = r.longestWait, r.longestWrite, r.largestBatch, r.bytes
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conn == nil {
		return s
	}
	st := p.conn.qc.ConnectionStats()
	s.CongestionWindow = st.CongestionWindow
	s.RTT, s.LatestRTT, s.MinRTT, s.PacketsLost = st.SmoothedRTT, st.LatestRTT, st.MinRTT, st.PacketsLost
	return s
}

// Reception tells whether packets have arrived from a peer on its connection for calls: two
// values are equal if none has arrived, and no other connection was made, between them.
type Reception struct {
	conn    *conn
	packets uint64
}

// Reception returns the present Reception of the peer at address and the smoothed
// round-trip time to it, which is zero if there is no connection.
func (e *Endpoint) Reception(address string) (Reception, time.Duration) {
	p := e.peer(address)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conn == nil {
		return Reception{}, 0
	}
	st := p.conn.qc.ConnectionStats()
	return Reception{conn: p.conn, packets: st.PacketsReceived}, st.SmoothedRTT
}

// takeReport returns the report of a queue since its last call.
func (p *peer) takeReport(key queueKey) postReport {
	p.mu.Lock()
	defer p.mu.Unlock()
	q := p.postQueues[key]
	if q == nil {
		return postReport{}
	}
	r := q.report
	q.report = postReport{}
	return r
}
