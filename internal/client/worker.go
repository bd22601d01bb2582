package client

import (
	"context"
	"net/http"
	"net/url"
	"strconv"

	"github.com/filbertmast/filbertmast/internal/api"
	"github.com/filbertmast/filbertmast/internal/model"
)

// Announce announces a worker. Each announcement begins a new session and ends the
// previous one.
func (c *Client) Announce(ctx context.Context, spec model.WorkerSpec) (api.AnnounceAnswer, error) {
	var out api.AnnounceAnswer
	err := c.call(ctx, call{method: http.MethodPost, path: "/v1/workers"}, spec, &out)
	return out, err
}

// Heartbeat renews the lease of a worker. The worker must measure the lease from
// before this call, so that retries within the call can only shorten it.
func (c *Client) Heartbeat(ctx context.Context, id model.WorkerID, hb api.Heartbeat) (api.HeartbeatAnswer, error) {
	var out api.HeartbeatAnswer
	err := c.call(ctx, call{method: http.MethodPost, path: workerPath(id, "heartbeat")}, hb, &out)
	return out, err
}

// Commands is a long poll for commands to a worker. It returns after at most wait.
func (c *Client) Commands(ctx context.Context, id model.WorkerID, session uint64, wait model.Duration) ([]api.Command, error) {
	query := url.Values{"session": {strconv.FormatUint(session, 10)}, "wait": {wait.String()}}
	var out api.Commands
	err := c.call(ctx, call{method: http.MethodGet, path: workerPath(id, "commands"), query: query, read: true}, nil, &out)
	return out.Commands, err
}

// Report reports the states of tasks. Duplicate reports have no effect.
func (c *Client) Report(ctx context.Context, id model.WorkerID, reports api.Reports) error {
	return c.call(ctx, call{method: http.MethodPost, path: workerPath(id, "reports")}, reports, nil)
}

func workerPath(id model.WorkerID, rest string) string {
	return "/v1/workers/" + url.PathEscape(string(id)) + "/" + rest
}
