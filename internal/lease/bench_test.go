package lease

import (
	"runtime"
	"testing"
	"time"
)

const targetWorkers = 22_000

func fullTable() (*Table, []Holder) {
	holders := make([]Holder, targetWorkers)
	for i := range holders {
		holders[i] = holder(i, 1)
	}
	t := New(Options{})
	t.BeginTerm(epoch, holders)
	return t, holders
}

// BenchmarkRenew measures the renewal of one of 22,000 leases, in batches such as
// entry processes send.
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

// BenchmarkRenewalsAndExpiryPerSecond measures the leader's work per second for
// 22,000 workers that renew every 5 s: their renewals and ten checks for expired
// leases.
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
				b.Fatal("a renewed lease expired")
			}
		}
	}
}

// BenchmarkFailureDomainExpiry measures the expiry of a ninth of 22,000 leases.
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

// BenchmarkMemory measures the memory of one lease among 22,000.
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
