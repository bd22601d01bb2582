package measure

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/filbertmast/filbertmast/internal/proto"
	"github.com/filbertmast/filbertmast/internal/state"
	"github.com/filbertmast/filbertmast/internal/wire"
)

const (
	registerInterval = 500 * time.Millisecond // a sixth of the default freshness bound
	changesPerCount  = 20                     // configuration changes per number of entries
	changesForBytes  = 20                     // configuration changes whose size is measured
)

// entryCounts are the numbers of entry processes that are measured; the last is
// that of the deployment that is planned for.
var entryCounts = []int{6, 12, 24, 47}

// lightEntries simulates entry processes that keep only the revisions of what
// they have received, not the content.
type lightEntries struct {
	l         *loadClient
	mu        sync.Mutex
	revisions []entryRevisions
	changed   chan struct{} // closed and replaced at each new version
}

// member returns the member record of the i-th entry. The incarnation differs
// between runs, so that a later run is not mistaken for an older process.
func (f *lightEntries) member(i int, incarnation uint64) state.Member {
	return state.Member{
		Name: fmt.Sprintf("follower-%02d", i), Inner: f.l.endpoint.Address(), Outer: loopback + ":1",
		Region: loadRegion, FailureDomain: fmt.Sprint("domain-", i%failureDomains), Incarnation: incarnation,
	}
}

// register renews the registration of one entry once.
func (f *lightEntries) register(ctx context.Context, m state.Member, revisions entryRevisions) (*proto.Registered, error) {
	return call[proto.Register, proto.Registered](ctx, f.l, wire.KindRegister,
		&proto.Register{
			Member:           m,
			ConfigVersion:    revisions.version,
			ConfigDigest:     revisions.digest,
			DirectoryTerm:    revisions.term,
			DirectoryVersion: revisions.directory,
			EntriesRevision:  revisions.entries,
		})
}

// entryRevisions identifies the configuration, the directory of executors and
// the list of entries that an entry has.
type entryRevisions struct {
	version   uint64
	digest    string
	term      uint64
	directory uint64
	entries   uint64
}

func revisionsOf(a *proto.Registered) entryRevisions {
	return entryRevisions{a.ConfigVersion, a.ConfigDigest, a.Term, a.DirectoryVersion, a.EntriesRevision}
}

// keepRegistered renews the registration of entry i, at random intervals around
// registerInterval, until ctx ends.
func (f *lightEntries) keepRegistered(ctx context.Context, i int, incarnation uint64) {
	m := f.member(i, incarnation)
	for ctx.Err() == nil {
		f.mu.Lock()
		h := f.revisions[i]
		f.mu.Unlock()
		if a, err := f.register(ctx, m, h); err == nil && revisionsOf(a) != h {
			f.setRevisions(i, revisionsOf(a))
		}
		select {
		case <-time.After(registerInterval/2 + rand.N(registerInterval)):
		case <-ctx.Done():
		}
	}
}

func (f *lightEntries) setRevisions(i int, h entryRevisions) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.revisions[i] = h
	close(f.changed)
	f.changed = make(chan struct{})
}

// await waits until every entry has at least the given version of the
// configuration.
func (f *lightEntries) await(ctx context.Context, version uint64) error {
	for {
		f.mu.Lock()
		behind := false
		for _, h := range f.revisions {
			behind = behind || h.version < version
		}
		changed := f.changed
		f.mu.Unlock()
		if !behind {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// configPart measures the time from the acceptance of a configuration until the
// last entry has it.
func configPart(ctx context.Context, l *loadClient, r *Report) error {
	seed := 0
	for _, n := range entryCounts {
		if err := l.measureConfigChanges(ctx, r, n, &seed); err != nil {
			return err
		}
	}
	return nil
}

func (l *loadClient) measureConfigChanges(ctx context.Context, r *Report, n int, seed *int) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	f := &lightEntries{l: l, revisions: make([]entryRevisions, n), changed: make(chan struct{})}
	incarnation := uint64(time.Now().UnixNano())
	for i := range n {
		go f.keepRegistered(ctx, i, incarnation)
	}
	h := newHistogram()
	var failed error
	u, length, err := l.runMetered(ctx, func() {
		for range changesPerCount {
			*seed++
			version, err := l.declare(ctx, l.declarations(*seed))
			if err != nil {
				failed = err
				return
			}
			began := time.Now()
			if failed = f.await(ctx, version); failed != nil {
				return
			}
			_ = h.RecordValue(time.Since(began).Microseconds()) // within range: the calls have timeouts
		}
	})
	if err != nil || failed != nil {
		return fmt.Errorf("%d entries: %w, %w", n, err, failed)
	}
	r.addLatency("configuration at the last entry", float64(n), h)
	r.addUsage("entry with changes", float64(n), u, length)
	r.addCount("changes a second", float64(n), changesPerCount/length)
	return nil
}

// registerPart measures registrations of entries that are up to date, and the
// bytes that one change adds.
func registerPart(ctx context.Context, l *loadClient, r *Report) error {
	f := &lightEntries{l: l, revisions: make([]entryRevisions, 1), changed: make(chan struct{})}
	incarnation := uint64(time.Now().UnixNano())
	last := entryCounts[len(entryCounts)-1]
	var h entryRevisions
	for i := range last {
		a, err := f.register(ctx, f.member(i, incarnation), entryRevisions{})
		if err != nil {
			return err
		}
		h = revisionsOf(a)
	}
	for _, rate := range registerRates {
		u, length, err := l.runMetered(ctx, func() {
			l.runAtRate(ctx, rate, runTime, func(i int) {
				_, _ = f.register(ctx, f.member(i%last, incarnation), h)
			})
		})
		if err != nil {
			return err
		}
		r.addUsage("registration a second", rate, u, length)
	}
	return f.measureChangeBytes(ctx, r, incarnation, h)
}

// measureChangeBytes measures the bytes that the leader sends in response to a
// registration that is one change behind, and to one that is up to date.
func (f *lightEntries) measureChangeBytes(ctx context.Context, r *Report, incarnation uint64, h entryRevisions) error {
	m := f.member(0, incarnation)
	var before, after float64
	for i := range changesForBytes {
		if _, err := f.l.declare(ctx, f.l.declarations(i+1)); err != nil {
			return err
		}
		for _, sum := range []*float64{&before, &after} {
			var a *proto.Registered
			var failed error
			u, _, err := f.l.runMetered(ctx, func() { a, failed = f.register(ctx, m, h) })
			if err != nil || failed != nil {
				return fmt.Errorf("measure the bytes of changes: %w, %w", err, failed)
			}
			*sum += u.loadSent
			h = revisionsOf(a)
		}
	}
	r.addCount("bytes of an answer to a registration one change behind", 1, before/changesForBytes)
	r.addCount("bytes of an answer to a registration with nothing new", 1, after/changesForBytes)
	return nil
}
