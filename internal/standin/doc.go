// Package standin holds a stand-in worker and a stand-in executor. They speak
// the HTTP interface as a real target does, run tasks as timers and answer
// requests in ways that tests choose. Both append what they really ran to a
// history file, and CheckHistory holds that against the promises of the system.
package standin
