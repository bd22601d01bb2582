package settings

import (
	"encoding/hex"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/filbertmast/filbertmast/internal/model"
	"github.com/filbertmast/filbertmast/internal/strict"
	"github.com/filbertmast/filbertmast/internal/usage"
)

const (
	maxNameLength = 63
	maxFounders   = 7
	digestBytes   = 32
	// minWriteTimeout is longer than the longest long poll, so that the write timeout
	// does not cut off its answer.
	minWriteTimeout = 75 * time.Second
)

// durationRange is an inclusive range of durations.
type durationRange struct{ low, high time.Duration }

// checker validates settings and collects the problems.
type checker struct {
	file           string
	decodeProblems Problems // from decoding; their paths are not reported again
	problems       Problems
}

func (c *checker) addProblem(path string, value any, format string, args ...any) {
	if c.decodeProblems.Covers(c.file, path) {
		return
	}
	c.problems.Add(c.file, path, value, format, args...)
}

func (c *checker) settings(s *Settings) {
	c.name("$.name", s.Name)
	c.name("$.region", s.Region)
	c.name("$.failure_domain", s.FailureDomain)
	c.roles(s.Roles)
	c.inner(s.Inner)
	c.outer(s)
	c.data(s)
	c.control(s)
	c.limits(s.Limits)
	c.log(s.Log)
	c.bootstrap(s.Bootstrap)
	c.platform(s)
	c.scheduling(s.Scheduling)
	c.memory(s.Memory)
}

func (c *checker) memory(m Memory) {
	if m.LimitMB != 0 {
		c.between("$.memory.limit_mb", m.LimitMB, 32, 1<<20)
	}
	c.between("$.memory.gc_percent", int64(m.GCPercent), 10, 1000)
}

func (c *checker) scheduling(s Scheduling) {
	c.duration("$.scheduling.pressing_slack", s.PressingSlack, durationRange{time.Millisecond, time.Hour})
	c.duration("$.scheduling.ageing_span", s.AgeingSpan, durationRange{100 * time.Millisecond, 24 * time.Hour})
	c.duration("$.scheduling.late_shift", s.LateShift, durationRange{0, time.Hour})
	c.between("$.scheduling.max_reservations", int64(s.MaxReservations), 1, 1024)
	c.duration("$.scheduling.late_grace", s.LateGrace, durationRange{0, time.Hour})
	c.duration("$.scheduling.late_margin", s.LateMargin, durationRange{0, time.Hour})
	c.between("$.scheduling.useful_factor", s.UsefulFactor, 0, 1000)
	if s.PastUseHalfLife != 0 {
		c.duration("$.scheduling.past_use_half_life", s.PastUseHalfLife, durationRange{usage.MinHalfLife.Std(), usage.MaxHalfLife.Std()})
	}
}

func (c *checker) platform(s *Settings) {
	p := s.Platform
	for path, address := range map[string]string{
		"$.platform.callers":   p.Callers,
		"$.platform.readiness": p.Readiness,
		"$.platform.control":   p.Control,
		"$.platform.policy":    p.Policy,
		"$.platform.machines":  p.Machines,
	} {
		if address != "" {
			c.address(path, address)
		}
	}
	if p.Enabled() && !s.Has(RoleEntry) {
		c.addProblem("$.platform", nil, "needs the entry role, which forwards calls to the leader")
	}
}

func (c *checker) name(path, name string) {
	if name == "" {
		c.addProblem(path, nil, "is required")
		return
	}
	if !model.ValidName(name) {
		c.addProblem(path, name, "must be 1 to %d letters, digits, '-', '_' or '.', and begin with a letter or digit", maxNameLength)
	}
}

func (c *checker) roles(roles []Role) {
	if len(roles) == 0 {
		c.addProblem("$.roles", nil, "must name at least one of entry, control")
	}
	for i, r := range roles {
		path := strict.Index("$.roles", i)
		if r != RoleEntry && r != RoleControl {
			c.addProblem(path, string(r), "must be entry or control")
		}
		if slices.Index(roles, r) < i {
			c.addProblem(path, string(r), "is listed twice")
		}
	}
}

func (c *checker) inner(in Inner) {
	c.reachable("$.inner.address", in.Address)
	if in.Open {
		if in.Certificate != "" || in.Key != "" || in.CA != "" {
			c.addProblem("$.inner.open", true, "must not be combined with certificate, key and ca")
		}
		return
	}
	c.required("$.inner.certificate", in.Certificate)
	c.required("$.inner.key", in.Key)
	c.required("$.inner.ca", in.CA)
}

func (c *checker) required(path, value string) {
	if value == "" {
		c.addProblem(path, nil, "is required")
	}
}

// address parses an IP:port and reports whether it is valid.
func (c *checker) address(path, address string) (netip.AddrPort, bool) {
	if address == "" {
		c.addProblem(path, nil, "is required")
		return netip.AddrPort{}, false
	}
	a, err := netip.ParseAddrPort(address)
	if err != nil || a.Port() == 0 {
		c.addProblem(path, address, "must be an IP number and a port from 1 to 65535, such as 10.0.0.1:7000")
		return a, false
	}
	return a, true
}

// reachable checks an address that other processes use to connect.
func (c *checker) reachable(path, address string) {
	a, ok := c.address(path, address)
	if ok && a.Addr().IsUnspecified() {
		c.addProblem(path, address, "must be an address that other processes can reach")
	}
}

func (c *checker) outer(s *Settings) {
	o := s.Outer
	if !s.Has(RoleEntry) && o.Address == "" {
		return
	}
	a, ok := c.address("$.outer.address", o.Address)
	if o.Advertise != "" {
		c.reachable("$.outer.advertise", o.Advertise)
	}
	if ok && a.Addr().IsUnspecified() && o.Advertise == "" {
		c.addProblem("$.outer.advertise", nil, "is required when outer.address listens on every interface")
	}
	if ok && o.Address == s.Inner.Address {
		c.addProblem("$.outer.address", o.Address, "must differ from inner.address")
	}
	if (o.Certificate == "") != (o.Key == "") {
		c.addProblem("$.outer.certificate", nil, "certificate and key go together: set both or neither")
	}
	c.outerBounds(o)
}

func (c *checker) outerBounds(o Outer) {
	c.between("$.outer.max_body_bytes", o.MaxBodyBytes, 1<<10, 1<<30)
	c.between("$.outer.max_header_bytes", int64(o.MaxHeaderBytes), 1<<10, 1<<20)
	c.between("$.outer.max_connections", int64(o.MaxConnections), 1, 1<<20)
	c.between("$.outer.max_caller_connections", int64(o.MaxCallerConnections), 0, 1<<20)
	c.between("$.outer.max_worker_connections", int64(o.MaxWorkerConnections), 0, 1<<20)
	c.between("$.outer.min_body_rate", o.MinBodyRate, 0, 1<<20)
	c.duration("$.outer.body_grace", o.BodyGrace, durationRange{time.Second, time.Minute})
	if o.BodyBudgetBytes != 0 {
		c.between("$.outer.body_budget_bytes", o.BodyBudgetBytes, o.minBodyBudget(), 1<<40)
	}
	timeout := durationRange{100 * time.Millisecond, time.Hour}
	c.duration("$.outer.read_header_timeout", o.ReadHeaderTimeout, timeout)
	c.duration("$.outer.read_timeout", o.ReadTimeout, timeout)
	c.duration("$.outer.write_timeout", o.WriteTimeout, durationRange{minWriteTimeout, time.Hour})
	c.duration("$.outer.idle_timeout", o.IdleTimeout, timeout)
}

func (c *checker) between(path string, v, low, high int64) {
	if v < low || v > high {
		c.addProblem(path, v, "must be from %d to %d", low, high)
	}
}

func (c *checker) duration(path string, d model.Duration, b durationRange) {
	if d.Std() < b.low || d.Std() > b.high {
		c.addProblem(path, d, "must be from %s to %s", b.low, b.high)
	}
}

func (c *checker) data(s *Settings) {
	if !s.Has(RoleControl) {
		return
	}
	c.required("$.data.dir", s.Data.Dir)
	c.between("$.data.min_free_bytes", s.Data.MinFreeBytes, 1<<20, 1<<40)
	c.between("$.data.snapshot_entries", int64(s.Data.SnapshotEntries), 100, 10_000_000)
}

func (c *checker) control(s *Settings) {
	founders := s.Control.Founders
	seeded := len(s.Control.Seeds) > 0
	c.duration("$.control.tick", s.Control.Tick, durationRange{10 * time.Millisecond, time.Second})
	c.between("$.control.tolerate", int64(s.Control.Tolerate), 0, maxFounders/2)
	c.addresses("$.control.seeds", s.Control.Seeds)
	if n := len(founders); !seeded && (n%2 == 0 || n > maxFounders) {
		c.addProblem("$.control.founders", n, "must list an odd number of addresses, from 1 to %d", maxFounders)
	}
	c.addresses("$.control.founders", founders)
	member := slices.Contains(founders, s.Inner.Address)
	if s.Has(RoleControl) && !s.Control.Join && !member && s.Inner.Address != "" {
		c.addProblem("$.control.founders", nil, "must contain inner.address %s of this control process, or control.join must be true", s.Inner.Address)
	}
	if s.Control.Replaces != "" {
		c.reachable("$.control.replaces", s.Control.Replaces)
		if !s.Control.Join {
			c.addProblem("$.control.replaces", s.Control.Replaces, "needs control.join")
		}
	}
	if !s.Has(RoleControl) && s.Control.Join {
		c.addProblem("$.control.join", true, "needs the control role")
	}
	if !s.Has(RoleControl) && member && !seeded {
		c.addProblem("$.control.founders", s.Inner.Address, "lists this process, which has no control role")
	}
}

// addresses checks a list of reachable addresses without duplicates.
func (c *checker) addresses(path string, list []string) {
	for i, a := range list {
		at := strict.Index(path, i)
		c.reachable(at, a)
		if first := slices.Index(list, a); first < i {
			c.addProblem(at, a, "duplicate of %s", strict.Index(path, first))
		}
	}
}

func (c *checker) limits(l Limits) {
	c.duration("$.limits.worker_lease", l.WorkerLease, durationRange{time.Second, 10 * time.Minute})
	c.duration("$.limits.longest_worker_lease", l.MaxWorkerLease, durationRange{0, 10 * time.Minute})
	c.duration("$.limits.request_lease", l.RequestLease, durationRange{500 * time.Millisecond, time.Minute})
	c.duration("$.limits.freshness", l.Freshness, durationRange{200 * time.Millisecond, 10 * time.Second})
	c.duration("$.limits.request_timeout", l.RequestTimeout, durationRange{10 * time.Millisecond, time.Hour})
	c.duration("$.limits.longest_deadline", l.MaxDeadline, durationRange{max(l.RequestTimeout.Std(), 10*time.Millisecond), time.Hour})
	c.duration("$.limits.shutdown_delay", l.ShutdownDelay, durationRange{0, 5 * time.Minute})
	c.duration("$.limits.shutdown_grace", l.ShutdownGrace, durationRange{0, time.Hour})
	c.duration("$.limits.keep_finished", l.KeepFinished, durationRange{time.Second, 24 * time.Hour})
	c.duration("$.limits.restart_backoff", l.RestartBackoff, durationRange{time.Millisecond, time.Minute})
	c.duration("$.limits.journal_keep", l.JournalKeep, durationRange{time.Second, 24 * time.Hour})
	c.between("$.limits.journal_bytes", l.JournalBytes, 1<<20, 1<<30)
	if l.AcceptedBytes != 0 {
		c.between("$.limits.accepted_bytes", l.AcceptedBytes, minAcceptedBytes, 1<<40)
	}
	c.between("$.limits.answer_bytes", l.AnswerBytes, 0, 1<<20)
	c.links(l.Links)
}

func (c *checker) links(links []Link) {
	for i, l := range links {
		path := strict.Index("$.limits.links", i)
		c.name(path+".from", l.From)
		c.name(path+".to", l.To)
		if l.From == l.To && l.From != "" {
			c.addProblem(path+".to", l.To, "must differ from the region in from")
		}
		c.between(path+".bytes_per_second", l.BytesPerSecond, 10_000, 100_000_000_000)
		first := slices.IndexFunc(links, func(o Link) bool { return o.From == l.From && o.To == l.To })
		if first < i {
			c.addProblem(path, nil, "duplicate of %s: the same regions", strict.Index("$.limits.links", first))
		}
	}
}

func (c *checker) log(l Log) {
	c.oneOf("$.log.level", l.Level, "debug", "info", "warn", "error")
	c.oneOf("$.log.format", l.Format, "text", "json", "logfmt")
}

func (c *checker) oneOf(path, value string, allowed ...string) {
	if !slices.Contains(allowed, value) {
		c.addProblem(path, value, "must be one of %s", strings.Join(allowed, ", "))
	}
}

func (c *checker) bootstrap(b Bootstrap) {
	d := b.OperatorKeyDigest
	if d == "" {
		return
	}
	raw, err := hex.DecodeString(d)
	if err != nil || len(raw) != digestBytes || d != strings.ToLower(d) {
		// The value is omitted, so that a key pasted here by mistake is not logged.
		c.addProblem("$.bootstrap.operator_key_digest", nil, "must be a SHA-256 digest of 64 lower-case hex digits, as printed by keys new")
	}
}
