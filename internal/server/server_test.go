package server

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/filbertmast/filbertmast/internal/api"
	"github.com/filbertmast/filbertmast/internal/errkind"
	"github.com/filbertmast/filbertmast/internal/obs"
	"github.com/filbertmast/filbertmast/internal/testwait"
)

// startDev starts a dev deployment and returns once its example job has ended.
func startDev(t *testing.T) *dev {
	t.Helper()
	return startDevIn(t, t.TempDir())
}

// startDevIn is startDev with a given data folder.
func startDevIn(t *testing.T, dir string) *dev {
	t.Helper()
	d := &dev{opts: DevOptions{DataDir: dir, Address: "127.0.0.1:0", Out: io.Discard}}
	assert.NilError(t, d.start())
	ctx, cancel := context.WithCancel(context.Background())
	worker := d.startWorker(ctx)
	t.Cleanup(func() {
		cancel()
		<-worker
		d.process.Shutdown()
	})
	assert.NilError(t, d.runExample(ctx))
	return d
}

func TestMetricsPageListsMetricsOfBothRoles(t *testing.T) {
	d := startDev(t)
	page, err := os.ReadFile("../../docs/METRICS.md")
	assert.NilError(t, err)
	assert.DeepEqual(t, obs.CompareDoc(string(page), d.process.registry), []string(nil))
}

func TestDevRunsExampleOnce(t *testing.T) {
	var out bytes.Buffer
	err := Dev(context.Background(), DevOptions{DataDir: t.TempDir(), Address: "127.0.0.1:0", Once: true, Out: &out})
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(out.String(), "3 of 3 tasks succeeded"), out.String())
}

// A second start has another inner address than the stored membership names.
func TestDevRunsAgainOnItsDataFolder(t *testing.T) {
	o := DevOptions{DataDir: t.TempDir(), Address: "127.0.0.1:0", Once: true, Out: io.Discard}
	assert.NilError(t, Dev(context.Background(), o))
	d := startDevIn(t, o.DataDir)
	status, answer := d.call(t, http.MethodGet, "/v1/jobs", "")
	assert.Equal(t, status, http.StatusOK, answer)
	var jobs api.JobList
	assert.NilError(t, json.Unmarshal([]byte(answer), &jobs))
	assert.Equal(t, len(jobs.Jobs), 2, "the job of the first start is no longer known: %s", answer)
}

func TestWorkflowRunsOnPollingWorkers(t *testing.T) {
	d := startDev(t)
	body := `{"id":"flow-1","queue":"example","payload":"{\"run_ms\":20}","steps":[
{"policy":"batch","tasks":2,"size":{"cpu_milli":100,"memory_mib":10}},
{"policy":"gang","tasks":2,"size":{"cpu_milli":100,"memory_mib":10},"after":[0]}]}`
	status, answer := d.call(t, http.MethodPost, "/v1/workflows", body)
	assert.Equal(t, status, http.StatusCreated, answer)
	status, _ = d.call(t, http.MethodPost, "/v1/workflows", body)
	assert.Equal(t, status, http.StatusOK, "a resend")
	testwait.Until(t, exampleTimeout, "a workflow that succeeded", func() error {
		_, answer := d.call(t, http.MethodGet, "/v1/workflows/flow-1", "")
		if !strings.Contains(answer, "succeeded") {
			return errors.New(answer)
		}
		return nil
	})
	status, _ = d.call(t, http.MethodGet, "/v1/workflows/other", "")
	assert.Equal(t, status, http.StatusNotFound)
}

// call sends one HTTP request with the caller's key and returns the status and
// the body of the response.
func (d *dev) call(t *testing.T, method, path, body string) (int, string) {
	t.Helper()
	req, err := http.NewRequest(method, "http://"+d.address()+path, strings.NewReader(body))
	assert.NilError(t, err)
	req.Header.Set("Authorization", "Bearer "+d.callerKey)
	req.Header.Set("Content-Type", "application/json")
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(t, err)
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	return resp.StatusCode, string(answer)
}

// jobBody returns a valid job in JSON, with the fields of the JSON object edit
// added or replaced.
func jobBody(edit string) string {
	job := map[string]json.RawMessage{}
	base := `{"name":"x","policy":"batch","tasks":1,"size":{"cpu_milli":100,"memory_mib":10}}`
	for _, text := range []string{base, edit} {
		if text == "" {
			continue
		}
		if err := json.Unmarshal([]byte(text), &job); err != nil {
			panic(err)
		}
	}
	out, err := json.Marshal(job)
	if err != nil {
		panic(err)
	}
	return string(out)
}

func TestBadInputReturnsSpecificErrorKind(t *testing.T) {
	d := startDev(t)
	const jobs, declarations = "/v1/jobs", "/v1/declarations"
	long := strings.Repeat("x", 5<<20)
	tests := []struct {
		name, key, method, path, header, body string
		want                                  errkind.Kind
	}{
		{"no key", "", http.MethodPost, jobs, "", jobBody(""), errkind.KeyMissing},
		{"a key that was never granted", "fmk_wrong", http.MethodPost, jobs, "", jobBody(""), errkind.KeyUnknown},
		{"another team's name", d.callerKey, http.MethodPost, jobs, "", jobBody(`{"team":"other"}`), errkind.ForeignTeam},
		{"an unknown queue", d.callerKey, http.MethodPost, jobs, "", jobBody(`{"queue":"other"}`), errkind.UnknownQueue},
		{"a body over the limit", d.callerKey, http.MethodPost, jobs, "", jobBody(`{"payload":"` + long + `"}`), errkind.BodyTooLarge},
		{"a body that is not JSON", d.callerKey, http.MethodPost, jobs, "", "{", errkind.BadRequest},
		{"an unknown field", d.callerKey, http.MethodPost, jobs, "", jobBody(`{"taskz":1}`), errkind.BadRequest},
		{"data after the job", d.callerKey, http.MethodPost, jobs, "", jobBody("") + "{}", errkind.BadRequest},
		{"no tasks", d.callerKey, http.MethodPost, jobs, "", jobBody(`{"tasks":0}`), errkind.BadRequest},
		{"a malformed selector", d.callerKey, http.MethodPost, jobs, "", jobBody(`{"selector":"a in b"}`), errkind.BadRequest},
		{"a selector that no worker matches", d.callerKey, http.MethodPost, jobs, "", jobBody(`{"selector":"gpu=a100"}`), errkind.NoMatchingWorker},
		{"a job that can never fit", d.callerKey, http.MethodPost, jobs, "", jobBody(`{"size":{"cpu_milli":64000,"memory_mib":1}}`), errkind.NeverFits},
		{"an unknown job", d.callerKey, http.MethodGet, "/v1/jobs/j-99999", "", "", errkind.UnknownJob},
		{"a malformed job ID", d.callerKey, http.MethodGet, "/v1/jobs/7", "", "", errkind.BadRequest},
		{"a malformed wait duration", d.callerKey, http.MethodGet, "/v1/jobs/j-1?wait=soon", "", "", errkind.BadRequest},
		{"a cancellation without a selector", d.callerKey, http.MethodDelete, jobs, "", "", errkind.BadRequest},
		{"a list with an unknown parameter", d.callerKey, http.MethodGet, jobs + "?label=x", "", "", errkind.BadRequest},
		{"a cancellation with an unknown parameter", d.callerKey, http.MethodDelete, jobs + "?selector=a%3Db&dry_run=true", "", "", errkind.BadRequest},
		{"an unknown service", d.callerKey, http.MethodPost, "/v1/services/none/requests", "", "", errkind.UnknownService},
		{"an operator's call with a caller's key", d.callerKey, http.MethodGet, "/v1/status", "", "", errkind.Forbidden},
		{"a worker's call with a caller's key", d.callerKey, http.MethodPost, "/v1/workers", "", "{}", errkind.Forbidden},
		{"a worker without an ID", d.operatorKey, http.MethodPost, "/v1/workers", "", "{}", errkind.BadRequest},
		{"a heartbeat of an unknown worker", d.operatorKey, http.MethodPost, "/v1/workers/none/heartbeat", "", `{"session":1}`, errkind.UnknownWorker},
		{"a drain of an unknown worker", d.operatorKey, http.MethodPost, "/v1/workers/none/drain", "", "", errkind.UnknownWorker},
		{"an evacuation of an unknown domain", d.operatorKey, http.MethodPost, "/v1/evacuations/none", "", "", errkind.UnknownDomain},
		{"the end of the evacuation of an unknown domain", d.operatorKey, http.MethodDelete, "/v1/evacuations/none", "", "", errkind.UnknownDomain},
		{"an evacuation with a body", d.operatorKey, http.MethodPost, "/v1/evacuations/local", "", "{}", errkind.BadRequest},
		{"an evacuation with a parameter", d.operatorKey, http.MethodPost, "/v1/evacuations/local?finish=true", "", "", errkind.BadRequest},
		{"an evacuation by another method", d.operatorKey, http.MethodPut, "/v1/evacuations/local", "", "", errkind.UnknownPath},
		{"an evacuation with a caller's key", d.callerKey, http.MethodPost, "/v1/evacuations/local", "", "", errkind.Forbidden},
		{"an evacuation without a key", "", http.MethodPost, "/v1/evacuations/local", "", "", errkind.KeyMissing},
		{"an evacuation", d.operatorKey, http.MethodPost, "/v1/evacuations/local", "", "", ""},
		{"the end of an evacuation", d.operatorKey, http.MethodDelete, "/v1/evacuations/local", "", "", ""},
		{"an old base version", d.operatorKey, http.MethodPut, declarations, "", `{"base_version":0,"apply_id":"x","declarations":{"teams":[],"keys":[],"queues":[],"prices":[],"services":[]}}`, errkind.VersionConflict},
		{"an apply without an ID", d.operatorKey, http.MethodPut, declarations, "", `{"base_version":1}`, errkind.BadRequest},
		{"invalid declarations", d.operatorKey, http.MethodPut, declarations, "", `{"base_version":1,"apply_id":"y","declarations":{"teams":[{"name":"a","share":0,"max_running":1}]}}`, errkind.BadDeclarations},
		{"a malformed digest", d.operatorKey, http.MethodDelete, "/v1/keys/abc", "", "", errkind.BadRequest},
		{"an unknown path", d.callerKey, http.MethodGet, "/v1/nothing", "", "", errkind.UnknownPath},
		{"the first use of an idempotency key", d.callerKey, http.MethodPost, jobs, "k1", jobBody(""), ""},
		{"an idempotency key with another body", d.callerKey, http.MethodPost, jobs, "k1", jobBody(`{"tasks":2}`), errkind.IdempotencyConflict},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			req, err := http.NewRequest(tt.method, "http://"+d.address()+tt.path, strings.NewReader(tt.body))
			assert.NilError(t, err)
			if tt.key != "" {
				req.Header.Set("Authorization", "Bearer "+tt.key)
			}
			if tt.header != "" {
				req.Header.Set(api.HeaderIdempotencyKey, tt.header)
			}
			resp, err := (&http.Client{Timeout: 30 * time.Second}).Do(req)
			assert.NilError(t, err)
			defer resp.Body.Close()
			data, err := io.ReadAll(resp.Body)
			assert.NilError(t, err)
			if tt.want == "" {
				assert.Assert(t, resp.StatusCode < 300, string(data))
				return
			}
			var body errkind.Body
			assert.NilError(t, json.Unmarshal(data, &body), string(data))
			assert.Equal(t, body.Kind, tt.want, body.Message)
			assert.Equal(t, resp.StatusCode, errkind.RowOf(tt.want).Status)
			assert.Assert(t, body.NotRun && body.RequestID != "" && body.Message != "")
			assert.Assert(t, tt.key == "" || !strings.Contains(string(data), tt.key), "the response contains the key")
		})
	}
}
