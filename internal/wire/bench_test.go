package wire

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"strconv"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus/testutil"
)

type sizedRequest struct {
	Body []byte `cbor:"1,keyasint"`
}

func benchPair(b *testing.B) (from, to *Endpoint) {
	from = listen(b, "a", nil)
	to = listen(b, "b", func(o *Options) { o.Region = "north" })
	Handle(to, KindProbe, func(context.Context, Peer, *sizedRequest) (*echoResponse, error) {
		return &echoResponse{}, nil
	})
	return from, to
}

// reportBytes reports the bytes of messages and of QUIC packets per operation, in
// both directions.
func reportBytes(b *testing.B, e *Endpoint) {
	for _, c := range e.allConns() {
		c.countPackets()
	}
	messages, packets := 0.0, 0.0
	for _, d := range []string{sent, received} {
		messages += testutil.ToFloat64(e.metrics.bytes.WithLabelValues("consensus", d, "south", "north"))
		messages += testutil.ToFloat64(e.metrics.bytes.WithLabelValues("request", d, "south", "north"))
		packets += testutil.ToFloat64(e.metrics.packetBytes.WithLabelValues(d, "south", "north"))
	}
	b.ReportMetric(messages/float64(b.N), "message-B/op")
	b.ReportMetric(packets/float64(b.N), "packet-B/op")
}

// BenchmarkCall measures sequential calls by request size in bytes.
func BenchmarkCall(b *testing.B) {
	for _, size := range []int{0, 1000, 10_000, 100_000} {
		b.Run(strconv.Itoa(size), func(b *testing.B) {
			from, to := benchPair(b)
			req := &sizedRequest{Body: make([]byte, size)}
			ctx := context.Background()
			b.ReportAllocs()
			for b.Loop() {
				if _, err := Call[sizedRequest, echoResponse](ctx, from, to.Address(), KindProbe, req); err != nil {
					b.Fatal(err)
				}
			}
			reportBytes(b, from)
		})
	}
}

// BenchmarkCallsAtOnce measures small calls with a parallelism of 64.
func BenchmarkCallsAtOnce(b *testing.B) {
	from, to := benchPair(b)
	ctx := context.Background()
	b.SetParallelism(64)
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			if _, err := Call[sizedRequest, echoResponse](ctx, from, to.Address(), KindProbe, &sizedRequest{}); err != nil {
				b.Error(err)
				return
			}
		}
	})
	reportBytes(b, from)
}

// BenchmarkPost measures one-way messages of 100 bytes until all have arrived.
func BenchmarkPost(b *testing.B) {
	from, to := benchPair(b)
	done := make(chan struct{})
	n := 0
	HandlePost(to, KindReplica, func(_ Peer, _ *sizedRequest) {
		if n++; n == b.N {
			close(done)
		}
	})
	req := &sizedRequest{Body: make([]byte, 100)}
	b.ResetTimer()
	for range b.N {
		for Post(from, to.Address(), KindReplica, req) != nil {
			b.StopTimer() // the queue is full; wait until it is empty
			waitFor(b, func() bool { return from.peer(to.Address()).queueEmpty() })
			b.StartTimer()
		}
	}
	<-done
	reportBytes(b, from)
}

func (p *peer) queueEmpty() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.queued.count == 0
}

// BenchmarkExchange measures one exchange with a body of 1 MiB in each direction.
func BenchmarkExchange(b *testing.B) {
	const size = 1 << 20
	from, to := benchPair(b)
	handleEchoBody(to)
	b.SetBytes(2 * size)
	for b.Loop() {
		exchangeOnce(b, from, to.Address(), size)
	}
	reportBytes(b, from)
}

// BenchmarkBetweenRegions measures a small call, and an exchange with a body of
// 100 kB in each direction, over a link with a round-trip time of 20 ms, without
// packet loss and with 1% loss in each direction.
func BenchmarkBetweenRegions(b *testing.B) {
	const oneWay = 10 * time.Millisecond
	for _, loss := range []float64{0, 0.01} {
		near, far := new(Faults), new(Faults)
		from := listen(b, "a", func(o *Options) { o.Faults = near })
		to := listen(b, "b", func(o *Options) { o.Faults = far })
		handleEcho(to)
		handleEchoBody(to)
		near.SetDelayAndLoss(oneWay, loss)
		far.SetDelayAndLoss(oneWay, loss)
		b.Run(fmt.Sprintf("call/loss=%v", loss), func(b *testing.B) {
			for b.Loop() {
				if err := echo(testContext(b), from, to.Address(), "x"); err != nil {
					b.Fatal(err)
				}
			}
		})
		b.Run(fmt.Sprintf("exchange/loss=%v", loss), func(b *testing.B) {
			for b.Loop() {
				exchangeOnce(b, from, to.Address(), 100_000)
			}
		})
	}
}

func handleEchoBody(e *Endpoint) {
	HandleExchange(e, KindForward, func(_ context.Context, _ Peer, _ *echoRequest, body io.Reader, reply *Reply) {
		reply.Send(&echoResponse{})
		if _, err := io.Copy(reply, body); err == nil {
			reply.Close()
		}
	})
}

func exchangeOnce(b *testing.B, from *Endpoint, to string, size int) {
	body := bytes.NewReader(make([]byte, size))
	_, r, err := OpenExchange[echoRequest, echoResponse](context.Background(), from, to, KindForward, &echoRequest{}, body)
	if err != nil {
		b.Fatal(err)
	}
	defer r.Close()
	if n, err := io.Copy(io.Discard, r); err != nil || n != int64(size) {
		b.Fatal(n, err)
	}
}
