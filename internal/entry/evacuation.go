package entry

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/filbertmast/filbertmast/internal/api"
	"github.com/filbertmast/filbertmast/internal/errkind"
	"github.com/filbertmast/filbertmast/internal/proto"
	"github.com/filbertmast/filbertmast/internal/wire"
)

// emptyBodyTimeout bounds the wait for the end of a body of unknown length that must be
// empty.
const emptyBodyTimeout = 500 * time.Millisecond

// RequireNoBody returns BadRequest if a request has a body. A body of unknown length may
// still be empty, so its first byte is awaited.
func RequireNoBody(w http.ResponseWriter, r *http.Request) error {
	if r.ContentLength == 0 || r.Body == nil {
		return nil
	}
	if r.ContentLength < 0 {
		rc := http.NewResponseController(w)
		// A writer without deadlines is that of a test, whose body does not block.
		_ = rc.SetReadDeadline(time.Now().Add(emptyBodyTimeout))
		defer func() { _ = rc.SetReadDeadline(time.Time{}) }()
		if _, err := io.ReadFull(r.Body, make([]byte, 1)); errors.Is(err, io.EOF) {
			return nil
		}
	}
	return errkind.New(errkind.BadRequest, "the call takes no body")
}

// evacuate returns the handler of the call that begins or ends an evacuation.
func (s *Server) evacuate(evacuated bool) handler {
	return func(c echo.Context, caller proto.Caller) error {
		if err := RequireNoBody(c.Response(), c.Request()); err != nil {
			return err
		}
		ctx, cancel := leaderContext(c, 0)
		defer cancel()
		view, err := s.setEvacuation(ctx, caller, c.Param("domain"), evacuated)
		if err != nil {
			return err
		}
		return c.JSON(http.StatusOK, view)
	}
}

// SetEvacuation begins or ends the evacuation of a failure domain and returns after the
// commit. The error is UnknownDomain if the domain is not known. It is for operators
// without a key.
func (s *Server) SetEvacuation(ctx context.Context, domain string, evacuated bool) (*api.EvacuationView, error) {
	return s.setEvacuation(ctx, proto.Caller{Operator: true, Network: true}, domain, evacuated)
}

func (s *Server) setEvacuation(ctx context.Context, caller proto.Caller, domain string, evacuated bool) (*api.EvacuationView, error) {
	_, named := s.set.Platform.Regions[domain]
	req := &proto.SetEvacuation{Caller: caller, Domain: domain, Evacuated: evacuated, Named: named}
	return callLeader[proto.SetEvacuation, api.EvacuationView](ctx, s.leader, wire.KindSetEvacuation, req, 0)
}
