package route

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/filbertmast/filbertmast/internal/owner"
)

// candidate is an entry that owns executors of a service.
type candidate struct {
	owner  string
	region string
	slots  int64
	load   *ownerLoad
}

// ownerLoad is the load of one owner's executors of one service, as measured by
// this entry.
type ownerLoad struct {
	inFlight atomic.Int64
	meanNS   atomic.Int64 // moving average of the time until the answer
}

// recordLatency adds one sample to the average.
func (l *ownerLoad) recordLatency(d time.Duration) {
	old := l.meanNS.Load()
	if old == 0 {
		l.meanNS.Store(int64(d))
		return
	}
	l.meanNS.Store(old + (int64(d)-old)/8)
}

// expectedWait estimates how long a further request would wait and run, in
// nanoseconds.
func (c *candidate) expectedWait() float64 {
	mean := float64(max(c.load.meanNS.Load(), int64(time.Millisecond)))
	return mean * (1 + float64(c.load.inFlight.Load())/float64(max(c.slots, 1)))
}

// Directory is an entry's view of which entries own which executors. It is safe
// for concurrent use; lookups take no lock.
type Directory struct {
	mu      sync.Mutex
	loads   map[loadKey]*ownerLoad
	current atomic.Pointer[view]
}

type loadKey struct{ service, owner string }

// view is one version of the directory.
type view struct {
	version  uint64
	services map[string][]candidate
	changed  chan struct{} // closed when a later view replaces this one
}

// NewDirectory returns an empty directory.
func NewDirectory() *Directory {
	d := &Directory{loads: make(map[loadKey]*ownerLoad)}
	d.current.Store(&view{changed: make(chan struct{})})
	return d
}

// Version returns the version of the current view.
func (d *Directory) Version() uint64 { return d.current.Load().version }

// Update replaces the current view unless version is older than that of the
// current one. It reports whether it did.
func (d *Directory) Update(version uint64, rows []owner.DirectoryRecord) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	old := d.current.Load()
	if version < old.version {
		return false
	}
	v := &view{version: version, services: make(map[string][]candidate), changed: make(chan struct{})}
	for i := range rows {
		d.add(v, &rows[i])
	}
	for _, list := range v.services {
		slices.SortFunc(list, func(a, b candidate) int { return cmp.Compare(a.owner, b.owner) })
	}
	d.current.Store(v)
	close(old.changed)
	return true
}

func (d *Directory) add(v *view, row *owner.DirectoryRecord) {
	if row.Owner == "" || row.Leaving {
		return
	}
	list := v.services[row.Service]
	for i := range list {
		if list[i].owner == row.Owner && list[i].region == row.Region {
			list[i].slots += int64(row.Slots)
			return
		}
	}
	key := loadKey{row.Service, row.Owner}
	l, ok := d.loads[key]
	if !ok {
		l = &ownerLoad{}
		d.loads[key] = l
	}
	v.services[row.Service] = append(list, candidate{
		owner:  row.Owner,
		region: row.Region,
		slots:  int64(row.Slots),
		load:   l,
	})
}

// chooseOwner returns the owner with the least expected wait that is not in
// tried, preferring owners in the given region.
func (v *view) chooseOwner(service, region string, tried []string) (candidate, bool) {
	best := -1
	list := v.services[service]
	for i := range list {
		if slices.Contains(tried, list[i].owner) {
			continue
		}
		if best < 0 || precedes(&list[i], &list[best], region) {
			best = i
		}
	}
	if best < 0 {
		return candidate{}, false
	}
	return list[best], true
}

func precedes(a, b *candidate, region string) bool {
	aNear, bNear := a.region == region, b.region == region
	if aNear != bNear {
		return aNear
	}
	return a.expectedWait() < b.expectedWait()
}
