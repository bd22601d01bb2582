package declare

import (
	"encoding/json"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/filbertmast/filbertmast/internal/model"
)

const validDeclarations = `{
  "teams": [{"name": "workshop", "share": 3, "max_running": 100}, {"name": "field", "share": 1, "max_running": 10}],
  "keys": [
    {"digest": "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa", "team": "workshop"},
    {"digest": "bbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbb", "operator": true}],
  "queues": [{"name": "plans", "workspace": "planner", "team": "workshop", "teams": ["field"], "selector": "zone in (a,b)"}],
  "prices": [{"patience": "1h", "micro_units": 10}, {"patience": "0s", "micro_units": 40}],
  "services": [{"name": "lookup", "workspace": "planner", "teams": ["workshop", "field"], "deadline": "2s"}]
}`

func parseValid(t *testing.T) model.Declarations {
	t.Helper()
	d, problems := Parse("d.json", []byte(validDeclarations))
	assert.NilError(t, problems.Err())
	return d
}

func TestParseReportsPathValueAndRule(t *testing.T) {
	rows := []struct{ name, old, new, want string }{
		{"share of zero", `"share": 3`, `"share": 0`, "$.teams[0].share: got 0: must be from 1"},
		{"negative limit", `"max_running": 10}`, `"max_running": -1}`, "$.teams[1].max_running: got -1: must be from 0"},
		{"two teams with one name", `"teams": [`, `"teams": [{"name": "field", "share": 1, "max_running": 1}, `, `$.teams[2].name: got "field": duplicate of d.json: $.teams[0]`},
		{"key of an unknown team", `"team": "workshop"}`, `"team": "nobody"}`, `$.keys[0].team: got "nobody": no such team`},
		{"key without a team", `"operator": true`, `"operator": false`, "$.keys[1].team: is required"},
		{"malformed digest", `"digest": "aaaaa`, `"digest": "AAAAA`, "$.keys[0].digest: must be a SHA-256 digest"},
		{"malformed selector", "zone in (a,b)", "zone in a", `$.queues[0].selector: got "zone in a": position 9: expected (`},
		{"queue of an unknown team", `"team": "workshop", "teams": ["field"]`, `"team": "x", "teams": ["field"]`, `$.queues[0].team: got "x"`},
		{"team admitted twice", `"teams": ["field"]`, `"teams": ["field", "field"]`, "$.queues[0].teams[1]"},
		{"open queue that names teams", `"teams": ["field"]`, `"open": true, "teams": ["field"]`, "an open queue names no teams"},
		{"price that rises with patience", `"micro_units": 10`, `"micro_units": 50`, "$.prices[0].micro_units: got 50: must be below the 40"},
		{"two prices for one patience", `"1h"`, `"0s"`, "another price has the same patience"},
		{"no price for urgent work", `"0s"`, `"1s"`, "the price for the shortest patience must be at 0s"},
		{"negative deadline", `"2s"`, `"-2s"`, "$.services[0].deadline: got -2s: must not be negative"},
		{"name with a slash", `"name": "plans"`, `"name": "a/b"`, `$.queues[0].name: got "a/b"`},
		{"wrong type reported once", `"share": 3`, `"share": "3"`, `$.teams[0].share: got "3": must be a number`},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			text := strings.Replace(validDeclarations, row.old, row.new, 1)
			assert.Assert(t, text != validDeclarations)
			_, problems := Parse("d.json", []byte(text))
			assert.Equal(t, len(problems), 1, problems.Error())
			assert.ErrorContains(t, problems.Err(), row.want)
		})
	}
}

func TestDuplicateAcrossFilesNamesBothFiles(t *testing.T) {
	dir := t.TempDir()
	assert.NilError(t, os.Mkdir(filepath.Join(dir, "teams"), 0o700))
	write := func(name, text string) string {
		path := filepath.Join(dir, name)
		assert.NilError(t, os.WriteFile(path, []byte(text), 0o600))
		return path
	}
	first := write("a.json", `{"teams":[{"name":"x","share":1,"max_running":1}]}`)
	second := write("teams/b.json", `{"teams":[{"name":"y","share":1,"max_running":1},{"name":"x","share":0,"max_running":1}]}`)
	write(".hidden.json", "no")
	write("notes.txt", "no")
	_, problems := LoadDir(dir)
	assert.Equal(t, problems.Error(), second+`: $.teams[1].name: got "x": duplicate of `+first+": $.teams[0]\n"+
		second+": $.teams[1].share: got 0: must be from 1 to 1000000000")
}

func TestLoadDirRejectsEmptyOrMissingFolder(t *testing.T) {
	_, problems := LoadDir(t.TempDir())
	assert.ErrorContains(t, problems.Err(), "holds no *.json file")
	_, problems = LoadDir(filepath.Join(t.TempDir(), "none"))
	assert.ErrorContains(t, problems.Err(), "cannot be read")
}

func TestKeyInPlaceOfDigestIsNotShown(t *testing.T) {
	for _, keys := range []string{`[{"digest":"fmk_secret"}]`, `["fmk_secret"]`, `"fmk_secret"`, `[{"digest":["fmk_secret"]}]`} {
		_, problems := Parse("d.json", []byte(`{"keys":`+keys+`}`))
		assert.ErrorContains(t, problems.Err(), "$.keys")
		assert.Assert(t, !strings.Contains(problems.Error(), "fmk_secret"))
	}
}

func TestDigestDependsOnContentAndNotOnOrder(t *testing.T) {
	a, b := parseValid(t), parseValid(t)
	b.Teams[0], b.Teams[1] = b.Teams[1], b.Teams[0]
	b.Queues[0].Labels = model.Labels{}
	assert.Equal(t, Digest(&a), Digest(&b))
	assert.Equal(t, b.Teams[0].Name, "workshop", "Digest must not modify its argument")
	b.Teams[0].Share++
	assert.Assert(t, Digest(&a) != Digest(&b))
}

func TestDiffListsEachChangedField(t *testing.T) {
	a, b := parseValid(t), parseValid(t)
	b.Teams[0].Share = 5
	b.Queues = nil
	b.Prices = append(b.Prices, model.PricePoint{Patience: model.Duration(24 * time.Hour), MicroUnits: 5})
	b.Keys = append(b.Keys, model.Key{Digest: model.KeyDigest(strings.Repeat("c", 64)), Team: "field"})
	var lines []string
	for _, c := range Diff(&a, &b) {
		lines = append(lines, c.String())
	}
	assert.DeepEqual(t, lines, []string{
		"~ team field share: 1 -> 5",
		`+ key cccccccccccc team="field"`,
		`- queue plans workspace="planner" team="workshop" teams=["field"] selector="zone in (a,b)"`,
		"+ price 24h0m0s micro_units=5",
	})
	assert.Equal(t, len(Diff(&a, &a)), 0)
}

func TestApplyRejectsDeltaForOtherDeclarations(t *testing.T) {
	a, b := parseValid(t), parseValid(t)
	b.Teams[0].Share = 5
	delta := DeltaOf(&a, &b)
	_, err := Apply(&b, Digest(&b), delta)
	var mismatch *MismatchError
	assert.Assert(t, errors.As(err, &mismatch))
	delta.To = strings.Repeat("0", 64)
	_, err = Apply(&a, Digest(&a), delta)
	assert.Assert(t, errors.As(err, &mismatch))
}

func TestNewKeysDifferAndMatchTheirDigest(t *testing.T) {
	k1, d1 := NewKey()
	k2, d2 := NewKey()
	assert.Assert(t, k1 != k2 && d1 != d2)
	assert.Assert(t, ValidDigest(d1))
	assert.Assert(t, SameDigest(DigestKey(k1), d1))
	assert.Assert(t, !SameDigest(d1, d2))
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(validDeclarations))
	f.Add([]byte(`{"prices":[{"patience":"0s"}],"queues":[{"selector":"a in ("}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		d, problems := Parse("d.json", data)
		if len(problems) > 0 {
			return
		}
		// Accepted declarations are accepted again after encoding, with the same digest.
		again, err := json.Marshal(d)
		assert.NilError(t, err)
		d2, problems := Parse("d.json", again)
		assert.NilError(t, problems.Err())
		assert.Equal(t, Digest(&d), Digest(&d2))
	})
}
