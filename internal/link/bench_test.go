package link

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/filbertmast/filbertmast/internal/wire"
)

// BenchmarkAdmit is the cost of the budget for one message.
func BenchmarkAdmit(b *testing.B) {
	budget := New(Options{Rate: 1 << 40, Registerer: prometheus.NewRegistry()})
	ctx := context.Background()
	b.ReportAllocs()
	for b.Loop() {
		if err := budget.Admit(ctx, wire.ClassRequest, north, 1000); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkShares offers each class a multiple of the rate over a minute of
// simulated time, in messages of 1 KB, and reports what part of the rate each gets.
func BenchmarkShares(b *testing.B) {
	const (
		message = 1000
		tick    = time.Millisecond
		span    = time.Minute
	)
	for _, load := range []struct{ consensus, request, copied float64 }{
		{0.05, 0.5, 2}, {0.05, 2, 2}, {0.5, 2, 2}, {1.2, 2, 2},
	} {
		b.Run(fmt.Sprintf("consensus=%v/request=%v/copy=%v", load.consensus, load.request, load.copied), func(b *testing.B) {
			for b.Loop() {
				budget, c := newBudget()
				var due, got [3]float64
				for t := time.Duration(0); t < span; t += tick {
					c.now = c.now.Add(tick)
					for i, part := range []float64{load.consensus, load.request, load.copied} {
						for due[i] += part * testRate * tick.Seconds(); due[i] >= message; due[i] -= message {
							if admitted(budget, wire.Class(i), message) {
								got[i] += message
							}
						}
					}
				}
				for i := range got {
					b.ReportMetric(got[i]/testRate/span.Seconds(), wire.Class(i).String()+"-of-rate")
				}
			}
		})
	}
}

func admitted(b *Budget, c wire.Class, n int) bool {
	if c == wire.ClassSnapshot {
		return tryCopy(b, n)
	}
	return b.Admit(context.Background(), c, north, n) == nil
}
