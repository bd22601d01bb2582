package command

import (
	"crypto/tls"
	"encoding/json"
	"io"
	"log"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/filbertmast/filbertmast/internal/api"
	"github.com/filbertmast/filbertmast/internal/certs"
	"github.com/filbertmast/filbertmast/internal/declare"
	"github.com/filbertmast/filbertmast/internal/errkind"
	"github.com/filbertmast/filbertmast/internal/model"
)

func jobView(phase string) api.JobView {
	return api.JobView{
		ID:     12,
		Spec:   model.JobSpec{Name: "rows", Queue: "plans", Policy: model.PolicyBatch, Tasks: 2},
		Phase:  phase,
		Counts: api.TaskCounts{Running: 1, Succeeded: 1},
		Tasks:  []api.TaskView{{Index: 1, Phase: "running", Worker: "w-1"}},
		Why:    []api.WhyNot{{Reason: "limit", Count: 3, Detail: "tasks over the limit"}},
	}
}

func TestSubmitPrintsTheJobID(t *testing.T) {
	f := newFakeEntry(t)
	f.HandleFunc("POST /v1/jobs", func(w http.ResponseWriter, r *http.Request) {
		assert.Equal(t, r.Header.Get("Authorization"), "Bearer "+testKey)
		var spec model.JobSpec
		assert.NilError(t, json.NewDecoder(r.Body).Decode(&spec))
		assert.Equal(t, spec.Name, "rows")
		_ = json.NewEncoder(w).Encode(jobView("waiting"))
	})
	r := runWith(t, `{"name":"rows","tasks":2}`, false, "submit", "-")
	assert.Equal(t, r, result{out: "j-12\n"})
}

func TestSubmitRefusesAFileWithProblems(t *testing.T) {
	newFakeEntry(t)
	r := runWith(t, `{"nam":"rows","tasks":"2"}`, false, "submit", "-")
	assert.Equal(t, r.code, errkind.ExitUsage)
	assert.Assert(t, strings.Contains(r.err, "$.nam: unknown field"), r.err)
	assert.Assert(t, strings.Contains(r.err, `$.tasks: got "2": must be a number`), r.err)
}

func TestSubmitDryRunPrintsTheQuote(t *testing.T) {
	f := newFakeEntry(t)
	f.HandleFunc("POST /v1/jobs", func(w http.ResponseWriter, r *http.Request) {
		assert.Equal(t, r.URL.Query().Get("dry_run"), "true")
		_ = json.NewEncoder(w).Encode(api.Quote{Price: 10, Estimated: 600, Queue: "plans", Team: "workshop"})
	})
	r := runWith(t, `{"name":"rows"}`, false, "submit", "--dry-run", "-")
	assert.Equal(t, r.out, "queue plans, charged to team workshop\nprice 10 micro-units a core-second, about 600 for the job\n")
}

func TestGetShowsWhyAJobWaits(t *testing.T) {
	f := newFakeEntry(t)
	f.respond("GET /v1/jobs/j-12", jobView("running"))
	f.respond("GET /v1/jobs", api.JobList{Jobs: []api.JobView{jobView("running")}})
	r := run(t, "get", "j-12", "--why")
	assert.Equal(t, r.code, 0, r.err)
	assert.Assert(t, strings.Contains(r.out, "held by limit: 3 tasks over the limit"), r.out)
	r = run(t, "get", "-l", "a=b")
	assert.Assert(t, strings.Contains(r.out, "j-12  rows  plans  batch   running  1 running, 1 succeeded"), r.out)
	r = run(t, "get", "--json")
	var list api.JobList
	assert.NilError(t, json.Unmarshal([]byte(r.out), &list))
	assert.Equal(t, list.Jobs[0].ID, model.JobID(12))
}

func TestWaitEndsWithTheJob(t *testing.T) {
	rows := []struct {
		phase string
		code  int
	}{{"succeeded", errkind.ExitOK}, {"failed", errkind.ExitJobFailed}, {"cancelled", errkind.ExitJobFailed}}
	for _, row := range rows {
		t.Run(row.phase, func(t *testing.T) {
			f := newFakeEntry(t)
			calls := 0
			f.HandleFunc("GET /v1/jobs/j-12", func(w http.ResponseWriter, r *http.Request) {
				calls++
				phase := "running"
				if calls > 1 {
					phase = row.phase
				}
				assert.Assert(t, r.URL.Query().Get("wait") != "")
				_ = json.NewEncoder(w).Encode(jobView(phase))
			})
			r := runWith(t, "", true, "wait", "j-12")
			assert.Equal(t, r.code, row.code)
			assert.Assert(t, strings.Contains(r.err, "\rj-12 running: 1 running, 1 succeeded"), r.err)
			assert.Assert(t, strings.Contains(r.out, "j-12 rows: "+row.phase), r.out)
		})
	}
}

func TestWaitTimeoutReportsStillRunning(t *testing.T) {
	f := newFakeEntry(t)
	f.respond("GET /v1/jobs/j-12", jobView("running"))
	r := run(t, "wait", "j-12", "--wait-timeout", "0s")
	assert.Equal(t, r.code, errkind.ExitUnknown)
	assert.Assert(t, strings.Contains(r.err, "job j-12 is still running"), r.err)
	assert.Assert(t, !strings.Contains(r.err, "\r"), "no progress without a terminal")
}

func TestCancel(t *testing.T) {
	f := newFakeEntry(t)
	f.respond("DELETE /v1/jobs/j-1", jobView("cancelled"))
	f.respond("DELETE /v1/jobs/j-2", jobView("cancelled"))
	f.respond("DELETE /v1/jobs", api.Cancelled{Jobs: 30})
	assert.Equal(t, run(t, "cancel", "j-1", "j-2").out, "2 jobs cancelled\n")
	assert.Equal(t, run(t, "cancel", "-l", "row=7").out, "30 jobs cancelled\n")
}

func TestRequestWritesResponseAndStatus(t *testing.T) {
	f := newFakeEntry(t)
	status := http.StatusOK
	f.HandleFunc("POST /v1/services/lookup/requests", func(w http.ResponseWriter, r *http.Request) {
		assert.Equal(t, r.Header.Get(api.HeaderRepeatable), "false")
		assert.Equal(t, r.Header.Get(api.HeaderDeadline), "2s")
		body, _ := io.ReadAll(r.Body)
		w.WriteHeader(status)
		_, _ = w.Write(append([]byte("leg of "), body...))
	})
	args := []string{"request", "lookup", "-", "--not-repeatable", "--deadline", "2s"}
	assert.Equal(t, runWith(t, "42", false, args...), result{out: "leg of 42"})
	status = http.StatusTeapot
	r := runWith(t, "42", false, args...)
	assert.Equal(t, r.code, errkind.ExitJobFailed)
	assert.Equal(t, r.out, "leg of 42")
	assert.Equal(t, r.err, "error: the executor answered with status 418\n")
}

// Guards against an end that is sent as a begin, and against a domain that status does not list.
func TestEvacuate(t *testing.T) {
	f := newFakeEntry(t)
	begun := api.EvacuationView{Domain: "selfoss 1", Evacuated: true, Workers: 58, Running: 212}
	f.respond("POST /v1/evacuations/{domain}", begun)
	f.respond("DELETE /v1/evacuations/{domain}", api.EvacuationView{Domain: "selfoss 1", Workers: 58})
	f.respond("GET /v1/status", api.Status{Evacuations: []api.EvacuationView{begun}})
	const row = "selfoss 1       true       58       212"
	r := run(t, "evacuate", "selfoss 1")
	assert.Equal(t, r.code, 0, r.err)
	assert.Assert(t, strings.Contains(r.out, row), r.out)
	assert.Assert(t, strings.Contains(run(t, "status").out, row))
	r = run(t, "evacuate", "--finish", "selfoss 1")
	assert.Assert(t, strings.Contains(r.out, "selfoss 1       false"), r.out)
	f.respondError("POST /v1/evacuations/none", errkind.UnknownDomain)
	assert.Equal(t, run(t, "evacuate", "none").code, errkind.ExitUsage)
	assert.Equal(t, run(t, "evacuate").code, errkind.ExitUsage)
}

func TestWorkersCordonDrainOpen(t *testing.T) {
	f := newFakeEntry(t)
	view := api.WorkerView{Spec: model.WorkerSpec{ID: "w-1", Capacity: model.Resources{CPU: 4000}}, Mode: "draining", Tasks: 2}
	for _, action := range []string{"cordon", "drain", "open"} {
		f.respond("POST /v1/workers/w-1/"+action, view)
	}
	other := api.WorkerView{Spec: model.WorkerSpec{ID: "w-2"}, Tasks: 50}
	emptied := false
	f.HandleFunc("GET /v1/workers", func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(api.WorkerList{Workers: []api.WorkerView{view, other}})
		if emptied {
			view.Tasks = 0
		}
	})
	for _, name := range []string{"cordon", "drain", "open"} {
		r := run(t, name, "w-1")
		assert.Equal(t, r.code, 0, r.err)
		assert.Assert(t, strings.Contains(r.out, "w-1     draining"), r.out)
	}
	r := run(t, "drain", "w-1", "--wait", "--wait-timeout", "0s")
	assert.Equal(t, r.code, errkind.ExitUnknown, r.err)
	assert.Assert(t, strings.Contains(r.err, "2 tasks still on the workers"), r.err)
	emptied = true
	r = runWith(t, "", true, "drain", "w-1", "--wait")
	assert.Equal(t, r.code, 0, r.err)
	assert.Assert(t, strings.Contains(run(t, "workers").out, "0/4000"))
}

// TestWorkersShowsSpeedsIfTheyAreEstimated guards against a column that says nothing, and
// against a worker without an estimate that looks as if it stood still.
func TestWorkersShowsSpeedsIfTheyAreEstimated(t *testing.T) {
	f := newFakeEntry(t)
	list := api.WorkerList{Workers: []api.WorkerView{{Spec: model.WorkerSpec{ID: "w-1"}}, {Spec: model.WorkerSpec{ID: "w-2"}}}}
	f.HandleFunc("GET /v1/workers", func(w http.ResponseWriter, _ *http.Request) { _ = json.NewEncoder(w).Encode(list) })
	assert.Assert(t, !strings.Contains(run(t, "workers").out, "SPEED"))
	list.Workers[0].SpeedPermille = 552
	lines := strings.Split(run(t, "workers").out, "\n")
	assert.Assert(t, strings.HasSuffix(strings.TrimSpace(lines[0]), "SPEED"), lines[0])
	assert.Assert(t, strings.HasSuffix(strings.TrimSpace(lines[1]), "0.55"), lines[1])
	assert.Assert(t, strings.HasSuffix(strings.TrimSpace(lines[2]), "-"), lines[2])
}

func TestStatusShowsAllParts(t *testing.T) {
	f := newFakeEntry(t)
	f.respond("GET /v1/status", api.Status{
		Entry: "e-1", Leader: "selfoss-1", Term: 4, Version: 9,
		Replicas: []api.ReplicaView{{ID: "r-1", Voter: true}},
		Entries:  []api.EntryView{{ID: "e-1", AgeMS: 1500}},
		Teams:    []api.TeamView{{Team: "workshop", Limit: 100}},
	})
	r := run(t, "status")
	for _, want := range []string{"leader selfoss-1, term 4", "declarations version 9", "r-1", "1.5s ago", "workshop  0        100"} {
		assert.Assert(t, strings.Contains(r.out, want), r.out)
	}
}

// Guards against past use that is not shown, and against columns of a feature that is off.
func TestStatusShowsPastUseWhileItCounts(t *testing.T) {
	f := newFakeEntry(t)
	status := api.Status{Teams: []api.TeamView{{Team: "workshop"}, {Team: "rota"}}}
	f.respond("GET /v1/status", status)
	assert.Assert(t, !strings.Contains(run(t, "status").out, "PAST"))
	status.PastUseHalfLife = model.Duration(time.Hour)
	status.Teams[0].PastUse = &api.PastUse{Average: model.Resources{CPU: 4000}, LoadPermille: 2250}
	f = newFakeEntry(t)
	f.respond("GET /v1/status", status)
	out := run(t, "status").out
	for _, want := range []string{"PAST LOAD  PAST USE", "2.25       4000m cpu", "half-life of 1h0m0s"} {
		assert.Assert(t, strings.Contains(out, want), out)
	}
}

func TestKeys(t *testing.T) {
	f := newFakeEntry(t)
	var granted model.Key
	f.HandleFunc("POST /v1/keys", func(w http.ResponseWriter, r *http.Request) {
		assert.NilError(t, json.NewDecoder(r.Body).Decode(&granted))
		_ = json.NewEncoder(w).Encode(api.Applied{Version: 5})
	})
	r := run(t, "keys", "new", "--team", "workshop", "--grant")
	assert.Equal(t, r.code, 0, r.err)
	key := strings.TrimSpace(r.out)
	assert.Equal(t, granted.Digest, declare.DigestKey(key))
	assert.Assert(t, strings.Contains(r.err, `{"keys": [{"digest": "`+string(granted.Digest)+`", "team": "workshop"}]}`), r.err)
	assert.Equal(t, runWith(t, key+"\n", false, "keys", "digest").out, string(granted.Digest)+"\n")

	f.respond("DELETE /v1/keys/"+string(granted.Digest), api.Applied{Version: 6})
	assert.Equal(t, run(t, "keys", "withdraw", string(granted.Digest)).out, "withdrawn with version 6\n")
}

func TestApplyAndDiff(t *testing.T) {
	dir := t.TempDir()
	write := func(text string) {
		assert.NilError(t, os.WriteFile(filepath.Join(dir, "a.json"), []byte(text), 0o600))
	}
	write(`{"teams":[{"name":"workshop","share":3,"max_running":5}]}`)
	f := newFakeEntry(t)
	view := api.DeclarationsView{Version: 7}
	var applied []api.Apply
	f.HandleFunc("GET /v1/declarations", func(w http.ResponseWriter, _ *http.Request) { _ = json.NewEncoder(w).Encode(view) })
	f.HandleFunc("PUT /v1/declarations", func(w http.ResponseWriter, r *http.Request) {
		var a api.Apply
		assert.NilError(t, json.NewDecoder(r.Body).Decode(&a))
		applied = append(applied, a)
		view = api.DeclarationsView{Version: 8, Declarations: a.Declarations}
		_ = json.NewEncoder(w).Encode(api.Applied{Version: 8, Digest: declare.Digest(&a.Declarations)})
	})
	r := run(t, "diff", "-f", dir, "--exit-code")
	assert.Equal(t, r.code, errkind.ExitConflict)
	assert.Equal(t, r.out, "+ team workshop share=3 max_running=5\n1 change against version 7\n")
	assert.Equal(t, len(applied), 0)

	r = run(t, "apply", "-f", dir, "--apply-id", "c-1")
	assert.Equal(t, r.code, 0, r.err)
	assert.Assert(t, strings.Contains(r.out, "1 change, version 8 in force"), r.out)
	assert.Equal(t, applied[0].Base, uint64(7))
	assert.Equal(t, applied[0].ApplyID, "c-1")

	r = run(t, "apply", "-f", dir)
	assert.Assert(t, strings.Contains(r.out, "0 changes, version 8 in force"), r.out)
	assert.Equal(t, len(applied), 1, "an apply without changes was sent")
	assert.Equal(t, run(t, "diff", "-f", dir, "--exit-code").code, 0)

	write(`{"teams":[{"name":"workshop","share":0,"max_running":5}]}`)
	r = run(t, "apply", "-f", dir)
	assert.Equal(t, r.code, errkind.ExitUsage)
	assert.Assert(t, strings.Contains(r.err, "a.json: $.teams[0].share: got 0"), r.err)
}

func TestCertsKeepsExistingFiles(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "certs")
	r := run(t, "certs", "--dir", dir, "a=127.0.0.1", "b=127.0.0.1,::1")
	assert.Equal(t, r, result{out: filepath.Join(dir, "a.pem") + "\n" + filepath.Join(dir, "b.pem") + "\n"})
	assert.Equal(t, run(t, "certs", "--dir", dir, "a=127.0.0.1").code, errkind.ExitUsage)
}

func TestVersion(t *testing.T) {
	r := run(t, "version", "--json")
	var b buildJSON
	assert.NilError(t, json.Unmarshal([]byte(r.out), &b))
	assert.Assert(t, strings.HasPrefix(b.Go, "go"))
	assert.Assert(t, strings.HasPrefix(run(t, "version").out, "filbertmast "))
}

func TestOuterTLSTrustsOnlyTheGivenCA(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "certs")
	assert.Equal(t, run(t, "certs", "--dir", dir, "a=127.0.0.1").code, 0)
	config, err := certs.LoadServerTLS(filepath.Join(dir, "a.pem"), filepath.Join(dir, "a-key.pem"))
	assert.NilError(t, err)
	listener, err := tls.Listen("tcp", "127.0.0.1:0", config)
	assert.NilError(t, err)
	server := &http.Server{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_ = json.NewEncoder(w).Encode(api.Status{Leader: "selfoss-1"})
		}),
		ErrorLog: log.New(io.Discard, "", 0),
	}
	go func() { _ = server.Serve(listener) }()
	defer server.Close()
	args := []string{"status", "--address", "https://" + listener.Addr().String(), "--timeout", "1m"}
	r := run(t, append(args, "--ca", filepath.Join(dir, "ca.pem"))...)
	assert.Equal(t, r.code, 0, r.err)
	assert.Assert(t, strings.Contains(r.out, "leader selfoss-1"), r.out)
	r = run(t, args...)
	assert.Equal(t, r.code, errkind.ExitTryLater, r.err)
	assert.Assert(t, strings.Contains(r.err, "certificate"), r.err)
	assert.Equal(t, run(t, append(args, "--ca", filepath.Join(dir, "a-key.pem"))...).code, errkind.ExitUsage)
}
