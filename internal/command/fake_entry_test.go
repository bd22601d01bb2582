package command

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/filbertmast/filbertmast/internal/api"
	"github.com/filbertmast/filbertmast/internal/errkind"
)

const testKey = "fmk_of-the-caller"

// fakeEntry is an HTTP server in place of an entry process. Tests register a
// handler for each path.
type fakeEntry struct {
	*http.ServeMux
	server *httptest.Server
}

func newFakeEntry(t *testing.T) *fakeEntry {
	t.Helper()
	f := &fakeEntry{ServeMux: http.NewServeMux()}
	f.server = httptest.NewServer(f)
	t.Cleanup(f.server.Close)
	t.Setenv("FILBERTMAST_ADDRESS", f.server.URL)
	t.Setenv("FILBERTMAST_KEY", testKey)
	return f
}

// respond makes a path return v as JSON.
func (f *fakeEntry) respond(pattern string, v any) {
	f.HandleFunc(pattern, func(w http.ResponseWriter, _ *http.Request) { _ = json.NewEncoder(w).Encode(v) })
}

// respondError makes a path return an error of kind k.
func (f *fakeEntry) respondError(pattern string, k errkind.Kind) {
	f.HandleFunc(pattern, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(api.HeaderError, string(k))
		w.WriteHeader(errkind.RowOf(k).Status)
		_ = json.NewEncoder(w).Encode(errkind.BodyOf(errkind.New(k, "refused for a reason"), "r-9"))
	})
}

// result is the exit code and the output of one command line.
type result struct {
	code     int
	out, err string
}

func run(t *testing.T, args ...string) result {
	t.Helper()
	return runWith(t, "", false, args...)
}

func runWith(t *testing.T, stdin string, terminal bool, args ...string) result {
	t.Helper()
	var out, errOut bytes.Buffer
	code := Run(t.Context(), args, Streams{In: strings.NewReader(stdin), Out: &out, Err: &errOut, Terminal: terminal})
	assert.Assert(t, !strings.Contains(out.String()+errOut.String(), testKey), "the output contains the key")
	return result{code, out.String(), errOut.String()}
}

func writeFile(t *testing.T, name, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), name)
	assert.NilError(t, os.WriteFile(path, []byte(text), 0o600))
	return path
}
