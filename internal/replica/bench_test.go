package replica

import (
	"encoding/binary"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"github.com/filbertmast/filbertmast/internal/replica/raft"
	"github.com/filbertmast/filbertmast/internal/storage"
)

const (
	// payloadBytes is the size of one proposal.
	payloadBytes = 200
	// targetRate is the specified peak of task starts, in commits a second.
	targetRate = 1300
	// targetP99 limits the 99th percentile of the commit latency at that rate.
	targetP99 = 100 * time.Millisecond
)

// benchGroup starts n founders on a real disk with the default timeouts.
func benchGroup(b *testing.B, w *network, n int) []*member {
	return benchGroupWith(b, w, n, Options{FS: storage.OS{}, TrailingEntries: 200_000})
}

// benchGroupWith starts n founders on a real disk with the options o.
func benchGroupWith(b *testing.B, w *network, n int, o Options) []*member {
	b.Helper()
	var out []*member
	for i, f := range founders(n) {
		o.Dir = b.TempDir()
		o.Address = f.Address
		o.Founders = founders(n)
		o.Seed = uint64(i + 1)
		o.Tick = DefaultTick
		out = append(out, startMember(b, w, o))
	}
	awaitLeader(out...)
	return out
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, int64(time.Minute), 3)
}

func reportLatency(b *testing.B, h *hdrhistogram.Histogram) {
	b.ReportMetric(float64(h.ValueAtQuantile(50))/1e6, "p50-ms")
	b.ReportMetric(float64(h.ValueAtQuantile(99))/1e6, "p99-ms")
	b.ReportMetric(float64(h.Max())/1e6, "max-ms")
}

func payload(i int) []byte {
	p := make([]byte, payloadBytes)
	binary.LittleEndian.PutUint64(p, uint64(i))
	return p
}

func BenchmarkCommit(b *testing.B) {
	for _, replicas := range []int{1, 3, 5} {
		for _, batch := range []int{1, 10, 100, 1000} {
			b.Run(fmt.Sprintf("replicas=%d/batch=%d", replicas, batch), func(b *testing.B) {
				benchCommit(b, replicas, batch)
			})
		}
	}
}

// benchCommit proposes batches one after the other. One operation is one batch.
func benchCommit(b *testing.B, replicas, batch int) {
	leader := awaitLeader(benchGroup(b, newNetwork(), replicas)...)
	h := newHistogram()
	sent := 0
	b.ResetTimer()
	for range b.N {
		begun := time.Now()
		for range batch {
			assert.NilError(b, leader.Propose(payload(sent)))
			sent++
		}
		leader.net.await(func() bool { return len(leader.entries) >= sent })
		_ = h.RecordValue(int64(time.Since(begun)))
	}
	b.StopTimer()
	b.ReportMetric(float64(sent)/b.Elapsed().Seconds(), "commits/s")
	reportLatency(b, h)
}

// slowDisk is a file system that delays each sync.
type slowDisk struct {
	storage.OS
	delay time.Duration
}

type slowFile struct {
	storage.File
	delay time.Duration
}

// Sync syncs the file after the delay.
func (f slowFile) Sync() error {
	time.Sleep(f.delay)
	return f.File.Sync()
}

// Create returns a file with delayed syncs.
func (d slowDisk) Create(name string) (storage.File, error) {
	f, err := d.OS.Create(name)
	return slowFile{f, d.delay}, err
}

// BenchmarkCommitAtTargetRate proposes on a fixed schedule, whether or not
// earlier proposals are committed, and measures the latency from the scheduled
// time. One operation is one commit.
func BenchmarkCommitAtTargetRate(b *testing.B) {
	for _, replicas := range []int{3, 5} {
		for _, delay := range []time.Duration{0, 5 * time.Millisecond, 20 * time.Millisecond} {
			b.Run(fmt.Sprintf("replicas=%d/delay=%v", replicas, delay), func(b *testing.B) {
				benchRate(b, replicas, delay)
			})
		}
	}
}

func benchRate(b *testing.B, replicas int, delay time.Duration) {
	o := Options{FS: slowDisk{delay: delay}, TrailingEntries: 200_000}
	leader := awaitLeader(benchGroupWith(b, newNetwork(), replicas, o)...)
	b.ResetTimer()
	start := time.Now()
	due := func(i int) time.Time { return start.Add(time.Duration(i) * time.Second / targetRate) }
	var wg sync.WaitGroup
	wg.Add(1)
	h := newHistogram()
	go func() {
		defer wg.Done()
		for i := 0; i < b.N; {
			seen := 0
			leader.net.await(func() bool { seen = len(leader.entries); return seen > i })
			for now := time.Now(); i < seen; i++ {
				_ = h.RecordValue(int64(now.Sub(due(i))))
			}
		}
	}()
	for i := range b.N {
		time.Sleep(time.Until(due(i)))
		assert.NilError(b, leader.Propose(payload(i)))
	}
	wg.Wait()
	b.StopTimer()
	reportLatency(b, h)
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "commits/s")
	if tail := time.Duration(h.ValueAtQuantile(99)); tail > targetP99 && b.N > targetRate {
		b.Errorf("p99 latency %v exceeds the limit of %v", tail, targetP99)
	}
}

// BenchmarkNewLeader isolates the leader and measures the time until another
// leader is ready.
func BenchmarkNewLeader(b *testing.B) {
	for _, replicas := range []int{3, 5} {
		b.Run(fmt.Sprintf("replicas=%d", replicas), func(b *testing.B) {
			w := newNetwork()
			group := benchGroup(b, w, replicas)
			h := newHistogram()
			b.ResetTimer()
			for range b.N {
				leader := awaitLeader(group...)
				begun := time.Now()
				w.isolate(leader, true)
				awaitLeader(others(group, leader)...)
				_ = h.RecordValue(int64(time.Since(begun)))
				w.isolate(leader, false)
				awaitLeader(group...)
				w.await(func() bool { return leader.leadership.Role == raft.Follower && leader.leadership.Leader != raft.None })
			}
			b.StopTimer()
			reportLatency(b, h)
			b.ReportMetric(float64(h.ValueAtQuantile(50))/float64(DefaultTick), "p50-ticks")
		})
	}
}

// BenchmarkCatchUp measures how long a reconnected follower that is behind by a
// number of entries takes to catch up, from the log and from a snapshot.
func BenchmarkCatchUp(b *testing.B) {
	for _, behind := range []int{1000, 100_000} {
		for _, snapshot := range []bool{false, true} {
			b.Run(fmt.Sprintf("behind=%d/snapshot=%t", behind, snapshot), func(b *testing.B) {
				for range b.N {
					benchCatchUp(b, behind, snapshot)
				}
			})
		}
	}
}

func benchCatchUp(b *testing.B, behind int, snapshot bool) {
	b.StopTimer()
	w := newNetwork()
	o := Options{FS: storage.OS{}, TrailingEntries: 200_000}
	if snapshot {
		o.TrailingEntries, o.SegmentBytes = 1, 64<<10
	}
	group := benchGroupWith(b, w, 3, o)
	leader := awaitLeader(group...)
	lagging := others(group, leader)[0]
	w.isolate(lagging, true)
	for i := range behind {
		for leader.Propose(fmt.Appendf(nil, "%0*d", payloadBytes, i)) != nil {
			time.Sleep(time.Millisecond) // the limit on uncommitted bytes is reached
		}
	}
	leader.awaitEntries(behind)
	if snapshot {
		leader.save(b)
		assert.Assert(b, leader.log.Start().Index > lagging.Status().Last)
	}
	b.StartTimer()
	w.isolate(lagging, false)
	lagging.awaitEntries(behind)
	b.StopTimer()
	for _, m := range group {
		m.stop()
	}
	b.StartTimer()
}

// BenchmarkBytes counts the bytes between a leader and one follower, encoded as
// on the wire and without the headers of the transport. One operation is one
// batch.
func BenchmarkBytes(b *testing.B) {
	for _, batch := range []int{1, 10, 100, 1000} {
		b.Run(fmt.Sprintf("batch=%d", batch), func(b *testing.B) {
			w := newNetwork()
			var mu sync.Mutex
			bytes := 0
			w.bytes = func(msgs []Message) {
				data, err := cbor.Marshal(msgs)
				assert.NilError(b, err)
				mu.Lock()
				defer mu.Unlock()
				bytes += len(data)
			}
			const followers = 2
			leader := awaitLeader(benchGroup(b, w, followers+1)...)
			mu.Lock()
			bytes = 0
			mu.Unlock()
			sent := 0
			for range b.N {
				for range batch {
					assert.NilError(b, leader.Propose(payload(sent)))
					sent++
				}
				leader.net.await(func() bool { return len(leader.entries) >= sent })
			}
			mu.Lock()
			defer mu.Unlock()
			b.ReportMetric(float64(bytes)/followers/float64(sent), "B/commit")
			b.ReportMetric(payloadBytes, "payload-B")
		})
	}
}

// BenchmarkIdleBytes counts the bytes between an idle leader and one follower.
// One operation is one second.
func BenchmarkIdleBytes(b *testing.B) {
	w := newNetwork()
	var mu sync.Mutex
	bytes := 0
	w.bytes = func(msgs []Message) {
		data, err := cbor.Marshal(msgs)
		assert.NilError(b, err)
		mu.Lock()
		defer mu.Unlock()
		bytes += len(data)
	}
	const followers = 2
	group := benchGroup(b, w, followers+1)
	awaitTicks(b, 2, group[0])
	mu.Lock()
	bytes = 0
	mu.Unlock()
	b.ResetTimer()
	awaitTicks(b, uint64(b.N)*uint64(time.Second/DefaultTick), group[0])
	b.StopTimer()
	mu.Lock()
	defer mu.Unlock()
	b.ReportMetric(float64(bytes)/followers/b.Elapsed().Seconds(), "B/s")
}
