package entry

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/filbertmast/filbertmast/internal/api"
	"github.com/filbertmast/filbertmast/internal/bodylimit"
	"github.com/filbertmast/filbertmast/internal/errkind"
	"github.com/filbertmast/filbertmast/internal/model"
	"github.com/filbertmast/filbertmast/internal/proto"
	"github.com/filbertmast/filbertmast/internal/session"
	"github.com/filbertmast/filbertmast/internal/state"
	"github.com/filbertmast/filbertmast/internal/wire"
)

// maxCommandWait is the maximum duration of a worker's long poll.
const maxCommandWait = 30 * time.Second

func (s *Server) buildSessions() {
	s.sessions = session.New(session.Options{
		Upstream:   sessionUpstream{s, session.NewReportBatcher(s.sendReports, 0, 0)},
		Lease:      s.set.Limits.WorkerLease.Std(),
		Logger:     s.opts.Logger,
		Registerer: s.opts.Registerer,
	})
	wire.HandlePost(s.opts.Endpoint, wire.KindCommands, func(_ wire.Peer, m *proto.Commands) {
		s.sessions.Deliver(m.Worker, m.Session, m.Commands)
	})
}

func (s *Server) announceWorker(c echo.Context, _ proto.Caller) error {
	var spec model.WorkerSpec
	_, release, err := s.readJSON(c, bodylimit.Workers, &spec)
	if err != nil {
		return err
	}
	defer release()
	if err := spec.Validate(); err != nil {
		return errkind.Wrap(errkind.BadRequest, err, "worker")
	}
	ctx, cancel := leaderContext(c, 0)
	defer cancel()
	answer, err := s.sessions.Announce(ctx, &spec)
	if err != nil {
		return err
	}
	for _, m := range s.dir.members() {
		answer.Entries = append(answer.Entries, api.EntryAddress{Address: m.Outer, FailureDomain: m.FailureDomain})
	}
	return c.JSON(http.StatusOK, answer)
}

func (s *Server) workerHeartbeat(c echo.Context, _ proto.Caller) error {
	var hb api.Heartbeat
	_, release, err := s.readJSON(c, bodylimit.Workers, &hb)
	if err != nil {
		return err
	}
	defer release()
	ctx, cancel := leaderContext(c, 0)
	defer cancel()
	answer, err := s.sessions.Heartbeat(ctx, workerID(c), &hb)
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, answer)
}

func (s *Server) workerCommands(c echo.Context, _ proto.Caller) error {
	sessionID, err := strconv.ParseUint(c.QueryParam("session"), 10, 64)
	if err != nil {
		return errkind.New(errkind.BadRequest, "session %q is not a number", c.QueryParam("session"))
	}
	wait, err := parseDuration("wait", c.QueryParam("wait"), maxCommandWait)
	if err != nil {
		return err
	}
	cmds, err := s.sessions.Commands(c.Request().Context(), workerID(c), sessionID, wait)
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, cmds)
}

func (s *Server) workerReports(c echo.Context, _ proto.Caller) error {
	var reports api.Reports
	_, release, err := s.readJSON(c, bodylimit.Workers, &reports)
	if err != nil {
		return err
	}
	defer release()
	ctx, cancel := leaderContext(c, 0)
	defer cancel()
	if err := s.sessions.Report(ctx, workerID(c), &reports); err != nil {
		return err
	}
	return c.NoContent(http.StatusNoContent)
}

func workerID(c echo.Context) model.WorkerID { return model.WorkerID(c.Param("id")) }

// sessionUpstream sends the calls of worker sessions to the leader.
type sessionUpstream struct {
	s *Server
	*session.ReportBatcher
}

// Announce implements session.Upstream.
func (u sessionUpstream) Announce(ctx context.Context, spec *model.WorkerSpec) (api.AnnounceAnswer, error) {
	resp, err := callLeader[proto.Announce, proto.Announced](ctx, u.s.leader, wire.KindAnnounce, &proto.Announce{Spec: *spec}, 0)
	if err != nil {
		return api.AnnounceAnswer{}, err
	}
	return api.AnnounceAnswer{Session: resp.Session, LeaseMS: resp.Lease.Millis()}, nil
}

// Renew implements session.Upstream. It does not retry, because a late renewal
// would grant a lease that the worker no longer relies on.
func (u sessionUpstream) Renew(ctx context.Context, batch []session.Renewal) ([]session.RenewalResult, error) {
	req := &proto.Renewals{Renewals: make([]proto.Renewal, len(batch))}
	for i, r := range batch {
		req.Renewals[i] = proto.Renewal{
			Worker: r.Worker, Session: r.Session, Attach: r.Attach, Leaving: r.Leaving, Usage: r.Usage}
	}
	resp, err := tryLeader[proto.Renewals, proto.RenewalResponse](ctx, u.s.leader, wire.KindRenew, req, 0)
	if err != nil {
		return nil, err
	}
	if len(resp.Results) != len(batch) {
		return nil, errkind.New(errkind.Internal, "the leader returned %[2]d results for %[1]d renewals", len(batch), len(resp.Results))
	}
	out := make([]session.RenewalResult, len(batch))
	for i := range resp.Results {
		out[i].Lease = resp.Results[i].Lease.Std()
		if body := resp.Results[i].Err; body != nil {
			out[i].Err = body.Err()
		}
	}
	return out, nil
}

// sendReports sends the reports of many workers to the leader in one call, which
// commits them.
func (s *Server) sendReports(ctx context.Context, batch []session.WorkerReports) ([]error, error) {
	req := &proto.Reports{Reports: make([]state.WorkerReport, len(batch))}
	for i, r := range batch {
		req.Reports[i] = state.WorkerReport(r)
	}
	resp, err := callLeader[proto.Reports, proto.Reported](ctx, s.leader, wire.KindReports, req, 0)
	if err != nil {
		return nil, err
	}
	if len(resp.Errors) != len(batch) {
		return nil, errkind.New(errkind.Internal, "the leader returned %[2]d results for %[1]d reports", len(batch), len(resp.Errors))
	}
	out := make([]error, len(batch))
	for i, body := range resp.Errors {
		if body != nil {
			out[i] = body.Err()
		}
	}
	return out, nil
}
