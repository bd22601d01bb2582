// Package model defines the types that the other packages share: resources, labels,
// workers, jobs, workflows, teams and queues. Its functions only calculate, parse and
// validate. They are deterministic: they read no clock and do no I/O.
package model

import "fmt"

// Resources is an amount of CPU, memory and accelerators.
type Resources struct {
	CPU          int64 `json:"cpu_milli" cbor:"1,keyasint,omitempty"`              // thousandths of a core
	Memory       int64 `json:"memory_mib" cbor:"2,keyasint,omitempty"`             // MiB
	Accelerators int64 `json:"accelerators,omitempty" cbor:"3,keyasint,omitempty"` // whole devices
}

// MaxResource is the maximum of each component of a worker's capacity, a task's size and a
// team's limit. Sums over a million workers, or over the tasks of a job, stay within 64 bits.
const MaxResource = 1_000_000_000_000

// InRange reports whether every component is from 0 to MaxResource.
func (r Resources) InRange() bool {
	return !r.Negative() && r.CPU <= MaxResource && r.Memory <= MaxResource && r.Accelerators <= MaxResource
}

// Add returns r + o.
func (r Resources) Add(o Resources) Resources {
	return Resources{r.CPU + o.CPU, r.Memory + o.Memory, r.Accelerators + o.Accelerators}
}

// Sub returns r - o. A component of the result may be negative.
func (r Resources) Sub(o Resources) Resources {
	return Resources{r.CPU - o.CPU, r.Memory - o.Memory, r.Accelerators - o.Accelerators}
}

// Mul returns r scaled by n.
func (r Resources) Mul(n int64) Resources {
	return Resources{r.CPU * n, r.Memory * n, r.Accelerators * n}
}

// Fits reports whether no component of r exceeds that of free.
func (r Resources) Fits(free Resources) bool {
	return r.CPU <= free.CPU && r.Memory <= free.Memory && r.Accelerators <= free.Accelerators
}

// Max returns the maximum of r and o for each component.
func (r Resources) Max(o Resources) Resources {
	return Resources{max(r.CPU, o.CPU), max(r.Memory, o.Memory), max(r.Accelerators, o.Accelerators)}
}

// Min returns the minimum of r and o for each component.
func (r Resources) Min(o Resources) Resources {
	return Resources{min(r.CPU, o.CPU), min(r.Memory, o.Memory), min(r.Accelerators, o.Accelerators)}
}

// IsZero reports whether every component is zero.
func (r Resources) IsZero() bool { return r == Resources{} }

// Negative reports whether any component is negative.
func (r Resources) Negative() bool { return r.CPU < 0 || r.Memory < 0 || r.Accelerators < 0 }

// String formats r for display, for example "1500m cpu, 2048 MiB, 1 accelerator(s)".
func (r Resources) String() string {
	s := fmt.Sprintf("%dm cpu, %d MiB", r.CPU, r.Memory)
	if r.Accelerators != 0 {
		s += fmt.Sprintf(", %d accelerator(s)", r.Accelerators)
	}
	return s
}
