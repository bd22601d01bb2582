package member

import (
	"github.com/filbertmast/filbertmast/internal/declare"
	"github.com/filbertmast/filbertmast/internal/model"
)

const (
	// DefaultHistoryLength is how many past configurations are kept for deltas.
	DefaultHistoryLength = 64

	// fullCopyDivisor is the part of a configuration's items, one in fullCopyDivisor, from
	// which a delta gives way to a whole copy: applying it would cost the entry
	// about as much, and the whole copy needs no base.
	fullCopyDivisor = 2
)

// Update brings an entry to the configuration in force. Exactly one field is set.
type Update struct {
	Delta *declare.Delta
	Full  *model.Declarations
}

// History keeps the latest configurations, and answers entries that hold an
// earlier one. A process that missed more changes than are kept gets a whole
// copy with its digest, and so does one that holds something else under a known
// version. It is not safe for concurrent use.
type History struct {
	limit    int
	versions []configuration // oldest first; the last one is in force
	deltas   map[uint64]*declare.Delta
}

type configuration struct {
	version      uint64
	digest       string
	declarations *model.Declarations
}

// NewHistory returns a history that keeps the given number of configurations.
func NewHistory(limit int) *History {
	return &History{limit: max(limit, 1), deltas: make(map[uint64]*declare.Delta)}
}

// Add makes a configuration the one in force. The set must not change afterwards.
// A version that is not higher than the one in force is ignored.
func (h *History) Add(version uint64, digest string, declarations *model.Declarations) {
	if n := len(h.versions); n > 0 && version <= h.versions[n-1].version {
		return
	}
	h.versions = append(h.versions, configuration{version, digest, declarations})
	if over := len(h.versions) - h.limit; over > 0 {
		h.versions = append([]configuration(nil), h.versions[over:]...)
	}
	clear(h.deltas)
}

// Update returns what brings an entry that holds the given version and digest to
// the configuration in force; ok is false when it holds that already. Each delta
// is worked out once, however many entries ask for it.
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

// delta returns nil where a whole copy serves better.
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
