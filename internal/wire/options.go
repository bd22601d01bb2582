package wire

import (
	"context"
	"crypto/tls"
	"time"

	"github.com/charmbracelet/log"
	"github.com/prometheus/client_golang/prometheus"
)

// Limits and timeouts of the protocol.
const (
	// MaxFrame is the largest encoded message, in bytes.
	MaxFrame = 16 << 20

	protocolName     = "filbertmast/1"
	handshakeTimeout = 2 * time.Second
	// handshakeSilence is how long a peer may send no packet during a handshake. A dial
	// repeats its first packet after 0.2, 0.6 and 1.4 s, so that a peer that has come back
	// would wait up to 0.8 s for it; a new dial begins anew.
	handshakeSilence = time.Second
	// idleTimeout is how long a connection may be without packets before it counts
	// as dead. Messages of the replicated log may wait this long, so it must be
	// shorter than a lease.
	idleTimeout     = 3 * time.Second
	keepAlivePeriod = time.Second
	maxStreams      = 4096 // open calls and exchanges on one connection; further ones are refused
	// unlimitedStreams turns off the limit of QUIC, which costs a message and its
	// acknowledgement for each stream that ends.
	unlimitedStreams = 1 << 60
	maxPostStreams   = 64 // one for each kind, plus room for streams that replace others

	maxQueuedBytes    = 32 << 20 // queued one-way messages for one peer
	maxQueuedMessages = 8192
	postBatchBytes    = 256 << 10
	postWriteTimeout  = 5 * time.Second

	redialBase = 50 * time.Millisecond
	redialMax  = time.Second

	unusedConnectionTimeout = time.Minute // after which an unused connection is closed
	unusedPeerTimeout       = 10 * time.Minute
	reapPeriod              = 10 * time.Second
)

// Options configures an Endpoint.
type Options struct {
	Address       string // IP:port (UDP) to listen on; port 0 selects a free port
	Name          string
	Region        string
	FailureDomain string
	// TLS holds the certificate of this process and the authorities of its
	// peers, for both directions. If ServerName is empty, a peer's certificate
	// is only verified against the authorities, since peers are identified by IP
	// address. If TLS is nil, a certificate is generated whose authority exists
	// only in the memory of this process, so that only endpoints of the same
	// process can connect.
	TLS *tls.Config
	// AcceptAnyCertificate disables the verification of peer certificates.
	// Connections are still encrypted, but anyone who can reach the port is
	// trusted.
	AcceptAnyCertificate bool
	Logger               *log.Logger
	Registerer           prometheus.Registerer // nil registers nothing
	Budget               Shaper                // limits traffic to other regions; nil: no limit
	Faults               *Faults               // injects faults in tests; nil in production
}

// Shaper limits the traffic to other regions to a budget.
type Shaper interface {
	// Admit requests permission to send a new message of n bytes to region. It
	// returns at once for ClassConsensus. If the budget is exhausted, it fails
	// with Overloaded for ClassRequest and waits until ctx ends for
	// ClassSnapshot.
	Admit(ctx context.Context, c Class, region string, n int) error
	// Continue requests permission to send n more bytes of a message admitted
	// earlier. It waits for the budget and only fails with the error of ctx.
	Continue(ctx context.Context, c Class, region string, n int) error
}

// Peer describes the process at the other end of a connection.
type Peer struct {
	Name          string `cbor:"1,keyasint"`
	Address       string `cbor:"2,keyasint"` // the address that the peer listens on
	Region        string `cbor:"3,keyasint"`
	FailureDomain string `cbor:"4,keyasint"`
	// Started is the start time of the process in Unix nanoseconds. It identifies
	// the incarnation: it distinguishes a restarted process from one that dials a
	// second connection.
	Started int64 `cbor:"5,keyasint,omitempty"`
}
