package state

import (
	"slices"
	"time"

	"github.com/filbertmast/filbertmast/internal/model"
)

// withdrawnRetention is how long a withdrawn executor is remembered. It is longer
// than any request that an entry process has sent to the executor may still run.
const withdrawnRetention = 5 * time.Minute

// WithdrawnExecutor is an executor that was withdrawn recently. An entry process
// may still send requests to it under a lease that a later leader does not know.
type WithdrawnExecutor struct {
	Spec        model.ExecutorSpec `cbor:"1,keyasint"`
	Region      string             `cbor:"2,keyasint"`
	WithdrawnAt model.Time         `cbor:"3,keyasint"`
}

// WithdrawnExecutors returns the executors that were withdrawn recently, oldest
// first. The caller must not modify them.
func (m *Machine) WithdrawnExecutors() []WithdrawnExecutor { return m.withdrawnExecutors }

// withdrawExecutor records an executor that no longer serves and reports it.
func (m *Machine) withdrawExecutor(spec model.ExecutorSpec, region string) {
	before := m.now.Add(-withdrawnRetention)
	m.withdrawnExecutors = slices.DeleteFunc(m.withdrawnExecutors, func(g WithdrawnExecutor) bool { return g.WithdrawnAt < before })
	m.withdrawnExecutors = append(m.withdrawnExecutors, WithdrawnExecutor{Spec: spec, Region: region, WithdrawnAt: m.now})
	m.emit(ExecutorChanged{Spec: spec, Region: region, Leaving: true, Withdrawn: true})
}

// serveExecutor reports an executor that serves, and drops an earlier withdrawal.
func (m *Machine) serveExecutor(spec model.ExecutorSpec, region string, leaving bool) {
	m.withdrawnExecutors = slices.DeleteFunc(m.withdrawnExecutors, func(g WithdrawnExecutor) bool { return g.Spec.ID == spec.ID })
	m.emit(ExecutorChanged{Spec: spec, Region: region, Leaving: leaving})
}

// setCeilings sets upper bounds of the teams' request permits.
func (m *Machine) setCeilings(c *SetCeilings) Result {
	for _, v := range c.Ceilings {
		m.ceilings[v.Team] = v.Permits
		m.emit(CeilingChanged(v))
	}
	return Result{Count: len(c.Ceilings)}
}

func (m *Machine) ceilingRecords() []Ceiling {
	out := make([]Ceiling, 0, len(m.ceilings))
	for _, team := range sortedKeys(m.ceilings) {
		out = append(out, Ceiling{Team: team, Permits: m.ceilings[team]})
	}
	return out
}
