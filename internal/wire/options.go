package wire

import (
	"context"
	"crypto/tls"
	"time"

	"github.com/charmbracelet/log"
	"github.com/prometheus/client_golang/prometheus"
)

// Bounds of the protocol.
const (
	// MaxFrame is the largest encoded message, in bytes.
	MaxFrame = 16 << 20

	protocolName     = "filbertmast/1"
	handshakeTimeout = 2 * time.Second
	// idleTimeout is how long a connection may be silent before it is taken for
	// dead: messages of the log wait for it, so that it stays below a lease.
	idleTimeout     = 3 * time.Second
	keepAlivePeriod = time.Second
	maxStreams      = 4096 // open calls and exchanges on one connection
	maxPostStreams  = 64   // one for each kind, with room for replaced ones

	maxQueuedBytes    = 32 << 20 // one-way messages waiting for one peer
	maxQueuedMessages = 8192
	postBatchBytes    = 256 << 10
	postWriteTimeout  = 5 * time.Second

	redialBase = 50 * time.Millisecond
	redialMax  = time.Second

	unusedConnectionTimeout = time.Minute // after which a connection is closed
	unusedPeerTimeout       = 10 * time.Minute
	reapPeriod              = 10 * time.Second
)

// Options configures an Endpoint.
type Options struct {
	Address       string // IP:port (UDP) to listen on; port 0 takes a free one
	Name          string
	Region        string
	FailureDomain string
	// TLS holds the certificate of this process and the authorities of its
	// peers, for both directions. Where ServerName is empty a peer's
	// certificate is checked against the authorities alone, since peers are
	// known by IP address. Nil takes a certificate whose authority lives only in
	// the memory of this process, so that only endpoints of the same process
	// can connect.
	TLS *tls.Config
	// AcceptAnyCertificate accepts every peer's certificate. Links are encrypted, and whoever
	// reaches the port is trusted.
	AcceptAnyCertificate bool
	Logger               *log.Logger
	Registerer           prometheus.Registerer // nil registers nothing
	Budget               Shaper                // for traffic to other regions; nil for none
	Faults               *Faults               // lets tests lose packets; nil in service
}

// Shaper holds traffic to other regions under a budget.
type Shaper interface {
	// Admit asks to send a new message of n bytes to a region. It returns at
	// once for ClassConsensus. It fails with Overloaded where a request has no
	// room, and waits for room, until ctx ends, for ClassSnapshot.
	Admit(ctx context.Context, c Class, region string, n int) error
	// Continue asks to send n further bytes of something admitted earlier: it
	// waits and never refuses. Its error is that of ctx.
	Continue(ctx context.Context, c Class, region string, n int) error
}

// Peer describes the process at the other end of a connection.
type Peer struct {
	Name          string `cbor:"1,keyasint"`
	Address       string `cbor:"2,keyasint"` // the address that the peer listens on
	Region        string `cbor:"3,keyasint"`
	FailureDomain string `cbor:"4,keyasint"`
	// Started is when the process started, in Unix nanoseconds. It tells a process
	// that has started again from one that dials a second time.
	Started int64 `cbor:"5,keyasint,omitempty"`
}
