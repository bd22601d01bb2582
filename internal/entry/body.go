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

// readBody reads a whole body within the limit of the settings.
func (s *Server) readBody(c echo.Context) ([]byte, error) {
	body := http.MaxBytesReader(c.Response(), c.Request().Body, s.set.Outer.MaxBodyBytes)
	data, err := io.ReadAll(body)
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, err
	}
	if err != nil {
		return nil, errkind.Wrap(errkind.BadRequest, err, "the body could not be read")
	}
	return data, nil
}

// readJSON reads one JSON value and refuses unknown fields and trailing data.
func (s *Server) readJSON(c echo.Context, out any) ([]byte, error) {
	data, err := s.readBody(c)
	if err != nil {
		return nil, err
	}
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(out); err != nil {
		return nil, errkind.Wrap(errkind.BadRequest, err, "the body is not the JSON that this call takes")
	}
	if _, err := dec.Token(); err != io.EOF {
		return nil, errkind.New(errkind.BadRequest, "the body has data after the JSON value")
	}
	return data, nil
}

// parseDuration reads an optional Go duration.
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

// leaderContext gives a call to the leader a deadline beyond the time that the leader may wait.
func leaderContext(c echo.Context, wait time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(c.Request().Context(), callTimeout+wait)
}
