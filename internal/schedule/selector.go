package schedule

import (
	"slices"
	"strings"

	"github.com/filbertmast/filbertmast/internal/model"
	"github.com/filbertmast/filbertmast/internal/schedule/capacity"
)

// labelClasses assigns numbers to sets of worker labels. Only keys that some
// selector names are considered, so that a label unique to each worker does not
// create one class per worker until a selector names it.
type labelClasses struct {
	keys   []string // sorted
	ids    interner
	labels []model.Labels // by class
}

// addKeys adds the keys of sel and reports whether one is new.
func (c *labelClasses) addKeys(sel model.Selector) bool {
	added := false
	for i := range sel {
		at, found := slices.BinarySearch(c.keys, sel[i].Key)
		if !found {
			c.keys = slices.Insert(c.keys, at, sel[i].Key)
			added = true
		}
	}
	return added
}

func (c *labelClasses) reset() {
	c.ids = interner{}
	c.labels = nil
}

// classOf returns the class of labels.
func (c *labelClasses) classOf(labels model.Labels) int32 {
	var b strings.Builder
	kept := model.Labels{}
	for _, key := range c.keys {
		if v, ok := labels[key]; ok {
			kept[key] = v
			b.WriteString(key)
			b.WriteByte('=')
			b.WriteString(v)
			b.WriteByte(0)
		}
	}
	id := c.ids.intern(b.String())
	if int(id) == len(c.labels) {
		c.labels = append(c.labels, kept)
	}
	return id
}

// resolvedSelector is a selector with the classes that it matches.
type resolvedSelector struct {
	text      string
	terms     model.Selector
	malformed bool    // matches nothing
	classes   []int32 // ascending
	seen      int32   // classes below this number have been compared
	uses      int32   // number of groups that use it
}

// selectors assigns numbers to the selectors in use.
type selectors struct {
	byText map[string]int32
	all    []resolvedSelector
	unused []int32
}

// selector returns the number of the conjunction of a queue's selector and a
// job's.
func (s *Scheduler) selector(queue, job string) int32 {
	text := queue + "\x00" + job
	if id, ok := s.selectors.byText[text]; ok {
		return id
	}
	r := resolve(queue, job)
	r.text = text
	id := s.selectors.add(r)
	if s.labels.addKeys(r.terms) {
		s.reclassify()
	}
	return id
}

func (l *selectors) add(r resolvedSelector) int32 {
	if l.byText == nil {
		l.byText = map[string]int32{}
	}
	var id int32
	if n := len(l.unused); n > 0 {
		id = l.unused[n-1]
		l.unused = l.unused[:n-1]
		l.all[id] = r
	} else {
		id = int32(len(l.all))
		l.all = append(l.all, r)
	}
	l.byText[r.text] = id
	return id
}

// drop ends one use of a selector.
func (l *selectors) drop(id int32) {
	l.all[id].uses--
	l.dropUnused(id)
}

// dropUnused frees the number of a selector that no group uses.
func (l *selectors) dropUnused(id int32) {
	r := &l.all[id]
	if r.uses > 0 {
		return
	}
	delete(l.byText, r.text)
	*r = resolvedSelector{}
	l.unused = append(l.unused, id)
}

func resolve(queue, job string) resolvedSelector {
	a, errA := model.ParseSelector(queue)
	b, errB := model.ParseSelector(job)
	if errA != nil || errB != nil {
		return resolvedSelector{malformed: true}
	}
	return resolvedSelector{terms: slices.Concat(a, b)}
}

// matching returns the classes that the selector matches. The result is valid
// until workers change.
func (s *Scheduler) matching(id int32) []int32 {
	r := &s.selectors.all[id]
	for int(r.seen) < len(s.labels.labels) {
		if !r.malformed && r.terms.Matches(s.labels.labels[r.seen]) {
			r.classes = append(r.classes, r.seen)
		}
		r.seen++
	}
	return r.classes
}

// matches reports whether the selector matches a class.
func (s *Scheduler) matches(id, class int32) bool {
	_, ok := slices.BinarySearch(s.matching(id), class)
	return ok
}

// reclassify determines the classes of all workers again after a selector named a
// new key.
func (s *Scheduler) reclassify() {
	s.labels.reset()
	for i := range s.selectors.all {
		s.selectors.all[i].classes = nil
		s.selectors.all[i].seen = 0
	}
	s.bins = bins{shared: s.bins.shared}
	s.free = capacity.Index{}
	clear(s.shapes)
	s.clearFitBounds()
	for slot := range s.workers {
		w := &s.workers[slot]
		if w.known {
			w.class = s.labels.classOf(w.labels)
			s.countShape(w, 1)
			s.reindex(int32(slot))
		}
	}
}
