package entry

import (
	"sync"
	"time"

	"github.com/filbertmast/filbertmast/internal/declare"
	"github.com/filbertmast/filbertmast/internal/errkind"
	"github.com/filbertmast/filbertmast/internal/model"
	"github.com/filbertmast/filbertmast/internal/proto"
)

// configCopy is the copy of the configuration in this entry process. Its version
// never decreases. It is used only if a leader with a live quorum has confirmed it
// within the freshness bound.
type configCopy struct {
	freshness time.Duration
	bootstrap model.KeyDigest

	mu          sync.RWMutex
	version     uint64
	digest      string
	decl        model.Declarations
	keys        map[model.KeyDigest]model.Key
	services    map[string]*model.Service
	routes      routes
	withdrawn   map[model.KeyDigest]bool
	confirmedAt time.Time // when the last confirmed registration was sent
}

func newConfigCopy(freshness time.Duration, bootstrap model.KeyDigest) *configCopy {
	c := &configCopy{
		freshness: freshness,
		bootstrap: bootstrap,
		withdrawn: make(map[model.KeyDigest]bool),
	}
	c.buildIndex()
	c.digest = declare.Digest(&c.decl)
	return c
}

// apply updates the copy with a leader's response to a registration sent at sent.
func (c *configCopy) apply(a *proto.Registered, sent time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if a.ConfigVersion < c.version {
		return errkind.New(errkind.Internal, "the leader has configuration version %d, older than version %d of this entry process", a.ConfigVersion, c.version)
	}
	if a.ConfigVersion > c.version {
		if err := c.install(a); err != nil {
			return err
		}
	}
	if sent.After(c.confirmedAt) {
		c.confirmedAt = sent
	}
	return nil
}

// install installs the full copy or the delta of a and checks the digest.
func (c *configCopy) install(a *proto.Registered) error {
	next, digest, err := c.declarationsFrom(a)
	if err != nil {
		return err
	}
	if digest != a.ConfigDigest {
		return errkind.New(errkind.Internal, "configuration version %d has digest %.12s, want %.12s", a.ConfigVersion, digest, a.ConfigDigest)
	}
	for digest := range c.keys {
		c.withdrawn[digest] = true
	}
	c.decl, c.version, c.digest = next, a.ConfigVersion, a.ConfigDigest
	c.buildIndex()
	for digest := range c.keys {
		delete(c.withdrawn, digest)
	}
	return nil
}

// declarationsFrom returns the configuration that results from a, and its digest.
func (c *configCopy) declarationsFrom(a *proto.Registered) (model.Declarations, string, error) {
	switch {
	case a.Delta != nil:
		next, err := declare.Apply(&c.decl, c.digest, *a.Delta)
		if err != nil {
			return next, "", errkind.Wrap(errkind.Internal, err, "apply the delta of the configuration")
		}
		return next, a.Delta.To, nil
	case a.Full != nil:
		return *a.Full, declare.Digest(a.Full), nil
	}
	return model.Declarations{}, "", errkind.New(errkind.Internal, "configuration version %d arrived without a full copy or a delta", a.ConfigVersion)
}

func (c *configCopy) buildIndex() {
	c.keys = make(map[model.KeyDigest]model.Key, len(c.decl.Keys))
	for _, k := range c.decl.Keys {
		c.keys[k.Digest] = k
	}
	c.routes = newRoutes(c.decl.Queues)
	c.services = make(map[string]*model.Service, len(c.decl.Services))
	for i := range c.decl.Services {
		c.services[c.decl.Services[i].Name] = &c.decl.Services[i]
	}
}

// current returns the version and the digest of the copy.
func (c *configCopy) current() (uint64, string) {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.version, c.digest
}

// age returns the version of the copy and the time since a leader confirmed it,
// which is negative if no leader has.
func (c *configCopy) age() (uint64, time.Duration) {
	c.mu.RLock()
	defer c.mu.RUnlock()
	if c.confirmedAt.IsZero() {
		return c.version, -1
	}
	return c.version, time.Since(c.confirmedAt).Round(time.Millisecond)
}

// checkFresh returns a SettingsStale error if no leader has confirmed the copy
// within the freshness bound.
func (c *configCopy) checkFresh() error {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.checkFreshLocked()
}

func (c *configCopy) checkFreshLocked() error {
	if c.confirmedAt.IsZero() || time.Since(c.confirmedAt) > c.freshness {
		return errkind.New(errkind.SettingsStale, "no leader has confirmed the configuration for more than %s", c.freshness)
	}
	return nil
}

// authenticate returns the key with the given digest and its rights. The
// bootstrap key is valid only while no operator key is declared.
func (c *configCopy) authenticate(digest model.KeyDigest) (model.Key, error) {
	c.mu.RLock()
	defer c.mu.RUnlock()
	if err := c.checkFreshLocked(); err != nil {
		return model.Key{}, err
	}
	if k, ok := c.keys[digest]; ok && declare.SameDigest(k.Digest, digest) {
		return k, nil
	}
	if c.bootstrap != "" && declare.SameDigest(c.bootstrap, digest) && !c.hasOperator() {
		return model.Key{Digest: digest, Operator: true, Worker: true}, nil
	}
	if c.withdrawn[digest] {
		return model.Key{}, errkind.New(errkind.KeyWithdrawn, "the key has been withdrawn")
	}
	return model.Key{}, errkind.New(errkind.KeyUnknown, "the key is not granted")
}

func (c *configCopy) hasOperator() bool {
	for _, k := range c.keys {
		if k.Operator {
			return true
		}
	}
	return false
}

// service returns the declared service. The error is UnknownService if there is
// none, or ForeignTeam if team may not send requests to it.
func (c *configCopy) service(name, team string) (*model.Service, error) {
	c.mu.RLock()
	defer c.mu.RUnlock()
	s, ok := c.services[name]
	if !ok {
		return nil, errkind.New(errkind.UnknownService, "service %q is not declared", name)
	}
	if !s.Admits(team) {
		return nil, errkind.New(errkind.ForeignTeam, "service %q does not admit team %q", name, team)
	}
	return s, nil
}
