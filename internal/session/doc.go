// Package session manages the sessions of workers at one entry process.
//
// The leader opens a session when a worker announces itself. Any entry may
// serve it: if the worker's entry fails, the worker sends its next heartbeat,
// with the same session number, to another entry, which attaches the session.
// Only the leader grants leases. The entry batches heartbeats, and answers a
// heartbeat only with a grant that the leader made after the heartbeat arrived.
//
// Commands are one-way messages from the leader; they may be late, repeated or
// lost. For each task the entry keeps only the command with the newest fence
// and sends it repeatedly until a report acknowledges it. Reports are
// acknowledged after they are committed, and each state of an attempt is
// forwarded to the leader once.
package session
