package entry

import (
	"crypto/sha256"
	"net/http"
	"strconv"
	"time"

	"github.com/google/uuid"
	"github.com/labstack/echo/v4"

	"github.com/filbertmast/filbertmast/internal/api"
	"github.com/filbertmast/filbertmast/internal/bodylimit"
	"github.com/filbertmast/filbertmast/internal/errkind"
	"github.com/filbertmast/filbertmast/internal/model"
	"github.com/filbertmast/filbertmast/internal/proto"
	"github.com/filbertmast/filbertmast/internal/wire"
)

// maxJobWait is the maximum time that one call waits for a job.
const maxJobWait = 60 * time.Second

func (s *Server) submitJob(c echo.Context, caller proto.Caller) error {
	var spec model.JobSpec
	body, release, err := s.readJSON(c, bodylimit.Callers, &spec)
	if err != nil {
		return err
	}
	defer release()
	if err := prepareJob(&spec, caller); err != nil {
		return err
	}
	req := &proto.Submit{Caller: caller, Spec: spec, Digest: sha256.Sum256(body)}
	req.DryRun = c.QueryParam("dry_run") == "true"
	req.IdempotencyKey = c.Request().Header.Get(api.HeaderIdempotencyKey)
	if len(req.IdempotencyKey) > model.MaxNameLength {
		return errkind.New(errkind.BadRequest, "%s has more than %d characters", api.HeaderIdempotencyKey, model.MaxNameLength)
	}
	if req.IdempotencyKey == "" {
		req.IdempotencyKey = "entry-" + uuid.NewString() // makes retries to the leader idempotent
	}
	ctx, cancel := leaderContext(c, 0)
	defer cancel()
	resp, err := callLeader[proto.Submit, proto.Submitted](ctx, s.leader, wire.KindSubmit, req, 0)
	if err != nil {
		return err
	}
	if resp.Quote != nil {
		return c.JSON(http.StatusOK, resp.Quote)
	}
	status := http.StatusCreated
	if resp.Job.Existing {
		status = http.StatusOK
	}
	return c.JSON(status, resp.Job)
}

// prepareJob sets the defaults of a job specification and validates it. The error
// is ForeignTeam or BadRequest.
func prepareJob(spec *model.JobSpec, caller proto.Caller) error {
	if spec.Team == "" {
		spec.Team = caller.Team
	}
	if spec.Team != caller.Team {
		return errkind.New(errkind.ForeignTeam, "the key belongs to team %q, not %q", caller.Team, spec.Team)
	}
	if spec.Class == "" {
		spec.Class = spec.Name
	}
	if err := spec.Validate(); err != nil {
		return errkind.Wrap(errkind.BadRequest, err, "job")
	}
	return nil
}

func (s *Server) getJob(c echo.Context, caller proto.Caller) error {
	id, err := jobID(c)
	if err != nil {
		return err
	}
	wait, err := parseDuration("wait", c.QueryParam("wait"), maxJobWait)
	if err != nil {
		return err
	}
	req := &proto.GetJob{Caller: caller, ID: id, Why: c.QueryParam("why") == "true", Wait: model.Duration(wait)}
	if since := c.QueryParam("since"); since != "" {
		if req.Since, err = strconv.ParseUint(since, 10, 64); err != nil {
			return errkind.New(errkind.BadRequest, "since %q is not a version number", since)
		}
	}
	ctx, cancel := leaderContext(c, wait)
	defer cancel()
	view, err := callLeader[proto.GetJob, api.JobView](ctx, s.leader, wire.KindGetJob, req, wait)
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, view)
}

func jobID(c echo.Context) (model.JobID, error) {
	id, err := model.ParseJobID(c.Param("id"))
	if err != nil {
		return 0, errkind.Wrap(errkind.BadRequest, err, "path")
	}
	return id, nil
}

func (s *Server) listJobs(c echo.Context, caller proto.Caller) error {
	req := &proto.ListJobs{Caller: caller, Selector: c.QueryParam("selector")}
	if text := c.QueryParam("limit"); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil || n < 1 {
			return errkind.New(errkind.BadRequest, "limit %q is not a positive number", text)
		}
		req.Limit = n
	}
	if text := c.QueryParam("after"); text != "" {
		id, err := model.ParseJobID(text)
		if err != nil {
			return errkind.Wrap(errkind.BadRequest, err, "after")
		}
		req.After = id
	}
	ctx, cancel := leaderContext(c, 0)
	defer cancel()
	resp, err := callLeader[proto.ListJobs, proto.Jobs](ctx, s.leader, wire.KindListJobs, req, 0)
	if err != nil {
		return err
	}
	list := api.JobList{Jobs: resp.Jobs}
	if resp.Next != 0 {
		list.Next = resp.Next.String()
	}
	return c.JSON(http.StatusOK, list)
}

func (s *Server) cancelJob(c echo.Context, caller proto.Caller) error {
	id, err := jobID(c)
	if err != nil {
		return err
	}
	if _, err := s.cancel(c, &proto.Cancel{Caller: caller, ID: id}); err != nil {
		return err
	}
	ctx, cancel := leaderContext(c, 0)
	defer cancel()
	view, err := callLeader[proto.GetJob, api.JobView](ctx, s.leader, wire.KindGetJob, &proto.GetJob{Caller: caller, ID: id}, 0)
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, view)
}

func (s *Server) cancelJobs(c echo.Context, caller proto.Caller) error {
	selector := c.QueryParam("selector")
	if selector == "" {
		return errkind.New(errkind.BadRequest, "cancelling several jobs needs a selector")
	}
	n, err := s.cancel(c, &proto.Cancel{Caller: caller, Selector: selector})
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, api.Cancelled{Jobs: int64(n)})
}

func (s *Server) cancel(c echo.Context, req *proto.Cancel) (int, error) {
	ctx, cancel := leaderContext(c, 0)
	defer cancel()
	resp, err := callLeader[proto.Cancel, proto.Cancelled](ctx, s.leader, wire.KindCancel, req, 0)
	if err != nil {
		return 0, err
	}
	return resp.Count, nil
}
