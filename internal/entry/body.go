package entry

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/filbertmast/filbertmast/internal/errkind"
)

// readBody reads the request body. It returns an *http.MaxBytesError if the body
// is larger than the settings allow.
func (s *Server) readBody(c echo.Context) ([]byte, error) {
	body := http.MaxBytesReader(c.Response(), c.Request().Body, s.set.Outer.MaxBodyBytes)
	data, err := io.ReadAll(body)
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, err
	}
	if err != nil {
		return nil, errkind.Wrap(errkind.BadRequest, err, "cannot read the body")
	}
	return data, nil
}

// readJSON decodes the request body into out and returns the body. It rejects
// unknown fields and data after the JSON value.
func (s *Server) readJSON(c echo.Context, out any) ([]byte, error) {
	data, err := s.readBody(c)
	if err != nil {
		return nil, err
	}
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(out); err != nil {
		return nil, errkind.Wrap(errkind.BadRequest, err, "the body is not valid JSON for this call")
	}
	if _, err := dec.Token(); err != io.EOF {
		return nil, errkind.New(errkind.BadRequest, "the body has data after the JSON value")
	}
	return data, nil
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
