package member

import (
	"github.com/filbertmast/filbertmast/internal/declare"
	"github.com/filbertmast/filbertmast/internal/model"
)

const (
	// DefaultKept is how many past configurations are kept for deltas.
	DefaultKept = 64

	// wholeShare is the part of a configuration's items, one in wholeShare, from
	// which a delta gives way to a whole copy: applying it would cost the entry
	// about as much, and the whole copy needs no base.
	wholeShare = 2
)

// Update brings an entry to the configuration in force. Exactly one field is set.
type Update struct {
	Delta *declare.Delta
	Whole *model.Declarations
}

// History keeps the latest configurations, and answers entries that hold an
// earlier one. A process that missed more changes than are kept gets a whole
// copy with its digest, and so does one that holds something else under a known
// version. It is not safe for concurrent use.
type History struct {
	kept   int
	past   []configuration // oldest first; the last one is in force
	deltas map[uint64]*declare.Delta
}

type configuration struct {
	version uint64
	digest  string
	set     *model.Declarations
}

// NewHistory returns a history that keeps the given number of configurations.
func NewHistory(kept int) *History {
	return &History{kept: max(kept, 1), deltas: make(map[uint64]*declare.Delta)}
}

// Add makes a configuration the one in force. The set must not change afterwards.
// A version that is not higher than the one in force is ignored.
func (h *History) Add(version uint64, digest string, set *model.Declarations) {
	if n := len(h.past); n > 0 && version <= h.past[n-1].version {
		return
	}
	h.past = append(h.past, configuration{version, digest, set})
	if over := len(h.past) - h.kept; over > 0 {
		h.past = append([]configuration(nil), h.past[over:]...)
	}
	clear(h.deltas)
}

// Update returns what brings an entry that holds the given version and digest to
// the configuration in force; ok is false when it holds that already. Each delta
// is worked out once, however many entries ask for it.
func (h *History) Update(version uint64, digest string) (u Update, ok bool) {
	if len(h.past) == 0 {
		return Update{}, false
	}
	last := h.past[len(h.past)-1]
	if version == last.version && digest == last.digest {
		return Update{}, false
	}
	if d := h.delta(version, digest); d != nil {
		return Update{Delta: d}, true
	}
	return Update{Whole: last.set}, true
}

// delta returns nil where a whole copy serves better.
func (h *History) delta(version uint64, digest string) *declare.Delta {
	for i := range h.past[:len(h.past)-1] {
		p := &h.past[i]
		if p.version != version || p.digest != digest {
			continue
		}
		if d, ok := h.deltas[version]; ok {
			return d
		}
		h.deltas[version] = h.compute(p)
		return h.deltas[version]
	}
	return nil
}

func (h *History) compute(from *configuration) *declare.Delta {
	last := h.past[len(h.past)-1]
	d := declare.DeltaOf(from.set, last.set)
	if changes(&d)*wholeShare > items(last.set) {
		return nil
	}
	return &d
}

func changes(d *declare.Delta) int {
	return len(d.Teams.Put) + len(d.Teams.Drop) + len(d.Keys.Put) + len(d.Keys.Drop) +
		len(d.Queues.Put) + len(d.Queues.Drop) + len(d.Services.Put) + len(d.Services.Drop) + len(d.Prices)
}

func items(d *model.Declarations) int {
	return len(d.Teams) + len(d.Keys) + len(d.Queues) + len(d.Services) + len(d.Prices)
}
