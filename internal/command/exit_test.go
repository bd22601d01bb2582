package command

import (
	"encoding/json"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/filbertmast/filbertmast/internal/api"
	"github.com/filbertmast/filbertmast/internal/errkind"
)

func TestEachErrorKindHasItsExitCodeAndText(t *testing.T) {
	f := newFakeEntry(t)
	for _, k := range errkind.Kinds() {
		f.respondError("/"+string(k)+"/v1/status", k)
	}
	for _, k := range errkind.Kinds() {
		t.Run(string(k), func(t *testing.T) {
			row := errkind.RowOf(k)
			address := f.server.URL + "/" + string(k)
			// The timeout is shorter than the delay before any retry, so there is none.
			r := run(t, "status", "--address", address, "--timeout", "150ms")
			assert.Equal(t, r.code, row.Exit)
			assert.Equal(t, r.out, "")
			assert.Assert(t, strings.Contains(r.err, "kind "+string(k)), r.err)
			assert.Equal(t, strings.Contains(r.err, "not run"), row.NotRun || strings.Contains(row.Advice, "not run"), r.err)
			assert.Assert(t, strings.Contains(r.err, "request r-9"), r.err)
			assert.Assert(t, strings.Contains(r.err, row.Advice), r.err)

			r = run(t, "status", "--address", address, "--timeout", "150ms", "--json")
			var body errorJSON
			assert.NilError(t, json.Unmarshal([]byte(r.err), &body))
			assert.Equal(t, body.Kind, k)
			assert.Equal(t, body.NotRun, row.NotRun)
			assert.Equal(t, body.Exit, row.Exit)
		})
	}
}

func TestUsageErrors(t *testing.T) {
	rows := []struct {
		name string
		args []string
		want string // in the error text
	}{
		{"no command shows the help", nil, "Commands:"},
		{"an unknown command", []string{"fly"}, "invalid subcommand: fly"},
		{"an unknown option", []string{"get", "--fly"}, "unknown argument --fly"},
		{"a missing argument", []string{"wait"}, "JOB is required"},
		{"a malformed job ID", []string{"get", "12"}, `job ID "12" is not of the form j-123`},
		{"a malformed selector", []string{"get", "-l", "a in b"}, "position 6"},
		{"a malformed worker selector", []string{"workers", "-l", "=b"}, "position 1"},
		{"neither jobs nor selector", []string{"cancel"}, "give job IDs or --selector"},
		{"both jobs and selector", []string{"cancel", "j-1", "-l", "a=b"}, "give job IDs or --selector"},
		{"a file that is missing", []string{"submit", "/none.json"}, "no such file"},
		{"a key file that is missing", []string{"status", "--key-file", "/none"}, "no such file"},
		{"a malformed address", []string{"status", "-a", "ftp://x"}, "is not of the form"},
		{"nothing to check", []string{"check"}, "nothing to check"},
		{"a key without a team or a role", []string{"keys", "new"}, "give --team, --operator or --worker"},
		{"keys without a command", []string{"keys"}, "give one of"},
		{"a malformed digest", []string{"keys", "withdraw", "abc"}, "64 lower-case hex digits"},
		{"a member without addresses", []string{"certs", "--dir", "/none", "a"}, "NAME=IP"},
		{"a member with a host name", []string{"certs", "--dir", "/none", "a=host"}, "is not an IP number"},
		{"a malformed label", []string{"standin", "worker", "--id", "w", "--labels", "a"}, "key=value"},
		{"serve with missing settings", []string{"serve", "--settings", "/none.json"}, "cannot be read"},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			r := run(t, row.args...)
			assert.Equal(t, r.code, errkind.ExitUsage, r.err)
			assert.Assert(t, strings.Contains(r.err, row.want), r.err)
		})
	}
}

func TestUnreachableEntryExitsTryLater(t *testing.T) {
	f := newFakeEntry(t)
	f.server.Close()
	r := run(t, "status", "--timeout", "150ms")
	assert.Equal(t, r.code, errkind.ExitTryLater, r.err)
	assert.Assert(t, strings.Contains(r.err, "not run"), r.err)
}

func TestUnknownOutcomePrintsResendHint(t *testing.T) {
	f := newFakeEntry(t)
	f.HandleFunc("POST /v1/jobs", func(w http.ResponseWriter, r *http.Request) {
		assert.Equal(t, r.Header.Get(api.HeaderIdempotencyKey), "k-1")
		w.WriteHeader(http.StatusBadGateway)
	})
	file := writeFile(t, "job.json", `{"name":"a"}`)
	r := run(t, "submit", file, "--idempotency-key", "k-1")
	assert.Equal(t, r.code, errkind.ExitUnknown)
	assert.Assert(t, strings.Contains(r.err, "--idempotency-key k-1"), r.err)
}

func TestHelpOfEveryCommand(t *testing.T) {
	names := []string{"serve", "dev", "check", "apply", "diff", "submit", "get", "wait", "cancel", "request", "workers",
		"cordon", "drain", "open", "status", "keys", "certs", "standin", "version"}
	for _, name := range names {
		r := run(t, name, "--help")
		assert.Equal(t, r.code, errkind.ExitOK)
		assert.Assert(t, strings.Contains(r.out, "Usage: filbertmast "+name), r.out)
	}
	r := run(t, "--help")
	for _, name := range names {
		assert.Assert(t, strings.Contains(r.out, "\n  "+name+" "), name)
	}
}
