package member

import (
	"github.com/filbertmast/filbertmast/internal/declare"
	"github.com/filbertmast/filbertmast/internal/model"
)

const (
	// DefaultHistoryLength is the number of configurations kept to compute
	// deltas.
	DefaultHistoryLength = 64

	// fullCopyDivisor bounds deltas: when more than 1/fullCopyDivisor of the
	// configuration's items changed, a full copy is sent instead. Applying such
	// a delta costs the entry about as much, and a full copy needs no base.
	fullCopyDivisor = 2
)

// Update brings an entry to the configuration in force. Exactly one field is
// non-nil.
type Update struct {
	Delta *declare.Delta
	Full  *model.Declarations
}

// History keeps the latest configurations to compute updates for entries that
// hold an earlier one. An entry whose version is not among those kept, or whose
// digest differs from the one known for its version, gets a full copy. It is
// not safe for concurrent use.
type History struct {
	limit    int
	versions []configuration // ascending; the last one is in force
	deltas   map[uint64]*declare.Delta
}

type configuration struct {
	version      uint64
	digest       string
	declarations *model.Declarations
}

// NewHistory returns a history that keeps the latest limit configurations, at
// least one.
func NewHistory(limit int) *History {
	return &History{limit: max(limit, 1), deltas: make(map[uint64]*declare.Delta)}
}

// Add puts a configuration in force. The caller must not modify declarations
// afterwards. A version that is not higher than the one in force is ignored.
func (h *History) Add(version uint64, digest string, declarations *model.Declarations) {
	if n := len(h.versions); n > 0 && version <= h.versions[n-1].version {
		return
	}
	h.versions = append(h.versions, configuration{version, digest, declarations})
	if excess := len(h.versions) - h.limit; excess > 0 {
		h.versions = append([]configuration(nil), h.versions[excess:]...)
	}
	clear(h.deltas)
}

// Update returns the update for an entry that holds the given version and
// digest. ok is false if the entry already holds the configuration in force, or
// if there is none. Each delta is computed once, regardless of how many entries
// need it.
func (h *History) Update(version uint64, digest string) (u Update, ok bool) {
	if len(h.versions) == 0 {
		return Update{}, false
	}
	last := h.versions[len(h.versions)-1]
	if version == last.version && digest == last.digest {
		return Update{}, false
	}
	if d := h.delta(version, digest); d != nil {
		return Update{Delta: d}, true
	}
	return Update{Full: last.declarations}, true
}

// delta returns the delta from the given version and digest to the
// configuration in force, or nil if a full copy must be sent.
func (h *History) delta(version uint64, digest string) *declare.Delta {
	for i := range h.versions[:len(h.versions)-1] {
		p := &h.versions[i]
		if p.version != version || p.digest != digest {
			continue
		}
		if d, ok := h.deltas[version]; ok {
			return d
		}
		h.deltas[version] = h.computeDelta(p)
		return h.deltas[version]
	}
	return nil
}

func (h *History) computeDelta(from *configuration) *declare.Delta {
	last := h.versions[len(h.versions)-1]
	d := declare.DeltaOf(from.declarations, last.declarations)
	if countChanges(&d)*fullCopyDivisor > countItems(last.declarations) {
		return nil
	}
	return &d
}

func countChanges(d *declare.Delta) int {
	return len(d.Teams.Put) + len(d.Teams.Drop) + len(d.Keys.Put) + len(d.Keys.Drop) +
		len(d.Queues.Put) + len(d.Queues.Drop) + len(d.Services.Put) + len(d.Services.Drop) + len(d.Prices)
}

func countItems(d *model.Declarations) int {
	return len(d.Teams) + len(d.Keys) + len(d.Queues) + len(d.Services) + len(d.Prices)
}
