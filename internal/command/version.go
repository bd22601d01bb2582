package command

import (
	"context"
	"runtime"
	"runtime/debug"
)

// versionCommand shows the version.
type versionCommand struct {
	output
}

// buildJSON is the JSON output of version.
type buildJSON struct {
	Version  string `json:"version"`
	Revision string `json:"revision,omitempty"`
	Go       string `json:"go"`
}

func (c *versionCommand) run(_ context.Context, a *app) error {
	a.json = c.JSON
	b := readBuildInfo()
	if a.json {
		return a.writeJSON(b)
	}
	a.printf("%s %s", programName, b.Version)
	if b.Revision != "" {
		a.printf(" (%.12s)", b.Revision)
	}
	a.printf(", %s\n", b.Go)
	return nil
}

func readBuildInfo() buildJSON {
	b := buildJSON{Version: "unknown", Go: runtime.Version()}
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return b
	}
	b.Version = info.Main.Version
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			b.Revision = s.Value
		}
	}
	return b
}
