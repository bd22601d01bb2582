package connlimit

import (
	"bytes"
	"cmp"
	"net/http"
	"slices"
	"sync/atomic"
	"time"
)

const (
	// freeHead is the part of a head in bytes that is not charged. An ordinary head is shorter,
	// and connBytes has room for it.
	freeHead = 1 << 10
	// headByteCost is the memory that one byte of a head takes at most: a line of three letters
	// becomes an entry of a map, a key and a list of values.
	headByteCost = 16
	// headerKeyBytes and headerValueBytes are the memory of a key and a value of a parsed head
	// without their texts.
	headerKeyBytes   = 64
	headerValueBytes = 32
	// readBuffer is the size in bytes of the buffer through which net/http reads a connection.
	readBuffer = 4 << 10
)

// head is the head of the request that a connection receives or serves.
type head struct {
	arriving atomic.Bool  // until net/http has parsed it
	received atomic.Int64 // bytes of it, as far as they are known
	after    atomic.Int64 // bytes that were received after its end
	since    atomic.Int64 // when its first bytes arrived, Unix time in nanoseconds
	body     atomic.Int64 // bytes of the body: declared or, without that, read so far
	http2    atomic.Bool  // the connection carries several requests at once, whose heads are not counted

	// Guarded by the lock of the pool.
	charged int64 // bytes
	closed  bool
}

var endOfHead = []byte("\r\n\r\n")

// begin begins the next head, of which the buffer of net/http may hold a part.
func (h *head) begin() {
	if h.http2.Load() {
		return
	}
	h.received.Store(min(max(h.after.Load()-h.body.Load(), 0), readBuffer))
	h.after.Store(0)
	h.body.Store(0)
	h.arriving.Store(true)
}

// read records received bytes.
func (h *head) read(p []byte) {
	if !h.arriving.Load() {
		h.after.Add(int64(len(p)))
		return
	}
	n := len(p)
	if h.received.Load() == 0 {
		h.since.Store(time.Now().UnixNano())
		if end := bytes.Index(p, endOfHead); end >= 0 { // with TLS the text is not seen
			n = end + len(endOfHead)
			h.after.Add(int64(len(p) - n))
		}
	}
	h.received.Add(int64(n))
}

// headCost returns the memory to charge for a head of which so many bytes have arrived.
func headCost(received int64) int64 { return max(received-freeHead, 0) * headByteCost }

// parsedCost returns the memory to charge for a parsed head.
func parsedCost(h http.Header) int64 {
	var n int64
	for k, values := range h {
		n += headerKeyBytes + int64(len(k))
		for _, v := range values {
			n += headerValueBytes + int64(len(v))
		}
	}
	return max(n-freeHead*headByteCost, 0)
}

// sortByHead sorts connections by when their heads began to arrive, oldest first.
func sortByHead(conns []*conn) {
	slices.SortFunc(conns, func(a, b *conn) int { return cmp.Compare(a.head.since.Load(), b.head.since.Load()) })
}
