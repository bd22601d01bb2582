// Package lease keeps the leader's table of worker leases.
//
// A worker counts its lease from when it sent the renewal; the table counts the
// same length from when it granted it, plus a drift margin. So the worker has
// stopped its tasks before the table calls it expired, as long as the clocks of
// the two do not drift apart by more than the margin within one lease.
//
// Renewals are not logged. A new leader does not know what its predecessor
// granted last, and therefore counts every worker as renewed at the moment at
// which its term began (Begin).
//
// The package is pure: it reads no clock. The time given to it must come from a
// monotonic clock, since a forward step of the wall clock would end leases that
// still hold. A time that goes back is taken as the latest one seen.
package lease
