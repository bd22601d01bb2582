package standin

import (
	"errors"
	"io"
	"net/http"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/filbertmast/filbertmast/internal/api"
)

func newTestExecutor(t *testing.T, p payload) (*executorServer, string) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "history")
	h, err := openHistory(path)
	assert.NilError(t, err)
	x, err := startExecutor("x1", "planner", "127.0.0.1:0", p, h)
	assert.NilError(t, err)
	t.Cleanup(func() {
		x.stop(time.Second)
		h.close()
	})
	return x, path
}

func send(x *executorServer, id, body string, header ...string) (*http.Response, string, error) {
	req, err := http.NewRequest(http.MethodPost, "http://"+x.spec.Address+"/", strings.NewReader(body))
	if err != nil {
		return nil, "", err
	}
	req.Header.Set(api.HeaderRequestID, id)
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	resp, err := (&http.Client{Timeout: testTimeout}).Do(req)
	if err != nil {
		return nil, "", err
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	return resp, string(b), err
}

func TestExecutorBehaviors(t *testing.T) {
	for name, row := range map[string]struct {
		behave    Behavior
		status    int
		id        string
		ran       int
		truncated bool
	}{
		"a successful answer echoes the body and the request ID": {BehaveOK, http.StatusOK, "r1", 1, false},
		"a refusal has the refusal header and runs nothing":      {BehaveRefuse, http.StatusServiceUnavailable, "r1", 0, false},
		"a wrong ID is the ID of another request":                {BehaveWrongID, http.StatusOK, "r1-of-another", 1, false},
		"a failure occurs after the run":                         {BehaveFailAll, http.StatusInternalServerError, "r1", 1, false},
		"a cut answer is shorter than its Content-Length":        {BehaveTruncate, http.StatusOK, "r1", 1, true},
	} {
		t.Run(name, func(t *testing.T) {
			x, path := newTestExecutor(t, payload{behave: row.behave})
			resp, body, err := send(x, "r1", "hello")
			if row.truncated {
				assert.Assert(t, errors.Is(err, io.ErrUnexpectedEOF), "%v", err)
			} else {
				assert.NilError(t, err)
			}
			assert.Equal(t, resp.StatusCode, row.status)
			assert.Equal(t, resp.Header.Get(api.HeaderRequestID), row.id)
			assert.Equal(t, resp.Header.Get(api.HeaderRefused) != "", row.behave == BehaveRefuse)
			assert.Equal(t, len(events(t, path, EventRequestBegin)), row.ran)
			if row.ran > 0 {
				assert.Equal(t, body, "hello")
			}
		})
	}
}

func TestExecutorRefusesOlderOwner(t *testing.T) {
	x, path := newTestExecutor(t, payload{})
	for _, step := range []struct {
		epoch  string
		status int
	}{{"2", http.StatusOK}, {"1", http.StatusServiceUnavailable}, {"2", http.StatusOK}} {
		resp, _, err := send(x, "r", "", api.HeaderEpoch, step.epoch)
		assert.NilError(t, err)
		assert.Equal(t, resp.StatusCode, step.status)
	}
	assert.Equal(t, len(events(t, path, EventRefused)), 1)
}

func TestHistoryDetectsExceededSlots(t *testing.T) {
	x, path := newTestExecutor(t, payload{slots: 2})
	x.running.Add(2) // simulates two requests in flight
	_, _, err := send(x, "r", "")
	assert.NilError(t, err)
	all, err := ReadHistory(path)
	assert.NilError(t, err)
	broken := CheckHistory(all)
	assert.Equal(t, len(broken), 1)
	assert.Equal(t, broken[0].Rule, RuleSlots)
}
