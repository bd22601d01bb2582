package command

import (
	"os"
	"reflect"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/filbertmast/filbertmast/internal/errkind"
)

var (
	commandRow = regexp.MustCompile("(?m)^\\| `([a-z]+)` \\| ([^|]+) \\|$")
	exitRow    = regexp.MustCompile(`(?m)^\| ([0-9]) \|[^|]+\|([^|]*)\|$`)
	kindName   = regexp.MustCompile("`([a-z_]+)`")
)

func readPage(t *testing.T) string {
	t.Helper()
	page, err := os.ReadFile("../../docs/CLI.md")
	assert.NilError(t, err)
	return string(page)
}

func TestCLIPageListsEveryCommand(t *testing.T) {
	var want [][]string
	fields := reflect.TypeFor[arguments]()
	for i := range fields.NumField() {
		name := strings.TrimPrefix(fields.Field(i).Tag.Get("arg"), "subcommand:")
		want = append(want, []string{name, fields.Field(i).Tag.Get("help")})
	}
	var got [][]string
	for _, m := range commandRow.FindAllStringSubmatch(readPage(t), -1) {
		got = append(got, m[1:])
	}
	assert.DeepEqual(t, got, want)
}

func TestCLIPageListsEveryExitCode(t *testing.T) {
	want := make(map[int][]string)
	for code := range errkind.ExitJobFailed + 1 {
		want[code] = nil
	}
	for _, k := range errkind.Kinds() {
		code := errkind.RowOf(k).Exit
		want[code] = append(want[code], string(k))
	}
	got := make(map[int][]string)
	for _, m := range exitRow.FindAllStringSubmatch(readPage(t), -1) {
		code, err := strconv.Atoi(m[1])
		assert.NilError(t, err)
		got[code] = nil
		for _, k := range kindName.FindAllStringSubmatch(m[2], -1) {
			got[code] = append(got[code], k[1])
		}
	}
	for code := range want {
		slices.Sort(want[code])
		slices.Sort(got[code])
	}
	assert.DeepEqual(t, got, want)
}
