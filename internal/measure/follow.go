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
	followPeriod   = 500 * time.Millisecond // a sixth of the default freshness
	changesEach    = 20                     // configuration changes measured at one number of entries
	changesForSize = 20                     // configuration changes whose delta is weighed
)

// entryCounts are numbers of entry processes; the last is the target's.
var entryCounts = []int{6, 12, 24, 47}

// followers are entries that hold only the name of the configuration in force.
type followers struct {
	l       *load
	mu      sync.Mutex
	held    []held
	changed chan struct{} // closed and replaced at each new version
}

// member is the i-th light entry. Its incarnation is that of this run, so that
// a run after another is not taken for an older one.
func (f *followers) member(i int, incarnation uint64) state.Member {
	return state.Member{
		Name: fmt.Sprintf("follower-%02d", i), Inner: f.l.endpoint.Address(), Outer: loopback + ":1",
		Region: loadRegion, FailureDomain: fmt.Sprint("domain-", i%failureDomains), Incarnation: incarnation,
	}
}

// register renews entry i once.
func (f *followers) register(ctx context.Context, m state.Member, held held) (*proto.Registered, error) {
	return call[proto.Register, proto.Registered](ctx, f.l, wire.KindRegister,
		&proto.Register{
			Member:           m,
			ConfigVersion:    held.version,
			ConfigDigest:     held.digest,
			DirectoryTerm:    held.term,
			DirectoryVersion: held.directory,
			EntriesRevision:  held.entries,
		})
}

// held names what an entry holds: the configuration in force, the directory of
// executors and the list of entries.
type held struct {
	version   uint64
	digest    string
	term      uint64
	directory uint64
	entries   uint64
}

func heldOf(a *proto.Registered) held {
	return held{a.ConfigVersion, a.ConfigDigest, a.Term, a.DirectoryVersion, a.EntriesRevision}
}

// follow renews entry i at the period of an entry until ctx ends.
func (f *followers) follow(ctx context.Context, i int, incarnation uint64) {
	m := f.member(i, incarnation)
	for ctx.Err() == nil {
		f.mu.Lock()
		h := f.held[i]
		f.mu.Unlock()
		if a, err := f.register(ctx, m, h); err == nil && heldOf(a) != h {
			f.take(i, heldOf(a))
		}
		select {
		case <-time.After(followPeriod/2 + rand.N(followPeriod)):
		case <-ctx.Done():
		}
	}
}

func (f *followers) take(i int, h held) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.held[i] = h
	close(f.changed)
	f.changed = make(chan struct{})
}

// await waits until every entry holds the version.
func (f *followers) await(ctx context.Context, version uint64) error {
	for {
		f.mu.Lock()
		behind := false
		for _, h := range f.held {
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

// configPart measures how long an accepted configuration takes to the last entry.
func configPart(ctx context.Context, l *load, r *Report) error {
	seed := 0
	for _, n := range entryCounts {
		if err := l.configsAt(ctx, r, n, &seed); err != nil {
			return err
		}
	}
	return nil
}

func (l *load) configsAt(ctx context.Context, r *Report, n int, seed *int) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	f := &followers{l: l, held: make([]held, n), changed: make(chan struct{})}
	incarnation := uint64(time.Now().UnixNano())
	for i := range n {
		go f.follow(ctx, i, incarnation)
	}
	h := newHistogram()
	var failed error
	u, length, err := l.metered(ctx, func() {
		for range changesEach {
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
			_ = h.RecordValue(time.Since(began).Microseconds()) // bounded by the calls' own timeouts
		}
	})
	if err != nil || failed != nil {
		return fmt.Errorf("%d entries: %w, %w", n, err, failed)
	}
	r.tail("configuration at the last entry", float64(n), h)
	r.addUsage("entry with changes", float64(n), u, length)
	r.count("changes a second", float64(n), changesEach/length)
	return nil
}

// registerPart measures renewals of entries that are up to date, and the bytes
// of one change.
func registerPart(ctx context.Context, l *load, r *Report) error {
	f := &followers{l: l, held: make([]held, 1), changed: make(chan struct{})}
	incarnation := uint64(time.Now().UnixNano())
	last := entryCounts[len(entryCounts)-1]
	var h held
	for i := range last {
		a, err := f.register(ctx, f.member(i, incarnation), held{})
		if err != nil {
			return err
		}
		h = heldOf(a)
	}
	for _, rate := range registerRates {
		u, length, err := l.metered(ctx, func() {
			l.paced(ctx, rate, runTime, func(i int) {
				_, _ = f.register(ctx, f.member(i%last, incarnation), h)
			})
		})
		if err != nil {
			return err
		}
		r.addUsage("registration a second", rate, u, length)
	}
	return f.weighChanges(ctx, r, incarnation, h)
}

// weighChanges counts the bytes that an entry gets for one change, beside those
// of a renewal without any.
func (f *followers) weighChanges(ctx context.Context, r *Report, incarnation uint64, h held) error {
	m := f.member(0, incarnation)
	var before, after float64
	for i := range changesForSize {
		if _, err := f.l.declare(ctx, f.l.declarations(i+1)); err != nil {
			return err
		}
		for _, sum := range []*float64{&before, &after} {
			var a *proto.Registered
			var failed error
			u, _, err := f.l.metered(ctx, func() { a, failed = f.register(ctx, m, h) })
			if err != nil || failed != nil {
				return fmt.Errorf("weigh changes: %w, %w", err, failed)
			}
			*sum += u.loadSent
			h = heldOf(a)
		}
	}
	r.count("bytes of an answer to a registration one change behind", 1, before/changesForSize)
	r.count("bytes of an answer to a registration with nothing new", 1, after/changesForSize)
	return nil
}
