// Package schedule decides which task runs on which worker. It is deterministic:
// it reads no clock, does no I/O and draws no random numbers. Events update its
// view of the cell, and Plan returns the actions to take next. The same events,
// options and time give the same plan.
package schedule
