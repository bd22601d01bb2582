package obs

import (
	"runtime/metrics"
	"time"

	"golang.org/x/sys/unix"
)

// collectorSeconds is the estimate of the Go runtime of the processor time that garbage
// collection has taken.
const collectorSeconds = "/cpu/classes/gc/total:cpu-seconds"

// ProcessorTime is processor time that this process has taken.
type ProcessorTime struct {
	All       time.Duration // in user and kernel mode
	Collector time.Duration // part of it for garbage collection, as the Go runtime estimates it
}

// ReadProcessorTime returns the processor time since the start of the process.
func ReadProcessorTime() (ProcessorTime, error) {
	var use unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_SELF, &use); err != nil {
		return ProcessorTime{}, err
	}
	sample := []metrics.Sample{{Name: collectorSeconds}}
	metrics.Read(sample)
	p := ProcessorTime{All: time.Duration(use.Utime.Nano() + use.Stime.Nano())}
	if sample[0].Value.Kind() == metrics.KindFloat64 {
		p.Collector = time.Duration(sample[0].Value.Float64() * float64(time.Second))
	}
	return p, nil
}

// Sub returns the processor time since an earlier reading.
func (p ProcessorTime) Sub(earlier ProcessorTime) ProcessorTime {
	return ProcessorTime{All: p.All - earlier.All, Collector: p.Collector - earlier.Collector}
}
