// Package capacity indexes workers by their free resources, so that the best fit
// for a task is found without examining every worker. Workers are dense slot
// numbers; each is in at most one bin. A bin is a treap whose nodes store upper
// bounds on the free amounts in their subtree, so that a search skips subtrees in
// which nothing fits.
package capacity

import "github.com/filbertmast/filbertmast/internal/model"

// none denotes the absence of a node.
const none int32 = -1

// Key orders workers from the tightest to the emptiest: by free accelerators, then
// by a weighted sum of free CPU and memory, then by Tie.
type Key struct {
	Accelerators int64
	Weight       int64
	Tie          uint64
}

// One core weighs as much as 2 GiB.
const (
	weightMilliCore = 256
	weightMiB       = 125
)

// KeyOf returns the key of a worker with the given free resources.
func KeyOf(free model.Resources, tie uint64) Key {
	return Key{
		Accelerators: free.Accelerators,
		Weight:       free.CPU*weightMilliCore + free.Memory*weightMiB,
		Tie:          tie,
	}
}

// Less reports whether k comes before o.
func (k Key) Less(o Key) bool {
	if k.Accelerators != o.Accelerators {
		return k.Accelerators < o.Accelerators
	}
	if k.Weight != o.Weight {
		return k.Weight < o.Weight
	}
	return k.Tie < o.Tie
}

// ratios is the number of memory-to-CPU ratios for which a summary bounds the
// amount that is free of both at once.
const ratios = 5

// ratioMiB lists the ratios, in MiB of memory per core.
var ratioMiB = [ratios]int64{512, 1024, 2048, 4096, 8192}

// summary bounds the free resources of any one worker of a subtree. The largest
// free amount of each component alone is too weak a bound: in a full cell one
// worker has free CPU and another has free memory. balanced[i] is the largest
// amount of memory that some worker has free along with CPU in the ratio
// ratioMiB[i].
type summary struct {
	most     model.Resources
	balanced [ratios]int64
}

func summaryOf(free model.Resources) summary {
	s := summary{most: free}
	for i, r := range ratioMiB {
		s.balanced[i] = min(free.CPU*r/1000, free.Memory)
	}
	return s
}

func (s *summary) include(o *summary) {
	s.most = s.most.Max(o.most)
	for i := range s.balanced {
		s.balanced[i] = max(s.balanced[i], o.balanced[i])
	}
}

// covers reports whether the amounts of need are within those of s. If not, need
// fits on no worker of the subtree.
func (s *summary) covers(need *summary) bool {
	if !need.most.Fits(s.most) {
		return false
	}
	for i := range s.balanced {
		if need.balanced[i] > s.balanced[i] {
			return false
		}
	}
	return true
}

type node struct {
	free        model.Resources
	all         summary // bounds for the subtree
	key         Key
	priority    uint64
	left, right int32
	bin         int32 // none if the slot is in no bin
}

// Index holds bins of workers. The zero value is empty.
type Index struct {
	nodes []node
	roots []int32 // by bin
}

// Put inserts slot into bin, or moves it there, with the given free resources.
func (x *Index) Put(slot, bin int32, free model.Resources, tie uint64) {
	x.grow(slot, bin)
	x.Remove(slot)
	n := &x.nodes[slot]
	*n = node{
		free:     free,
		all:      summaryOf(free),
		key:      KeyOf(free, tie),
		priority: mix(tie),
		left:     none,
		right:    none,
		bin:      bin,
	}
	x.roots[bin] = x.insert(x.roots[bin], slot)
}

// Remove removes slot from its bin, if it is in one.
func (x *Index) Remove(slot int32) {
	if int(slot) >= len(x.nodes) {
		return
	}
	n := &x.nodes[slot]
	if n.bin == none {
		return
	}
	x.roots[n.bin] = x.remove(x.roots[n.bin], slot)
	n.bin = none
}

// Most returns the largest free amount of each component in bin.
func (x *Index) Most(bin int32) model.Resources {
	if int(bin) >= len(x.roots) || x.roots[bin] == none {
		return model.Resources{}
	}
	return x.nodes[x.roots[bin]].all.most
}

// Best returns the slot with the least Key among those of bin on which size fits
// and for which accept returns true, and false if there is none. A nil accept
// accepts every slot.
func (x *Index) Best(bin int32, size model.Resources, accept func(slot int32) bool) (int32, Key, bool) {
	if int(bin) >= len(x.roots) {
		return none, Key{}, false
	}
	need := summaryOf(size)
	at := x.first(x.roots[bin], &need, KeyOf(size, 0), accept)
	if at == none {
		return none, Key{}, false
	}
	return at, x.nodes[at].key, true
}

// Descend calls visit for the slots of bin from the emptiest to the tightest,
// until it returns false. visit must not change the index.
func (x *Index) Descend(bin int32, visit func(slot int32, free model.Resources) bool) {
	if int(bin) < len(x.roots) {
		x.descend(x.roots[bin], visit)
	}
}

// Each calls visit for the slots of bin on which size fits, from the tightest to
// the emptiest. visit must not change the index.
func (x *Index) Each(bin int32, size model.Resources, visit func(slot int32, free model.Resources)) {
	if int(bin) < len(x.roots) {
		need := summaryOf(size)
		x.each(x.roots[bin], &need, visit)
	}
}

func (x *Index) each(at int32, need *summary, visit func(int32, model.Resources)) {
	if at == none {
		return
	}
	n := &x.nodes[at]
	if !n.all.covers(need) {
		return
	}
	x.each(n.left, need, visit)
	if need.most.Fits(n.free) {
		visit(at, n.free)
	}
	x.each(n.right, need, visit)
}

func (x *Index) descend(at int32, visit func(int32, model.Resources) bool) bool {
	if at == none {
		return true
	}
	n := &x.nodes[at]
	return x.descend(n.right, visit) && visit(at, n.free) && x.descend(n.left, visit)
}

func (x *Index) first(at int32, need *summary, low Key, accept func(int32) bool) int32 {
	if at == none {
		return none
	}
	n := &x.nodes[at]
	if !n.all.covers(need) {
		return none
	}
	if !n.key.Less(low) {
		if found := x.first(n.left, need, low, accept); found != none {
			return found
		}
		if need.most.Fits(n.free) && (accept == nil || accept(at)) {
			return at
		}
	}
	return x.first(n.right, need, low, accept)
}

func (x *Index) insert(root, slot int32) int32 {
	if root == none {
		return slot
	}
	n, r := &x.nodes[slot], &x.nodes[root]
	if n.priority > r.priority {
		n.left, n.right = x.split(root, slot)
		x.update(slot)
		return slot
	}
	if x.before(slot, root) {
		r.left = x.insert(r.left, slot)
	} else {
		r.right = x.insert(r.right, slot)
	}
	r.all.include(&n.all)
	return root
}

// before orders nodes by key. Equal keys are not expected; the slot then
// distinguishes the nodes, so that remove finds the right one.
func (x *Index) before(a, b int32) bool {
	if x.nodes[a].key != x.nodes[b].key {
		return x.nodes[a].key.Less(x.nodes[b].key)
	}
	return a < b
}

// split divides the subtree into the nodes before slot and the others.
func (x *Index) split(at, slot int32) (before, after int32) {
	if at == none {
		return none, none
	}
	n := &x.nodes[at]
	if x.before(at, slot) {
		n.right, after = x.split(n.right, slot)
		x.update(at)
		return at, after
	}
	before, n.left = x.split(n.left, slot)
	x.update(at)
	return before, at
}

func (x *Index) remove(at, slot int32) int32 {
	n := &x.nodes[at]
	switch {
	case at == slot:
		return x.merge(n.left, n.right)
	case x.before(slot, at):
		n.left = x.remove(n.left, slot)
	default:
		n.right = x.remove(n.right, slot)
	}
	x.update(at)
	return at
}

func (x *Index) merge(a, b int32) int32 {
	if a == none {
		return b
	}
	if b == none {
		return a
	}
	if x.nodes[a].priority > x.nodes[b].priority {
		x.nodes[a].right = x.merge(x.nodes[a].right, b)
		x.update(a)
		return a
	}
	x.nodes[b].left = x.merge(a, x.nodes[b].left)
	x.update(b)
	return b
}

func (x *Index) update(at int32) {
	n := &x.nodes[at]
	n.all = summaryOf(n.free)
	if n.left != none {
		n.all.include(&x.nodes[n.left].all)
	}
	if n.right != none {
		n.all.include(&x.nodes[n.right].all)
	}
}

func (x *Index) grow(slot, bin int32) {
	for int(slot) >= len(x.nodes) {
		x.nodes = append(x.nodes, node{bin: none})
	}
	for int(bin) >= len(x.roots) {
		x.roots = append(x.roots, none)
	}
}

// mix spreads the bits of v, so that priorities do not follow the order of ties.
func mix(v uint64) uint64 {
	v = (v ^ v>>30) * 0xbf58476d1ce4e5b9
	v = (v ^ v>>27) * 0x94d049bb133111eb
	return v ^ v>>31
}
