package model

// WorkerID identifies a worker. The worker chooses it; it is unique in a cell.
type WorkerID string

// WorkerSpec is what a worker announces about itself.
type WorkerSpec struct {
	ID            WorkerID       `json:"id" cbor:"1,keyasint"`
	Capacity      Resources      `json:"capacity" cbor:"2,keyasint"`
	Region        string         `json:"region" cbor:"3,keyasint"`
	FailureDomain string         `json:"failure_domain" cbor:"4,keyasint"`
	Rack          string         `json:"rack,omitempty" cbor:"5,keyasint,omitempty"`
	Labels        Labels         `json:"labels,omitempty" cbor:"6,keyasint,omitempty"`
	Executors     []ExecutorSpec `json:"executors,omitempty" cbor:"7,keyasint,omitempty"`
	// Incarnation increases with each new announcement of the same worker, for example
	// milliseconds since the epoch. It distinguishes a delayed or resent announcement
	// from a new one. Zero: every announcement counts as new.
	Incarnation uint64 `json:"incarnation,omitempty" cbor:"8,keyasint,omitempty"`
	// Address is the IP:port at which the worker receives commands. Empty: the worker
	// polls for its commands.
	Address string `json:"address,omitempty" cbor:"9,keyasint,omitempty"`
}

// MaxWorkerClock is the maximum reading of a worker's clock in milliseconds, about 139 years.
const MaxWorkerClock = 1 << 42

// ExecutorSpec describes a target of requests.
type ExecutorSpec struct {
	ID          string `json:"id" cbor:"1,keyasint"` // unique in a cell
	Service     string `json:"service" cbor:"2,keyasint"`
	Address     string `json:"address" cbor:"3,keyasint"`     // IP:port of its HTTP listener
	Slots       int32  `json:"slots" cbor:"4,keyasint"`       // maximum concurrent requests
	Connections int32  `json:"connections" cbor:"5,keyasint"` // maximum open connections
}

// WorkerMode determines whether a worker gets new work and keeps its tasks.
type WorkerMode uint8

// The modes of a worker.
const (
	WorkerOpen     WorkerMode = iota // gets new work
	WorkerCordoned                   // keeps its tasks, gets no new work
	WorkerDraining                   // gets no new work, its tasks are moved to other workers
	WorkerLeaving                    // like WorkerDraining, but requested by the worker itself
	WorkerLost                       // its lease expired; its tasks are placed again
)

var workerModeNames = [...]string{"open", "cordoned", "draining", "leaving", "lost"}

// String returns the name of m as the API shows it.
func (m WorkerMode) String() string {
	if int(m) >= len(workerModeNames) {
		return "unknown"
	}
	return workerModeNames[m]
}

// Team is a customer with its share and limits.
type Team struct {
	Name string `json:"name" cbor:"1,keyasint"`
	// Share is the team's weight when the cell is full; above zero.
	Share int64 `json:"share" cbor:"2,keyasint"`
	// MaxRunning is the maximum number of running tasks plus requests that use a slot.
	MaxRunning int64 `json:"max_running" cbor:"3,keyasint"`
	// MaxResources limits the resources reserved for the team's tasks; a zero component
	// is unlimited.
	MaxResources Resources `json:"max_resources,omitzero" cbor:"4,keyasint,omitempty"`
	Labels       Labels    `json:"labels,omitempty" cbor:"5,keyasint,omitempty"`
}

// KeyDigest is the hex form of the SHA-256 digest of a key. Keys themselves are never stored.
type KeyDigest string

// Key is a granted key and its rights.
type Key struct {
	Digest KeyDigest `json:"digest" cbor:"1,keyasint"`
	Team   string    `json:"team" cbor:"2,keyasint"`
	// Operator keys may apply declarations and drain workers.
	Operator bool `json:"operator,omitempty" cbor:"3,keyasint,omitempty"`
	// Worker keys may announce workers.
	Worker bool `json:"worker,omitempty" cbor:"4,keyasint,omitempty"`
}

// Queue is a declared queue, in which jobs wait for their start.
type Queue struct {
	Name      string `json:"name" cbor:"1,keyasint"`
	Workspace string `json:"workspace" cbor:"2,keyasint"`
	// Team owns the queue. Work in a queue with Open is charged to it.
	Team string `json:"team" cbor:"3,keyasint"`
	// Open lets every team use the queue; otherwise only Team and Teams.
	Open     bool     `json:"open,omitempty" cbor:"4,keyasint,omitempty"`
	Teams    []string `json:"teams,omitempty" cbor:"5,keyasint,omitempty"`
	Selector string   `json:"selector,omitempty" cbor:"6,keyasint,omitempty"` // over worker labels
	Labels   Labels   `json:"labels,omitempty" cbor:"7,keyasint,omitempty"`
	// MaxPending is the maximum number of waiting jobs; zero is unlimited.
	MaxPending int64 `json:"max_pending,omitempty" cbor:"8,keyasint,omitempty"`
	// Shared lets every team use the queue, each charged for its own work. A
	// shared queue has no owner.
	Shared bool `json:"shared,omitempty" cbor:"9,keyasint,omitempty"`
	// Public queues accept calls without a key.
	Public bool `json:"public,omitempty" cbor:"10,keyasint,omitempty"`
	// Route is the host and path under which callers of a platform reach the queue.
	Route Route `json:"route,omitzero" cbor:"11,keyasint,omitempty"`
	// Service restricts the queue's workflows to workers whose label LabelService has
	// this value. Empty: only Selector applies.
	Service string `json:"service,omitempty" cbor:"12,keyasint,omitempty"`
	// Rank orders queues: of equally urgent workflows, the one with the lower rank goes
	// first.
	Rank int32 `json:"rank,omitempty" cbor:"13,keyasint,omitempty"`
	// MaxAttempts is the maximum number of attempts of a workflow task; zero means 1.
	MaxAttempts int32 `json:"max_attempts,omitempty" cbor:"14,keyasint,omitempty"`
	// StretchPermille and Allowance determine the maximum duration of a workflow: its
	// critical path times StretchPermille/1000, plus Allowance.
	StretchPermille int64    `json:"stretch_permille,omitempty" cbor:"15,keyasint,omitempty"`
	Allowance       Duration `json:"allowance,omitempty" cbor:"16,keyasint,omitempty"`
	// Policy, if not zero, means that an external policy service must permit the workers
	// of each step.
	Policy PolicyCosts `json:"policy,omitzero" cbor:"17,keyasint,omitempty"`
}

// Route is the host and the path under which callers reach a queue.
type Route struct {
	Host       string `json:"host" cbor:"1,keyasint"`
	PathPrefix string `json:"path_prefix" cbor:"2,keyasint"`
}

// PolicyCosts are the durations of queries to the policy service. The zero value means
// that no query is required.
type PolicyCosts struct {
	Base      Duration `json:"base" cbor:"1,keyasint"`       // duration of a query without workers
	PerWorker Duration `json:"per_worker" cbor:"2,keyasint"` // additional duration per worker in the query
	Valid     Duration `json:"valid" cbor:"3,keyasint"`      // how long a permit is valid
}

// Required reports whether a query to the policy service is required.
func (c PolicyCosts) Required() bool { return c != PolicyCosts{} }

// LabelService is the worker label whose value is the service of the worker.
const LabelService = "filbertmast/service"

// WorkerSelector returns the queue's selector over worker labels, including the
// requirement derived from Service.
func (q *Queue) WorkerSelector() string {
	switch {
	case q.Service == "":
		return q.Selector
	case q.Selector == "":
		return LabelService + "=" + q.Service
	}
	return q.Selector + "," + LabelService + "=" + q.Service
}

// Admits reports whether team may submit to the queue.
func (q *Queue) Admits(team string) bool {
	if q.Open || q.Shared || q.Team == team {
		return true
	}
	for _, t := range q.Teams {
		if t == team {
			return true
		}
	}
	return false
}

// ChargedTeam returns the team to whose share and limits the work of team in q is
// charged.
func (q *Queue) ChargedTeam(team string) string {
	if q.Open {
		return q.Team
	}
	return team
}

// PricePoint is one step of the price as a function of patience.
type PricePoint struct {
	Patience Duration `json:"patience" cbor:"1,keyasint"`
	// MicroUnits is the price of one core-second for work with at least this patience,
	// in millionths of a unit.
	MicroUnits int64 `json:"micro_units" cbor:"2,keyasint"`
}

// Service is a named group of executors with limits on its requests.
type Service struct {
	Name       string   `json:"name" cbor:"1,keyasint"`
	Workspace  string   `json:"workspace" cbor:"2,keyasint"`
	Teams      []string `json:"teams,omitempty" cbor:"3,keyasint,omitempty"` // none: every team
	MaxQueue   int32    `json:"max_queue,omitempty" cbor:"4,keyasint,omitempty"`
	MaxRequest int64    `json:"max_request_bytes,omitempty" cbor:"5,keyasint,omitempty"`
	MaxAnswer  int64    `json:"max_answer_bytes,omitempty" cbor:"6,keyasint,omitempty"`
	Deadline   Duration `json:"deadline,omitempty" cbor:"7,keyasint,omitempty"` // default for requests
}

// Admits reports whether team may send requests to the service.
func (s *Service) Admits(team string) bool {
	if len(s.Teams) == 0 {
		return true
	}
	for _, t := range s.Teams {
		if t == team {
			return true
		}
	}
	return false
}

// Declarations are the complete configuration of a cell as declared by operators.
// Every list is sorted by name.
type Declarations struct {
	Teams    []Team       `json:"teams" cbor:"1,keyasint,omitempty"`
	Keys     []Key        `json:"keys" cbor:"2,keyasint,omitempty"`
	Queues   []Queue      `json:"queues" cbor:"3,keyasint,omitempty"`
	Prices   []PricePoint `json:"prices" cbor:"4,keyasint,omitempty"` // ascending patience, falling price
	Services []Service    `json:"services" cbor:"5,keyasint,omitempty"`
}
