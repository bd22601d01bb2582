package wire

import (
	"net"
	"sync"
)

// Faults loses packets between an endpoint and its peers. It is meant for
// failure tests; an endpoint without it has no such code on its path. Its
// zero value loses nothing.
type Faults struct {
	mu   sync.RWMutex
	to   map[string]bool
	from map[string]bool
	all  bool
}

// CutTo loses what the endpoint sends to address.
func (f *Faults) CutTo(address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.to == nil {
		f.to = make(map[string]bool)
	}
	f.to[address] = true
}

// CutFrom loses what the endpoint gets from address.
func (f *Faults) CutFrom(address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.from == nil {
		f.from = make(map[string]bool)
	}
	f.from[address] = true
}

// Cut loses traffic with address both ways.
func (f *Faults) Cut(address string) {
	f.CutTo(address)
	f.CutFrom(address)
}

// CutAll loses traffic with every peer both ways.
func (f *Faults) CutAll() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.all = true
}

// Heal ends every cut.
func (f *Faults) Heal() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.to, f.from, f.all = nil, nil, false
}

func (f *Faults) losesTo(address string) bool {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.all || f.to[address]
}

func (f *Faults) losesFrom(address string) bool {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.all || f.from[address]
}

// faultyConn is a socket that loses packets as its Faults say.
type faultyConn struct {
	net.PacketConn // a *net.UDPConn, with its batch reads and writes hidden
	faults         *Faults
}

// WriteTo implements net.PacketConn. A lost packet looks sent.
func (c *faultyConn) WriteTo(b []byte, to net.Addr) (int, error) {
	if c.faults.losesTo(to.String()) {
		return len(b), nil
	}
	return c.PacketConn.WriteTo(b, to)
}

// ReadFrom implements net.PacketConn.
func (c *faultyConn) ReadFrom(b []byte) (int, net.Addr, error) {
	for {
		n, from, err := c.PacketConn.ReadFrom(b)
		if err != nil || !c.faults.losesFrom(from.String()) {
			return n, from, err
		}
	}
}

// SetReadBuffer passes on the buffer size that the transport asks for, in bytes.
func (c *faultyConn) SetReadBuffer(n int) error { return c.PacketConn.(*net.UDPConn).SetReadBuffer(n) }

// SetWriteBuffer passes on the buffer size that the transport asks for, in bytes.
func (c *faultyConn) SetWriteBuffer(n int) error {
	return c.PacketConn.(*net.UDPConn).SetWriteBuffer(n)
}
