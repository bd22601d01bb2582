package entry

import (
	"bytes"
	"context"
	"runtime"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/filbertmast/filbertmast/internal/errkind"
	"github.com/filbertmast/filbertmast/internal/proto"
)

// Callers that do not read their responses must share one document, and one that reads the
// configuration after a change must get the change.
func TestEqualDocumentsAreShared(t *testing.T) {
	d := documents{fetching: make(chan struct{}, 1)}
	get := func(revision uint64, body string) *proto.Document {
		doc, err := d.get(context.Background(), func() (*proto.Document, error) {
			return &proto.Document{Revision: revision, Body: bytes.Clone([]byte(body))}, nil
		})
		assert.NilError(t, err)
		return doc
	}
	first := get(1, "a")
	assert.Assert(t, get(1, "a") == first)
	for i, want := range []string{"b", "c", "b"} {
		assert.Equal(t, string(get(uint64(i+2), want).Body), want)
	}
	runtime.KeepAlive(first)
}

// A call that finds others reading must be refused as not run at the end of its time.
func TestDocumentsAreFetchedOneAtATime(t *testing.T) {
	d := documents{fetching: make(chan struct{}, 1)}
	d.fetching <- struct{}{}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, err := d.get(ctx, func() (*proto.Document, error) {
		t.Error("fetched")
		return nil, nil
	})
	assert.Assert(t, errkind.Is(err, errkind.Overloaded))
}
