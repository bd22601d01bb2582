package main

import (
	"net"
	"sync"
)

// maxConns is how many connections an executor holds, as the manifest says.
const maxConns = 64

// connTable counts the connections of one executor. One whose other end has lost power stays open,
// since nothing tells the executor.
type connTable struct {
	mu      sync.Mutex
	open    map[net.Conn]bool
	ghosts  int
	losing  bool
	refused int
}

func (t *connTable) reset() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.open, t.ghosts = map[net.Conn]bool{}, 0
}

// powerLost says whether a machine loses power now: connections that end meanwhile stay open for
// the executor.
func (t *connTable) powerLost(now bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.losing = now
}

func (t *connTable) counts() (open, ghosts, refused int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.open), t.ghosts, t.refused
}

// cappedListener resets new connections while the executor holds as many as it may.
type cappedListener struct {
	net.Listener
	e *executor
}

// Accept implements net.Listener.
func (l *cappedListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		t := &l.e.conns
		t.mu.Lock()
		if len(t.open)+t.ghosts >= maxConns {
			t.refused++
			t.mu.Unlock()
			_ = c.(*net.TCPConn).SetLinger(0)
			_ = c.Close()
			continue
		}
		counted := &countedConn{Conn: c, t: t}
		t.open[counted] = true
		t.mu.Unlock()
		return counted, nil
	}
}

type countedConn struct {
	net.Conn
	t *connTable
}

// Close implements net.Conn.
func (c *countedConn) Close() error {
	c.t.mu.Lock()
	if c.t.open[c] && c.t.losing {
		c.t.ghosts++
	}
	delete(c.t.open, c)
	c.t.mu.Unlock()
	return c.Conn.Close()
}
