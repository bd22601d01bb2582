// Package settings reads the JSON settings of one process. A file with any
// problem is refused before anything starts, and all problems are told at once.
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

// Problems lists what is wrong with a settings file.
type Problems = strict.Problems

// Role names what a process does.
type Role string

// The roles.
const (
	RoleEntry   Role = "entry"
	RoleControl Role = "control"
)

// Settings is the whole of one settings file. Relative file names are taken
// from the folder of the settings file.
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
}

// Scheduling says how the leader orders work and makes room. Equal on every
// control process.
type Scheduling struct {
	PressingSlack model.Duration `json:"pressing_slack"` // room is reserved for jobs with less slack
	AgeingSpan    model.Duration `json:"ageing_span"`    // lateness that outweighs one whole share between teams
	// LateShift puts a job that has missed its promise by LateGrace behind those
	// that can still be in time, for so long. Zero: a missed promise stands.
	LateShift model.Duration `json:"late_shift"`
	LateGrace model.Duration `json:"late_grace"`
	// KeepRunning stops no task to make room for other work.
	KeepRunning bool `json:"keep_running"`
	// MaxReservations bounds the jobs at once for which workers are kept clear.
	MaxReservations int `json:"max_reservations"`
}

// Platform is what a process needs on the users' platform. Empty addresses
// leave the part of the adapter out that they are for.
type Platform struct {
	Callers   string `json:"callers"`   // IP:port on which callers' requests are served
	Readiness string `json:"readiness"` // IP:port on which the balancer asks for readiness
	Control   string `json:"control"`   // IP:port for operators and workers
	Policy    string `json:"policy"`    // IP:port of the policy service
	Machines  string `json:"machines"`  // IP:port of the platform's list of machines
	// Regions names the region of each failure domain, by which workers are placed.
	Regions map[string]string `json:"regions"`
}

// Enabled reports whether the process serves any part of the platform's interface.
func (p Platform) Enabled() bool { return p.Callers != "" || p.Control != "" }

// Inner is the side towards the other processes: QUIC over UDP with mutual TLS.
type Inner struct {
	Address     string `json:"address"` // IP:port, also told to the other processes
	Certificate string `json:"certificate"`
	Key         string `json:"key"`
	CA          string `json:"ca"`
	// Open does without certificate files: links are encrypted, and every process
	// that reaches the address is trusted.
	Open bool `json:"open"`
}

// Outer is the side towards callers, targets, operators and the platform: HTTP over TCP.
type Outer struct {
	Address   string `json:"address"`   // IP:port to listen on
	Advertise string `json:"advertise"` // IP:port told to workers; default: Address
	// Certificate and Key turn TLS on; both or none.
	Certificate       string         `json:"certificate"`
	Key               string         `json:"key"`
	MaxBodyBytes      int64          `json:"max_body_bytes"`
	MaxHeaderBytes    int            `json:"max_header_bytes"`
	MaxConnections    int            `json:"max_connections"`
	ReadHeaderTimeout model.Duration `json:"read_header_timeout"`
	ReadTimeout       model.Duration `json:"read_timeout"`
	WriteTimeout      model.Duration `json:"write_timeout"` // also bounds long waits
	IdleTimeout       model.Duration `json:"idle_timeout"`
}

// TLS reports whether callers are served over TLS.
func (o Outer) TLS() bool { return o.Certificate != "" }

// Data is where a control process keeps its durable state.
type Data struct {
	Dir string `json:"dir"`
	// SnapshotEntries is how many log entries are kept before a snapshot replaces them.
	SnapshotEntries int `json:"snapshot_entries"`
	// MinFreeBytes is the room on the disk below which changes are refused.
	MinFreeBytes int64 `json:"min_free_bytes"`
}

// Control says how control processes are found.
type Control struct {
	// Founders lists the inner addresses of all first replicas.
	Founders []string `json:"founders"`
	// Join makes an empty control process join an existing group as a learner.
	Join bool `json:"join"`
	// Replaces is the inner address of the dead replica whose place a joining
	// one takes; default: the process's own, for a VM that has lost its disk.
	Replaces string `json:"replaces"`
	// Seeds are addresses of some control processes, IP:port, in place of
	// Founders. Only their IP numbers count: all processes use the same inner port.
	Seeds []string `json:"seeds"`
	// FirstStart says that the whole deployment starts for the first time, so that
	// the seeds found the group. Otherwise an empty data folder joins the group.
	FirstStart bool `json:"first_start"`
	// Tolerate is how many control processes may be lost at once. With more voters
	// than that takes, one that stays silent is removed from the group.
	Tolerate int `json:"tolerate"`
	// Tick is the unit of the timeouts of elections and heartbeats: a follower
	// calls for an election after 10 to 20 ticks without a word from the leader.
	Tick model.Duration `json:"tick"`
}

// Limits holds leases, bounds and budgets.
type Limits struct {
	WorkerLease    model.Duration `json:"worker_lease"`    // of a worker; it stops its tasks after that without a renewal
	RequestLease   model.Duration `json:"request_lease"`   // of request permits and executor ownership
	Freshness      model.Duration `json:"freshness"`       // oldest confirmation of the configuration that an entry serves by
	RequestTimeout model.Duration `json:"request_timeout"` // of requests that name no deadline
	// MaxDeadline bounds the deadline that a caller may name. What a dead
	// leader may have granted is withheld for as long.
	MaxDeadline    model.Duration `json:"longest_deadline"`
	ShutdownDelay  model.Duration `json:"shutdown_delay"`  // between "not ready" and the end of listening
	ShutdownGrace  model.Duration `json:"shutdown_grace"`  // for running requests to end
	KeepFinished   model.Duration `json:"keep_finished"`   // of jobs that have ended; equal on every control process
	RestartBackoff model.Duration `json:"restart_backoff"` // before the first restart of a failed task; it doubles with each
	JournalKeep    model.Duration `json:"journal_keep"`    // of answers to requests that are not repeatable
	JournalBytes   int64          `json:"journal_bytes"`   // of all kept answers
	AnswerBytes    int64          `json:"answer_bytes"`    // of one kept answer
	Links          []Link         `json:"links"`           // budgets between regions
}

// Link is the budget of one direction between two regions.
type Link struct {
	From           string `json:"from"`
	To             string `json:"to"`
	BytesPerSecond int64  `json:"bytes_per_second"`
}

// Log says what is logged and how.
type Log struct {
	Level  string `json:"level"`  // debug, info, warn or error
	Format string `json:"format"` // text, json or logfmt
}

// Bootstrap lets the first operator in before any declarations exist.
type Bootstrap struct {
	// OperatorKeyDigest is the SHA-256 digest of the first operator key, in hex.
	// It is in force only while no operator key is declared.
	OperatorKeyDigest string `json:"operator_key_digest"`
}

// Has reports whether the process has role r.
func (s *Settings) Has(r Role) bool { return slices.Contains(s.Roles, r) }

// AdvertisedAddress is the outer address that others are told.
func (s *Settings) AdvertisedAddress() string {
	if s.Outer.Advertise != "" {
		return s.Outer.Advertise
	}
	return s.Outer.Address
}

// Default returns settings with every default filled in and nothing else.
func Default() *Settings {
	return &Settings{
		Outer: Outer{
			MaxBodyBytes:      4 << 20,
			MaxHeaderBytes:    16 << 10,
			MaxConnections:    4096,
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
		Log: Log{Level: "info", Format: "text"},
	}
}

// Load reads and checks the file at path, and checks that the files it names
// exist. The error is of type Problems where the contents are at fault.
func Load(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, Problems{{File: path, Path: "$", Rule: "the file cannot be read: " + err.Error()}}
	}
	s, problems := Parse(path, data)
	problems = append(problems, s.CheckFiles(path)...)
	return s, problems.Err()
}

// Parse reads settings from data and checks them, without looking at other
// files. The settings are never nil; with problems they are incomplete.
func Parse(file string, data []byte) (*Settings, Problems) {
	s := Default()
	problems := strict.Decode(file, data, s)
	s.resolveSeeds()
	c := checker{file: file, decodeProblems: problems}
	c.settings(s)
	s.resolve(filepath.Dir(file))
	return s, append(problems, c.problems...)
}

// resolveSeeds turns seeds into founders, or into the addresses at which to join.
func (s *Settings) resolveSeeds() {
	if len(s.Control.Seeds) == 0 || len(s.Control.Founders) > 0 {
		return
	}
	own, err := netip.ParseAddrPort(s.Inner.Address)
	if err != nil {
		return // told by the check of the inner address
	}
	for _, seed := range s.Control.Seeds {
		a, err := netip.ParseAddrPort(seed)
		if err != nil {
			continue // told by the check of the seeds
		}
		s.Control.Founders = append(s.Control.Founders, netip.AddrPortFrom(a.Addr(), own.Port()).String())
	}
	if s.Has(RoleControl) {
		s.Control.Join = !s.Control.FirstStart || !slices.Contains(s.Control.Founders, s.Inner.Address)
	}
}

// resolve makes relative file names relative to dir, the folder of the settings file.
func (s *Settings) resolve(dir string) {
	for _, p := range s.fileSettings() {
		if *p.name != "" && !filepath.IsAbs(*p.name) {
			*p.name = filepath.Join(dir, *p.name)
		}
	}
}
