// Package settings reads and validates the JSON settings of one process. A file with
// any problem is rejected before anything starts, and all problems are reported
// together.
package settings

import (
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"time"

	"github.com/filbertmast/filbertmast/internal/model"
	"github.com/filbertmast/filbertmast/internal/strict"
)

// Problems are the problems of a settings file.
type Problems = strict.Problems

// Role is a function of a process.
type Role string

// The roles.
const (
	RoleEntry   Role = "entry"
	RoleControl Role = "control"
)

// Settings are the contents of one settings file. Relative file names are relative to
// the folder of the settings file.
type Settings struct {
	// Name is unique among the processes of a deployment, such as "selfoss-1".
	Name          string    `json:"name"`
	Roles         []Role    `json:"roles"`
	Region        string    `json:"region"`
	FailureDomain string    `json:"failure_domain"`
	Inner         Inner     `json:"inner"`
	Outer         Outer     `json:"outer"`
	Data          Data      `json:"data"`
	Control       Control   `json:"control"`
	Limits        Limits    `json:"limits"`
	Log           Log       `json:"log"`
	Bootstrap     Bootstrap `json:"bootstrap" secret:"true"`
	Platform      Platform  `json:"platform"`

	Scheduling Scheduling `json:"scheduling"`
	Memory     Memory     `json:"memory"`
}

// Memory configures the garbage collector.
type Memory struct {
	// LimitMB is the memory above which the process is killed, in MiB. Zero: none. The
	// garbage collector runs more often before it is reached.
	LimitMB int64 `json:"limit_mb"`
	// GCPercent is how much the heap may grow between collections, in percent of what the
	// last one has left. More costs memory and saves processor time.
	GCPercent int `json:"gc_percent"`
}

// Scheduling configures how the leader orders jobs and preempts tasks. It must be
// equal on every control process.
type Scheduling struct {
	PressingSlack model.Duration `json:"pressing_slack"` // jobs with less slack may reserve and preempt
	AgeingSpan    model.Duration `json:"ageing_span"`    // lateness that counts as much as one whole share between teams
	// LateShift is the time by which the promised start of a job moves after the job missed
	// it by more than LateGrace. Until then, jobs that can still be in time go first. Zero:
	// the promised start does not move.
	LateShift model.Duration `json:"late_shift"`
	LateGrace model.Duration `json:"late_grace"`
	// LateMargin is how long before its promised start a job counts as one that is too late to
	// be in time, at most a third of its patience.
	LateMargin model.Duration `json:"late_margin"`
	// UsefulFactor is for how many times its allowed time a job is of use to its caller. A late
	// job that can still be of use moves no further than that. Zero: by LateShift alone.
	UsefulFactor int64 `json:"useful_factor"`
	// KeepRunning disables preemption.
	KeepRunning bool `json:"keep_running"`
	// MaxReservations is the maximum number of jobs with reservations at a time.
	MaxReservations int `json:"max_reservations"`
	// WorkerSpeed enables the estimation of how fast each worker is, and its use in placements.
	WorkerSpeed bool `json:"worker_speed"`
	// PastUseHalfLife is the time in which the weight of what a team has used halves in the
	// order of teams. Zero: past use does not count. Unlike the rest, it may differ between
	// control processes while they are restarted: the leader's value is in force.
	PastUseHalfLife model.Duration `json:"past_use_half_life"`
}

// Platform configures the adapter to the users' platform. A part of the adapter whose
// address is empty is disabled.
type Platform struct {
	Callers   string `json:"callers"`   // IP:port to listen on for requests of callers
	Readiness string `json:"readiness"` // IP:port to listen on for readiness checks of the load balancer
	Control   string `json:"control"`   // IP:port to listen on for operators and workers
	Policy    string `json:"policy"`    // IP:port of the policy service
	Machines  string `json:"machines"`  // IP:port of the platform's machine list
	// Regions maps each failure domain to its region, which determines the region of
	// a worker.
	Regions map[string]string `json:"regions"`
}

// Enabled reports whether the process serves any part of the platform's interface.
func (p Platform) Enabled() bool { return p.Callers != "" || p.Control != "" }

// Inner configures the connections between processes: QUIC over UDP with mutual TLS.
type Inner struct {
	Address     string `json:"address"` // IP:port, to listen on and for other processes to connect to
	Certificate string `json:"certificate"`
	Key         string `json:"key"`
	CA          string `json:"ca"`
	// Open disables certificate files: connections are encrypted, but every process
	// that can reach the address is trusted.
	Open bool `json:"open"`
}

// Outer configures the listener for callers, targets, operators and the platform:
// HTTP over TCP.
type Outer struct {
	Address   string `json:"address"`   // IP:port to listen on
	Advertise string `json:"advertise"` // IP:port for workers to connect to; default: Address
	// Certificate and Key enable TLS; both or neither must be set.
	Certificate    string `json:"certificate"`
	Key            string `json:"key"`
	MaxBodyBytes   int64  `json:"max_body_bytes"`
	MaxHeaderBytes int    `json:"max_header_bytes"`
	MaxConnections int    `json:"max_connections"`
	// MaxCallerConnections and MaxWorkerConnections bound the connections of the adapter's
	// listeners. Zero: derived from the files and the memory of the process.
	MaxCallerConnections int `json:"max_caller_connections"`
	MaxWorkerConnections int `json:"max_worker_connections"`
	// BodyBudgetBytes bounds the request bodies that are held at once. Zero: derived from
	// Memory.LimitMB.
	BodyBudgetBytes int64 `json:"body_budget_bytes"`
	// MinBodyRate is the rate below which a body is given up, in bytes per second, on average
	// since BodyGrace after its begin. Zero: none.
	MinBodyRate       int64          `json:"min_body_rate"`
	BodyGrace         model.Duration `json:"body_grace"`
	ReadHeaderTimeout model.Duration `json:"read_header_timeout"`
	ReadTimeout       model.Duration `json:"read_timeout"`
	WriteTimeout      model.Duration `json:"write_timeout"` // also limits long polls
	IdleTimeout       model.Duration `json:"idle_timeout"`
}

// TLS reports whether the outer listener uses TLS.
func (o Outer) TLS() bool { return o.Certificate != "" }

// Data configures the durable storage of a control process.
type Data struct {
	Dir string `json:"dir"`
	// SnapshotEntries is the number of log entries after which a snapshot replaces them.
	SnapshotEntries int `json:"snapshot_entries"`
	// MinFreeBytes is the free disk space below which changes are rejected.
	MinFreeBytes int64 `json:"min_free_bytes"`
}

// Control configures the replication group of the control processes.
type Control struct {
	// Founders lists the inner addresses of the replicas that bootstrap the group.
	Founders []string `json:"founders"`
	// Join makes an empty control process join an existing group as a learner.
	Join bool `json:"join"`
	// Replaces is the inner address of the failed replica that a joining process
	// replaces; default: its own address, for a VM that has lost its disk.
	Replaces string `json:"replaces"`
	// Seeds are the addresses of some control processes, IP:port, as an alternative to
	// Founders. Their ports are ignored: all processes use the same inner port.
	Seeds []string `json:"seeds"`
	// FirstStart means that the deployment starts for the first time and the seeds
	// bootstrap the group. Otherwise a process with an empty data folder joins the group.
	FirstStart bool `json:"first_start"`
	// Tolerate is the number of control processes that may fail at the same time. While
	// the group has more voters than that requires, an unresponsive one is removed.
	Tolerate int `json:"tolerate"`
	// Tick is the time unit of elections and heartbeats: a follower starts an election
	// after 10 to 20 ticks without a message from the leader.
	Tick model.Duration `json:"tick"`
}

// Limits configures leases, timeouts, size limits and network budgets.
type Limits struct {
	WorkerLease model.Duration `json:"worker_lease"` // of a worker, which stops its tasks when the lease expires
	// MaxWorkerLease is the longest lease that a worker accepts which is called by the
	// leader; it shortens a longer one. At least WorkerLease counts.
	MaxWorkerLease model.Duration `json:"longest_worker_lease"`
	RequestLease   model.Duration `json:"request_lease"`   // of request permits and executor ownership
	Freshness      model.Duration `json:"freshness"`       // maximum age of the last confirmation of the configuration with which an entry serves
	RequestTimeout model.Duration `json:"request_timeout"` // of requests without a deadline
	// MaxDeadline is the maximum deadline that a caller may set. After a leader fails, what
	// it may have granted is withheld for this time.
	MaxDeadline    model.Duration `json:"longest_deadline"`
	ShutdownDelay  model.Duration `json:"shutdown_delay"`  // from reporting "not ready" until the listeners close
	ShutdownGrace  model.Duration `json:"shutdown_grace"`  // for requests in flight to finish
	KeepFinished   model.Duration `json:"keep_finished"`   // retention of finished jobs; equal on every control process
	RestartBackoff model.Duration `json:"restart_backoff"` // before the first restart of a failed task; doubles with each restart
	JournalKeep    model.Duration `json:"journal_keep"`    // retention of answers to requests that are not repeatable
	JournalBytes   int64          `json:"journal_bytes"`   // maximum total size of stored answers
	AnswerBytes    int64          `json:"answer_bytes"`    // maximum size of one stored answer
	// AcceptedBytes bounds the memory that accepted work takes in each control process. Zero:
	// derived from Memory.LimitMB and the disk. The least of all control processes counts.
	AcceptedBytes int64  `json:"accepted_bytes"`
	Links         []Link `json:"links"` // network budgets between regions
}

// Link is the network budget of one direction between two regions.
type Link struct {
	From           string `json:"from"`
	To             string `json:"to"`
	BytesPerSecond int64  `json:"bytes_per_second"`
}

// Log configures logging.
type Log struct {
	Level  string `json:"level"`  // debug, info, warn or error
	Format string `json:"format"` // text, json or logfmt
}

// Bootstrap authorizes the first operator before any declarations exist.
type Bootstrap struct {
	// OperatorKeyDigest is the SHA-256 digest of the first operator key, in hex.
	// It is valid only while no operator key is declared.
	OperatorKeyDigest string `json:"operator_key_digest"`
}

// Has reports whether the process has role r.
func (s *Settings) Has(r Role) bool { return slices.Contains(s.Roles, r) }

// AdvertisedAddress returns the outer address to which others connect.
func (s *Settings) AdvertisedAddress() string {
	if s.Outer.Advertise != "" {
		return s.Outer.Advertise
	}
	return s.Outer.Address
}

// Default returns settings that contain only the default values.
func Default() *Settings {
	return &Settings{
		Outer: Outer{
			MaxBodyBytes:      4 << 20,
			MaxHeaderBytes:    16 << 10,
			MaxConnections:    4096,
			MinBodyRate:       4 << 10,
			BodyGrace:         model.Duration(5 * time.Second),
			ReadHeaderTimeout: model.Duration(5 * time.Second),
			ReadTimeout:       model.Duration(30 * time.Second),
			WriteTimeout:      model.Duration(2 * time.Minute),
			IdleTimeout:       model.Duration(90 * time.Second),
		},
		Data:    Data{SnapshotEntries: 100_000, MinFreeBytes: 64 << 20},
		Control: Control{Tick: model.Duration(50 * time.Millisecond)},
		Limits: Limits{
			WorkerLease:    model.Duration(15 * time.Second),
			RequestLease:   model.Duration(5 * time.Second),
			Freshness:      model.Duration(3 * time.Second),
			RequestTimeout: model.Duration(10 * time.Second),
			MaxDeadline:    model.Duration(15 * time.Second),
			ShutdownDelay:  model.Duration(3 * time.Second),
			ShutdownGrace:  model.Duration(30 * time.Second),
			KeepFinished:   model.Duration(time.Hour),
			RestartBackoff: model.Duration(time.Second),
			JournalKeep:    model.Duration(10 * time.Minute),
			JournalBytes:   64 << 20,
			AnswerBytes:    64 << 10,
		},
		Scheduling: Scheduling{
			PressingSlack: model.Duration(5 * time.Second),
			AgeingSpan:    model.Duration(10 * time.Minute),

			MaxReservations: 8,
		},
		Log:    Log{Level: "info", Format: "text"},
		Memory: Memory{GCPercent: 100},
	}
}

// Load reads and validates the settings file at path and checks that the files it
// names exist. The error is of type Problems.
func Load(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, Problems{{File: path, Path: "$", Rule: "the file cannot be read: " + err.Error()}}
	}
	s, problems := Parse(path, data)
	problems = append(problems, s.CheckFiles(path)...)
	return s, problems.Err()
}

// Parse reads and validates settings from data without accessing other files. The
// settings are never nil, but incomplete if there are problems.
func Parse(file string, data []byte) (*Settings, Problems) {
	s := Default()
	problems := strict.Decode(file, data, s)
	s.resolveSeeds()
	c := checker{file: file, decodeProblems: problems}
	c.settings(s)
	s.resolve(filepath.Dir(file))
	return s, append(problems, c.problems...)
}

// resolveSeeds derives Founders and Join from the seeds, unless founders are listed.
func (s *Settings) resolveSeeds() {
	if len(s.Control.Seeds) == 0 || len(s.Control.Founders) > 0 {
		return
	}
	own, err := netip.ParseAddrPort(s.Inner.Address)
	if err != nil {
		return // reported by the check of the inner address
	}
	for _, seed := range s.Control.Seeds {
		a, err := netip.ParseAddrPort(seed)
		if err != nil {
			continue // reported by the check of the seeds
		}
		s.Control.Founders = append(s.Control.Founders, netip.AddrPortFrom(a.Addr(), own.Port()).String())
	}
	if s.Has(RoleControl) {
		s.Control.Join = !s.Control.FirstStart || !slices.Contains(s.Control.Founders, s.Inner.Address)
	}
}

// resolve joins relative file names with dir, the folder of the settings file.
func (s *Settings) resolve(dir string) {
	for _, p := range s.fileSettings() {
		if *p.name != "" && !filepath.IsAbs(*p.name) {
			*p.name = filepath.Join(dir, *p.name)
		}
	}
}
