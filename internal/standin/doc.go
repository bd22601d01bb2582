// Package standin implements a simulated worker and executor for tests. They use the
// HTTP API like a real target, run tasks as timers and answer requests with a
// configurable behavior. Both record what they ran in a history file, which CheckHistory
// checks for violations of the system's invariants.
package standin
