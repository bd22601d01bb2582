package wire

import (
	"strconv"
	"sync"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"
)

// Limits on the number of label values, so that replaced peers do not grow the
// metrics without bound.
const (
	maxRegionLabels = 16
	maxPeerLabels   = 128
	otherLabel      = "other"
)

// Values of the label "direction".
const (
	sent     = "sent"
	received = "received"
)

// Values of the label "reason" of refused streams and dropped messages, and
// values of the label "outcome" of dials.
const (
	reasonUnknownKind    = "unknown_kind"
	reasonUnknownMode    = "unknown_mode"
	reasonUndecodable    = "undecodable"
	reasonTooLarge       = "too_large"
	reasonNoHello        = "no_hello"
	reasonDraining       = "draining"
	reasonTooManyStreams = "too_many_streams"
	reasonFrames         = "frames"
	reasonHandshakes     = "handshakes"
	reasonPanic          = "panic"
	reasonQueueFull      = "queue_full"
	reasonUnreachable    = "unreachable"
	reasonWriteFailed    = "write_failed"
	reasonBackingOff     = "backing_off"
	reasonDialFailed     = "dial_failed"
)

type metrics struct {
	bytes       *prometheus.CounterVec
	peerBytes   *prometheus.CounterVec
	packetBytes *prometheus.CounterVec
	calls       *prometheus.CounterVec
	refused     *prometheus.CounterVec
	dropped     *prometheus.CounterVec
	dials       *prometheus.CounterVec
	connections prometheus.Gauge
	packetsLost *prometheus.CounterVec
	postWait    [classCount]prometheus.Observer
	regions     labelSet
	peers       labelSet
}

func newMetrics(r prometheus.Registerer) *metrics {
	f := promauto.With(r)
	m := &metrics{
		bytes: f.NewCounterVec(prometheus.CounterOpts{
			Name: "filbertmast_wire_bytes_total",
			Help: "Bytes of messages and bodies by class, direction and pair of regions, without packet headers.",
		}, []string{"class", "direction", "region", "peer_region"}),
		peerBytes: f.NewCounterVec(prometheus.CounterOpts{
			Name: "filbertmast_wire_peer_bytes_total",
			Help: "Bytes of messages and bodies by peer and direction.",
		}, []string{"peer", "direction"}),
		packetBytes: f.NewCounterVec(prometheus.CounterOpts{
			Name: "filbertmast_wire_packet_bytes_total",
			Help: "Bytes of QUIC packets by direction and pair of regions, with acknowledgements and keep-alives.",
		}, []string{"direction", "region", "peer_region"}),
		calls: f.NewCounterVec(prometheus.CounterOpts{
			Name: "filbertmast_wire_calls_total",
			Help: "Calls and exchanges sent, by message kind and outcome.",
		}, []string{"kind", "outcome"}),
		refused: f.NewCounterVec(prometheus.CounterOpts{
			Name: "filbertmast_wire_refused_total",
			Help: "Streams and connections from peers that were refused, by reason.",
		}, []string{"reason"}),
		dropped: f.NewCounterVec(prometheus.CounterOpts{
			Name: "filbertmast_wire_dropped_posts_total",
			Help: "One-way messages that were not sent, by class and reason.",
		}, []string{"class", "reason"}),
		dials: f.NewCounterVec(prometheus.CounterOpts{
			Name: "filbertmast_wire_dials_total",
			Help: "Connection attempts by outcome.",
		}, []string{"outcome"}),
		connections: f.NewGauge(prometheus.GaugeOpts{
			Name: "filbertmast_wire_connections",
			Help: "Open connections.",
		}),
		packetsLost: f.NewCounterVec(prometheus.CounterOpts{
			Name: "filbertmast_wire_packets_lost_total",
			Help: "QUIC packets that were sent and declared lost, by pair of regions. What they contained is sent again.",
		}, []string{"region", "peer_region"}),
		regions: labelSet{max: maxRegionLabels},
		peers:   labelSet{max: maxPeerLabels},
	}
	wait := f.NewHistogramVec(prometheus.HistogramOpts{
		Name:    "filbertmast_wire_post_wait_seconds",
		Help:    "Time of the oldest one-way message of a batch in the send queue, by class.",
		Buckets: prometheus.ExponentialBuckets(0.0001, 4, 9),
	}, []string{"class"})
	for c := range classCount {
		m.postWait[c] = wait.WithLabelValues(Class(c).String())
	}
	return m
}

func (m *metrics) call(k Kind, outcome string) {
	m.calls.WithLabelValues(strconv.Itoa(int(k)), outcome).Inc()
}

func (m *metrics) refuse(reason string) { m.refused.WithLabelValues(reason).Inc() }

func (m *metrics) drop(c Class, reason string, n int) {
	m.dropped.WithLabelValues(c.String(), reason).Add(float64(n))
}

// labelSet limits a label to the first max values that it sees. All other values
// become otherLabel.
type labelSet struct {
	mu   sync.Mutex
	max  int
	seen map[string]bool
}

func (s *labelSet) labelFor(v string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.seen[v] {
		return v
	}
	if len(s.seen) >= s.max {
		return otherLabel
	}
	if s.seen == nil {
		s.seen = make(map[string]bool)
	}
	s.seen[v] = true
	return v
}

// meter counts the bytes of one connection. The counters are looked up once per
// connection.
type meter struct {
	sent, received         [classCount]prometheus.Counter
	peerSent, peerReceived prometheus.Counter
}

const classCount = int(ClassSnapshot) + 1

func (m *metrics) meterFor(self, peer Peer) *meter {
	from, to := m.regions.labelFor(self.Region), m.regions.labelFor(peer.Region)
	name := m.peers.labelFor(peer.Name)
	t := &meter{
		peerSent:     m.peerBytes.WithLabelValues(name, sent),
		peerReceived: m.peerBytes.WithLabelValues(name, received),
	}
	for c := range classCount {
		t.sent[c] = m.bytes.WithLabelValues(Class(c).String(), sent, from, to)
		t.received[c] = m.bytes.WithLabelValues(Class(c).String(), received, from, to)
	}
	return t
}

func (t *meter) countSent(c Class, n int) {
	t.sent[c].Add(float64(n))
	t.peerSent.Add(float64(n))
}

func (t *meter) countReceived(c Class, n int) {
	t.received[c].Add(float64(n))
	t.peerReceived.Add(float64(n))
}
