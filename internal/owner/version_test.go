package owner

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/filbertmast/filbertmast/internal/model"
)

// newTable returns a Table with n executors that have no owner.
func newTable(n int) *Table {
	t := NewTable(Options{})
	t.NewTerm(1, 0, 0)
	for i := range n {
		t.Announce(model.ExecutorSpec{ID: fmt.Sprintf("x%d", i), Service: "fit", Slots: 8}, "south", false)
	}
	return t
}

func TestVersionMatchesDirectory(t *testing.T) {
	table := newTable(3)
	version, rows := table.Directory()
	assert.Equal(t, table.Version(), version)
	assert.Equal(t, len(rows), 3)
}

// BenchmarkDirectory compares Version with Directory, which builds the records, at
// the number of executors of the target.
func BenchmarkDirectory(b *testing.B) {
	table := newTable(9600)
	b.Run("version", func(b *testing.B) {
		for b.Loop() {
			table.Version()
		}
	})
	b.Run("rows", func(b *testing.B) {
		for b.Loop() {
			table.Directory()
		}
	})
}
