package wire

import (
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"time"
)

// Faults injects packet loss and delay between an endpoint and its peers, for
// failure tests. An endpoint without it uses the plain socket. The zero value
// injects no faults.
type Faults struct {
	mu    sync.RWMutex
	to    map[string]bool
	from  map[string]bool
	all   bool
	delay time.Duration
	loss  float64
	links map[string]*link // by the address of the peer
}

// link is a path of bounded rate.
type link struct {
	delay          time.Duration
	bytesPerSecond float64
	idleAt         time.Time // when all packets so far have been sent
}

// maxLinkWait is how long a packet may wait for a link before it is dropped.
const maxLinkWait = 100 * time.Millisecond

// SetLink delays the packets that the endpoint sends to address, and bounds their rate.
// Packets that would wait too long are dropped, as by a full router queue.
func (f *Faults) SetLink(address string, delay time.Duration, bytesPerSecond float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.links == nil {
		f.links = make(map[string]*link)
	}
	f.links[address] = &link{delay: delay, bytesPerSecond: bytesPerSecond}
}

// passLink returns how long a packet of n bytes takes to address. It returns ok == false if
// the link drops it.
func (f *Faults) passLink(address string, n int) (d time.Duration, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	l := f.links[address]
	if l == nil {
		return 0, true
	}
	now := time.Now()
	wait := max(l.idleAt.Sub(now), 0)
	if wait > maxLinkWait {
		return 0, false
	}
	wait += time.Duration(float64(n) / l.bytesPerSecond * float64(time.Second))
	l.idleAt = now.Add(wait)
	return wait + l.delay, true
}

// SetDelayAndLoss delays every packet that the endpoint sends, and drops each with
// probability loss, 0 to 1.
func (f *Faults) SetDelayAndLoss(delay time.Duration, loss float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.delay, f.loss = delay, loss
}

// DropTo drops the packets that the endpoint sends to address.
func (f *Faults) DropTo(address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.to == nil {
		f.to = make(map[string]bool)
	}
	f.to[address] = true
}

// DropFrom drops the packets that the endpoint receives from address.
func (f *Faults) DropFrom(address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.from == nil {
		f.from = make(map[string]bool)
	}
	f.from[address] = true
}

// Partition drops all packets to and from address.
func (f *Faults) Partition(address string) {
	f.DropTo(address)
	f.DropFrom(address)
}

// Isolate drops all packets to and from every peer.
func (f *Faults) Isolate() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.all = true
}

// Heal removes all faults.
func (f *Faults) Heal() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.to, f.from, f.all, f.links = nil, nil, false, nil
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

// faultyConn is a socket that applies Faults to its packets.
type faultyConn struct {
	net.PacketConn // a *net.UDPConn, with its batch reads and writes hidden
	faults         *Faults
}

// WriteTo implements net.PacketConn. It reports a dropped packet as sent.
func (c *faultyConn) WriteTo(b []byte, to net.Addr) (int, error) {
	if c.faults.dropsTo(to.String()) {
		return len(b), nil
	}
	d, ok := c.faults.passLink(to.String(), len(b))
	if !ok {
		return len(b), nil
	}
	d += c.faults.sendDelay()
	if d == 0 {
		return c.PacketConn.WriteTo(b, to)
	}
	packet := slices.Clone(b) // the caller reuses b
	time.AfterFunc(d, func() { c.PacketConn.WriteTo(packet, to) })
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

// SetReadBuffer sets the receive buffer size of the socket, in bytes.
func (c *faultyConn) SetReadBuffer(n int) error { return c.PacketConn.(*net.UDPConn).SetReadBuffer(n) }

// SetWriteBuffer sets the send buffer size of the socket, in bytes.
func (c *faultyConn) SetWriteBuffer(n int) error {
	return c.PacketConn.(*net.UDPConn).SetWriteBuffer(n)
}
