package lease

import (
	"runtime"
	"testing"
	"time"
)

const targetWorkers = 22_000

func fullTable() (*Table, []Holder) {
	all := make([]Holder, targetWorkers)
	for i := range all {
		all[i] = holder(i, 1)
	}
	t := New(Options{})
	t.BeginTerm(epoch, all)
	return t, all
}

// BenchmarkRenew renews one lease of 22,000, in batches as entries send them.
func BenchmarkRenew(b *testing.B) {
	const batch = 500
	t, all := fullTable()
	now := epoch
	b.ReportAllocs()
	for n := 0; n < b.N; n += batch {
		from := n % (targetWorkers - batch)
		t.RenewBatch(all[from:from+batch], now)
	}
}

// BenchmarkRenewalsAndExpiryPerSecond is the leader's work for one second of 22,000 workers that
// renew every 5 s: the renewals and ten looks for expired ones.
func BenchmarkRenewalsAndExpiryPerSecond(b *testing.B) {
	const renewalsInTick = targetWorkers / 5 / 10
	t, all := fullTable()
	now := epoch
	from := 0
	b.ReportAllocs()
	for b.Loop() {
		for range 10 {
			now = now.Add(100 * time.Millisecond)
			for range renewalsInTick {
				t.Renew(all[from], now)
				from = (from + 1) % targetWorkers
			}
			if lost := t.TakeExpired(now); len(lost) > 0 {
				b.Fatal("a renewed worker was lost")
			}
		}
	}
}

// BenchmarkFailureDomainExpiry declares a ninth of 22,000 workers lost.
func BenchmarkFailureDomainExpiry(b *testing.B) {
	const lost = targetWorkers / 9
	b.ReportAllocs()
	for b.Loop() {
		b.StopTimer()
		t, all := fullTable()
		now := epoch.Add(t.Duration())
		t.RenewBatch(all[lost:], now)
		b.StartTimer()
		for n := 0; n < lost; {
			now = now.Add(slotWidth)
			t.RenewBatch(all[lost:lost+1], now)
			n += len(t.TakeExpired(now))
		}
	}
}

// BenchmarkMemory is the memory of one of 22,000 leases.
func BenchmarkMemory(b *testing.B) {
	for b.Loop() {
		_, all := fullTable()
		before := heap()
		t := New(Options{})
		t.BeginTerm(epoch, all)
		b.ReportMetric((heap()-before)/targetWorkers, "B/lease")
		runtime.KeepAlive(t)
		runtime.KeepAlive(all)
	}
}

func heap() float64 {
	runtime.GC()
	runtime.GC()
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return float64(s.HeapAlloc)
}
