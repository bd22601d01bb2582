package wire

import (
	"bytes"
	"context"
	"io"
	"sync"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/prometheus/client_golang/prometheus"
	"gotest.tools/v3/assert"

	"github.com/filbertmast/filbertmast/internal/errkind"
)

const testTimeout = 30 * time.Second

type echoRequest struct {
	Text string `cbor:"1,keyasint"`
}

type echoResponse struct {
	Text string `cbor:"1,keyasint"`
	From Peer   `cbor:"2,keyasint"`
}

func quiet() *log.Logger { return log.New(io.Discard) }

func listen(t testing.TB, name string, change func(*Options)) *Endpoint {
	t.Helper()
	o := Options{
		Address: "127.0.0.1:0", Name: name, Region: "south", FailureDomain: "selfoss",
		Logger: quiet(), Registerer: prometheus.NewRegistry(),
	}
	if change != nil {
		change(&o)
	}
	e, err := Listen(o)
	assert.NilError(t, err)
	t.Cleanup(func() { e.Close() })
	return e
}

func testContext(t testing.TB) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(cancel)
	return ctx
}

func handleEcho(e *Endpoint) {
	Handle(e, KindProbe, func(_ context.Context, from Peer, req *echoRequest) (*echoResponse, error) {
		if req.Text == "panic" {
			panic("asked to")
		}
		if req.Text == "refuse" {
			return nil, errkind.New(errkind.LimitReached, "no")
		}
		return &echoResponse{Text: req.Text, From: from}, nil
	})
}

func TestCallReturnsTheAnswerAndIdentifiesTheCaller(t *testing.T) {
	a, b := listen(t, "a", nil), listen(t, "b", nil)
	handleEcho(b)
	got, err := Call[echoRequest, echoResponse](testContext(t), a, b.Address(), KindProbe, &echoRequest{Text: "hi"})
	assert.NilError(t, err)
	assert.DeepEqual(t, *got, echoResponse{Text: "hi", From: a.Self()})
}

func TestOneConnectionServesCallsInBothDirections(t *testing.T) {
	a, b := listen(t, "a", nil), listen(t, "b", nil)
	handleEcho(a)
	handleEcho(b)
	ctx := testContext(t)
	_, err := Call[echoRequest, echoResponse](ctx, a, b.Address(), KindProbe, &echoRequest{Text: "x"})
	assert.NilError(t, err)
	_, err = Call[echoRequest, echoResponse](ctx, b, a.Address(), KindProbe, &echoRequest{Text: "y"})
	assert.NilError(t, err)
	assert.Equal(t, len(a.allConns()), 1)
	assert.Equal(t, len(b.allConns()), 1)
}

func TestCallErrorsKeepTheirKind(t *testing.T) {
	a, b := listen(t, "a", nil), listen(t, "b", nil)
	handleEcho(b)
	for name, row := range map[string]struct {
		text string
		kind Kind
		want errkind.Kind
	}{
		"a handler's error keeps its kind":                   {"refuse", KindProbe, errkind.LimitReached},
		"a handler's panic is an internal error":             {"panic", KindProbe, errkind.Internal},
		"a kind that the peer does not serve is unreachable": {"x", Kind(999), errkind.Unreachable},
	} {
		for _, to := range []string{b.Address()} {
			_, err := Call[echoRequest, echoResponse](testContext(t), a, to, row.kind, &echoRequest{Text: row.text})
			assert.Equal(t, errkind.Of(err), row.want, name)
		}
	}
}

func TestCallToOwnAddressRunsTheHandler(t *testing.T) {
	a := listen(t, "a", nil)
	handleEcho(a)
	got, err := Call[echoRequest, echoResponse](testContext(t), a, a.Address(), KindProbe, &echoRequest{Text: "me"})
	assert.NilError(t, err)
	assert.Equal(t, got.Text, "me")
	_, err = Call[echoRequest, echoResponse](testContext(t), a, a.Address(), KindProbe, &echoRequest{Text: "refuse"})
	assert.Equal(t, errkind.Of(err), errkind.LimitReached)
}

func TestPostsOfOnePeerArriveInOrder(t *testing.T) {
	a, b := listen(t, "a", nil), listen(t, "b", nil)
	const count = 5000
	done := make(chan []int, 1)
	var got []int
	HandlePost(b, KindReplica, func(_ Peer, n *int) {
		got = append(got, *n)
		if len(got) == count {
			done <- got
		}
	})
	for i := range count {
		assert.NilError(t, Post(a, b.Address(), KindReplica, &i))
	}
	select {
	case all := <-done:
		for i, n := range all {
			assert.Equal(t, n, i)
		}
	case <-testContext(t).Done():
		t.Fatal("posts did not arrive")
	}
}

func TestExchangeStreamsBodiesInBothDirections(t *testing.T) {
	a, b := listen(t, "a", nil), listen(t, "b", nil)
	HandleExchange(b, KindForward, func(_ context.Context, _ Peer, head *echoRequest, body io.Reader, reply *Reply) {
		if err := reply.Send(&echoResponse{Text: head.Text}); err != nil {
			return
		}
		if _, err := io.Copy(reply, body); err != nil {
			return
		}
		reply.Close()
	})
	for _, to := range []*Endpoint{b} {
		for _, size := range []int{0, 1, chunkSize, chunkSize + 1, 3 << 20} {
			body := bytes.Repeat([]byte{7}, size)
			head, r, err := OpenExchange[echoRequest, echoResponse](testContext(t), a, to.Address(), KindForward, &echoRequest{Text: "h"}, bytes.NewReader(body))
			assert.NilError(t, err)
			assert.Equal(t, head.Text, "h")
			got, err := io.ReadAll(r)
			assert.NilError(t, err)
			assert.Assert(t, bytes.Equal(got, body), "size %d", size)
			assert.NilError(t, r.Close())
		}
	}
}

func TestExchangeWithOwnAddress(t *testing.T) {
	a := listen(t, "a", nil)
	HandleExchange(a, KindForward, func(_ context.Context, _ Peer, head *echoRequest, body io.Reader, reply *Reply) {
		b, err := io.ReadAll(body)
		if err != nil {
			return
		}
		reply.Send(&echoResponse{Text: head.Text})
		reply.Write(b)
		reply.Close()
	})
	_, r, err := OpenExchange[echoRequest, echoResponse](testContext(t), a, a.Address(), KindForward, &echoRequest{}, bytes.NewReader([]byte("self")))
	assert.NilError(t, err)
	got, err := io.ReadAll(r)
	assert.NilError(t, err)
	assert.Equal(t, string(got), "self")
	r.Close()
}

func TestDrainWaitsForOpenCalls(t *testing.T) {
	a, b := listen(t, "a", nil), listen(t, "b", nil)
	entered, release := make(chan struct{}), make(chan struct{})
	Handle(b, KindProbe, func(context.Context, Peer, *echoRequest) (*echoResponse, error) {
		close(entered)
		<-release
		return &echoResponse{Text: "late"}, nil
	})
	ctx := testContext(t)
	var wg sync.WaitGroup
	wg.Add(1)
	go func() {
		defer wg.Done()
		got, err := Call[echoRequest, echoResponse](ctx, a, b.Address(), KindProbe, &echoRequest{})
		assert.Check(t, err == nil)
		assert.Check(t, got != nil && got.Text == "late")
	}()
	<-entered
	drained := make(chan error, 1)
	go func() { drained <- b.Drain(ctx) }()
	waitFor(t, func() bool { return len(a.allConns()) == 1 && !a.allConns()[0].usable() })
	close(release)
	wg.Wait()
	assert.NilError(t, <-drained)
	_, err := Call[echoRequest, echoResponse](ctx, a, b.Address(), KindProbe, &echoRequest{})
	assert.Equal(t, errkind.Of(err), errkind.Unreachable)
}

// waitFor polls until cond returns true, and fails the test after testTimeout.
func waitFor(t testing.TB, cond func() bool) {
	t.Helper()
	ctx := testContext(t)
	tick := time.NewTicker(time.Millisecond)
	defer tick.Stop()
	for !cond() {
		select {
		case <-ctx.Done():
			t.Fatal("condition was not met before the timeout")
		case <-tick.C:
		}
	}
}

// Guards against a message that is sent and that no receiver can read.
func TestStringsThatAreNotUTF8ArriveAsTheyWereSent(t *testing.T) {
	type message struct {
		Text string `cbor:"1,keyasint"`
	}
	frame, err := appendFrame(nil, &message{"\xff\xfe"})
	assert.NilError(t, err)
	got, err := decode[message](frame[frameHeader:])
	assert.NilError(t, err)
	assert.Equal(t, got.Text, "\xff\xfe")
}

// Guards against calls whose bookkeeping costs as many packets as the calls themselves.
func TestCallsCostFewPackets(t *testing.T) {
	const (
		calls      = 100
		maxPackets = 3 // of a call: the request, the answer and acknowledgements
	)
	a, b := listen(t, "a", nil), listen(t, "b", nil)
	handleEcho(b)
	assert.NilError(t, echo(t.Context(), a, b.Address(), "x"))
	before := packetsSent(a) + packetsSent(b)
	for range calls {
		assert.NilError(t, echo(t.Context(), a, b.Address(), "x"))
	}
	sent := packetsSent(a) + packetsSent(b) - before
	assert.Assert(t, sent <= maxPackets*calls, "%d packets for %d calls", sent, calls)
}

// packetsSent returns the packets that an endpoint has sent on its open connections.
func packetsSent(e *Endpoint) (n uint64) {
	for _, c := range e.allConns() {
		n += c.qc.ConnectionStats().PacketsSent
	}
	return n
}

// Guards against a peer that opens calls without end.
func TestCallsBeyondLimitOfConnectionAreRefusedUnread(t *testing.T) {
	a, b := listen(t, "a", nil), listen(t, "b", nil)
	handleEcho(b)
	assert.NilError(t, echo(t.Context(), a, b.Address(), "x"))
	for _, c := range b.allConns() {
		c.served.Add(maxStreams)
	}
	assert.Equal(t, errkind.Of(echo(t.Context(), a, b.Address(), "x")), errkind.Unreachable)
	for _, c := range b.allConns() {
		c.served.Add(-maxStreams)
	}
	assert.NilError(t, echo(t.Context(), a, b.Address(), "x"))
}
