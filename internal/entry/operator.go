package entry

import (
	"net/http"

	"github.com/labstack/echo/v4"

	"github.com/filbertmast/filbertmast/internal/api"
	"github.com/filbertmast/filbertmast/internal/bodylimit"
	"github.com/filbertmast/filbertmast/internal/declare"
	"github.com/filbertmast/filbertmast/internal/errkind"
	"github.com/filbertmast/filbertmast/internal/model"
	"github.com/filbertmast/filbertmast/internal/proto"
	"github.com/filbertmast/filbertmast/internal/wire"
)

// forwardCall forwards an operator's call to the leader and returns its response.
func forwardCall[Req, Resp any](s *Server, c echo.Context, k wire.Kind, req *Req) error {
	ctx, cancel := leaderContext(c, 0)
	defer cancel()
	resp, err := callLeader[Req, Resp](ctx, s.leader, k, req, 0)
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, resp)
}

// changeConfig sends a change of the configuration to the leader. It then updates
// the local copy, so that the operator's next call to this entry process uses the
// new configuration.
func changeConfig[Req any](s *Server, c echo.Context, k wire.Kind, req *Req) error {
	ctx, cancel := leaderContext(c, 0)
	defer cancel()
	resp, err := callLeader[Req, api.Applied](ctx, s.leader, k, req, 0)
	if err != nil {
		return err
	}
	if err := s.register(ctx); err != nil {
		s.log.Debug("The leader accepted the configuration change, the local copy is not updated yet.", "version", resp.Version, "err", err)
	}
	return c.JSON(http.StatusOK, resp)
}

func (s *Server) applyDeclarations(c echo.Context, caller proto.Caller) error {
	req := &proto.Declare{Caller: caller}
	_, release, err := s.readJSON(c, bodylimit.Operators, &req.Apply)
	if err != nil {
		return err
	}
	defer release()
	if req.Apply.ApplyID == "" && req.Apply.Revision == 0 {
		return errkind.New(errkind.BadRequest, "apply_id or revision must be set, so that a repeated apply is recognised")
	}
	if problems := declare.Validate(&req.Apply.Declarations); len(problems) > 0 {
		return errkind.New(errkind.BadDeclarations, "%s", problems.Error())
	}
	return changeConfig(s, c, wire.KindDeclare, req)
}

func (s *Server) getDeclarations(c echo.Context, _ proto.Caller) error {
	return forwardCall[proto.Empty, api.DeclarationsView](s, c, wire.KindDeclarations, &proto.Empty{})
}

func (s *Server) grantKey(c echo.Context, caller proto.Caller) error {
	req := &proto.Key{Caller: caller}
	_, release, err := s.readJSON(c, bodylimit.Operators, &req.Key)
	if err != nil {
		return err
	}
	defer release()
	return changeConfig(s, c, wire.KindKey, req)
}

func (s *Server) withdrawKey(c echo.Context, caller proto.Caller) error {
	req := &proto.Key{Caller: caller, Key: model.Key{Digest: model.KeyDigest(c.Param("digest"))}, Withdraw: true}
	if !declare.ValidDigest(req.Key.Digest) {
		return errkind.New(errkind.BadRequest, "the digest must have 64 hex digits")
	}
	return changeConfig(s, c, wire.KindKey, req)
}

func (s *Server) listWorkers(c echo.Context, _ proto.Caller) error {
	sel, err := model.ParseSelector(c.QueryParam("selector"))
	if err != nil {
		return errkind.Wrap(errkind.BadRequest, err, "query")
	}
	ctx, cancel := leaderContext(c, 0)
	defer cancel()
	resp, err := callLeader[proto.Empty, proto.Workers](ctx, s.leader, wire.KindWorkers, &proto.Empty{}, 0)
	if err != nil {
		return err
	}
	list := api.WorkerList{Workers: []api.WorkerView{}}
	for _, w := range resp.Workers {
		if sel.Matches(w.Spec.Labels) {
			list.Workers = append(list.Workers, w)
		}
	}
	return c.JSON(http.StatusOK, list)
}

func (s *Server) setMode(mode model.WorkerMode) handler {
	return func(c echo.Context, caller proto.Caller) error {
		req := &proto.SetMode{Caller: caller, Worker: model.WorkerID(c.Param("id")), Mode: mode}
		return forwardCall[proto.SetMode, api.WorkerView](s, c, wire.KindSetMode, req)
	}
}

func (s *Server) getStatus(c echo.Context, _ proto.Caller) error {
	ctx, cancel := leaderContext(c, 0)
	defer cancel()
	st, err := callLeader[proto.Empty, api.Status](ctx, s.leader, wire.KindStatus, &proto.Empty{}, 0)
	if err != nil {
		return err
	}
	st.Entry = s.self.Name
	return c.JSON(http.StatusOK, st)
}
