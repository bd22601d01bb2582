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
	"github.com/filbertmast/filbertmast/internal/errkind"
	"github.com/filbertmast/filbertmast/internal/limit"
	"github.com/filbertmast/filbertmast/internal/model"
	"github.com/filbertmast/filbertmast/internal/owner"
	"github.com/filbertmast/filbertmast/internal/proto"
	"github.com/filbertmast/filbertmast/internal/route"
	"github.com/filbertmast/filbertmast/internal/wire"
)

// buildRequests wires the request path to the leader and to the other entries.
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
	wire.HandleExchange(o.Endpoint, wire.KindForward, s.forwarded)
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

// serveRequest carries one request of a caller to an executor.
func (s *Server) serveRequest(c echo.Context, caller proto.Caller) error {
	req, err := s.requestOf(c, caller)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithDeadline(c.Request().Context(), req.Deadline)
	defer cancel()
	answer, err := s.router.Serve(ctx, req)
	if err != nil {
		return err
	}
	defer answer.Body.Close()
	return writeAnswer(c, answer)
}

// requestOf reads what the caller asks for.
func (s *Server) requestOf(c echo.Context, caller proto.Caller) (*route.Request, error) {
	r := c.Request()
	svc, err := s.config.service(c.Param("service"), caller.Team)
	if err != nil {
		return nil, err
	}
	if caller.Team == "" {
		return nil, errkind.New(errkind.Forbidden, "requests need a team's key")
	}
	deadline, err := s.deadlineOf(r, svc)
	if err != nil {
		return nil, err
	}
	patience, err := duration(api.HeaderPatience, r.Header.Get(api.HeaderPatience), s.set.Limits.MaxDeadline.Std())
	if err != nil {
		return nil, err
	}
	most := s.set.Outer.MaxBodyBytes
	if svc.MaxRequest > 0 {
		most = min(most, svc.MaxRequest)
	}
	if r.ContentLength > most {
		return nil, errkind.New(errkind.BodyTooLarge, "the body has %d bytes, the limit is %d", r.ContentLength, most)
	}
	key := r.Header.Get(api.HeaderIdempotencyKey)
	if len(key) > model.MaxNameLength {
		return nil, errkind.New(errkind.BadRequest, "%s has more than %d characters", api.HeaderIdempotencyKey, model.MaxNameLength)
	}
	id := key
	if id == "" {
		id = idOf(c)
	}
	return &route.Request{
		ID:         id,
		Keyed:      key != "",
		Team:       caller.Team,
		Service:    svc.Name,
		Path:       strings.TrimPrefix(c.Param("*"), "/"),
		Header:     r.Header,
		Body:       http.MaxBytesReader(c.Response(), r.Body, most),
		Size:       r.ContentLength,
		Deadline:   time.Now().Add(deadline),
		Patience:   patience,
		Repeatable: !strings.EqualFold(r.Header.Get(api.HeaderRepeatable), "false"),
	}, nil
}

// deadlineOf is what the caller named, else the service's default, else that of the settings.
func (s *Server) deadlineOf(r *http.Request, svc *model.Service) (time.Duration, error) {
	longest := s.set.Limits.MaxDeadline.Std()
	d, err := duration(api.HeaderDeadline, r.Header.Get(api.HeaderDeadline), longest)
	if err != nil || d > 0 {
		return d, err
	}
	if svc.Deadline > 0 {
		return min(svc.Deadline.Std(), longest), nil
	}
	return s.set.Limits.RequestTimeout.Std(), nil
}

// writeAnswer hands an executor's answer on. Where the rest of it fails to
// arrive, the connection is broken off, so that the caller cannot take a part
// for the whole.
func writeAnswer(c echo.Context, a *route.Answer) error {
	h := c.Response().Header()
	id := idOf(c)
	for k, v := range a.Header {
		h[k] = v
	}
	h.Del(api.HeaderError) // an executor must not speak for the system
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
