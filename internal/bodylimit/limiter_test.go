package bodylimit

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/prometheus/client_golang/prometheus"
	"gotest.tools/v3/assert"

	"github.com/filbertmast/filbertmast/internal/errkind"
	"github.com/filbertmast/filbertmast/internal/testwait"
)

const testTimeout = 30 * time.Second

// newServer returns a server that reads bodies of callers of at most max bytes through a
// limiter, and responds with the size of the body or with the kind of the error.
func newServer(t *testing.T, o Options, max int64) (*Limiter, *httptest.Server) {
	t.Helper()
	o.Registerer, o.Logger = prometheus.NewRegistry(), log.New(io.Discard)
	l := New(o)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := l.Open(Callers, w, r, max)
		if err == nil {
			defer body.Release()
			var text []byte
			if text, err = body.ReadAll(); err == nil {
				fmt.Fprint(w, len(text))
				return
			}
		}
		w.WriteHeader(errkind.RowOf(errkind.Of(err)).Status)
		fmt.Fprint(w, errkind.Of(err))
	}))
	t.Cleanup(s.Close)
	return l, s
}

// stall opens a connection and sends n bytes of a body whose declared length is larger.
func stall(t *testing.T, s *httptest.Server, declared, n int) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", s.Listener.Addr().String())
	assert.NilError(t, err)
	t.Cleanup(func() { c.Close() })
	_, err = fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s", declared, strings.Repeat("x", n))
	assert.NilError(t, err)
	return c
}

// response reads the response on a connection, and whether the server closes it afterwards.
func response(t *testing.T, c net.Conn) (status int, text string, closed bool) {
	t.Helper()
	assert.NilError(t, c.SetReadDeadline(time.Now().Add(testTimeout)))
	r := bufio.NewReader(c)
	resp, err := http.ReadResponse(r, nil)
	assert.NilError(t, err)
	body, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	return resp.StatusCode, string(body), resp.Close
}

func post(t *testing.T, s *httptest.Server, body io.Reader) (int, string) {
	t.Helper()
	resp, err := http.Post(s.URL, "text/plain", body)
	assert.NilError(t, err)
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	return resp.StatusCode, string(text)
}

func (l *Limiter) awaitHeld(t *testing.T, least int64) {
	t.Helper()
	testwait.Until(t, testTimeout, "held bytes", func() error {
		if n := l.held(Callers); n < least {
			return fmt.Errorf("%d", n)
		}
		return nil
	})
}

// Bodies of every size up to the limit must arrive unchanged, declared and chunked, and return
// their bytes to the budget.
func TestBodiesArriveWhole(t *testing.T) {
	const max = 1 << 20
	l, s := newServer(t, Options{Budgets: map[Class]int64{Callers: 2*max + 2}}, max)
	for _, n := range []int{0, 1, 500, firstBuffer - 1, firstBuffer, firstBuffer + 1, 70_000, max - 1, max} {
		for _, declared := range []bool{true, false} {
			var body io.Reader = bytes.NewReader(make([]byte, n))
			if !declared {
				body = io.MultiReader(body)
			}
			status, text := post(t, s, body)
			assert.Equal(t, status, http.StatusOK, "%d bytes", n)
			assert.Equal(t, text, fmt.Sprint(n))
		}
	}
	for _, body := range []io.Reader{bytes.NewReader(make([]byte, max+1)), io.MultiReader(bytes.NewReader(make([]byte, max+1)))} {
		status, text := post(t, s, body)
		assert.Equal(t, status, http.StatusRequestEntityTooLarge)
		assert.Equal(t, text, string(errkind.BodyTooLarge))
	}
	testwait.Until(t, testTimeout, "an empty budget", func() error {
		if n := l.held(Callers); n != 0 {
			return fmt.Errorf("%d bytes are held", n)
		}
		return nil
	})
}

// A declared length must cost nothing before its bytes arrive.
func TestDeclaredLengthIsNotAllocated(t *testing.T) {
	const max = 1 << 20
	l, s := newServer(t, Options{Budgets: map[Class]int64{Callers: 2*max + 2}}, max)
	stall(t, s, max, 100_000)
	l.awaitHeld(t, 100_000-freeBytes)
	assert.Assert(t, l.held(Callers) < 300_000, "%d", l.held(Callers))
}

// While bodies hold the whole budget, an ordinary body must be served at once, a large one is
// refused as not run while they may still be ordinary, and then replaces the oldest, which gets
// a response and loses its connection.
func TestFullBudget(t *testing.T) {
	const max = 200_000
	l, s := newServer(t, Options{Budgets: map[Class]int64{Callers: 2 * max}}, max)
	stalled := stall(t, s, max, max-1)
	l.awaitHeld(t, max-freeBytes)
	begun := time.Now()
	status, _ := post(t, s, strings.NewReader(strings.Repeat("x", 500)))
	assert.Equal(t, status, http.StatusOK)
	status, text := post(t, s, bytes.NewReader(make([]byte, max)))
	if time.Since(begun) < ordinaryTime/2 {
		assert.Equal(t, status, errkind.RowOf(errkind.Overloaded).Status)
		assert.Equal(t, text, string(errkind.Overloaded))
	}
	time.Sleep(ordinaryTime + 100*time.Millisecond)
	status, _ = post(t, s, bytes.NewReader(make([]byte, 150_000)))
	assert.Equal(t, status, http.StatusOK)
	status, text, closed := response(t, stalled)
	assert.Equal(t, status, errkind.RowOf(errkind.Overloaded).Status)
	assert.Equal(t, text, string(errkind.Overloaded))
	assert.Assert(t, closed)
}

// A body that stops must not keep its connection until the read timeout.
func TestSlowBodyIsRefused(t *testing.T) {
	_, s := newServer(t, Options{Budgets: map[Class]int64{Callers: 1 << 20}, MinRate: 1000, Grace: 100 * time.Millisecond}, 1<<20)
	status, text, closed := response(t, stall(t, s, 1000, 10))
	assert.Equal(t, status, http.StatusBadRequest)
	assert.Equal(t, text, string(errkind.BadRequest))
	assert.Assert(t, closed)
}

// A body that is passed on must be charged for what the reader keeps, and be complete.
func TestStreamedBody(t *testing.T) {
	const size, held = 500_000, 100_000
	registry := prometheus.NewRegistry()
	l := New(Options{Budgets: map[Class]int64{Callers: 1 << 20}, Registerer: registry, Logger: log.New(io.Discard)})
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := l.Stream(Callers, w, r, size, held)
		assert.NilError(t, err)
		n, err := io.Copy(io.Discard, body)
		assert.NilError(t, err)
		assert.Assert(t, l.held(Callers) <= 2*held)
		assert.Assert(t, l.held(Callers) >= held)
		body.Release()
		fmt.Fprint(w, n)
	}))
	defer s.Close()
	_, text := post(t, s, bytes.NewReader(make([]byte, size)))
	assert.Equal(t, text, fmt.Sprint(size))
	assert.Equal(t, l.held(Callers), int64(0))
}

// What a body is decoded into must be charged, since it can take a hundred times its bytes, and
// no body may be refused for it while there is no other.
func TestDecodingIsCharged(t *testing.T) {
	const limit = 1 << 20
	l := New(Options{Budgets: map[Class]int64{Callers: limit}, Registerer: prometheus.NewRegistry(), Logger: log.New(io.Discard)})
	decode := func(text string, fn func() error) error {
		r := httptest.NewRequest(http.MethodPost, "/", strings.NewReader(text))
		b, err := l.Open(Callers, httptest.NewRecorder(), r, limit)
		assert.NilError(t, err)
		defer b.Release()
		data, err := b.ReadAll()
		assert.NilError(t, err)
		before := l.held(Callers)
		err = b.Decode(data, fn)
		if err == nil {
			assert.Equal(t, l.held(Callers), before, "charged only while it is decoded")
		}
		return err
	}
	none := func() error { return nil }
	for _, many := range []string{"[" + strings.Repeat("{},", 50_000) + "{}]", "[" + strings.Repeat("0,", 70_000) + "0]"} {
		assert.NilError(t, decode(many, func() error {
			assert.Assert(t, l.held(Callers) >= limit/2-freeBytes)
			assert.NilError(t, decode(`{"a":{}}`, none))
			return decode(many, func() error {
				err := decode(strings.Repeat("{}", freeElements+1), none)
				assert.Assert(t, errkind.Is(err, errkind.Overloaded), "%v", err)
				return nil
			})
		}))
	}
	assert.Equal(t, l.held(Callers), int64(0))
}

// Clients that do not read their responses must lose them to others, one at a time.
func TestUnreadResponsesStayWithinBudget(t *testing.T) {
	const size, budget = 32 << 20, 48 << 20
	l := New(Options{Budgets: map[Class]int64{Callers: budget}, Registerer: prometheus.NewRegistry(), Logger: log.New(io.Discard)})
	ended := make(chan error, 1)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		held, err := l.Hold(Callers, w, size)
		if err != nil {
			w.WriteHeader(errkind.RowOf(errkind.Of(err)).Status)
			return
		}
		defer held.Release()
		_, err = w.Write(make([]byte, size))
		if r.URL.Path == "/unread" {
			ended <- err
		}
	}))
	defer s.Close()
	c, err := net.Dial("tcp", s.Listener.Addr().String())
	assert.NilError(t, err)
	defer c.Close()
	_, err = io.WriteString(c, "GET /unread HTTP/1.1\r\nHost: a\r\n\r\n")
	assert.NilError(t, err)
	l.awaitHeld(t, size-freeBytes)
	testwait.Until(t, testTimeout, "a response", func() error {
		resp, err := http.Get(s.URL)
		if err != nil {
			return err
		}
		defer resp.Body.Close()
		n, err := io.Copy(io.Discard, resp.Body)
		if err != nil || resp.StatusCode != http.StatusOK || n != size {
			return fmt.Errorf("status %d, %d bytes, %v", resp.StatusCode, n, err)
		}
		return nil
	})
	assert.ErrorContains(t, <-ended, "timeout")
}

// Each refusal must be seen in the log, and a flood of them must not flood it.
func TestRefusalsAreLoggedTogether(t *testing.T) {
	var text bytes.Buffer
	l := New(Options{Budgets: map[Class]int64{Callers: 1}, Registerer: prometheus.NewRegistry(), Logger: log.New(&text)})
	for range 100 {
		_, err := l.Open(Callers, httptest.NewRecorder(), httptest.NewRequest(http.MethodPost, "/", strings.NewReader("xx")), 1)
		assert.Assert(t, errkind.Is(err, errkind.BodyTooLarge))
	}
	assert.Equal(t, strings.Count(text.String(), "Bodies are refused."), 1)
}

// A body that is passed on may be read beside the response, and after the end of its request.
// It must then neither change the header nor be charged.
func TestStreamedBodyMayBeReadBesideResponse(t *testing.T) {
	const size = 300_000
	l := New(Options{Budgets: map[Class]int64{Callers: 100_000}, Registerer: prometheus.NewRegistry(), Logger: log.New(io.Discard)})
	results := make(chan error, 1)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := l.Stream(Callers, w, r, size, size)
		if err != nil {
			results <- err
			return
		}
		defer body.Release()
		go func() {
			_, err := io.Copy(io.Discard, body)
			results <- err
		}()
		for i := range 1000 {
			w.Header().Set("X-Test", fmt.Sprint(i))
		}
	}))
	defer s.Close()
	for range 20 {
		c := stall(t, s, size, size-1)
		_, err := io.WriteString(c, "x")
		assert.NilError(t, err)
		assert.Assert(t, <-results != nil)
		c.Close()
	}
	assert.Equal(t, l.held(Callers), int64(0))
}

// A body that is passed on and given up must get its response, and its connection must not
// serve another request, which would begin in the middle of the body.
func TestStreamedBodyThatIsGivenUpLosesItsConnection(t *testing.T) {
	const size = 40_000
	l := New(Options{Budgets: map[Class]int64{Callers: 2 * size}, MinRate: 1 << 20, Grace: 100 * time.Millisecond,
		Registerer: prometheus.NewRegistry(), Logger: log.New(io.Discard)})
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := l.Stream(Callers, w, r, size, size)
		assert.NilError(t, err)
		defer body.Release()
		_, err = io.ReadAll(body)
		w.WriteHeader(errkind.RowOf(errkind.Of(err)).Status)
	}))
	defer s.Close()
	c := stall(t, s, size, size-1)
	status, _, closed := response(t, c)
	assert.Equal(t, status, http.StatusBadRequest)
	assert.Assert(t, closed)
	_, err := io.Copy(io.Discard, c)
	assert.NilError(t, err, "the server closes the connection")
}

// A body whose last bytes arrive as it is given up must be refused, and not be served with a
// request that ends at once, whose outcome nobody would know.
func TestBodyThatEndsAsItIsGivenUpIsRefused(t *testing.T) {
	const size = 20_000
	l := New(Options{Budgets: map[Class]int64{Callers: 2 * size}, Registerer: prometheus.NewRegistry(), Logger: log.New(io.Discard)})
	for _, stream := range []bool{false, true} {
		r := httptest.NewRequest(http.MethodPost, "/", strings.NewReader(strings.Repeat("x", size)))
		b, err := l.Open(Callers, httptest.NewRecorder(), r, size)
		assert.NilError(t, err)
		l.budget.giveUp(&b.t, reasonBudget)
		if stream {
			b.stream = true
			_, err = io.ReadAll(b)
		} else {
			_, err = b.ReadAll()
		}
		assert.Assert(t, errkind.Is(err, errkind.Overloaded), "%v", err)
		b.Release()
	}
	assert.Equal(t, l.held(Callers), int64(0))
}
