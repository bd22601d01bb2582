package session

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/filbertmast/filbertmast/internal/api"
	"github.com/filbertmast/filbertmast/internal/errkind"
	"github.com/filbertmast/filbertmast/internal/model"
)

func TestReportsShareOneCommitWithSeparateResults(t *testing.T) {
	const workers = 20
	var calls [][]WorkerReports
	b := NewReportBatcher(func(_ context.Context, batch []WorkerReports) ([]error, error) {
		calls = append(calls, batch)
		errs := make([]error, len(batch))
		for i, w := range batch {
			if w.Worker == "7" {
				errs[i] = errkind.New(errkind.StaleLease, "over")
			}
		}
		return errs, nil
	}, time.Hour, workers)
	var wg sync.WaitGroup
	for i := range workers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			err := b.Report(testContext(t), model.WorkerID(fmt.Sprint(i)), 1, []api.Report{report(api.ReportStarted, 5)})
			assert.Check(t, (err != nil) == (i == 7))
		}()
	}
	wg.Wait()
	assert.Equal(t, len(calls), 1)
}

func TestFailedBatchFailsEveryReport(t *testing.T) {
	for name, send := range map[string]SendReports{
		"the call fails": func(context.Context, []WorkerReports) ([]error, error) {
			return nil, errkind.New(errkind.NoLeader, "election")
		},
		"the answer has too few results": func(context.Context, []WorkerReports) ([]error, error) {
			return nil, nil
		},
	} {
		b := NewReportBatcher(send, time.Millisecond, 10)
		assert.Assert(t, b.Report(testContext(t), "w", 1, nil) != nil, name)
	}
}

func TestReportAfterSendJoinsNextBatch(t *testing.T) {
	entered, release := make(chan int, 2), make(chan struct{})
	b := NewReportBatcher(func(_ context.Context, batch []WorkerReports) ([]error, error) {
		entered <- len(batch)
		<-release
		return make([]error, len(batch)), nil
	}, time.Millisecond, 10)
	results := make(chan error, 2)
	send := func() { results <- b.Report(testContext(t), "w", 1, nil) }
	go send()
	assert.Equal(t, <-entered, 1)
	go send()
	assert.Equal(t, <-entered, 1)
	close(release)
	assert.NilError(t, <-results)
	assert.NilError(t, <-results)
}

func TestCancelledCallerDoesNotFailBatch(t *testing.T) {
	entered, release := make(chan struct{}), make(chan struct{})
	b := NewReportBatcher(func(ctx context.Context, batch []WorkerReports) ([]error, error) {
		close(entered)
		<-release
		return make([]error, len(batch)), ctx.Err()
	}, time.Hour, 2)
	ctx, cancel := context.WithCancel(testContext(t))
	cancelled, waiting := make(chan error, 1), make(chan error, 1)
	go func() { cancelled <- b.Report(ctx, "left", 1, nil) }()
	go func() { waiting <- b.Report(testContext(t), "stayed", 1, nil) }()
	<-entered
	cancel()
	assert.Equal(t, errkind.Of(<-cancelled), errkind.DeadlineExceeded)
	close(release)
	assert.NilError(t, <-waiting)
}
