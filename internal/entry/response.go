package entry

import (
	"bytes"
	"encoding/json"
	"io"
	"strings"

	"github.com/labstack/echo/v4"

	"github.com/filbertmast/filbertmast/internal/bodylimit"
)

// limitedSerializer encodes a response before it sends it, and charges its bytes while its
// client reads them.
type limitedSerializer struct {
	echo.DefaultJSONSerializer
	bodies *bodylimit.Limiter
}

// Serialize implements echo.JSONSerializer.
func (s limitedSerializer) Serialize(c echo.Context, v any, indent string) error {
	var buf bytes.Buffer
	enc := json.NewEncoder(&buf)
	if indent != "" {
		enc.SetIndent("", indent)
	}
	if err := enc.Encode(v); err != nil {
		return err
	}
	held, err := s.bodies.Hold(classOf(c.Path()), c.Response(), int64(buf.Len()))
	if err != nil {
		return err
	}
	defer held.Release()
	_, err = c.Response().Write(buf.Bytes())
	return err
}

// classOf returns who calls a path of the HTTP API.
func classOf(path string) bodylimit.Class {
	switch {
	case strings.HasPrefix(path, "/v1/workers/"):
		return bodylimit.Workers
	case strings.HasPrefix(path, "/v1/jobs"), strings.HasPrefix(path, "/v1/workflows"), strings.HasPrefix(path, "/v1/services"):
		return bodylimit.Callers
	}
	return bodylimit.Operators
}

// heldBody is an answer of which the router has read the beginning. It is released when the
// caller has read that, so that long answers, which are passed on as they arrive, hold nothing.
type heldBody struct {
	io.ReadCloser
	held *bodylimit.Response
	left int64 // bytes that are held
}

// Read implements io.Reader.
func (b *heldBody) Read(p []byte) (int, error) {
	if b.left <= 0 {
		b.held.Release()
	}
	n, err := b.ReadCloser.Read(p)
	b.left -= int64(n)
	return n, err
}
