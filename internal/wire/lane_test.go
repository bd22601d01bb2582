package wire

import (
	"bytes"
	"context"
	"testing"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"
	"github.com/quic-go/quic-go"
	"gotest.tools/v3/assert"
)

// Messages that must not wait arrive while the handler of ordered messages of the same
// kind holds these back.
func TestPromptMessagesDoNotWaitForOrderedOnes(t *testing.T) {
	a, b := listen(t, "a", nil), listen(t, "b", nil)
	release := make(chan struct{})
	prompt := make(chan string, 8)
	ordered := make(chan string, 8)
	HandlePost(b, KindReplica, func(from Peer, m *echoRequest) {
		assert.Check(t, from.Address == a.Address())
		if m.Text == "ordered" {
			<-release
			ordered <- m.Text
			return
		}
		prompt <- m.Text
	})
	assert.NilError(t, Post(a, b.Address(), KindReplica, &echoRequest{Text: "ordered"}))
	assert.NilError(t, PostPrompt(a, b.Address(), KindReplica, &echoRequest{Text: "prompt"}))
	assert.Equal(t, <-prompt, "prompt")
	assert.NilError(t, PostDatagram(a, b.Address(), KindReplica, &echoRequest{Text: "datagram"}))
	assert.Equal(t, <-prompt, "datagram")
	close(release)
	assert.Equal(t, <-ordered, "ordered")
}

// The peer answers on the connection on which it was called, so that each lane has one
// connection between two processes.
func TestBothEndsShareTheConnectionOfALane(t *testing.T) {
	a, b := listen(t, "a", nil), listen(t, "b", nil)
	arrived := make(chan Peer, 1)
	for _, e := range []*Endpoint{a, b} {
		HandlePost(e, KindReplica, func(from Peer, _ *echoRequest) { arrived <- from })
	}
	for _, post := range []func(*Endpoint, string, Kind, *echoRequest) error{
		Post[echoRequest], PostPrompt[echoRequest], PostDatagram[echoRequest],
	} {
		assert.NilError(t, post(a, b.Address(), KindReplica, &echoRequest{}))
		assert.Equal(t, (<-arrived).Address, a.Address())
		assert.NilError(t, post(b, a.Address(), KindReplica, &echoRequest{}))
		assert.Equal(t, (<-arrived).Address, b.Address())
	}
	assert.Equal(t, len(a.allConns()), 2)
}

func TestDatagramThatDoesNotFitIsDroppedAndCounted(t *testing.T) {
	reg := prometheus.NewRegistry()
	a, b := listen(t, "a", func(o *Options) { o.Registerer = reg }), listen(t, "b", nil)
	arrived := make(chan string, 1)
	HandlePost(b, KindReplica, func(_ Peer, m *echoRequest) { arrived <- m.Text })
	large := string(bytes.Repeat([]byte("x"), 16<<10))
	assert.NilError(t, PostDatagram(a, b.Address(), KindReplica, &echoRequest{Text: large}))
	assert.NilError(t, PostDatagram(a, b.Address(), KindReplica, &echoRequest{Text: "small"}))
	assert.Equal(t, <-arrived, "small")
	assert.Equal(t, testutil.ToFloat64(a.metrics.dropped.WithLabelValues("consensus", reasonTooLarge)), 1.0)
}

// While no connection can be made, the newest messages wait for it.
func TestOldestDatagramsAreDroppedFirst(t *testing.T) {
	a := listen(t, "a", nil)
	p := a.peerOf(peerKey{address: "127.0.0.1:1", lane: lanePrompt})
	key := queueKey{kind: KindReplica, datagram: true}
	p.postQueues[key] = &postQueue{p: p, queueKey: key, running: true} // nothing is sent
	for i := range byte(maxQueuedDatagrams + 5) {
		assert.NilError(t, p.post(key, []byte{i}))
	}
	q := p.postQueues[key]
	assert.Equal(t, len(q.queue), maxQueuedDatagrams)
	assert.Equal(t, q.queue[0].frame[0], byte(5))
	assert.DeepEqual(t, []int{p.queued.count, p.queued.bytes}, []int{maxQueuedDatagrams, maxQueuedDatagrams})
}

func TestParseDatagram(t *testing.T) {
	head := preface{mode: modePost, kind: KindReplica}.append(nil)
	whole := append(bytes.Clone(head), 0, 0, 0, 1, 'x', 0, 0, 0, 0)
	p, frames, err := parseDatagram(whole)
	assert.NilError(t, err)
	assert.Equal(t, p.kind, KindReplica)
	assert.DeepEqual(t, frames, [][]byte{{'x'}, {}})
	for name, b := range map[string][]byte{
		"shorter than a preface":  head[:prefaceLength-1],
		"a call":                  preface{mode: modeCall, kind: KindProbe}.append(nil),
		"a cut-off length":        append(bytes.Clone(head), 0, 0),
		"a cut-off frame":         append(bytes.Clone(head), 0, 0, 0, 2, 'x'),
		"a length beyond any int": append(bytes.Clone(head), 255, 255, 255, 255, 'x'),
	} {
		_, _, err := parseDatagram(b)
		assert.Assert(t, err != nil, name)
	}
}

// olderProcess serves one connection as a process does that knows neither lanes nor
// datagrams. It passes on the messages of one stream.
func olderProcess(t *testing.T) (address string, messages <-chan string) {
	t.Helper()
	conf, err := localTLS()
	assert.NilError(t, err)
	l, err := quic.ListenAddr("127.0.0.1:0", serverTLS(conf, false), &quic.Config{})
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(testContext(t))
	out := make(chan string, 8)
	served := make(chan error, 1)
	go func() { served <- serveOlder(ctx, l, out) }()
	t.Cleanup(func() {
		cancel()
		t.Log(<-served)
		assert.NilError(t, l.Close())
	})
	return l.Addr().String(), out
}

func serveOlder(ctx context.Context, l *quic.Listener, out chan<- string) error {
	qc, err := l.Accept(ctx)
	if err != nil {
		return err
	}
	defer context.AfterFunc(ctx, func() { qc.CloseWithError(0, "") })()
	control, err := qc.AcceptStream(ctx)
	if err != nil {
		return err
	}
	if _, err := readPreface(control); err != nil {
		return err
	}
	if b, err := readFrame(control); err != nil {
		return err
	} else if _, err := decode[Peer](b); err != nil {
		return err
	}
	b, err := appendFrame(nil, &Peer{Name: "older", Address: l.Addr().String(), Region: "south"})
	if err != nil {
		return err
	}
	if _, err := control.Write(b); err != nil {
		return err
	}
	s, err := qc.AcceptUniStream(ctx)
	if err != nil {
		return err
	}
	if _, err := readPreface(s); err != nil {
		return err
	}
	for {
		b, err := readFrame(s)
		if err != nil {
			return err
		}
		m, err := decode[echoRequest](b)
		if err != nil {
			return err
		}
		out <- m.Text
	}
}

// A process that knows neither lanes nor datagrams receives prompt messages, and the
// datagrams for it are dropped and counted.
func TestOlderProcessReceivesPromptMessages(t *testing.T) {
	a := listen(t, "a", func(o *Options) { o.Registerer = prometheus.NewRegistry() })
	address, messages := olderProcess(t)
	assert.NilError(t, PostDatagram(a, address, KindReplica, &echoRequest{Text: "datagram"}))
	waitFor(t, func() bool {
		return testutil.ToFloat64(a.metrics.dropped.WithLabelValues("consensus", reasonWriteFailed)) == 1
	})
	assert.NilError(t, PostPrompt(a, address, KindReplica, &echoRequest{Text: "prompt"}))
	assert.Equal(t, <-messages, "prompt")
}

// Guards against messages of the replicated log that wait behind calls to workers.
func TestOrderedMessagesDoNotShareConnectionWithBulk(t *testing.T) {
	a, b := listen(t, "a", nil), listen(t, "b", nil)
	received := make(chan string, 2)
	HandlePost(b, KindReplica, func(_ Peer, m *echoRequest) { received <- m.Text })
	assert.NilError(t, Post(a, b.Address(), KindReplica, &echoRequest{Text: "x"}))
	assert.NilError(t, PostBulk(a, b.Address(), KindReplica, &echoRequest{Text: "x"}))
	<-received
	<-received
	lanes := map[lane]int{}
	for _, c := range a.allConns() {
		lanes[c.lane]++
	}
	assert.DeepEqual(t, lanes, map[lane]int{laneMain: 1, laneBulk: 1})
}
