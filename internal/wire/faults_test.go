package wire

import (
	"bytes"
	"context"
	"crypto/tls"
	"errors"
	"io"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"
	"gotest.tools/v3/assert"

	"github.com/filbertmast/filbertmast/internal/errkind"
)

func pair(t *testing.T) (a, b *Endpoint, faults *Faults) {
	faults = new(Faults)
	a = listen(t, "a", func(o *Options) { o.Faults = faults })
	b = listen(t, "b", nil)
	return a, b, faults
}

func echo(ctx context.Context, from *Endpoint, to string, text string) error {
	_, err := Call[echoRequest, echoResponse](ctx, from, to, KindProbe, &echoRequest{Text: text})
	return err
}

func TestCallToUnresponsiveAddressIsUnreachable(t *testing.T) {
	a, b, faults := pair(t)
	handleEcho(b)
	faults.Partition(b.Address())
	err := echo(testContext(t), a, b.Address(), "x")
	assert.Equal(t, errkind.Of(err), errkind.Unreachable)
	err = echo(testContext(t), a, b.Address(), "x")
	assert.Equal(t, errkind.Of(err), errkind.Unreachable) // fails at once during the backoff
	assert.Assert(t, errkind.RetryAfter(err) <= redialMax)
}

func TestConnectionIsReestablishedAfterAPartition(t *testing.T) {
	a, b, faults := pair(t)
	handleEcho(b)
	faults.Partition(b.Address())
	assert.Assert(t, echo(testContext(t), a, b.Address(), "x") != nil)
	faults.Heal()
	waitFor(t, func() bool { return echo(testContext(t), a, b.Address(), "x") == nil })
}

func TestInterruptedCallIsNeverReportedAsNotRun(t *testing.T) {
	for name, cut := range map[string]func(*Faults, string){
		"both directions":             (*Faults).Partition,
		"requests only":               (*Faults).DropTo,
		"answers only":                (*Faults).DropFrom,
		"every peer, both directions": func(f *Faults, _ string) { f.Isolate() },
	} {
		t.Run(name, func(t *testing.T) {
			a, b, faults := pair(t)
			handleEcho(b)
			assert.NilError(t, echo(testContext(t), a, b.Address(), "connected"))
			cut(faults, b.Address())
			ctx, cancel := context.WithTimeout(testContext(t), 300*time.Millisecond)
			defer cancel()
			err := echo(ctx, a, b.Address(), "x")
			assert.Equal(t, errkind.Of(err), errkind.DeadlineExceeded)
			assert.Assert(t, !errkind.RowOf(errkind.Of(err)).NotRun)
		})
	}
}

func TestHandlerContextEndsWhenCallerCancels(t *testing.T) {
	a, b, _ := pair(t)
	entered, left := make(chan struct{}), make(chan struct{})
	Handle(b, KindProbe, func(ctx context.Context, _ Peer, _ *echoRequest) (*echoResponse, error) {
		close(entered)
		<-ctx.Done()
		close(left)
		return nil, ctx.Err()
	})
	ctx, cancel := context.WithCancel(testContext(t))
	go func() {
		<-entered
		cancel()
	}()
	err := echo(ctx, a, b.Address(), "x")
	assert.Equal(t, errkind.Of(err), errkind.OutcomeUnknown)
	<-left
}

func TestHandlerContextHasTheCallersDeadline(t *testing.T) {
	a, b, _ := pair(t)
	Handle(b, KindProbe, func(ctx context.Context, _ Peer, _ *echoRequest) (*echoResponse, error) {
		if _, ok := ctx.Deadline(); !ok {
			return nil, errkind.New(errkind.BadRequest, "no deadline")
		}
		return &echoResponse{}, nil
	})
	assert.NilError(t, echo(testContext(t), a, b.Address(), "x"))
}

func TestPeerClosingDuringACallLeavesTheOutcomeUnknown(t *testing.T) {
	a, b, _ := pair(t)
	entered := make(chan struct{})
	Handle(b, KindProbe, func(ctx context.Context, _ Peer, _ *echoRequest) (*echoResponse, error) {
		close(entered)
		<-ctx.Done()
		return nil, ctx.Err()
	})
	go func() {
		<-entered
		b.Close()
	}()
	err := echo(testContext(t), a, b.Address(), "x")
	assert.Equal(t, errkind.Of(err), errkind.OutcomeUnknown)
}

func TestRestartedPeerIsReachedAtItsOldAddress(t *testing.T) {
	a, b, _ := pair(t)
	handleEcho(b)
	address := b.Address()
	assert.NilError(t, echo(testContext(t), a, address, "x"))
	b.socket.Close() // as in a killed process: nothing is sent
	restarted := listen(t, "b", func(o *Options) { o.Address = address })
	handleEcho(restarted)
	waitFor(t, func() bool {
		ctx, cancel := context.WithTimeout(testContext(t), time.Second)
		defer cancel()
		return echo(ctx, a, address, "x") == nil
	})
}

// failingBody returns the data of r, waits for wait to be closed, and then fails.
type failingBody struct {
	r    io.Reader
	wait chan struct{}
}

var errBody = errors.New("injected failure")

func (f *failingBody) Read(p []byte) (int, error) {
	n, err := f.r.Read(p)
	if err == io.EOF {
		<-f.wait
		err = errBody
	}
	return n, err
}

func TestFailedRequestBodyIsNotReadAsComplete(t *testing.T) {
	a, b, _ := pair(t)
	entered, got := make(chan struct{}), make(chan error, 1)
	HandleExchange(b, KindForward, func(_ context.Context, _ Peer, _ *echoRequest, body io.Reader, _ *Reply) {
		close(entered)
		_, err := io.ReadAll(body)
		got <- err
	})
	body := &failingBody{strings.NewReader("half"), entered}
	_, _, err := OpenExchange[echoRequest, echoResponse](testContext(t), a, b.Address(), KindForward, &echoRequest{}, body)
	assert.Equal(t, errkind.Of(err), errkind.OutcomeUnknown)
	assert.Equal(t, errkind.Of(<-got), errkind.AnswerCutOff)
}

func TestUnfinishedAnswerIsNotReadAsComplete(t *testing.T) {
	for name, end := range map[string]func(*Reply){
		"the handler returns without Close": func(*Reply) {},
		"the handler fails after the head":  func(r *Reply) { r.Fail(errBody) },
		"the handler panics":                func(*Reply) { panic("asked to") },
	} {
		t.Run(name, func(t *testing.T) {
			a, b, _ := pair(t)
			read := make(chan struct{})
			HandleExchange(b, KindForward, func(_ context.Context, _ Peer, _ *echoRequest, _ io.Reader, reply *Reply) {
				reply.Send(&echoResponse{})
				reply.Write([]byte("half"))
				<-read
				end(reply)
			})
			_, r, err := OpenExchange[echoRequest, echoResponse](testContext(t), a, b.Address(), KindForward, &echoRequest{}, nil)
			assert.NilError(t, err)
			_, err = io.ReadFull(r, make([]byte, len("half")))
			assert.NilError(t, err)
			close(read)
			_, err = io.ReadAll(r)
			assert.Equal(t, errkind.Of(err), errkind.AnswerCutOff)
			r.Close()
		})
	}
}

func TestExchangeErrorsKeepTheirKind(t *testing.T) {
	a, b, _ := pair(t)
	HandleExchange(b, KindForward, func(_ context.Context, _ Peer, _ *echoRequest, _ io.Reader, reply *Reply) {
		reply.Fail(errkind.New(errkind.OwnerMoved, "elsewhere"))
	})
	_, _, err := OpenExchange[echoRequest, echoResponse](testContext(t), a, b.Address(), KindForward, &echoRequest{}, strings.NewReader("x"))
	assert.Equal(t, errkind.Of(err), errkind.OwnerMoved)
}

func TestAnswerClosedEarlyStopsTheHandler(t *testing.T) {
	a, b, _ := pair(t)
	stopped := make(chan error, 1)
	HandleExchange(b, KindForward, func(_ context.Context, _ Peer, _ *echoRequest, _ io.Reader, reply *Reply) {
		reply.Send(&echoResponse{})
		for {
			if _, err := reply.Write(make([]byte, chunkSize)); err != nil {
				stopped <- err
				return
			}
		}
	})
	_, r, err := OpenExchange[echoRequest, echoResponse](testContext(t), a, b.Address(), KindForward, &echoRequest{}, nil)
	assert.NilError(t, err)
	r.Close()
	assert.Assert(t, <-stopped != nil)
}

func TestPostsToUnresponsivePeerAreBoundedAndCounted(t *testing.T) {
	registry := prometheus.NewRegistry()
	faults := new(Faults)
	a := listen(t, "a", func(o *Options) { o.Faults, o.Registerer = faults, registry })
	faults.Isolate()
	big := make([]byte, maxQueuedBytes/8)
	frame, err := appendFrame(nil, &big)
	assert.NilError(t, err)
	peer := a.peer("127.0.0.1:1")
	refused := 0
	for range 16 {
		if err := peer.post(queueKey{kind: KindReplica}, frame); err != nil {
			assert.Equal(t, errkind.Of(err), errkind.Overloaded)
			refused++
		}
	}
	assert.Assert(t, refused >= 16-8)
	waitFor(t, func() bool {
		return testutil.ToFloat64(a.metrics.dropped.WithLabelValues("consensus", reasonUnreachable)) > 0
	})
	waitFor(t, func() bool {
		p := a.peer("127.0.0.1:1")
		p.mu.Lock()
		defer p.mu.Unlock()
		return p.queued == queueUsage{}
	})
}

func TestSnapshotsLeaveRoomForConsensusInTheQueue(t *testing.T) {
	faults := new(Faults)
	a := listen(t, "a", func(o *Options) { o.Faults = faults })
	faults.Isolate()
	p := a.peer("127.0.0.1:1")
	p.mu.Lock()
	defer p.mu.Unlock()
	p.queued.bytes = maxQueuedBytes / 2
	assert.Assert(t, !p.hasRoom(ClassSnapshot, 1))
	assert.Assert(t, p.hasRoom(ClassConsensus, 1))
}

// TestPostsAreNeverDuplicatedOrReordered closes connections while increasing
// numbers are posted. Some may be lost; those that arrive must be increasing.
func TestPostsAreNeverDuplicatedOrReordered(t *testing.T) {
	a, b, _ := pair(t)
	const count = 2000
	var last atomic.Int64
	var wrong atomic.Bool
	HandlePost(b, KindReplica, func(_ Peer, n *int64) {
		if *n <= last.Swap(*n) {
			wrong.Store(true)
		}
	})
	next := int64(0)
	post := func() {
		next++
		assert.NilError(t, Post(a, b.Address(), KindReplica, &next))
	}
	for range count {
		if post(); next%100 == 0 {
			for _, c := range a.allConns() {
				c.close(codeClosed, "closed by the test")
			}
		}
	}
	waitFor(t, func() bool {
		post()
		return last.Load() > count
	})
	assert.Assert(t, !wrong.Load())
}

func TestConnectionWithoutMutualTrustIsRefused(t *testing.T) {
	b := listen(t, "b", nil)
	handleEcho(b)
	foreign, err := newLocalTLS()
	assert.NilError(t, err)
	known, err := localTLS()
	assert.NilError(t, err)
	for name, config := range map[string]*tls.Config{
		"neither end trusts the other":                           foreign,
		"the caller presents a certificate of another authority": {Certificates: foreign.Certificates, RootCAs: known.RootCAs},
		"the caller presents no certificate":                     {RootCAs: known.RootCAs},
		"the caller does not trust the peer's authority":         {Certificates: known.Certificates, RootCAs: foreign.RootCAs},
	} {
		t.Run(name, func(t *testing.T) {
			a := listen(t, "a", func(o *Options) { o.TLS = config })
			assert.Equal(t, errkind.Of(echo(testContext(t), a, b.Address(), "x")), errkind.Unreachable)
		})
	}
}

func TestResetKeyIsStableForCertificatesLoadedFromFiles(t *testing.T) {
	fixed, err := localTLS()
	assert.NilError(t, err)
	loaded := &tls.Config{GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
		return &fixed.Certificates[0], nil
	}}
	want := resetKey(fixed, "10.0.0.1:1")
	assert.Assert(t, want != nil)
	assert.DeepEqual(t, resetKey(loaded, "10.0.0.1:1"), want)
	assert.Assert(t, *resetKey(loaded, "10.0.0.2:1") != *want)
	assert.Assert(t, resetKey(&tls.Config{}, "10.0.0.1:1") == nil)
}

// TestExchangeIsCompleteOverADelayedAndLossyLink sends an exchange over a link
// that delays packets by 2 ms and loses 5% of them.
func TestExchangeIsCompleteOverADelayedAndLossyLink(t *testing.T) {
	a, b, faults := pair(t)
	HandleExchange(b, KindForward, func(_ context.Context, _ Peer, _ *echoRequest, body io.Reader, reply *Reply) {
		reply.Send(&echoResponse{})
		if _, err := io.Copy(reply, body); err == nil {
			reply.Close()
		}
	})
	faults.SetDelayAndLoss(2*time.Millisecond, 0.05)
	body := bytes.Repeat([]byte("whole"), 20_000)
	_, r, err := OpenExchange[echoRequest, echoResponse](testContext(t), a, b.Address(), KindForward, &echoRequest{}, bytes.NewReader(body))
	assert.NilError(t, err)
	got, err := io.ReadAll(r)
	assert.NilError(t, err)
	assert.Assert(t, bytes.Equal(got, body))
	r.Close()
}

// A process that loses power closes no connections. With a certificate that is
// only kept in memory, its stateless reset key is lost too.
func TestPostsReachARestartedPeerWithoutAStatelessReset(t *testing.T) {
	a := listen(t, "a", func(o *Options) { o.AcceptAnyCertificate = true })
	b := listen(t, "b", func(o *Options) { o.AcceptAnyCertificate = true })
	handleEcho(a)
	address := b.Address()
	got := make(chan string, 16)
	receive := func(_ Peer, m *echoRequest) { got <- m.Text }
	HandlePost(b, KindReplica, receive)
	assert.NilError(t, Post(a, address, KindReplica, &echoRequest{Text: "before"}))
	assert.Equal(t, <-got, "before")
	b.socket.Close()
	restarted := listen(t, "b", func(o *Options) {
		o.Address, o.AcceptAnyCertificate = address, true
		o.TLS = newOtherLocalTLS(t)
	})
	HandlePost(restarted, KindReplica, receive)
	assert.NilError(t, echo(testContext(t), restarted, a.Address(), "back"))
	waitFor(t, func() bool {
		assert.NilError(t, Post(a, address, KindReplica, &echoRequest{Text: "after"}))
		select {
		case text := <-got:
			return text == "after"
		case <-time.After(idleTimeout / 20):
			return false
		}
	})
	p := a.peer(address)
	p.mu.Lock()
	defer p.mu.Unlock()
	assert.Equal(t, p.conn.remote.Started, restarted.self.Started)
}

// After both ends have dialled at once, messages may use a connection that is
// not the cached one. It must be closed too when the peer has restarted.
func TestConnectionsToEarlierIncarnationsAreClosed(t *testing.T) {
	a := listen(t, "a", func(o *Options) { o.AcceptAnyCertificate = true })
	b := listen(t, "b", func(o *Options) { o.AcceptAnyCertificate = true })
	handleEcho(a)
	handleEcho(b)
	assert.NilError(t, echo(testContext(t), a, b.Address(), "x"))
	old := a.allConns()
	assert.Equal(t, len(old), 1)
	a.peer(b.Address()).dropConn(old[0]) // no longer the cached connection
	address := b.Address()
	b.socket.Close()
	restarted := listen(t, "b", func(o *Options) {
		o.Address, o.AcceptAnyCertificate = address, true
		o.TLS = newOtherLocalTLS(t)
	})
	assert.NilError(t, echo(testContext(t), restarted, a.Address(), "back"))
	ctx, cancel := context.WithTimeout(testContext(t), idleTimeout/2)
	defer cancel()
	select {
	case <-old[0].qc.Context().Done():
	case <-ctx.Done():
		t.Fatal("the connection to the earlier incarnation is still open")
	}
}

// newOtherLocalTLS returns a certificate that no other endpoint of this process
// uses.
func newOtherLocalTLS(t *testing.T) *tls.Config {
	t.Helper()
	conf, err := newLocalTLS()
	assert.NilError(t, err)
	return conf
}
