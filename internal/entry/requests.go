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
	"github.com/filbertmast/filbertmast/internal/journal"
	"github.com/filbertmast/filbertmast/internal/limit"
	"github.com/filbertmast/filbertmast/internal/model"
	"github.com/filbertmast/filbertmast/internal/owner"
	"github.com/filbertmast/filbertmast/internal/proto"
	"github.com/filbertmast/filbertmast/internal/route"
	"github.com/filbertmast/filbertmast/internal/wire"
)

// ownerRenewalsPerLease is how many renewals of ownership fall into one lease.
const ownerRenewalsPerLease = 4

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
	patience, err := duration(api.HeaderPatience, r.Header.Get(api.HeaderPatience), s.set.Limits.LongestDeadline.Std())
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
	longest := s.set.Limits.LongestDeadline.Std()
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

// forwarded serves a request that another entry has passed on to this owner.
func (s *Server) forwarded(ctx context.Context, _ wire.Peer, head *route.ForwardHeader, body io.Reader, reply *wire.Reply) {
	answer, err := s.owner.Handle(ctx, head, body)
	if err != nil {
		_ = reply.Fail(err) // the caller's entry sees a broken stream instead
		return
	}
	defer answer.Body.Close()
	if err := reply.Send(forwardAnswer{Status: answer.Status, Header: answer.Header, Size: answer.Size}); err != nil {
		return
	}
	if _, err := io.Copy(reply, answer.Body); err != nil {
		return // without Close the stream is reset, and the other side sees the answer cut off
	}
	_ = reply.Close()
}

// forwardAnswer is the head of an answer that crosses between entries.
type forwardAnswer struct {
	Status int         `cbor:"1,keyasint"`
	Header http.Header `cbor:"2,keyasint,omitempty"`
	Size   int64       `cbor:"3,keyasint"`
}

// peers passes requests on to the entries that own executors.
type peers struct{ s *Server }

// Forward implements route.Peers.
func (p peers) Forward(ctx context.Context, name string, h *route.ForwardHeader, body io.Reader) (*route.Answer, error) {
	address := p.s.dir.addressOf(name)
	if address == "" {
		return nil, errkind.New(errkind.Unreachable, "entry %q is not known here", name)
	}
	ctx, cancel := context.WithCancel(ctx)
	watched := func() {}
	if h.Repeatable {
		watched = p.s.watchPeer(ctx, address, cancel)
	}
	head, answer, err := wire.Open[route.ForwardHeader, forwardAnswer](ctx, p.s.opts.Endpoint, address, wire.KindForward, h, body)
	watched()
	if err != nil {
		cancel()
		return nil, err
	}
	return &route.Answer{Status: head.Status, Header: head.Header, Body: closing{answer, cancel}, Size: head.Size}, nil
}

// closing ends a context when the body of an answer is closed.
type closing struct {
	io.ReadCloser
	end context.CancelFunc
}

// Close implements io.Closer.
func (c closing) Close() error {
	defer c.end()
	return c.ReadCloser.Close()
}

// permitUpstream carries asks for permits to the leader.
type permitUpstream struct{ s *Server }

// Ask implements limit.Upstream.
func (u permitUpstream) Ask(ctx context.Context, demands []limit.Demand) ([]limit.Grant, error) {
	req := &proto.Permits{Entry: u.s.self.Name, Incarnation: u.s.self.Incarnation, Demands: demands}
	resp, err := tryLeader[proto.Permits, proto.Granted](ctx, u.s.leader, wire.KindPermits, req, 0)
	if err != nil {
		return nil, err
	}
	return resp.Grants, nil
}

// journalUpstream keeps records of requests at the leader.
type journalUpstream struct{ s *Server }

// Start implements route.JournalClient.
func (u journalUpstream) Start(ctx context.Context, key journal.Key, digest [32]byte, writer string, deadline time.Time) (journal.StartResult, error) {
	req := &proto.JournalStart{Key: key, Digest: digest, Entry: writer, Remaining: model.Duration(time.Until(deadline))}
	resp, err := callLeader[proto.JournalStart, proto.JournalStarted](ctx, u.s.leader, wire.KindJournalStart, req, 0)
	if err != nil {
		return journal.StartResult{}, err
	}
	return resp.Result, nil
}

// Finish implements route.JournalClient.
func (u journalUpstream) Finish(ctx context.Context, key journal.Key, fence model.Fence, a *journal.Answer) error {
	return u.end(ctx, &proto.JournalEnd{Key: key, Fence: fence, Answer: a, Ran: true})
}

// Abandon implements route.JournalClient.
func (u journalUpstream) Abandon(ctx context.Context, key journal.Key, fence model.Fence, ran bool) error {
	return u.end(ctx, &proto.JournalEnd{Key: key, Fence: fence, Ran: ran})
}

func (u journalUpstream) end(ctx context.Context, req *proto.JournalEnd) error {
	_, err := callLeader[proto.JournalEnd, proto.Empty](ctx, u.s.leader, wire.KindJournalEnd, req, 0)
	return err
}

// renewOwners keeps up the leases on executors until ctx ends.
func (s *Server) renewOwners(ctx context.Context) {
	period := s.set.Limits.RequestLease.Std() / ownerRenewalsPerLease
	for {
		s.renewOwnersOnce(ctx, period)
		timer := time.NewTimer(jitter(period))
		select {
		case <-timer.C:
		case <-s.renewNow:
			timer.Stop()
			sleep(ctx, earlyRenewal)
		case <-ctx.Done():
			timer.Stop()
			return
		}
	}
}

// earlyRenewal is the pause before a renewal out of turn, so that many reasons
// for one share it.
const earlyRenewal = 10 * time.Millisecond

// renewSoon asks for a renewal of ownership out of turn.
func (s *Server) renewSoon() {
	select {
	case s.renewNow <- struct{}{}:
	default:
	}
}

func (s *Server) renewOwnersOnce(ctx context.Context, period time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, period)
	defer cancel()
	// The horizon must still lie beyond the deadline of a request that comes
	// just before the answer to the next renewal.
	life := max(s.owner.Life(), s.set.Limits.RequestTimeout.Std()+3*period)
	req := s.leases.Renewal(time.Now(), s.owner.Load(), life)
	resp, err := tryLeader[owner.Renewal, owner.Renewed](ctx, s.leader, wire.KindOwners, req, 0)
	if err != nil {
		s.metrics.retried(errkind.Of(err))
		return
	}
	s.leases.Apply(resp)
	s.owner.Update() // also without a change: requests may wait for the longer lease
}
