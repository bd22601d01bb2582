package replica

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/charmbracelet/log"
	"gotest.tools/v3/assert"

	"github.com/filbertmast/filbertmast/internal/storage"
)

// lastSegment returns the path of the last segment of a log.
func lastSegment(t *testing.T, dir string) string {
	t.Helper()
	entries, err := os.ReadDir(dir)
	assert.NilError(t, err)
	last := ""
	for _, e := range entries {
		if storage.IsSegment(e.Name()) {
			last = e.Name()
		}
	}
	return filepath.Join(dir, last)
}

func TestStartTellsWhatTheDataFolderHeld(t *testing.T) {
	dir := t.TempDir()
	var out bytes.Buffer
	start := func() string {
		out.Reset()
		w := newNetwork()
		m := startMember(t, w, Options{Dir: dir, Address: "10.0.0.1:7000", Founders: founders(1),
			Logger: log.NewWithOptions(&out, log.Options{Formatter: log.LogfmtFormatter})})
		proposeMany(10, m)
		m.awaitEntries(10)
		m.stop()
		for line := range strings.Lines(out.String()) {
			if strings.Contains(line, "data folder was read") {
				return line
			}
		}
		return ""
	}
	first := start()
	assert.Assert(t, strings.Contains(first, " empty=true formed=false term=0 vote=0 last=0/0 commit=0 snapshot=0/0 torn_bytes=0"), first)
	f, err := os.OpenFile(lastSegment(t, dir), os.O_APPEND|os.O_WRONLY, 0)
	assert.NilError(t, err)
	_, err = f.WriteString("torn")
	assert.NilError(t, err)
	assert.NilError(t, f.Close())
	second := start()
	assert.Assert(t, strings.Contains(second, " empty=false formed=true "), second)
	assert.Assert(t, strings.Contains(second, " torn_bytes=4"), second)
	for _, absent := range []string{" term=0 ", " vote=0 ", " last=0/0 ", " commit=0 "} {
		assert.Assert(t, !strings.Contains(second, absent), second)
	}
}
