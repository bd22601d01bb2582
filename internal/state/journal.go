package state

import (
	"github.com/filbertmast/filbertmast/internal/errkind"
	"github.com/filbertmast/filbertmast/internal/journal"
)

// journalStart records the start of a request before it is sent to an executor.
func (m *Machine) journalStart(c *JournalStart) Result {
	r := m.journal.Start(c.Key, c.Digest, m.fence(), c.Entry, m.now, c.Deadline)
	return Result{Journal: r, Fence: m.fence()}
}

// journalEnd records the end of the attempt with the fence.
func (m *Machine) journalEnd(c *JournalEnd) Result {
	if c.Answer == nil {
		m.journal.Abandon(c.Key, c.Fence, c.Ran, m.now)
		return Result{}
	}
	if !m.journal.Finish(c.Key, c.Fence, c.Answer, m.now) {
		return Result{Err: errkind.New(errkind.StaleFence, "the attempt is not the current one of the request, or has already finished")}
	}
	return Result{}
}

// Journal returns the journal of requests for reading.
func (m *Machine) Journal() *journal.Journal { return m.journal }
