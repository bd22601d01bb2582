// Package session holds the sessions of workers at one entry process.
//
// A session begins at the leader, with an announcement, and may be served by
// any entry: a worker whose entry dies sends its next heartbeat, with the same
// session number, to another one, which attaches it. Leases are granted by the
// leader alone. The entry gathers heartbeats into batches, and a heartbeat is
// answered only with a grant that the leader gave after the heartbeat arrived.
//
// Commands travel one way from the leader and may be late, repeated or lost.
// The entry keeps, for each task, only what the newest fence orders, and tells
// it again until a report confirms it. Reports are acknowledged after their
// commit, and each state of an attempt is passed on once.
package session
