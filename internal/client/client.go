// Package client is a typed client for the HTTP API. It fails over between several
// entry processes and retries only calls that are safe to repeat.
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

// Defaults and limits.
const (
	defaultAttempts = 6
	defaultBackoff  = 100 * time.Millisecond
	maxBackoff      = 5 * time.Second
	dialTimeout     = 3 * time.Second
	// answerGrace is how long after the deadline of a request its answer may arrive.
	// An entry answers by the deadline unless it hangs or is disconnected.
	answerGrace    = time.Second
	maxAnswerBytes = 64 << 20
)

// Options configure a client.
type Options struct {
	// Addresses are the base URLs of entry processes, or IP:port for plain HTTP.
	Addresses []string
	Key       string
	// HTTP sends the calls; nil means a client with a dial timeout of 3 s.
	HTTP *http.Client
	// Attempts is the maximum number of attempts per call, including the first; 0 means 6.
	Attempts int
	// Backoff is the delay before the first retry. It doubles with each retry, up to
	// 5 s; 0 means 100 ms.
	Backoff time.Duration
	// OnRetry, if set, is called before the delay of every retry.
	OnRetry func(Retry)
}

// Retry describes a retry that is about to happen.
type Retry struct {
	Err     error
	Wait    time.Duration
	Address string // base URL of the next attempt
}

// Client calls the HTTP API. It is safe for concurrent use.
type Client struct {
	bases    []*url.URL
	key      string
	http     *http.Client
	attempts int
	backoff  time.Duration
	onRetry  func(Retry)
	// current, modulo the number of bases, is the index of the base in use.
	current atomic.Int64
	sleep   func(context.Context, time.Duration) error
	jitter  func(time.Duration) time.Duration
}

// New returns a client. It returns an error if no address is given or an address is
// malformed.
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
		return nil, fmt.Errorf("address %q must contain only a scheme, host and path", base.Redacted())
	}
	base.Path = strings.TrimRight(base.Path, "/")
	return base, nil
}

// sleep waits for d. It returns the error of ctx if that ends first.
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

// jitter returns a random duration from d/2 to 3d/2, so that clients that failed at
// the same time do not retry at the same time.
func jitter(d time.Duration) time.Duration {
	return d/2 + rand.N(d+1)
}
