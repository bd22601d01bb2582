package replica

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/filbertmast/filbertmast/internal/errkind"
	"github.com/filbertmast/filbertmast/internal/replica/raft"
)

type metrics struct {
	refusals      *prometheus.CounterVec
	dropped       prometheus.Counter
	misaddressed  prometheus.Counter
	elections     prometheus.Counter
	snapshotBytes prometheus.Counter
	append        prometheus.Histogram
	tickDelay     prometheus.Histogram
	inboxWait     prometheus.Histogram
	peerAck       prometheus.Histogram
	quorumAck     prometheus.Histogram
	catchUp       prometheus.Histogram
	free          prometheus.Gauge
	commit        prometheus.Gauge
	term          prometheus.Gauge
	leader        prometheus.Gauge
}

// newMetrics returns the metrics. If r is nil, none of them is registered.
func newMetrics(r prometheus.Registerer) *metrics {
	counter := func(name, help string) prometheus.Counter {
		return prometheus.NewCounter(prometheus.CounterOpts{Name: "filbertmast_replica_" + name, Help: help})
	}
	gauge := func(name, help string) prometheus.Gauge {
		return prometheus.NewGauge(prometheus.GaugeOpts{Name: "filbertmast_replica_" + name, Help: help})
	}
	wait := func(name, help string) prometheus.Histogram {
		return prometheus.NewHistogram(prometheus.HistogramOpts{
			Name:    "filbertmast_replica_" + name,
			Help:    help,
			Buckets: prometheus.ExponentialBuckets(0.001, 2, 12),
		})
	}
	m := &metrics{
		refusals: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "filbertmast_replica_refusals_total",
			Help: "Proposals refused, by error kind.",
		}, []string{"kind"}),
		dropped:       counter("messages_dropped_total", "Messages dropped for want of room or of an address."),
		misaddressed:  counter("messages_misaddressed_total", "Messages to an identity that is not this replica's."),
		elections:     counter("elections_won_total", "Elections that this replica has won."),
		snapshotBytes: counter("snapshot_sent_bytes_total", "Bytes of snapshots sent to other replicas."),
		append: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name:    "filbertmast_replica_append_seconds",
			Help:    "Time to write and sync one group of entries.",
			Buckets: prometheus.ExponentialBuckets(0.0001, 2, 16),
		}),
		tickDelay: wait("tick_delay_seconds", "From a due tick of the clock to its handling."),
		inboxWait: wait("inbox_wait_seconds", "Time of the oldest message from another replica in the inbox."),
		peerAck:   wait("peer_ack_seconds", "From the sending of a heartbeat round to its acknowledgement by another replica."),
		quorumAck: wait("quorum_ack_seconds", "From the sending of a heartbeat round to its acknowledgement by a quorum."),

		catchUp: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name:    "filbertmast_replica_catch_up_seconds",
			Help:    "From the admission of a learner until it is a voter.",
			Buckets: prometheus.ExponentialBuckets(0.05, 2, 12),
		}),
		free:   gauge("disk_free_bytes", "Room on the disk of the data folder."),
		commit: gauge("commit_index", "Highest committed index."),
		term:   gauge("term", "Current term."),
		leader: gauge("is_leader", "1 on the leader."),
	}
	if r != nil {
		r.MustRegister(m.refusals, m.dropped, m.misaddressed, m.elections, m.snapshotBytes,
			m.append, m.tickDelay, m.inboxWait, m.peerAck, m.quorumAck, m.catchUp, m.free, m.commit, m.term, m.leader)
	}
	return m
}

func (m *metrics) refused(k errkind.Kind) { m.refusedMany(k, 1) }

func (m *metrics) refusedMany(k errkind.Kind, n int) {
	m.refusals.WithLabelValues(string(k)).Add(float64(n))
}

func (m *metrics) observe(s *Status) {
	m.commit.Set(float64(s.Commit))
	m.term.Set(float64(s.Term))
	lead := 0.0
	if s.Role == raft.Leader {
		lead = 1
	}
	m.leader.Set(lead)
}
