// Package relay makes calls to workers through other processes. A leader that polls many
// workers would spend much of its processor on their HTTP connections. It sends the calls to
// relays instead, many with one message, and a relay makes them and sends the results back,
// again many with one message. What is called, with which fence, lease and cursor, is decided
// by the leader alone.
//
// Messages may be lost, and a relay may be suspended while it holds some. A call without a
// result counts as one whose response was lost on its way from the worker. A relay refuses
// calls that took long to arrive. One that has gone silent gets no further calls for some time.
package relay
