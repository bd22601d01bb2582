// Package schedule decides which task runs on which worker. It is pure: it reads
// no clock, does no I/O and draws no random numbers. Events bring its picture of
// the cell up to date, and Plan answers with what should be done next. The same
// events, options and time give the same plan.
//
// A Scheduler is owned by one goroutine.
package schedule
