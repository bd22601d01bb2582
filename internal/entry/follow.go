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

// followsPerFreshness is how many renewals fall into one freshness bound, so
// that one lost renewal does not make the entry refuse callers.
const followsPerFreshness = 6

// directory is this entry's copy of who owns which executor, and of the other entries.
type directory struct {
	routes *route.Directory

	mu      sync.RWMutex
	term    uint64
	version uint64
	entries []state.Member
	listed  uint64 // revision of entries, within term
}

func newDirectory() *directory {
	return &directory{routes: route.NewDirectory()}
}

// current returns the term, the version of the directory and the revision of
// the list of entries that are held.
func (d *directory) current() (term, version, listed uint64) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.term, d.version, d.listed
}

func (d *directory) members() []state.Member {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.entries
}

// addressOf returns the inner address of an entry, or "" where it is not known.
func (d *directory) addressOf(name string) string {
	for _, m := range d.members() {
		if m.Name == name {
			return m.Inner
		}
	}
	return ""
}

func (d *directory) take(a *proto.Registered) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if a.Term < d.term {
		return
	}
	if a.Term != d.term || a.EntriesRevision != d.listed {
		d.entries, d.listed = a.Entries, a.EntriesRevision
	}
	if a.Term == d.term && a.DirectoryVersion == d.version {
		return
	}
	d.term, d.version = a.Term, a.DirectoryVersion
	d.routes.Update(a.DirectoryVersion, a.Directory)
}

// follow renews the registration, and with it the configuration and the directory.
func (s *Server) follow(ctx context.Context) {
	period := s.set.Limits.Freshness.Std() / followsPerFreshness
	for {
		err := s.followOnce(ctx)
		s.noteFollow(err, ctx.Err() != nil)
		if !sleep(ctx, jitter(period)) {
			return
		}
	}
}

// noteFollow logs when the configuration goes stale here and when it is fresh
// again, not each renewal that failed.
func (s *Server) noteFollow(err error, ended bool) {
	switch {
	case err == nil && s.stale:
		s.stale = false
		s.log.Info("The configuration is confirmed.")
	case err != nil && !ended && !s.stale && s.config.fresh() != nil && s.ready.Load():
		s.stale = true
		s.log.Warn("The configuration is stale, callers are refused.", "err", err)
	case err != nil && !ended:
		s.log.Debug("The leader did not confirm the configuration.", "err", err)
	}
}

func (s *Server) followOnce(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, s.set.Limits.Freshness.Std())
	defer cancel()
	version, digest := s.config.current()
	term, dirVersion, listed := s.dir.current()
	req := &proto.Register{
		Member:           s.self,
		ConfigVersion:    version,
		ConfigDigest:     digest,
		DirectoryTerm:    term,
		DirectoryVersion: dirVersion,
		EntriesRevision:  listed,
		Leaving:          s.draining.Load(),
	}
	sent := time.Now()
	resp, err := tryLeader[proto.Register, proto.Registered](ctx, s.leader, wire.KindRegister, req, 0)
	if err != nil {
		return err
	}
	if err := s.config.take(resp, sent); err != nil {
		return err
	}
	s.dir.take(resp)
	if !s.draining.Load() {
		s.ready.Store(true)
	}
	return nil
}
