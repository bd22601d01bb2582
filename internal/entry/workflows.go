package entry

import (
	"context"
	"net/http"

	"github.com/labstack/echo/v4"

	"github.com/filbertmast/filbertmast/internal/api"
	"github.com/filbertmast/filbertmast/internal/bodylimit"
	"github.com/filbertmast/filbertmast/internal/model"
	"github.com/filbertmast/filbertmast/internal/proto"
)

func (s *Server) postWorkflow(c echo.Context, caller proto.Caller) error {
	var spec model.WorkflowSpec
	_, release, err := s.readJSON(c, bodylimit.Callers, &spec)
	if err != nil {
		return err
	}
	defer release()
	ctx, cancel := leaderContext(c, 0)
	defer cancel()
	view, err := s.SubmitWorkflow(ctx, caller, &spec)
	if err != nil {
		return err
	}
	status := http.StatusCreated
	if view.Existing {
		status = http.StatusOK
	}
	return c.JSON(status, workflowView(spec.ID, view))
}

// workflowHandler returns the handler of a call about one workflow.
func (s *Server) workflowHandler(do func(context.Context, proto.Caller, model.WorkflowID) (*proto.WorkflowView, error)) handler {
	return func(c echo.Context, caller proto.Caller) error {
		id := model.WorkflowID(c.Param("id"))
		ctx, cancel := leaderContext(c, 0)
		defer cancel()
		view, err := do(ctx, caller, id)
		if err != nil {
			return err
		}
		return c.JSON(http.StatusOK, workflowView(id, view))
	}
}

func workflowView(id model.WorkflowID, v *proto.WorkflowView) api.WorkflowView {
	return api.WorkflowView{ID: id, Phase: v.Phase, Existing: v.Existing}
}
