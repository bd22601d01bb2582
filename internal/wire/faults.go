package wire

import (
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"time"
)

// Faults loses and delays packets between an endpoint and its peers. It is
// meant for failure tests; an endpoint without it has no such code on its path.
// Its zero value does nothing.
type Faults struct {
	mu    sync.RWMutex
	to    map[string]bool
	from  map[string]bool
	all   bool
	delay time.Duration
	loss  float64
}

// SetDelayAndLoss delays every packet that the endpoint sends, and loses a part of them,
// 0 to 1, at random.
func (f *Faults) SetDelayAndLoss(delay time.Duration, loss float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.delay, f.loss = delay, loss
}

// DropTo loses what the endpoint sends to address.
func (f *Faults) DropTo(address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.to == nil {
		f.to = make(map[string]bool)
	}
	f.to[address] = true
}

// DropFrom loses what the endpoint gets from address.
func (f *Faults) DropFrom(address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.from == nil {
		f.from = make(map[string]bool)
	}
	f.from[address] = true
}

// Partition loses traffic with address both ways.
func (f *Faults) Partition(address string) {
	f.DropTo(address)
	f.DropFrom(address)
}

// Isolate loses traffic with every peer both ways.
func (f *Faults) Isolate() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.all = true
}

// Heal ends every fault.
func (f *Faults) Heal() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.to, f.from, f.all = nil, nil, false
	f.delay, f.loss = 0, 0
}

func (f *Faults) dropsTo(address string) bool {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.all || f.to[address] || f.loss > 0 && rand.Float64() < f.loss
}

func (f *Faults) sendDelay() time.Duration {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.delay
}

func (f *Faults) dropsFrom(address string) bool {
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
	if c.faults.dropsTo(to.String()) {
		return len(b), nil
	}
	d := c.faults.sendDelay()
	if d == 0 {
		return c.PacketConn.WriteTo(b, to)
	}
	late := slices.Clone(b) // the caller uses b again
	time.AfterFunc(d, func() { c.PacketConn.WriteTo(late, to) })
	return len(b), nil
}

// ReadFrom implements net.PacketConn.
func (c *faultyConn) ReadFrom(b []byte) (int, net.Addr, error) {
	for {
		n, from, err := c.PacketConn.ReadFrom(b)
		if err != nil || !c.faults.dropsFrom(from.String()) {
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
