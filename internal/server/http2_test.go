package server

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"gotest.tools/v3/assert"

	"github.com/filbertmast/filbertmast/internal/settings"
)

// endlessBody counts the bytes that are read from it.
type endlessBody struct{ read *atomic.Int64 }

func (b endlessBody) Read(p []byte) (int, error) {
	b.read.Add(int64(len(p)))
	return len(p), nil
}

// Guards against HTTP/2 connections that hold far more of unread bodies than the memory of a
// small process allows.
func TestHTTP2ConnectionHoldsLittleOfUnreadBodies(t *testing.T) {
	const (
		requests = 8
		bound    = 512 << 10
	)
	handling, release := make(chan struct{}, requests), make(chan struct{})
	p := &Process{settings: &settings.Settings{}, log: log.New(io.Discard)}
	server := httptest.NewUnstartedServer(nil)
	server.Config = p.newHTTPServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		assert.Check(t, r.ProtoMajor == 2)
		handling <- struct{}{}
		<-release
	}))
	server.EnableHTTP2 = true
	server.StartTLS()
	defer server.Close()
	roots := x509.NewCertPool()
	roots.AddCert(server.Certificate())
	client := &http.Client{Transport: &http.Transport{ForceAttemptHTTP2: true, TLSClientConfig: &tls.Config{RootCAs: roots}}}
	ctx, cancel := context.WithCancel(t.Context())
	var read atomic.Int64
	var sent sync.WaitGroup
	for range requests {
		sent.Go(func() {
			r, err := http.NewRequestWithContext(ctx, http.MethodPost, server.URL, endlessBody{&read})
			assert.Check(t, err)
			if resp, err := client.Do(r); err == nil {
				resp.Body.Close()
			}
		})
	}
	for range requests {
		<-handling
	}
	for before := int64(-1); before != read.Load(); {
		before = read.Load()
		time.Sleep(100 * time.Millisecond)
	}
	assert.Check(t, read.Load() <= bound, "the client has sent %d bytes", read.Load())
	cancel()
	close(release)
	sent.Wait()
	client.CloseIdleConnections()
}
