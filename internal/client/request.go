package client

import (
	"context"
	"net/http"
	"net/url"
	"time"

	"github.com/filbertmast/filbertmast/internal/api"
	"github.com/filbertmast/filbertmast/internal/model"
)

// RequestOptions describe one request to a service.
type RequestOptions struct {
	Body        []byte
	ContentType string
	// NotRepeatable makes the system run the request at most once. It needs an
	// idempotency key, which is made when empty.
	NotRepeatable  bool
	IdempotencyKey string
	Deadline       model.Duration // 0: the service's default
	Patience       model.Duration
}

// Request sends a request to a service and returns the executor's whole
// answer, whatever its status. The error is one that the system told, or one
// of the connection; deadline_exceeded when no answer came by the deadline of
// the request.
func (c *Client) Request(ctx context.Context, service string, o RequestOptions) (*Answer, error) {
	return c.do(ctx, call{
		method:             http.MethodPost,
		path:               "/v1/services/" + url.PathEscape(service) + "/requests",
		header:             o.header(),
		body:               o.Body,
		timeout:            o.answerTimeout(),
		passExecutorStatus: true,
	})
}

// answerTimeout is how long an answer is waited for; 0 without a deadline.
func (o RequestOptions) answerTimeout() time.Duration {
	if o.Deadline <= 0 {
		return 0
	}
	return o.Deadline.Std() + answerGrace
}

// header writes the options as headers. A request that may run only once is
// safe to send again, since the system keeps its key and answer.
func (o RequestOptions) header() http.Header {
	h := make(http.Header)
	if o.ContentType != "" {
		h.Set("Content-Type", o.ContentType)
	}
	if o.NotRepeatable {
		h.Set(api.HeaderRepeatable, "false")
		if o.IdempotencyKey == "" {
			o.IdempotencyKey = NewIdempotencyKey()
		}
	}
	if o.IdempotencyKey != "" {
		h.Set(api.HeaderIdempotencyKey, o.IdempotencyKey)
	}
	if o.Deadline > 0 {
		h.Set(api.HeaderDeadline, o.Deadline.String())
	}
	if o.Patience > 0 {
		h.Set(api.HeaderPatience, o.Patience.String())
	}
	return h
}
