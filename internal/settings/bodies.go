package settings

// MaxConfigurationBytes is the largest configuration that the platform's adapter accepts.
const MaxConfigurationBytes = 8 << 20

const (
	// bodyBudgetParts is the number of equal parts of the memory of which request bodies may take
	// one. The rest is for the state, for what is decoded from bodies and for garbage between
	// collections.
	bodyBudgetParts = 4
	// unlimitedBodyBudget is the budget of a process whose memory has no limit.
	unlimitedBodyBudget = 160 << 20
	// largestBodyCost is how often the bytes of a body are there at once, while its buffer
	// grows.
	largestBodyCost = 2
)

// BodyBudgets are the budgets of request bodies by who sends them, in bytes.
type BodyBudgets struct{ Callers, Workers, Operators int64 }

// BodyBudgets returns the parts of the budget for request bodies: two fifths each for callers
// and operators, one for workers. Each has room for the largest body of its class, so that one
// such body is served while there is no other.
func (s *Settings) BodyBudgets() BodyBudgets {
	total := s.Outer.BodyBudgetBytes
	switch {
	case total > 0:
	case s.Memory.LimitMB > 0:
		total = s.Memory.LimitMB << 20 / bodyBudgetParts
	default:
		total = unlimitedBodyBudget
	}
	part := total / 5
	largest := largestBodyCost * (s.Outer.MaxBodyBytes + 1)
	return BodyBudgets{
		Callers:   max(2*part, largest),
		Workers:   max(part, largest),
		Operators: max(2*part, largest, largestBodyCost*(MaxConfigurationBytes+1)),
	}
}

// minBodyBudget returns the least budget that has room for the largest body in its smallest
// part.
func (o Outer) minBodyBudget() int64 { return 5 * largestBodyCost * (o.MaxBodyBytes + 1) }
