package entry

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/filbertmast/filbertmast/internal/bodylimit"
	"github.com/filbertmast/filbertmast/internal/errkind"
)

// readBody reads the request body, which has at most the size of the settings. It stays charged
// until the request ends.
func (s *Server) readBody(c echo.Context, class bodylimit.Class) ([]byte, *bodylimit.Body, error) {
	body, err := s.bodies.Open(class, c.Response(), c.Request(), s.set.Outer.MaxBodyBytes)
	if err != nil {
		return nil, nil, err
	}
	data, err := body.ReadAll()
	if err != nil {
		body.Release()
		return nil, nil, err
	}
	return data, body, nil
}

// readJSON decodes the request body into out and returns the body and a function that must be
// called at the end of the request. It rejects unknown fields and data after the JSON value.
func (s *Server) readJSON(c echo.Context, class bodylimit.Class, out any) ([]byte, func(), error) {
	data, body, err := s.readBody(c, class)
	if err != nil {
		return nil, nil, err
	}
	if err := decodeJSON(body, data, out); err != nil {
		body.Release()
		return nil, nil, err
	}
	return data, body.Release, nil
}

func decodeJSON(body *bodylimit.Body, data []byte, out any) error {
	return body.Decode(data, func() error { return strictDecode(data, out) })
}

func strictDecode(data []byte, out any) error {
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(out); err != nil {
		return errkind.Wrap(errkind.BadRequest, err, "the body is not valid JSON for this call")
	}
	if _, err := dec.Token(); err != io.EOF {
		return errkind.New(errkind.BadRequest, "the body has data after the JSON value")
	}
	return nil
}

// parseDuration parses an optional Go duration and caps it at limit. The name is
// that of the parameter, for the error.
func parseDuration(name, text string, limit time.Duration) (time.Duration, error) {
	if text == "" {
		return 0, nil
	}
	d, err := time.ParseDuration(text)
	if err != nil || d < 0 {
		return 0, errkind.New(errkind.BadRequest, "%s %q is not a duration such as 30s", name, text)
	}
	return min(d, limit), nil
}

// leaderContext returns the context of a call to the leader. Its timeout is
// callTimeout plus the time that the leader may delay its response.
func leaderContext(c echo.Context, wait time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(c.Request().Context(), callTimeout+wait)
}
