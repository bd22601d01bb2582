package state

import (
	"slices"
	"time"

	"github.com/filbertmast/filbertmast/internal/model"
)

// keepGone is how long an executor that is gone is remembered: longer than
// anything that an entry had sent to it may still run.
const keepGone = 5 * time.Minute

// GoneExecutor is an executor that was withdrawn lately. An entry may still be
// sending to it under a lease that a later leader does not know.
type GoneExecutor struct {
	Spec   model.ExecutorSpec `cbor:"1,keyasint"`
	Region string             `cbor:"2,keyasint"`
	At     model.Time         `cbor:"3,keyasint"`
}

// GoneExecutors returns the executors that were withdrawn lately, oldest first.
// The caller must not change them.
func (m *Machine) GoneExecutors() []GoneExecutor { return m.gone }

// executorGone tells that an executor serves no longer, and remembers it.
func (m *Machine) executorGone(spec model.ExecutorSpec, region string) {
	before := m.now.Add(-keepGone)
	m.gone = slices.DeleteFunc(m.gone, func(g GoneExecutor) bool { return g.At < before })
	m.gone = append(m.gone, GoneExecutor{Spec: spec, Region: region, At: m.now})
	m.emit(ExecutorChanged{Spec: spec, Region: region, Leaving: true, Gone: true})
}

// executorServes tells an executor that serves.
func (m *Machine) executorServes(spec model.ExecutorSpec, region string, leaving bool) {
	m.gone = slices.DeleteFunc(m.gone, func(g GoneExecutor) bool { return g.Spec.ID == spec.ID })
	m.emit(ExecutorChanged{Spec: spec, Region: region, Leaving: leaving})
}

// setCeilings puts bounds of request permits in force.
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
