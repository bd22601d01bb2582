// Package lease keeps the leader's table of worker leases.
//
// A worker measures its lease from the time at which it sent the renewal. The
// table measures the same duration plus a drift margin from the time of the
// grant. The worker has therefore stopped its tasks before the table expires the
// lease, as long as the two clocks do not drift apart by more than the margin
// within one lease.
//
// Renewals are not replicated. A new leader does not know the last grants of its
// predecessor, and therefore treats every lease as renewed at the start of its
// term (Table.BeginTerm).
//
// The package reads no clock. The times passed to it must come from a monotonic
// clock, since a forward step of the wall clock would expire valid leases. A time
// before the latest one seen counts as the latest one.
package lease
