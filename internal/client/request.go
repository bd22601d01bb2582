package client

import (
	"context"
	"net/http"
	"net/url"
	"time"

	"github.com/filbertmast/filbertmast/internal/api"
	"github.com/filbertmast/filbertmast/internal/model"
)

// RequestOptions configure one request to a service.
type RequestOptions struct {
	Body        []byte
	ContentType string
	// NotRepeatable makes the system run the request at most once. An empty
	// IdempotencyKey is then replaced by a new one.
	NotRepeatable  bool
	IdempotencyKey string
	Deadline       model.Duration // 0: the service's default
	Patience       model.Duration
}

// Request sends a request to a service and returns the complete answer of the
// executor, whatever its status. An error was returned by the system or comes from
// the connection. Its kind is deadline_exceeded if no answer arrived within answerGrace
// after the deadline of the request.
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

// answerTimeout is the timeout of one attempt; 0 if the request has no deadline.
func (o RequestOptions) answerTimeout() time.Duration {
	if o.Deadline <= 0 {
		return 0
	}
	return o.Deadline.Std() + answerGrace
}

// header returns the options as HTTP headers. A request that is not repeatable can be
// retried because the system stores its key and answer.
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
