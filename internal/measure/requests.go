package measure

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/charmbracelet/log"

	"github.com/filbertmast/filbertmast/internal/model"
	"github.com/filbertmast/filbertmast/internal/standin"
)

const (
	requestBytes         = 512
	executorSlots        = 64
	executorReadyTimeout = 30 * time.Second
	requestService       = "service-000"
)

var requestRates = []float64{100, 200, 400, 800}

// requestsPart sends requests through the first two entries. One of them owns
// the only executor, so its series show local requests and the series of the
// other show forwarded ones.
func requestsPart(ctx context.Context, l *loadClient, r *Report) error {
	if len(l.d.Entries) < 2 {
		return fmt.Errorf("the part requests needs at least two entry processes")
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ended, err := l.startExecutor(ctx)
	if err != nil {
		return err
	}
	for _, entry := range l.d.Entries[:2] {
		if err := awaitExecutor(ctx, entry); err != nil {
			return err
		}
	}
	for i, entry := range l.d.Entries[:2] {
		for _, rate := range requestRates {
			if err := l.measureRequests(ctx, r, i, entry, rate); err != nil {
				return err
			}
		}
	}
	cancel()
	return <-ended
}

// startExecutor runs a stand-in executor until ctx ends. The channel receives
// its result.
func (l *loadClient) startExecutor(ctx context.Context) (<-chan error, error) {
	free, err := net.Listen("tcp", loopback+":0")
	if err != nil {
		return nil, err
	}
	address := free.Addr().String()
	free.Close()
	ended := make(chan error, 1)
	go func() {
		ended <- standin.RunExecutor(ctx, standin.ExecutorOptions{
			Entries:     []string{"http://" + l.d.Entries[0].Outer},
			Key:         l.d.Operator,
			Worker:      model.WorkerSpec{ID: "executor", Region: cellRegion, FailureDomain: "selfoss"},
			Listen:      address,
			Service:     requestService,
			Slots:       executorSlots,
			Connections: executorSlots,
			Logger:      log.New(io.Discard),
		})
	}()
	return ended, nil
}

// awaitExecutor waits until a request through an entry succeeds. After
// executorReadyTimeout it returns the last error.
func awaitExecutor(ctx context.Context, entry Process) error {
	deadline := time.Now().Add(executorReadyTimeout)
	for {
		err := request(ctx, entry)
		if err == nil || time.Now().After(deadline) {
			return err
		}
		time.Sleep(pollInterval)
	}
}

// request sends one request of the first team through an entry.
func request(ctx context.Context, entry Process) error {
	url := "http://" + entry.Outer + "/v1/services/" + requestService + "/requests"
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(make([]byte, requestBytes)))
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer "+keyName(0, 0))
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	if resp.StatusCode >= http.StatusBadRequest {
		return fmt.Errorf("status %d: %s", resp.StatusCode, body)
	}
	return nil
}

func (l *loadClient) measureRequests(ctx context.Context, r *Report, i int, entry Process, rate float64) error {
	before, err := usageOf(ctx, entry)
	if err != nil {
		return err
	}
	h := newHistogram()
	began := time.Now()
	took := make(chan time.Duration, int(rate*runTime.Seconds())+1)
	l.runAtRate(ctx, rate, runTime, func(int) {
		sent := time.Now()
		if err := request(ctx, entry); err != nil {
			l.recordFailure(err)
			return
		}
		took <- time.Since(sent)
	})
	length := time.Since(began).Seconds()
	close(took)
	for d := range took {
		if err := h.RecordValue(d.Microseconds()); err != nil {
			return err
		}
	}
	after, err := usageOf(ctx, entry)
	if err != nil {
		return err
	}
	u := after.since(before)
	what := "request a second"
	name := fmt.Sprintf(" through entry%d", i)
	r.add("CPU of the entry"+name, "ms", what, rate, 1e3*u.cpu/length)
	r.add("bytes to processes"+name, "B", what, rate, u.peersSent/length)
	r.add("bytes from processes"+name, "B", what, rate, u.peersReceived/length)
	r.addLatency("request"+name, rate, h)
	return nil
}
