package client

import (
	"context"
	"net/http"
	"net/url"

	"github.com/filbertmast/filbertmast/internal/api"
	"github.com/filbertmast/filbertmast/internal/model"
)

// SubmitWorkflow submits a workflow. It is idempotent by the workflow's ID.
func (c *Client) SubmitWorkflow(ctx context.Context, spec model.WorkflowSpec) (api.WorkflowView, error) {
	var view api.WorkflowView
	err := c.call(ctx, call{method: http.MethodPost, path: "/v1/workflows"}, spec, &view)
	return view, err
}

// Workflow returns the current state of a workflow.
func (c *Client) Workflow(ctx context.Context, id model.WorkflowID) (api.WorkflowView, error) {
	var view api.WorkflowView
	err := c.call(ctx, call{method: http.MethodGet, path: workflowPath(id), read: true}, nil, &view)
	return view, err
}

// CancelWorkflow cancels a workflow. It does not change a workflow that has ended.
func (c *Client) CancelWorkflow(ctx context.Context, id model.WorkflowID) (api.WorkflowView, error) {
	var view api.WorkflowView
	err := c.call(ctx, call{method: http.MethodDelete, path: workflowPath(id)}, nil, &view)
	return view, err
}

func workflowPath(id model.WorkflowID) string { return "/v1/workflows/" + url.PathEscape(string(id)) }
