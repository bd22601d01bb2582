// Package member follows the entry processes of a deployment.
//
// The committed list of entries is part of the durable state. Table holds, at
// the leader, what rests on time: which of them have renewed within their lease,
// which are lost, and which may be taken off the list because everything that
// they were granted has ended. History decides how an entry that is behind gets
// the configuration in force, and Rejoin what an entry does after each attempt
// to renew.
//
// The package is pure: it reads no clock. Times must come from a monotonic
// clock; one that goes back is taken as the latest one seen.
package member
