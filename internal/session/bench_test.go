package session

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"runtime"
	"sync"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"github.com/filbertmast/filbertmast/internal/api"
	"github.com/filbertmast/filbertmast/internal/model"
)

// tasksPerWorker is the number at the target: 430,000 tasks on 22,000 workers.
const tasksPerWorker = 20

// countingLeader grants every renewal and counts the encoded bytes of the
// batches.
type countingLeader struct {
	fakeLeader
	bytes int
	calls int
}

// wireRenewal is a Renewal as encoded for the leader.
type wireRenewal struct {
	Worker  model.WorkerID  `cbor:"1,keyasint"`
	Session uint64          `cbor:"2,keyasint"`
	Leaving bool            `cbor:"3,keyasint,omitempty"`
	Usage   []api.TaskUsage `cbor:"4,keyasint,omitempty"`
}

func (l *countingLeader) Renew(_ context.Context, batch []Renewal) ([]RenewalResult, error) {
	msg := make([]wireRenewal, len(batch))
	out := make([]RenewalResult, len(batch))
	for i, r := range batch {
		msg[i] = wireRenewal{r.Worker, r.Session, r.Leaving, r.Usage}
		out[i].Lease = testLease
	}
	b, err := cbor.Marshal(msg)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.bytes += len(b)
	l.calls++
	return out, err
}

func heartbeatBody(usage int) []byte {
	h := api.Heartbeat{Session: 123456}
	for i := range usage {
		h.Usage = append(h.Usage, api.TaskUsage{
			Task: model.TaskID{Job: 1234567, Index: int32(i)}, Fence: model.Fence{Term: 12, Index: 12345678},
			Used: model.Resources{CPU: 800, Memory: 1600},
		})
	}
	b, err := json.Marshal(&h)
	if err != nil {
		panic(err)
	}
	return b
}

// BenchmarkHeartbeats sends one JSON heartbeat of each worker through the
// manager, in concurrent groups that fill whole batches. One operation is one
// heartbeat.
func BenchmarkHeartbeats(b *testing.B) {
	for _, usage := range []int{0, tasksPerWorker} {
		for _, workers := range []int{50, 200, 1000, 4000} {
			b.Run(fmt.Sprintf("tasks=%d/workers=%d", usage, workers), func(b *testing.B) {
				benchmarkHeartbeats(b, workers, usage)
			})
		}
	}
}

func benchmarkHeartbeats(b *testing.B, workers, usage int) {
	l := &countingLeader{}
	m, _, _ := newManager(func(o *Options) {
		o.Upstream = l
		o.MaxBatchDelay = testTimeout
		o.MaxBatchSize = min(workers, DefaultMaxBatchSize)
	})
	body := heartbeatBody(usage)
	b.ReportAllocs()
	b.ResetTimer()
	for n := 0; n < b.N; n += workers {
		var wg sync.WaitGroup
		for i := range workers {
			wg.Add(1)
			go func() {
				defer wg.Done()
				sendHeartbeat(b, m, model.WorkerID(fmt.Sprintf("worker-%05d", i)), body)
			}()
		}
		wg.Wait()
	}
	heartbeats := (b.N + workers - 1) / workers * workers
	b.ReportMetric(float64(l.bytes)/float64(heartbeats), "leader-B/heartbeat")
	b.ReportMetric(float64(len(body)), "json-B/heartbeat")
}

func sendHeartbeat(b *testing.B, m *Manager, id model.WorkerID, body []byte) {
	var h api.Heartbeat
	if err := json.NewDecoder(bytes.NewReader(body)).Decode(&h); err != nil {
		b.Error(err)
		return
	}
	a, err := m.Heartbeat(context.Background(), id, &h)
	if err != nil {
		b.Error(err)
		return
	}
	if _, err := json.Marshal(&a); err != nil {
		b.Error(err)
	}
}

// BenchmarkMemory measures the memory per session with 1,000 sessions whose
// workers each run tasksPerWorker tasks, with their usage reported and their
// starts committed.
func BenchmarkMemory(b *testing.B) {
	const workers = 1000
	for b.Loop() {
		m, _, _ := newManager(func(o *Options) { o.MaxBatchSize = 1 })
		before := heap()
		for i := range workers {
			fillSession(b, m, model.WorkerID(fmt.Sprintf("worker-%05d", i)))
		}
		b.ReportMetric((heap()-before)/workers, "B/session")
		runtime.KeepAlive(m)
	}
}

func fillSession(b *testing.B, m *Manager, id model.WorkerID) {
	var h api.Heartbeat
	if err := json.Unmarshal(heartbeatBody(tasksPerWorker), &h); err != nil {
		b.Fatal(err)
	}
	if _, err := m.Heartbeat(context.Background(), id, &h); err != nil {
		b.Fatal(err)
	}
	r := api.Reports{Session: h.Session}
	for _, u := range h.Usage {
		r.Reports = append(r.Reports, api.Report{Task: u.Task, Fence: u.Fence, State: api.ReportStarted})
	}
	if err := m.Report(context.Background(), id, &r); err != nil {
		b.Fatal(err)
	}
}

func heap() float64 {
	runtime.GC()
	runtime.GC()
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return float64(s.HeapAlloc)
}
