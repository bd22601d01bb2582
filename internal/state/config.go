package state

import (
	"cmp"
	"slices"

	"github.com/filbertmast/filbertmast/internal/declare"
	"github.com/filbertmast/filbertmast/internal/errkind"
	"github.com/filbertmast/filbertmast/internal/model"
)

// maxApplies is how many applies are remembered, so that a resend of one of them
// gets the result of the first.
const maxApplies = 1024

// config is the current configuration and the results of recent applies.
type config struct {
	Version      uint64             `cbor:"1,keyasint"`
	Digest       string             `cbor:"2,keyasint"`
	Declarations model.Declarations `cbor:"3,keyasint"`
	Applies      []applyRecord      `cbor:"4,keyasint"` // oldest first
	Withdrawn    []model.KeyDigest  `cbor:"5,keyasint"` // sorted
	Revision     uint64             `cbor:"6,keyasint,omitempty"`
	Document     []byte             `cbor:"7,keyasint,omitempty"` // as the operator sent it

	// WithdrawnQueues are the last declarations of the queues that are not declared any
	// more but have unfinished work. Sorted by name.
	WithdrawnQueues []model.Queue `cbor:"8,keyasint,omitempty"`

	keys      map[model.KeyDigest]model.Key // index of Declarations.Keys
	operators int                           // number of operator keys
}

// applyRecord is one accepted apply with its ID, content and result.
type applyRecord struct {
	ID            string `cbor:"1,keyasint"`
	ContentDigest string `cbor:"2,keyasint"` // of the submitted declarations
	Version       uint64 `cbor:"3,keyasint"`
	Digest        string `cbor:"4,keyasint"`
}

func newConfig() config {
	return config{Digest: declare.Digest(&model.Declarations{})}
}

// Config returns the version, digest and content of the current configuration.
func (m *Machine) Config() (version uint64, digest string, d *model.Declarations) {
	return m.config.Version, m.config.Digest, &m.config.Declarations
}

// Key returns the granted key with the digest d, and whether there is one.
func (m *Machine) Key(d model.KeyDigest) (model.Key, bool) {
	k, ok := m.config.keys[d]
	return k, ok
}

// HasOperator reports whether any operator key is granted.
func (m *Machine) HasOperator() bool { return m.config.operators > 0 }

// rebuildIndexes recomputes the fields that are derived from the declarations.
func (c *config) rebuildIndexes() {
	c.keys = make(map[model.KeyDigest]model.Key, len(c.Declarations.Keys))
	c.operators = 0
	for _, k := range c.Declarations.Keys {
		c.keys[k.Digest] = k
		if k.Operator {
			c.operators++
		}
	}
}

// KeyWithdrawn reports whether the key was granted and has since been withdrawn.
func (m *Machine) KeyWithdrawn(d model.KeyDigest) bool {
	_, found := slices.BinarySearch(m.config.Withdrawn, d)
	return found
}

// WithdrawnKeys returns the digests of withdrawn keys, sorted.
func (m *Machine) WithdrawnKeys() []model.KeyDigest { return m.config.Withdrawn }

// Document returns the highest revision that an operator has sent and the
// document that came with it, or zero and nil if there was none.
func (m *Machine) Document() (revision uint64, document []byte) {
	return m.config.Revision, m.config.Document
}

// declareRevision installs a configuration if its revision is higher than the
// current one, and changes nothing otherwise.
func (m *Machine) declareRevision(c *Declare) Result {
	if c.Revision <= m.config.Revision {
		return Result{Version: m.config.Version, Digest: m.config.Digest, Existing: true}
	}
	d := c.Declarations
	declare.Normalize(&d)
	if problems := declare.Validate(&d); len(problems) > 0 {
		return Result{Err: errkind.New(errkind.BadDeclarations, "%s", problems.Error())}
	}
	m.config.Revision, m.config.Document = c.Revision, c.Document
	m.clearWithdrawn(d.Keys)
	m.install(d, removedKeys(m.config.Declarations.Keys, d.Keys))
	return Result{Version: m.config.Version, Digest: m.config.Digest}
}

// clearWithdrawn removes keys that an operator grants again from the withdrawn
// keys.
func (m *Machine) clearWithdrawn(keys []model.Key) {
	for _, k := range keys {
		if i, found := slices.BinarySearch(m.config.Withdrawn, k.Digest); found {
			m.config.Withdrawn = slices.Delete(m.config.Withdrawn, i, i+1)
		}
	}
}

func (m *Machine) declare(c *Declare) Result {
	if c.Revision != 0 {
		return m.declareRevision(c)
	}
	d := c.Declarations
	declare.Normalize(&d)
	content := declare.Digest(&d)
	for _, a := range m.config.Applies {
		if a.ID != c.ApplyID {
			continue
		}
		if a.ContentDigest != content {
			return Result{Err: errkind.New(errkind.IdempotencyConflict,
				"apply ID %q has been used for other declarations, accepted as version %d; use a new apply ID", c.ApplyID, a.Version)}
		}
		return Result{Version: a.Version, Digest: a.Digest, Existing: true}
	}
	if c.Base != m.config.Version {
		return Result{Err: errkind.New(errkind.VersionConflict,
			"base version is %d, but version %d is in force", c.Base, m.config.Version)}
	}
	if problems := declare.Validate(&d); len(problems) > 0 {
		return Result{Err: errkind.New(errkind.BadDeclarations, "%s", problems.Error())}
	}
	for _, k := range d.Keys {
		if m.KeyWithdrawn(k.Digest) {
			return Result{Err: errkind.New(errkind.KeyWithdrawn,
				"key %.8s... of team %q has been withdrawn; remove it from the declarations", k.Digest, k.Team)}
		}
	}
	withdrawn := removedKeys(m.config.Declarations.Keys, d.Keys)
	m.install(d, withdrawn)
	m.config.Applies = append(m.config.Applies, applyRecord{c.ApplyID, content, m.config.Version, m.config.Digest})
	if n := len(m.config.Applies) - maxApplies; n > 0 {
		m.config.Applies = slices.Delete(m.config.Applies, 0, n)
	}
	return Result{Version: m.config.Version, Digest: m.config.Digest}
}

func (m *Machine) grantKey(c *GrantKey) Result {
	keys := m.config.Declarations.Keys
	if i := slices.IndexFunc(keys, func(k model.Key) bool { return k.Digest == c.Key.Digest }); i >= 0 {
		if keys[i] == c.Key {
			return Result{Version: m.config.Version, Digest: m.config.Digest, Existing: true}
		}
		return Result{Err: errkind.New(errkind.VersionConflict, "the key is already granted to team %q", keys[i].Team)}
	}
	if m.KeyWithdrawn(c.Key.Digest) {
		return Result{Err: errkind.New(errkind.KeyWithdrawn, "the key has been withdrawn and cannot be granted again; make a new key")}
	}
	d := m.config.Declarations
	d.Keys = append(slices.Clone(keys), c.Key)
	declare.Normalize(&d)
	if problems := declare.Validate(&d); len(problems) > 0 {
		return Result{Err: errkind.New(errkind.BadDeclarations, "%s", problems.Error())}
	}
	m.install(d, nil)
	return Result{Version: m.config.Version, Digest: m.config.Digest}
}

func (m *Machine) withdrawKey(c *WithdrawKey) Result {
	keys := m.config.Declarations.Keys
	i := slices.IndexFunc(keys, func(k model.Key) bool { return k.Digest == c.Digest })
	if i < 0 {
		if m.KeyWithdrawn(c.Digest) {
			return Result{Version: m.config.Version, Digest: m.config.Digest, Existing: true}
		}
		return Result{Err: errkind.New(errkind.KeyUnknown, "no granted key has this digest")}
	}
	d := m.config.Declarations
	d.Keys = slices.Delete(slices.Clone(keys), i, i+1)
	m.install(d, []model.KeyDigest{c.Digest})
	return Result{Version: m.config.Version, Digest: m.config.Digest}
}

// install makes d the current configuration under the next version and records
// the withdrawn keys.
func (m *Machine) install(d model.Declarations, withdrawn []model.KeyDigest) {
	for _, k := range withdrawn {
		if i, found := slices.BinarySearch(m.config.Withdrawn, k); !found {
			m.config.Withdrawn = slices.Insert(m.config.Withdrawn, i, k)
		}
	}
	m.config.WithdrawnQueues = m.withdrawnQueues(d.Queues)
	m.config.Declarations = d
	m.config.rebuildIndexes()
	m.config.Version++
	m.config.Digest = declare.Digest(&d)
	m.advanceAllPastUse()
	m.emit(m.configEvent())
}

func (m *Machine) configEvent() ConfigChanged {
	return ConfigChanged{
		Version:         m.config.Version,
		Declarations:    &m.config.Declarations,
		WithdrawnQueues: m.config.WithdrawnQueues,
	}
}

// withdrawnQueues returns the queues known so far that are not among those declared next
// and have unfinished work, sorted by name.
func (m *Machine) withdrawnQueues(next []model.Queue) []model.Queue {
	declared := make(map[string]bool, len(next))
	for i := range next {
		declared[next[i].Name] = true
	}
	known := slices.Concat(m.config.WithdrawnQueues, m.config.Declarations.Queues)
	withdrawn := slices.DeleteFunc(known, func(q model.Queue) bool { return declared[q.Name] })
	if len(withdrawn) == 0 {
		return nil
	}
	inUse := m.queuesInUse()
	withdrawn = slices.DeleteFunc(withdrawn, func(q model.Queue) bool { return !inUse[q.Name] })
	slices.SortFunc(withdrawn, func(a, b model.Queue) int { return cmp.Compare(a.Name, b.Name) })
	return withdrawn
}

// queuesInUse returns the names of the queues with unfinished jobs or workflows.
func (m *Machine) queuesInUse() map[string]bool {
	inUse := map[string]bool{}
	for _, w := range m.workflows {
		if w.Finished == 0 {
			inUse[w.Spec.Queue] = true
		}
	}
	for _, j := range m.jobs {
		if j.Finished == 0 {
			inUse[j.Spec.Queue] = true
		}
	}
	return inUse
}

func removedKeys(old, new []model.Key) []model.KeyDigest {
	kept := make(map[model.KeyDigest]bool, len(new))
	for _, k := range new {
		kept[k.Digest] = true
	}
	var out []model.KeyDigest
	for _, k := range old {
		if !kept[k.Digest] {
			out = append(out, k.Digest)
		}
	}
	return out
}
