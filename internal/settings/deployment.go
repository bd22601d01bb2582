package settings

import (
	"slices"

	"github.com/filbertmast/filbertmast/internal/strict"
)

// File is the settings of one process with the name of their file.
type File struct {
	Name     string
	Settings *Settings
}

// CheckDeployment reports conflicts between the processes of one deployment: equal
// names or addresses, and different founders, shared limits or bootstrap operator keys.
func CheckDeployment(files []File) Problems {
	c := deploymentChecker{names: make(map[string]string), inner: make(map[string]string), outer: make(map[string]string)}
	for _, f := range files {
		c.unique(c.names, f, "$.name", f.Settings.Name)
		c.unique(c.inner, f, "$.inner.address", f.Settings.Inner.Address)
		c.unique(c.outer, f, "$.outer.address", f.Settings.Outer.Address)
		c.founders(files[0], f)
		c.limits(files[0], f)
		c.bootstrap(files[0], f)
	}
	c.foundersExist(files)
	return c.problems
}

// deploymentChecker collects conflicts. Its maps contain the file in which each value
// occurred first.
type deploymentChecker struct {
	names, inner, outer map[string]string
	problems            Problems
}

func (c *deploymentChecker) unique(seen map[string]string, f File, path, value string) {
	if value == "" {
		return
	}
	if first, ok := seen[value]; ok {
		c.problems.Add(f.Name, path, value, "duplicate of %s: %s", first, path)
		return
	}
	seen[value] = f.Name
}

// founders requires the same founders as in the first file, in any order.
func (c *deploymentChecker) founders(first, f File) {
	want := slices.Sorted(slices.Values(first.Settings.Control.Founders))
	have := slices.Sorted(slices.Values(f.Settings.Control.Founders))
	if !slices.Equal(want, have) {
		c.problems.Add(f.Name, "$.control.founders", nil, "must list the same addresses as %s", first.Name)
	}
}

// limits requires the same leases, deadlines and journal limits on every process,
// because a new leader relies on the leases that others granted.
func (c *deploymentChecker) limits(first, f File) {
	a, b := first.Settings.Limits, f.Settings.Limits
	c.requireEqual(first, f, "$.limits.worker_lease", a.WorkerLease, b.WorkerLease)
	c.requireEqual(first, f, "$.limits.longest_worker_lease", a.MaxWorkerLease, b.MaxWorkerLease)
	c.requireEqual(first, f, "$.limits.request_lease", a.RequestLease, b.RequestLease)
	c.requireEqual(first, f, "$.limits.longest_deadline", a.MaxDeadline, b.MaxDeadline)
	c.requireEqual(first, f, "$.limits.journal_keep", a.JournalKeep, b.JournalKeep)
	c.requireEqual(first, f, "$.limits.journal_bytes", a.JournalBytes, b.JournalBytes)
	c.requireEqual(first, f, "$.limits.answer_bytes", a.AnswerBytes, b.AnswerBytes)
}

func (c *deploymentChecker) requireEqual(first, f File, path string, want, have any) {
	if want != have {
		c.problems.Add(f.Name, path, have, "must be %v as in %s", want, first.Name)
	}
}

// bootstrap reports different digests without their values, since a user may have
// entered a key by mistake.
func (c *deploymentChecker) bootstrap(first, f File) {
	if first.Settings.Bootstrap != f.Settings.Bootstrap {
		c.problems.Add(f.Name, "$.bootstrap.operator_key_digest", nil, "must be the same as in %s", first.Name)
	}
}

// foundersExist requires that one of the files has the address of each founder, if
// more than one file is checked.
func (c *deploymentChecker) foundersExist(files []File) {
	if len(files) < 2 {
		return
	}
	first := files[0]
	for i, address := range first.Settings.Control.Founders {
		if c.inner[address] == "" {
			c.problems.Add(first.Name, strict.Index("$.control.founders", i), address, "is the inner.address of none of the files checked")
		}
	}
}
