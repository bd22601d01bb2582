package client

import (
	"context"
	"net/http"
	"net/url"
	"strconv"

	"github.com/google/uuid"

	"github.com/filbertmast/filbertmast/internal/api"
	"github.com/filbertmast/filbertmast/internal/model"
)

// NewIdempotencyKey returns a random idempotency key for one submission or request.
func NewIdempotencyKey() string { return uuid.NewString() }

// Submit submits a job with an idempotency key. An empty key is replaced by a new one.
func (c *Client) Submit(ctx context.Context, spec model.JobSpec, idempotencyKey string) (api.JobView, error) {
	if idempotencyKey == "" {
		idempotencyKey = NewIdempotencyKey()
	}
	var view api.JobView
	err := c.call(ctx, call{
		method: http.MethodPost,
		path:   "/v1/jobs",
		header: http.Header{api.HeaderIdempotencyKey: {idempotencyKey}},
	}, spec, &view)
	return view, err
}

// Quote returns the price of a job and whether it could run, without submitting it.
func (c *Client) Quote(ctx context.Context, spec model.JobSpec) (api.Quote, error) {
	var quote api.Quote
	err := c.call(ctx, call{
		method: http.MethodPost,
		path:   "/v1/jobs",
		query:  url.Values{"dry_run": {"true"}},
		read:   true,
	}, spec, &quote)
	return quote, err
}

// JobQuery selects what Job returns and how long it waits.
type JobQuery struct {
	// Wait is the maximum time to wait for the end of the job, or for a version
	// above Since.
	Wait    model.Duration
	Since   uint64
	Explain bool // include the reasons why tasks are waiting
}

// Job returns one job, immediately or after the wait in q.
func (c *Client) Job(ctx context.Context, id model.JobID, q JobQuery) (api.JobView, error) {
	query := make(url.Values)
	if q.Wait > 0 {
		query.Set("wait", q.Wait.String())
	}
	if q.Since > 0 {
		query.Set("since", strconv.FormatUint(q.Since, 10))
	}
	if q.Explain {
		query.Set("why", "true")
	}
	var view api.JobView
	err := c.call(ctx, call{method: http.MethodGet, path: "/v1/jobs/" + id.String(), query: query, read: true}, nil, &view)
	return view, err
}

// jobsPageSize is the number of jobs requested per call.
const jobsPageSize = 1000

// Jobs returns all jobs of the key's team whose labels match selector, ordered by ID.
// It reads all pages.
func (c *Client) Jobs(ctx context.Context, selector string) ([]api.JobView, error) {
	query := url.Values{"limit": {strconv.Itoa(jobsPageSize)}}
	if selector != "" {
		query.Set("selector", selector)
	}
	var jobs []api.JobView
	for {
		var page api.JobList
		if err := c.call(ctx, call{method: http.MethodGet, path: "/v1/jobs", query: query, read: true}, nil, &page); err != nil {
			return nil, err
		}
		jobs = append(jobs, page.Jobs...)
		if page.Next == "" || page.Next == query.Get("after") {
			return jobs, nil
		}
		query.Set("after", page.Next)
	}
}

// Cancel cancels one job. It does not change a job that has ended.
func (c *Client) Cancel(ctx context.Context, id model.JobID) (api.JobView, error) {
	var view api.JobView
	err := c.call(ctx, call{method: http.MethodDelete, path: "/v1/jobs/" + id.String()}, nil, &view)
	return view, err
}

// CancelMatching cancels all jobs of the key's team whose labels match selector.
func (c *Client) CancelMatching(ctx context.Context, selector string) (api.Cancelled, error) {
	var out api.Cancelled
	err := c.call(ctx, call{
		method: http.MethodDelete,
		path:   "/v1/jobs",
		query:  url.Values{"selector": {selector}},
	}, nil, &out)
	return out, err
}
