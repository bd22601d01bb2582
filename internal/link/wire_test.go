package link_test

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/prometheus/client_golang/prometheus"
	"gotest.tools/v3/assert"

	"github.com/filbertmast/filbertmast/internal/errkind"
	"github.com/filbertmast/filbertmast/internal/link"
	"github.com/filbertmast/filbertmast/internal/wire"
)

type message struct {
	Body []byte `cbor:"1,keyasint"`
}

func endpoint(t *testing.T, name, region string, budget wire.Shaper) *wire.Endpoint {
	e, err := wire.Listen(wire.Options{
		Address: "127.0.0.1:0", Name: name, Region: region, Budget: budget,
		Logger: log.New(io.Discard), Registerer: prometheus.NewRegistry(),
	})
	assert.NilError(t, err)
	t.Cleanup(func() { e.Close() })
	for _, k := range []wire.Kind{wire.KindSubmit, wire.KindRenew} {
		wire.Handle(e, k, func(context.Context, wire.Peer, *message) (*message, error) { return &message{}, nil })
	}
	return e
}

func TestSpentBudgetRefusesCallsButAdmitsRenewals(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	const rate = 1000 // bytes per second
	budget := link.New(link.Options{Rate: rate, Registerer: prometheus.NewRegistry()})
	from := endpoint(t, "a", "south", budget)
	sameRegion, otherRegion := endpoint(t, "b", "south", nil), endpoint(t, "c", "north", nil)
	call := func(to *wire.Endpoint, k wire.Kind) error {
		_, err := wire.Call[message, message](ctx, from, to.Address(), k, &message{Body: make([]byte, 100*rate)})
		return err
	}
	assert.NilError(t, call(otherRegion, wire.KindSubmit))
	err := call(otherRegion, wire.KindSubmit)
	assert.Equal(t, errkind.Of(err), errkind.Overloaded)
	assert.Assert(t, errkind.RetryAfter(err) > 0)
	assert.NilError(t, call(otherRegion, wire.KindRenew))
	assert.NilError(t, call(sameRegion, wire.KindSubmit)) // stays within the region
}
