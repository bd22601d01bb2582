// Package client is a typed client of the HTTP interface. It fails over
// between several entry processes and retries only what is safe to send again.
package client

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/url"
	"strings"
	"sync/atomic"
	"time"
)

// Defaults and bounds of the client.
const (
	defaultAttempts = 6
	defaultBackoff  = 100 * time.Millisecond
	maxBackoff      = 5 * time.Second
	dialTimeout     = 3 * time.Second
	// answerGrace is the time for an answer to arrive after the deadline of its
	// request. An entry answers by the deadline, unless it is frozen or cut off.
	answerGrace    = time.Second
	maxAnswerBytes = 64 << 20
)

// Options describe a client.
type Options struct {
	// Addresses are the base URLs of entry processes, or IP:port for plain HTTP.
	Addresses []string
	Key       string
	// HTTP carries the calls; nil means a client with a dial timeout.
	HTTP *http.Client
	// Attempts bounds how often a call is sent, the first time included; 0 means 6.
	Attempts int
	// Backoff is the wait before the first retry, doubled for each further one; 0 means 100 ms.
	Backoff time.Duration
	// OnRetry, if set, is told of every retry before its wait.
	OnRetry func(Retry)
}

// Retry is one retry that is about to happen.
type Retry struct {
	Err     error
	Wait    time.Duration
	Address string // where the call goes next
}

// Client calls the HTTP interface. It may be used by many goroutines at once.
type Client struct {
	bases    []*url.URL
	key      string
	http     *http.Client
	attempts int
	backoff  time.Duration
	onRetry  func(Retry)
	// current is the index of the base that answered last.
	current atomic.Int64
	sleep   func(context.Context, time.Duration) error
	jitter  func(time.Duration) time.Duration
}

// New returns a client. The error says which address is malformed.
func New(o Options) (*Client, error) {
	c := &Client{
		key:      o.Key,
		http:     o.HTTP,
		attempts: o.Attempts,
		backoff:  o.Backoff,
		onRetry:  o.OnRetry,
		sleep:    sleep,
		jitter:   jitter,
	}
	for _, a := range o.Addresses {
		base, err := parseBase(a)
		if err != nil {
			return nil, err
		}
		c.bases = append(c.bases, base)
	}
	if len(c.bases) == 0 {
		return nil, fmt.Errorf("no address of an entry process is given")
	}
	if c.attempts <= 0 {
		c.attempts = defaultAttempts
	}
	if c.backoff <= 0 {
		c.backoff = defaultBackoff
	}
	if c.http == nil {
		c.http = NewHTTP(nil)
	}
	return c, nil
}

func parseBase(address string) (*url.URL, error) {
	text := strings.TrimSpace(address)
	if !strings.Contains(text, "://") {
		text = "http://" + text
	}
	base, err := url.Parse(text)
	if err != nil || base.Host == "" || (base.Scheme != "http" && base.Scheme != "https") {
		return nil, fmt.Errorf("address %q is not of the form http://IP:port or https://IP:port", address)
	}
	if base.User != nil || base.RawQuery != "" || base.Fragment != "" {
		return nil, fmt.Errorf("address %q must hold only scheme, host and path", base.Redacted())
	}
	base.Path = strings.TrimRight(base.Path, "/")
	return base, nil
}

// sleep waits for d, or returns the error of ctx when that ends first.
func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}

// jitter spreads d over half to one and a half of itself, so that callers
// that failed together do not come back together.
func jitter(d time.Duration) time.Duration {
	return d/2 + rand.N(d+1)
}
