package settings

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/filbertmast/filbertmast/internal/model"
)

const validSettings = `{
  "name": "selfoss-1", "roles": ["entry", "control"],
  "region": "south", "failure_domain": "selfoss",
  "inner": {"address": "10.1.0.1:7400", "certificate": "c.pem", "key": "k.pem", "ca": "ca.pem"},
  "outer": {"address": "10.1.0.1:8080"},
  "data": {"dir": "data"},
  "control": {"founders": ["10.1.0.1:7400", "10.2.0.1:7400", "10.3.0.1:7400"]}
}`

// edit returns validSettings with the value at path replaced.
func edit(t *testing.T, path string, value any) []byte {
	t.Helper()
	var doc map[string]any
	assert.NilError(t, json.Unmarshal([]byte(validSettings), &doc))
	at := doc
	names := strings.Split(path, ".")
	for _, n := range names[:len(names)-1] {
		if at[n] == nil {
			at[n] = map[string]any{}
		}
		at = at[n].(map[string]any)
	}
	at[names[len(names)-1]] = value
	data, err := json.Marshal(doc)
	assert.NilError(t, err)
	return data
}

func TestValidSettingsGetDefaultsAndResolvedPaths(t *testing.T) {
	s, problems := Parse("/etc/fm/s.json", []byte(validSettings))
	assert.NilError(t, problems.Err())
	assert.Equal(t, s.Limits.WorkerLease, model.Duration(15*time.Second))
	assert.Equal(t, s.Limits.Freshness, model.Duration(3*time.Second))
	assert.Equal(t, s.Inner.Key, "/etc/fm/k.pem")
	assert.Equal(t, s.Data.Dir, "/etc/fm/data")
	assert.Equal(t, s.AdvertisedAddress(), "10.1.0.1:8080")
	assert.Assert(t, !s.Scheduling.WorkerSpeed)
	assert.Assert(t, s.Has(RoleControl) && !s.Outer.TLS())
}

func TestInvalidSettingsReportPathValueAndRule(t *testing.T) {
	rows := []struct {
		name  string
		path  string
		value any
		want  string
	}{
		{"a missing name", "name", "", "$.name: is required"},
		{"a name with a space", "name", "a b", `$.name: got "a b": must be 1 to 63`},
		{"an unknown role", "roles", []string{"boss"}, `$.roles[0]: got "boss": must be entry or control`},
		{"no role", "roles", []string{}, "$.roles: must name at least one"},
		{"a duplicate role", "roles", []string{"control", "entry", "entry"}, `$.roles[2]: got "entry": is listed twice`},
		{"a host name instead of an IP number", "inner.address", "host:1", `$.inner.address: got "host:1": must be an IP number`},
		{"port zero", "outer.address", "10.1.0.1:0", `$.outer.address: got "10.1.0.1:0": must be an IP number`},
		{"an unspecified inner address", "inner.address", "0.0.0.0:7400", "must be an address that other processes can reach"},
		{"an outer address on every interface without advertise", "outer.address", "0.0.0.0:80", "$.outer.advertise: is required"},
		{"equal inner and outer addresses", "outer.address", "10.1.0.1:7400", "must differ from inner.address"},
		{"a certificate without its key", "outer.certificate", "x.pem", "certificate and key go together"},
		{"a missing CA", "inner.ca", "", "$.inner.ca: is required"},
		{"a body limit out of range", "outer.max_body_bytes", 1, "$.outer.max_body_bytes: got 1: must be from 1024 to"},
		{"a duration out of range", "limits.freshness", "1h", "$.limits.freshness: got 1h0m0s: must be from 200ms to 10s"},
		{"a budget without room for the largest body", "outer.body_budget_bytes", 1 << 20, "$.outer.body_budget_bytes: got 1048576: must be from 41943050 to"},
		{"a body rate out of range", "outer.min_body_rate", -1, "$.outer.min_body_rate: got -1: must be from 0 to 1048576"},
		{"a body grace out of range", "outer.body_grace", "1ms", "$.outer.body_grace: got 1ms: must be from 1s to 1m0s"},
		{"connections of callers out of range", "outer.max_caller_connections", -1, "$.outer.max_caller_connections: got -1"},
		{"connections of workers out of range", "outer.max_worker_connections", -1, "$.outer.max_worker_connections: got -1"},
		{"a write timeout shorter than the longest long poll", "outer.write_timeout", "30s", "$.outer.write_timeout: got 30s: must be from 1m15s to 1h0m0s"},
		{"a duplicate founder", "control.founders", []string{"10.1.0.1:7400", "10.1.0.1:7400", "10.2.0.1:7400"}, `$.control.founders[1]: got "10.1.0.1:7400": duplicate of $.control.founders[0]`},
		{"an even number of founders", "control.founders", []string{"10.1.0.1:7400", "10.2.0.1:7400"}, "must list an odd number"},
		{"a control process that is not a founder", "inner.address", "10.9.0.1:7400", "must contain inner.address 10.9.0.1:7400"},
		{"a duplicate founder", "control.founders", []string{"10.4.0.1:1", "10.4.0.1:1", "10.4.0.2:1"}, "$.control.founders[1]"},
		{"an entry that is listed as founder", "roles", []string{"entry"}, "lists this process, which has no control role"},
		{"control without a data folder", "data.dir", "", "$.data.dir: is required"},
		{"a link to the same region", "limits.links", []any{map[string]any{"from": "a", "to": "a", "bytes_per_second": 3750000}}, "$.limits.links[0].to"},
		{"an unknown log level", "log.level", "loud", `$.log.level: got "loud": must be one of debug`},
		{"an unknown field", "limits.lease", "1s", "$.limits.lease: unknown field; known here: worker_lease"},
		{"a word in place of a truth value", "scheduling.worker_speed", "on", `$.scheduling.worker_speed: got "on": must be`},
		{"a half-life of past use below a second", "scheduling.past_use_half_life", "999ms", "$.scheduling.past_use_half_life: got 999ms: must be from 1s to 8784h0m0s"},
		{"a half-life of past use above a year", "scheduling.past_use_half_life", "8785h", "$.scheduling.past_use_half_life: got 8785h0m0s: must be from 1s to"},
		{"a negative half-life of past use", "scheduling.past_use_half_life", "-1h", "$.scheduling.past_use_half_life: got -1h0m0s: must be from 1s to"},
		{"a wrong type", "limits", 3, "$.limits: got 3: must be an object"},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			_, problems := Parse("s.json", edit(t, row.path, row.value))
			assert.ErrorContains(t, problems.Err(), "s.json: ")
			assert.ErrorContains(t, problems.Err(), row.want)
		})
	}
}

func TestAllProblemsAreReportedTogether(t *testing.T) {
	_, problems := Parse("s.json", []byte(`{"name": 7, "roles": ["x"], "colour": 1, "log": {"level": "loud"}}`))
	paths := make(map[string]int)
	for _, p := range problems {
		paths[p.Path]++
	}
	for _, path := range []string{"$.name", "$.roles[0]", "$.colour", "$.log.level", "$.region", "$.inner.address", "$.control.founders"} {
		assert.Equal(t, paths[path], 1, path)
	}
}

func TestKeyInPlaceOfDigestIsNotShown(t *testing.T) {
	for _, value := range []any{"fmk_secret", []string{"fmk_secret"}, map[string]any{"fmk": 1}} {
		_, problems := Parse("s.json", edit(t, "bootstrap.operator_key_digest", value))
		assert.ErrorContains(t, problems.Err(), "$.bootstrap.operator_key_digest")
		assert.Assert(t, !strings.Contains(problems.Error(), "fmk_secret"))
	}
	_, problems := Parse("s.json", edit(t, "bootstrap", "fmk_secret"))
	assert.Assert(t, !strings.Contains(problems.Error(), "fmk_secret"))
}

func TestMissingFilesAndInvalidValuesAreReportedTogether(t *testing.T) {
	file := filepath.Join(t.TempDir(), "s.json")
	assert.NilError(t, os.WriteFile(file, edit(t, "name", ""), 0o600))
	_, err := Load(file)
	for _, want := range []string{"$.name: is required", "$.inner.certificate", "$.inner.key", "$.inner.ca", "the file does not exist"} {
		assert.ErrorContains(t, err, want)
	}
	_, err = Load(filepath.Join(t.TempDir(), "none.json"))
	assert.ErrorContains(t, err, "the file cannot be read")
}

func TestDataDirThatIsFileIsRejected(t *testing.T) {
	dir := t.TempDir()
	for _, name := range []string{"c.pem", "k.pem", "ca.pem", "data"} {
		assert.NilError(t, os.WriteFile(filepath.Join(dir, name), nil, 0o600))
	}
	file := filepath.Join(dir, "s.json")
	assert.NilError(t, os.WriteFile(file, []byte(validSettings), 0o600))
	_, err := Load(file)
	assert.ErrorContains(t, err, "$.data.dir")
	assert.ErrorContains(t, err, "must be a folder")
	assert.NilError(t, os.Remove(filepath.Join(dir, "data")))
	_, err = Load(file)
	assert.NilError(t, err)
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(validSettings))
	f.Add([]byte(`{"limits":{"links":[{}]},"log":[]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, problems := Parse("s.json", data)
		if len(problems) > 0 {
			return
		}
		// Valid settings must survive a round trip through JSON.
		again, err := json.Marshal(s)
		assert.NilError(t, err)
		s2, problems := Parse("s.json", again)
		assert.NilError(t, problems.Err())
		assert.DeepEqual(t, s, s2)
	})
}
