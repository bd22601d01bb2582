package client

import (
	"context"
	"encoding/json"
	"io"
	"log"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/filbertmast/filbertmast/internal/api"
	"github.com/filbertmast/filbertmast/internal/errkind"
	"github.com/filbertmast/filbertmast/internal/model"
)

// fakeEntry is an entry process that answers with a list of handlers and records the
// requests.
type fakeEntry struct {
	*httptest.Server
	mu       sync.Mutex
	received []*http.Request
	handlers []http.HandlerFunc // the last one handles all further requests
}

func newFakeEntry(t *testing.T, steps ...http.HandlerFunc) *fakeEntry {
	t.Helper()
	e := &fakeEntry{handlers: steps}
	e.Server = httptest.NewServer(http.HandlerFunc(e.serve))
	t.Cleanup(e.Close)
	return e
}

func (e *fakeEntry) serve(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	r.Body = io.NopCloser(strings.NewReader(string(body)))
	e.mu.Lock()
	step := e.handlers[min(len(e.received), len(e.handlers)-1)]
	e.received = append(e.received, r)
	e.mu.Unlock()
	step(w, r)
}

func (e *fakeEntry) calls() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.received)
}

func answer(v any) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) { _ = json.NewEncoder(w).Encode(v) }
}

func refuse(k errkind.Kind) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(api.HeaderError, string(k))
		w.WriteHeader(errkind.RowOf(k).Status)
		_ = json.NewEncoder(w).Encode(errkind.BodyOf(errkind.New(k, "refused"), "r-1"))
	}
}

// closeConnection closes the connection after the request has been read.
func closeConnection(w http.ResponseWriter, _ *http.Request) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err == nil {
		_ = conn.Close()
	}
}

// truncate sends less than its Content-Length.
func truncate(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Length", "100")
	_, _ = io.WriteString(w, `{"id":`)
}

// newClient returns a client without jitter that records its delays in waits instead
// of sleeping.
func newClient(t *testing.T, waits *[]time.Duration, addresses ...string) *Client {
	t.Helper()
	c, err := New(Options{Addresses: addresses, Key: "fmk_secret"})
	assert.NilError(t, err)
	c.jitter = func(d time.Duration) time.Duration { return d }
	c.sleep = func(ctx context.Context, d time.Duration) error {
		if waits != nil {
			*waits = append(*waits, d)
		}
		return ctx.Err()
	}
	return c
}

func TestOnlyNotRunKindsWithRetryAfterAreRetried(t *testing.T) {
	for _, k := range errkind.Kinds() {
		row := errkind.RowOf(k)
		e := newFakeEntry(t, refuse(k), answer(api.JobView{ID: 7}))
		view, err := newClient(t, nil, e.URL).Submit(t.Context(), model.JobSpec{Name: "a"}, "")
		if row.NotRun && row.RetryAfter > 0 {
			assert.NilError(t, err, "kind %s", k)
			assert.Equal(t, view.ID, model.JobID(7))
			assert.Equal(t, e.calls(), 2, "kind %s", k)
			continue
		}
		assert.Equal(t, errkind.Of(err), k)
		assert.Equal(t, e.calls(), 1, "kind %s", k)
	}
}

func TestRetryKeepsIdempotencyKeyAndBody(t *testing.T) {
	e := newFakeEntry(t, closeConnection, truncate, refuse(errkind.NoLeader), answer(api.JobView{ID: 7}))
	_, err := newClient(t, nil, e.URL).Submit(t.Context(), model.JobSpec{Name: "rows"}, "")
	assert.NilError(t, err)
	assert.Equal(t, e.calls(), 4)
	key := e.received[0].Header.Get(api.HeaderIdempotencyKey)
	assert.Assert(t, key != "")
	for _, r := range e.received {
		assert.Equal(t, r.Header.Get(api.HeaderIdempotencyKey), key)
		assert.Equal(t, r.Header.Get("Authorization"), "Bearer fmk_secret")
		var spec model.JobSpec
		assert.NilError(t, json.NewDecoder(r.Body).Decode(&spec))
		assert.Equal(t, spec.Name, "rows")
	}
}

func TestEachSubmissionHasOwnIdempotencyKey(t *testing.T) {
	e := newFakeEntry(t, answer(api.JobView{}))
	c := newClient(t, nil, e.URL)
	for range 2 {
		_, err := c.Submit(t.Context(), model.JobSpec{}, "")
		assert.NilError(t, err)
	}
	assert.Assert(t, e.received[0].Header.Get(api.HeaderIdempotencyKey) != e.received[1].Header.Get(api.HeaderIdempotencyKey))
}

func TestBackoffDoublesAndHonorsRetryAfter(t *testing.T) {
	var waits []time.Duration
	e := newFakeEntry(t, closeConnection)
	_, err := newClient(t, &waits, e.URL).Status(t.Context())
	assert.Equal(t, errkind.Of(err), errkind.Unreachable)
	ms := func(n int) time.Duration { return time.Duration(n) * time.Millisecond }
	assert.DeepEqual(t, waits, []time.Duration{ms(200), ms(200), ms(400), ms(800), ms(1600)})

	waits = nil
	e = newFakeEntry(t, refuse(errkind.Overloaded), answer(api.Status{}))
	_, err = newClient(t, &waits, e.URL).Status(t.Context())
	assert.NilError(t, err)
	assert.DeepEqual(t, waits, []time.Duration{2 * time.Second})
}

func TestFailoverStaysWithWorkingAddress(t *testing.T) {
	dead := httptest.NewServer(http.NotFoundHandler())
	dead.Close()
	draining := newFakeEntry(t, refuse(errkind.Draining))
	good := newFakeEntry(t, answer(api.Status{Entry: "good"}))
	c := newClient(t, nil, dead.URL, draining.URL, good.URL)
	for range 3 {
		status, err := c.Status(t.Context())
		assert.NilError(t, err)
		assert.Equal(t, status.Entry, "good")
	}
	assert.Equal(t, draining.calls(), 1)
	assert.Equal(t, good.calls(), 3)
}

func TestUnknownOutcomeIsReported(t *testing.T) {
	rows := []struct {
		name string
		step http.HandlerFunc
		want errkind.Kind
	}{
		{"the job may be submitted when the connection is lost after the send", closeConnection, errkind.OutcomeUnknown},
		{"a truncated answer is an error", truncate, errkind.AnswerCutOff},
		{"the job may be submitted when a load balancer returns an error", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusBadGateway) }, errkind.OutcomeUnknown},
		{"a redirect is not followed", func(w http.ResponseWriter, r *http.Request) { http.Redirect(w, r, "/", http.StatusTemporaryRedirect) }, errkind.OutcomeUnknown},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			e := newFakeEntry(t, row.step)
			_, err := newClient(t, nil, e.URL).Submit(t.Context(), model.JobSpec{}, "")
			assert.Equal(t, errkind.Of(err), row.want)
			assert.Equal(t, BodyOf(err).NotRun, false)
			assert.Assert(t, !strings.Contains(err.Error(), "fmk_secret"))
		})
	}
}

func TestNoConnectionMeansNotRun(t *testing.T) {
	dead := httptest.NewServer(http.NotFoundHandler())
	dead.Close()
	_, err := newClient(t, nil, dead.URL).Submit(t.Context(), model.JobSpec{}, "")
	assert.Equal(t, errkind.Of(err), errkind.Unreachable)
	assert.Equal(t, BodyOf(err).NotRun, true)
}

func TestNotRunRequiresEveryAttemptNotRun(t *testing.T) {
	rows := []struct {
		name  string
		steps []http.HandlerFunc
		want  errkind.Kind
	}{
		{"every attempt was rejected", []http.HandlerFunc{refuse(errkind.NoLeader), refuse(errkind.KeyWithdrawn)}, errkind.KeyWithdrawn},
		{"the first attempt may have run", []http.HandlerFunc{closeConnection, refuse(errkind.KeyWithdrawn)}, errkind.OutcomeUnknown},
		{"an attempt in the middle may have run", []http.HandlerFunc{refuse(errkind.Draining), truncate, refuse(errkind.LimitReached)}, errkind.OutcomeUnknown},
		{"the last attempt reports that it may have run", []http.HandlerFunc{closeConnection, refuse(errkind.StillRunning)}, errkind.StillRunning},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			e := newFakeEntry(t, row.steps...)
			_, err := newClient(t, nil, e.URL).Submit(t.Context(), model.JobSpec{}, "")
			assert.Equal(t, errkind.Of(err), row.want)
			assert.Equal(t, BodyOf(err).Kind, row.want)
			assert.Equal(t, BodyOf(err).NotRun, errkind.RowOf(row.want).NotRun)
		})
	}
}

func TestUntrustedCertificateMeansNotRun(t *testing.T) {
	server := httptest.NewUnstartedServer(http.NotFoundHandler())
	server.Config.ErrorLog = log.New(io.Discard, "", 0)
	server.StartTLS()
	t.Cleanup(server.Close)
	_, err := newClient(t, nil, server.URL).Submit(t.Context(), model.JobSpec{}, "")
	assert.Equal(t, errkind.Of(err), errkind.Unreachable)
	assert.ErrorContains(t, err, "certificate")
}

func TestContextCancellationEndsCall(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	e := newFakeEntry(t, func(_ http.ResponseWriter, r *http.Request) {
		cancel()
		<-r.Context().Done()
	})
	_, err := newClient(t, nil, e.URL).Submit(ctx, model.JobSpec{}, "")
	assert.Equal(t, errkind.Of(err), errkind.CallerGone)
	assert.Equal(t, e.calls(), 1)
}

// A hanging process accepts a request and never answers it, while its connection
// stays open. The client must not wait until the caller's context ends.
func TestRequestTimesOutSoonAfterDeadline(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	frozen := newFakeEntry(t, func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
	good := newFakeEntry(t, answer("done"))
	c := newClient(t, nil, frozen.URL, good.URL)
	o := RequestOptions{Deadline: model.Duration(10 * time.Millisecond)}
	_, err := c.Request(ctx, "lookup", o)
	assert.Equal(t, errkind.Of(err), errkind.DeadlineExceeded)
	assert.Equal(t, BodyOf(err).NotRun, false)
	assert.NilError(t, ctx.Err(), "the caller's context must not have ended")
	_, err = c.Request(ctx, "lookup", o)
	assert.NilError(t, err, "the next request must go to the other address")
	assert.Equal(t, frozen.calls(), 1)
}

func TestNoRetryBeyondContextDeadline(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	e := newFakeEntry(t, refuse(errkind.Overloaded)) // retry after 2 s
	_, err := newClient(t, nil, e.URL).Status(ctx)
	assert.Equal(t, errkind.Of(err), errkind.Overloaded)
	assert.Equal(t, e.calls(), 1)
}

func TestExecutorErrorStatusIsPassedThrough(t *testing.T) {
	e := newFakeEntry(t, func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = io.WriteString(w, `{"kind":"overloaded"}`)
	})
	a, err := newClient(t, nil, e.URL).Request(t.Context(), "lookup", RequestOptions{Body: []byte("row 7")})
	assert.NilError(t, err)
	assert.Equal(t, a.Status, http.StatusServiceUnavailable)
	assert.Equal(t, string(a.Body), `{"kind":"overloaded"}`)
	assert.Equal(t, e.calls(), 1)
}

func TestNotRepeatableRequestKeepsKeyAcrossRetries(t *testing.T) {
	e := newFakeEntry(t, closeConnection, answer("done"))
	_, err := newClient(t, nil, e.URL).Request(t.Context(), "a/b", RequestOptions{NotRepeatable: true, Deadline: model.Duration(2 * time.Second)})
	assert.NilError(t, err)
	first, second := e.received[0], e.received[1]
	assert.Equal(t, first.URL.EscapedPath(), "/v1/services/a%2Fb/requests")
	assert.Equal(t, first.Header.Get(api.HeaderRepeatable), "false")
	assert.Equal(t, first.Header.Get(api.HeaderDeadline), "2s")
	assert.Assert(t, first.Header.Get(api.HeaderIdempotencyKey) != "")
	assert.Equal(t, first.Header.Get(api.HeaderIdempotencyKey), second.Header.Get(api.HeaderIdempotencyKey))
}

func TestJobsReadsAllPages(t *testing.T) {
	e := newFakeEntry(t,
		answer(api.JobList{Jobs: []api.JobView{{ID: 1}}, Next: "j-1"}),
		answer(api.JobList{Jobs: []api.JobView{{ID: 2}}}))
	jobs, err := newClient(t, nil, e.URL).Jobs(t.Context(), "zone in (a,b)")
	assert.NilError(t, err)
	assert.Equal(t, len(jobs), 2)
	assert.Equal(t, e.received[1].URL.Query().Get("after"), "j-1")
	assert.Equal(t, e.received[1].URL.Query().Get("selector"), "zone in (a,b)")
}

func TestMalformedAddressesAreRejected(t *testing.T) {
	for _, a := range []string{"", "ftp://x", "http://", "http://u:p@h", "http://h?x=1", "http://[::1"} {
		_, err := New(Options{Addresses: []string{a}})
		assert.Assert(t, err != nil, "%q", a)
	}
	_, err := New(Options{})
	assert.ErrorContains(t, err, "no address")
}
