// Package member tracks the membership of the entry processes of a deployment.
//
// The committed list of entries is part of the replicated state. Table holds
// the leader's volatile view of it: which entries have renewed within their
// lease, which are lost, and which may be removed from the list because
// everything granted to them has expired. History provides the update that
// brings an outdated entry to the configuration in force. RenewalSchedule
// determines what an entry does after each attempt to renew.
//
// The package reads no clock; callers pass the time. Times must come from a
// monotonic clock. A time earlier than the latest one seen is replaced by that
// one.
package member
