package entry

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/filbertmast/filbertmast/internal/api"
	"github.com/filbertmast/filbertmast/internal/bodylimit"
	"github.com/filbertmast/filbertmast/internal/errkind"
	"github.com/filbertmast/filbertmast/internal/limit"
	"github.com/filbertmast/filbertmast/internal/model"
	"github.com/filbertmast/filbertmast/internal/owner"
	"github.com/filbertmast/filbertmast/internal/proto"
	"github.com/filbertmast/filbertmast/internal/route"
	"github.com/filbertmast/filbertmast/internal/wire"
)

// buildRequests connects the request path to the leader and the other entry
// processes.
func (s *Server) buildRequests() {
	o := s.opts
	s.permits = limit.NewPool(limit.PoolOptions{
		Upstream: permitUpstream{s},
		Metrics:  o.Registerer,
		Log:      o.Logger,
	})
	s.leases = owner.NewLeases(s.self.Name, s.self.Inner, s.self.Region, s.self.Incarnation)
	s.owner = route.NewOwner(route.OwnerOptions{
		Leases:    s.leases,
		Service:   s.serviceByName,
		RenewSoon: s.renewSoon,
		Metrics:   o.Registerer,
		Log:       o.Logger,
	})
	s.router = route.NewRouter(route.RouterOptions{
		Entry:     s.self.Name,
		Region:    s.self.Region,
		Directory: s.dir.routes,
		Local:     s.owner,
		Peers:     peers{s},
		Permits:   s.permits,
		Journal:   journalUpstream{s},
		Metrics:   o.Registerer,
		Log:       o.Logger,
	})
	wire.HandleExchange(o.Endpoint, wire.KindForward, s.handleForward)
	wire.Handle(o.Endpoint, wire.KindPing, func(context.Context, wire.Peer, *proto.Empty) (*proto.Empty, error) {
		return &proto.Empty{}, nil
	})
}

func (s *Server) serviceByName(name string) (model.Service, bool) {
	s.config.mu.RLock()
	defer s.config.mu.RUnlock()
	svc, ok := s.config.services[name]
	if !ok {
		return model.Service{}, false
	}
	return *svc, true
}

// serveRequest routes a caller's request to an executor.
func (s *Server) serveRequest(c echo.Context, caller proto.Caller) error {
	req, release, err := s.newRequest(c, caller)
	if err != nil {
		return err
	}
	defer release()
	ctx, cancel := context.WithDeadline(c.Request().Context(), req.Deadline)
	defer cancel()
	answer, err := s.router.Serve(ctx, req)
	if err != nil {
		return err
	}
	defer answer.Body.Close()
	// The router has read a small answer, and the beginning of a large one.
	size := int64(route.DefaultAnswerBytes)
	if answer.Size >= 0 {
		size = min(size, answer.Size)
	}
	held, err := s.bodies.Hold(bodylimit.Callers, c.Response(), size)
	if err != nil {
		return errkind.Wrap(errkind.AnswerCutOff, err, "the request ran")
	}
	defer held.Release()
	answer.Body = &heldBody{ReadCloser: answer.Body, held: held, left: size}
	return writeAnswer(c, answer)
}

// newRequest returns the request that c describes. It validates the headers and
// the size of the body. The function that it returns must be called at the end of the request.
func (s *Server) newRequest(c echo.Context, caller proto.Caller) (*route.Request, func(), error) {
	r := c.Request()
	svc, err := s.config.service(c.Param("service"), caller.Team)
	if err != nil {
		return nil, nil, err
	}
	if caller.Team == "" {
		return nil, nil, errkind.New(errkind.Forbidden, "requests need the key of a team")
	}
	deadline, err := s.requestTimeout(r, svc)
	if err != nil {
		return nil, nil, err
	}
	patience, err := parseDuration(api.HeaderPatience, r.Header.Get(api.HeaderPatience), s.set.Limits.MaxDeadline.Std())
	if err != nil {
		return nil, nil, err
	}
	maxBody := s.set.Outer.MaxBodyBytes
	if svc.MaxRequest > 0 {
		maxBody = min(maxBody, svc.MaxRequest)
	}
	key := r.Header.Get(api.HeaderIdempotencyKey)
	if len(key) > model.MaxNameLength {
		return nil, nil, errkind.New(errkind.BadRequest, "%s has more than %d characters", api.HeaderIdempotencyKey, model.MaxNameLength)
	}
	id := key
	if id == "" {
		id = requestIDOf(c)
	}
	repeatable := !strings.EqualFold(r.Header.Get(api.HeaderRepeatable), "false")
	body, err := s.bodies.Stream(bodylimit.Callers, c.Response(), r, maxBody, bufferedBytes(repeatable))
	if err != nil {
		return nil, nil, err
	}
	return &route.Request{
		ID:         id,
		Keyed:      key != "",
		Team:       caller.Team,
		Service:    svc.Name,
		Path:       strings.TrimPrefix(c.Param("*"), "/"),
		Header:     r.Header,
		Body:       body,
		Size:       r.ContentLength,
		Deadline:   time.Now().Add(deadline),
		Patience:   patience,
		Repeatable: repeatable,
	}, body.Release, nil
}

// bufferedBytes returns how many bytes of a body the router keeps at most.
func bufferedBytes(repeatable bool) int64 {
	if repeatable {
		return route.DefaultReplayBytes
	}
	return route.DefaultJournalBytes
}

// requestTimeout returns the timeout that the caller has set, or else that of the
// service, or else that of the settings.
func (s *Server) requestTimeout(r *http.Request, svc *model.Service) (time.Duration, error) {
	maxDeadline := s.set.Limits.MaxDeadline.Std()
	d, err := parseDuration(api.HeaderDeadline, r.Header.Get(api.HeaderDeadline), maxDeadline)
	if err != nil || d > 0 {
		return d, err
	}
	if svc.Deadline > 0 {
		return min(svc.Deadline.Std(), maxDeadline), nil
	}
	return s.set.Limits.RequestTimeout.Std(), nil
}

// writeAnswer forwards an executor's response. If the rest of the body fails to
// arrive, it aborts the connection, so that the caller cannot mistake a truncated
// body for a complete one.
func writeAnswer(c echo.Context, a *route.Answer) error {
	h := c.Response().Header()
	id := requestIDOf(c)
	for k, v := range a.Header {
		h[k] = v
	}
	h.Del(api.HeaderError) // an executor must not fake errors of the system
	h.Set(api.HeaderRequestID, id)
	if a.Size >= 0 {
		h.Set(echo.HeaderContentLength, strconv.FormatInt(a.Size, 10))
	}
	c.Response().WriteHeader(a.Status)
	if _, err := io.Copy(c.Response(), a.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
	return nil
}
