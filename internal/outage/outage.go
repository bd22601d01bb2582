// Package outage tells whether workers that stopped answering have a common cause, such as a
// rack without power or a link that is cut. A task that was starting on one of them is then no
// likely cause of its crash, unless its job was starting tasks on the others, too.
package outage

import (
	"slices"
	"sort"
	"time"

	"github.com/filbertmast/filbertmast/internal/model"
)

const (
	// margin is by how much the moments differ at which the leader learns that workers with
	// a common cause stopped answering.
	margin = 250 * time.Millisecond
	// commonOutages is the number of other workers that must have stopped answering at the
	// same moment.
	commonOutages = 2
	// retention is longer than a worker takes to be lost, or to start again and announce
	// itself.
	retention = time.Minute
)

// Outage records that a worker stopped answering.
type Outage struct {
	Worker   model.WorkerID
	From, To model.Time    // it stopped between the two
	Jobs     []model.JobID // that may have crashed it
}

func (o *Outage) overlaps(other *Outage) bool {
	return o.From <= other.To.Add(margin) && other.From <= o.To.Add(margin)
}

// Log holds the recent outages of all workers, ordered by their ends.
type Log []Outage

// Record adds an outage that is the last one to end, and drops those that ended long before.
func (l *Log) Record(e Outage) {
	from := sort.Search(len(*l), func(i int) bool { return (*l)[i].To >= e.To.Add(-retention) })
	*l = append(slices.Delete(*l, 0, from), e)
}

// CommonCause returns those of the jobs that may have crashed a worker which are less likely
// to have than what else stopped other workers at the same moment. It overwrites jobs.
func (l Log) CommonCause(worker model.WorkerID, jobs []model.JobID) []model.JobID {
	var own *Outage
	for i := len(l) - 1; i >= 0 && own == nil; i-- {
		if l[i].Worker == worker {
			own = &l[i]
		}
	}
	if own == nil {
		return nil
	}
	first := sort.Search(len(l), func(i int) bool { return l[i].To.Add(margin) >= own.From })
	beside := l[first:]
	return slices.DeleteFunc(jobs, func(job model.JobID) bool { return !beside.commonWithout(job, own) })
}

// commonWithout reports whether commonOutages other workers stopped answering at the same
// moment as in own, and had no task of a job in its start.
func (l Log) commonWithout(job model.JobID, own *Outage) bool {
	n := 0
	for i := range l {
		e := &l[i]
		if e.Worker != own.Worker && e.overlaps(own) && !slices.Contains(e.Jobs, job) {
			n++
		}
		if n == commonOutages {
			return true
		}
	}
	return false
}
