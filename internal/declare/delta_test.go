package declare

import (
	"fmt"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/filbertmast/filbertmast/internal/model"
	"github.com/filbertmast/filbertmast/internal/testseed"
)

// TestMain fixes the seed of the property tests, so that a run can be repeated.
func TestMain(m *testing.M) { testseed.Run(m) }

// drawDeclarations draws declarations with few possible names, so that two draws
// have items in common.
func drawDeclarations(t *rapid.T, label string) model.Declarations {
	small := rapid.Int64Range(1, 3)
	names := rapid.SliceOfNDistinct(rapid.IntRange(0, 5), 0, 5, rapid.ID[int])
	var d model.Declarations
	for _, i := range names.Draw(t, label+" teams") {
		d.Teams = append(d.Teams, model.Team{Name: fmt.Sprintf("t%d", i), Share: small.Draw(t, "share")})
	}
	for _, i := range names.Draw(t, label+" keys") {
		digest := model.KeyDigest(strings.Repeat(fmt.Sprint(i), 64))
		d.Keys = append(d.Keys, model.Key{Digest: digest, Operator: rapid.Bool().Draw(t, "operator")})
	}
	for _, i := range names.Draw(t, label+" queues") {
		q := model.Queue{Name: fmt.Sprintf("q%d", i), MaxPending: small.Draw(t, "pending")}
		if rapid.Bool().Draw(t, "labelled") {
			q.Labels = model.Labels{"a": "b"}
		}
		d.Queues = append(d.Queues, q)
	}
	for _, i := range names.Draw(t, label+" services") {
		d.Services = append(d.Services, model.Service{Name: fmt.Sprintf("s%d", i), MaxQueue: int32(small.Draw(t, "queue"))})
	}
	for _, i := range names.Draw(t, label+" prices") {
		d.Prices = append(d.Prices, model.PricePoint{Patience: model.Duration(i), MicroUnits: small.Draw(t, "price")})
	}
	return d
}

func TestDeltaYieldsSameDeclarationsAsFullCopy(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		before, after := drawDeclarations(t, "before"), drawDeclarations(t, "after")
		held := Digest(&before)
		data, err := cbor.Marshal(DeltaOf(&before, &after))
		assert.NilError(t, err)
		var delta Delta
		assert.NilError(t, cbor.Unmarshal(data, &delta))
		got, err := Apply(&before, Digest(&before), delta)
		assert.NilError(t, err)
		Normalize(&after)
		assert.DeepEqual(t, got, after)
		assert.Equal(t, Digest(&before), held, "Apply must not modify its argument")
	})
}

func TestDiffIsEmptyExactlyWhenDigestsAreEqual(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := drawDeclarations(t, "a"), drawDeclarations(t, "b")
		assert.Equal(t, len(Diff(&a, &b)) == 0, Digest(&a) == Digest(&b))
	})
}
