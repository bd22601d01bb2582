package entry

import (
	"context"
	"sync"
	"time"

	"github.com/filbertmast/filbertmast/internal/proto"
	"github.com/filbertmast/filbertmast/internal/route"
	"github.com/filbertmast/filbertmast/internal/state"
	"github.com/filbertmast/filbertmast/internal/wire"
)

// registrationsPerFreshness is the number of registrations in one freshness
// bound. With more than one, a lost registration does not make the entry process
// refuse callers.
const registrationsPerFreshness = 6

// directory is the local copy of the owners of executors and of the list of entry
// processes.
type directory struct {
	routes *route.Directory

	mu              sync.RWMutex
	term            uint64
	version         uint64
	executors       int // number of executors at version
	entries         []state.Member
	entriesRevision uint64 // revision of entries within term
}

func newDirectory() *directory {
	return &directory{routes: route.NewDirectory()}
}

// versions returns the term, the version of the directory and the revision of the
// list of entry processes.
func (d *directory) versions() (term, version, entriesRevision uint64) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.term, d.version, d.entriesRevision
}

func (d *directory) members() []state.Member {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.entries
}

// addressOf returns the inner address of an entry process, or "" if it is unknown.
func (d *directory) addressOf(name string) string {
	for _, m := range d.members() {
		if m.Name == name {
			return m.Inner
		}
	}
	return ""
}

// hasExecutors reports whether any executor is known.
func (d *directory) hasExecutors() bool {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.executors > 0
}

// apply applies the response to a registration, and reports whether executors are known now
// and none were before.
func (d *directory) apply(a *proto.Registered) (first bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if a.Term < d.term {
		return false
	}
	if a.Term != d.term || a.EntriesRevision != d.entriesRevision {
		d.entries, d.entriesRevision = a.Entries, a.EntriesRevision
	}
	if a.Term == d.term && a.DirectoryVersion == d.version {
		return false
	}
	first = d.executors == 0 && len(a.Directory) > 0
	d.term, d.version, d.executors = a.Term, a.DirectoryVersion, len(a.Directory)
	d.routes.Update(a.DirectoryVersion, a.Directory)
	return first
}

// keepRegistered renews the registration until ctx ends. Each renewal also updates
// the configuration and the directory.
func (s *Server) keepRegistered(ctx context.Context) {
	period := s.set.Limits.Freshness.Std() / registrationsPerFreshness
	for {
		err := s.register(ctx)
		s.logRegistration(err, ctx.Err() != nil)
		if !sleep(ctx, jitter(period)) {
			return
		}
	}
}

// logRegistration logs when the configuration becomes stale and when it is fresh
// again. Other failed registrations are logged at level debug only.
func (s *Server) logRegistration(err error, ended bool) {
	switch {
	case err == nil && s.configStale:
		s.configStale = false
		s.log.Info("The leader has confirmed the configuration, callers are served again.")
	case err != nil && !ended && !s.configStale && s.config.checkFresh() != nil && s.ready.Load():
		s.configStale = true
		s.log.Warn("The configuration is stale, callers are refused.", "err", err)
	case err != nil && !ended:
		s.log.Debug("The leader did not confirm the configuration.", "err", err)
	}
}

func (s *Server) register(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, s.set.Limits.Freshness.Std())
	defer cancel()
	version, digest := s.config.current()
	term, dirVersion, entriesRevision := s.dir.versions()
	req := &proto.Register{
		Member:           s.self,
		ConfigVersion:    version,
		ConfigDigest:     digest,
		DirectoryTerm:    term,
		DirectoryVersion: dirVersion,
		EntriesRevision:  entriesRevision,
		Leaving:          s.draining.Load(),
	}
	sent := time.Now()
	resp, err := tryLeader[proto.Register, proto.Registered](ctx, s.leader, wire.KindRegister, req, 0)
	if err != nil {
		return err
	}
	if err := s.config.apply(resp, sent); err != nil {
		return err
	}
	if s.dir.apply(resp) {
		s.renewSoon()
	}
	if !s.draining.Load() {
		s.ready.Store(true)
	}
	return nil
}
