package entry

import (
	"bytes"
	"context"
	"weak"

	"github.com/filbertmast/filbertmast/internal/errkind"
	"github.com/filbertmast/filbertmast/internal/proto"
)

// documents reads the configuration from the leader, for one caller at a time, and lets callers
// that get equal ones share one. A configuration has up to 8 MiB, and a caller that does not
// read its response keeps it until the write timeout.
type documents struct {
	fetching chan struct{}                // has an element while a caller reads
	last     weak.Pointer[proto.Document] // guarded by fetching
}

// get returns what fetch returns, or an equal document. The error is Overloaded if ctx ends
// while others read.
func (d *documents) get(ctx context.Context, fetch func() (*proto.Document, error)) (*proto.Document, error) {
	select {
	case d.fetching <- struct{}{}:
	case <-ctx.Done():
		return nil, errkind.New(errkind.Overloaded, "other calls read the configuration")
	}
	defer func() { <-d.fetching }()
	doc, err := fetch()
	if err != nil {
		return nil, err
	}
	if last := d.last.Value(); last != nil && last.Revision == doc.Revision && bytes.Equal(last.Body, doc.Body) {
		return last, nil
	}
	d.last = weak.Make(doc)
	return doc, nil
}
