package entry

import (
	"bytes"
	"fmt"
	"io"
	"net/http/httptest"
	"testing"

	"github.com/charmbracelet/log"
	"github.com/labstack/echo/v4"
	"github.com/prometheus/client_golang/prometheus"
	"gotest.tools/v3/assert"

	"github.com/filbertmast/filbertmast/internal/bodylimit"
	"github.com/filbertmast/filbertmast/internal/errkind"
)

func newBodies(budget int64) *bodylimit.Limiter {
	return bodylimit.New(bodylimit.Options{
		Budgets:    map[bodylimit.Class]int64{bodylimit.Callers: budget, bodylimit.Operators: budget},
		Registerer: prometheus.NewRegistry(), Logger: log.New(io.Discard),
	})
}

// A response that does not fit beside those that others do not read must be refused before its
// head is sent, and must not change a byte otherwise.
func TestLimitedSerializerChargesResponses(t *testing.T) {
	const budget = 100_000
	e := echo.New()
	bodies := newBodies(budget)
	value := map[string]string{"a": string(bytes.Repeat([]byte{'<'}, 10_000))}
	for _, indent := range []string{"", "  "} {
		want, got := httptest.NewRecorder(), httptest.NewRecorder()
		assert.NilError(t, echo.DefaultJSONSerializer{}.Serialize(e.NewContext(nil, want), value, indent))
		assert.NilError(t, limitedSerializer{bodies: bodies}.Serialize(e.NewContext(nil, got), value, indent))
		assert.Equal(t, got.Body.String(), want.Body.String())
	}
	held, err := bodies.Hold(bodylimit.Operators, httptest.NewRecorder(), budget)
	assert.NilError(t, err)
	got := httptest.NewRecorder()
	err = limitedSerializer{bodies: bodies}.Serialize(e.NewContext(nil, got), value, "")
	assert.Assert(t, errkind.Is(err, errkind.Overloaded))
	assert.Equal(t, got.Body.Len(), 0)
	assert.NilError(t, limitedSerializer{bodies: bodies}.Serialize(e.NewContext(nil, got), "small", ""))
	held.Release()
	assert.NilError(t, limitedSerializer{bodies: bodies}.Serialize(e.NewContext(nil, got), value, ""))
}

// A long answer must not hold its bytes once its beginning has been passed on.
func TestLongAnswerHoldsOnlyItsBeginning(t *testing.T) {
	const budget, beginning = 100_000, 60_000
	bodies := newBodies(budget)
	hold := func() error {
		_, err := bodies.Hold(bodylimit.Callers, httptest.NewRecorder(), budget/2)
		return err
	}
	held, err := bodies.Hold(bodylimit.Callers, httptest.NewRecorder(), beginning)
	assert.NilError(t, err)
	b := &heldBody{ReadCloser: io.NopCloser(bytes.NewReader(make([]byte, 2*beginning))), held: held, left: beginning}
	_, err = io.CopyN(io.Discard, b, beginning)
	assert.NilError(t, err)
	assert.Assert(t, hold() != nil, "the last part may not have been sent")
	_, err = io.CopyN(io.Discard, b, 1)
	assert.NilError(t, err)
	assert.NilError(t, hold())
}

// The paths of each class must be charged to it.
func TestClassOfPath(t *testing.T) {
	for path, want := range map[string]bodylimit.Class{
		"/v1/jobs": bodylimit.Callers, "/v1/jobs/:id": bodylimit.Callers, "/v1/workflows/:id": bodylimit.Callers,
		"/v1/services/:service/requests": bodylimit.Callers, "/v1/workers/:id/commands": bodylimit.Workers,
		"/v1/workers": bodylimit.Operators, "/v1/declarations": bodylimit.Operators, "/v1/status": bodylimit.Operators,
	} {
		assert.Equal(t, classOf(path), want, fmt.Sprint(path))
	}
}
