package schedule

import (
	"testing"

	"github.com/filbertmast/filbertmast/internal/model"
)

// setSpeeds gives a quarter of the workers a low speed and the others a high one.
func (b *bench) setSpeeds() {
	for i := range b.scale.workers {
		b.s.Apply(WorkerSpeedChanged{Worker: benchWorker(i), Permille: []int64{550, 1200, 1200, 1200}[i/8%4]})
	}
}

// BenchmarkDecisionWithSpeeds measures what BenchmarkDecisionWithRoom and
// BenchmarkDecisionWhenFull do, and the placement of a gang as in BenchmarkDecisionByPolicy, with
// workers of different speeds.
func BenchmarkDecisionWithSpeeds(t *testing.B) {
	for _, sc := range scales {
		t.Run(sc.name+"/room", func(t *testing.B) {
			b := newBench(sc)
			b.setSpeeds()
			h := newHistogram()
			t.ResetTimer()
			for i := range t.N {
				if i%benchBatchTasks == 0 {
					b.submit(b.spec())
				}
				b.endOne()
				b.decide(h)
			}
			reportLatency(t, h)
		})
		t.Run(sc.name+"/full", func(t *testing.B) {
			b := newBench(sc)
			b.setSpeeds()
			b.overfill()
			h := newHistogram()
			t.ResetTimer()
			for range t.N {
				b.endOne()
				b.submit(b.spec())
				b.decide(h)
			}
			reportLatency(t, h)
		})
		t.Run(sc.name+"/gang", func(t *testing.B) {
			b := newBench(sc)
			b.setSpeeds()
			h := newHistogram()
			t.ResetTimer()
			for range t.N {
				b.decideJob(h, model.JobSpec{Name: "gang", Policy: model.PolicyGang, Tasks: 16, Size: cores(2), Patience: hour})
			}
			reportLatency(t, h)
		})
	}
}
