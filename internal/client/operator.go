package client

import (
	"context"
	"net/http"
	"net/url"

	"github.com/filbertmast/filbertmast/internal/api"
	"github.com/filbertmast/filbertmast/internal/model"
)

// Declarations returns the current declarations and their version.
func (c *Client) Declarations(ctx context.Context) (api.DeclarationsView, error) {
	var view api.DeclarationsView
	err := c.call(ctx, call{method: http.MethodGet, path: "/v1/declarations", read: true}, nil, &view)
	return view, err
}

// Apply replaces all declarations if their version is still the base version in a.
// The apply ID makes the call idempotent; an empty one is replaced by a new one.
func (c *Client) Apply(ctx context.Context, a api.Apply) (api.Applied, error) {
	if a.ApplyID == "" {
		a.ApplyID = NewIdempotencyKey()
	}
	var out api.Applied
	err := c.call(ctx, call{method: http.MethodPut, path: "/v1/declarations"}, a, &out)
	return out, err
}

// Status returns the state of the deployment as known to one entry process.
func (c *Client) Status(ctx context.Context) (api.Status, error) {
	var status api.Status
	err := c.call(ctx, call{method: http.MethodGet, path: "/v1/status", read: true}, nil, &status)
	return status, err
}

// GrantKey grants a key. It is idempotent.
func (c *Client) GrantKey(ctx context.Context, key model.Key) (api.Applied, error) {
	var out api.Applied
	err := c.call(ctx, call{method: http.MethodPost, path: "/v1/keys"}, key, &out)
	return out, err
}

// WithdrawKey withdraws the key with the given digest.
func (c *Client) WithdrawKey(ctx context.Context, digest model.KeyDigest) (api.Applied, error) {
	var out api.Applied
	path := "/v1/keys/" + url.PathEscape(string(digest))
	err := c.call(ctx, call{method: http.MethodDelete, path: path}, nil, &out)
	return out, err
}

// Workers returns the workers whose labels match selector.
func (c *Client) Workers(ctx context.Context, selector string) ([]api.WorkerView, error) {
	query := make(url.Values)
	if selector != "" {
		query.Set("selector", selector)
	}
	var list api.WorkerList
	err := c.call(ctx, call{method: http.MethodGet, path: "/v1/workers", query: query, read: true}, nil, &list)
	return list.Workers, err
}

// WorkerAction is an operator action on a worker.
type WorkerAction string

// The worker actions.
const (
	Cordon WorkerAction = "cordon" // no new work
	Drain  WorkerAction = "drain"  // no new work, and its tasks are moved to other workers
	Open   WorkerAction = "open"   // accepts new work again
)

// SetWorker applies an action to a worker. It is idempotent.
func (c *Client) SetWorker(ctx context.Context, id model.WorkerID, action WorkerAction) (api.WorkerView, error) {
	var view api.WorkerView
	path := "/v1/workers/" + url.PathEscape(string(id)) + "/" + string(action)
	err := c.call(ctx, call{method: http.MethodPost, path: path}, nil, &view)
	return view, err
}

// Evacuate begins the evacuation of a failure domain. It is idempotent.
func (c *Client) Evacuate(ctx context.Context, domain string) (api.EvacuationView, error) {
	return c.setEvacuation(ctx, http.MethodPost, domain)
}

// FinishEvacuation ends the evacuation of a failure domain. It is idempotent.
func (c *Client) FinishEvacuation(ctx context.Context, domain string) (api.EvacuationView, error) {
	return c.setEvacuation(ctx, http.MethodDelete, domain)
}

func (c *Client) setEvacuation(ctx context.Context, method, domain string) (api.EvacuationView, error) {
	var view api.EvacuationView
	err := c.call(ctx, call{method: method, path: "/v1/evacuations/" + url.PathEscape(domain)}, nil, &view)
	return view, err
}

// Ready returns nil if the entry accepts callers, or an error with the reason why it
// does not.
func (c *Client) Ready(ctx context.Context) error {
	return c.call(ctx, call{method: http.MethodGet, path: "/readyz"}, nil, nil)
}
