package client

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/filbertmast/filbertmast/internal/api"
	"github.com/filbertmast/filbertmast/internal/errkind"
)

// call describes one API call. Every call is idempotent: reads by nature, and others
// because they set a complete state or have an idempotency key.
type call struct {
	method string
	path   string // relative to the base URL, escaped
	query  url.Values
	header http.Header
	body   []byte
	read   bool // changes nothing
	// timeout bounds each attempt; 0: only the caller's context bounds it.
	timeout time.Duration
	// passExecutorStatus returns error statuses of the executor as answers
	// instead of errors.
	passExecutorStatus bool
}

// Answer is the complete response to a call.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
}

// do sends call until it is answered, fails permanently, or runs out of attempts.
// After each failure the next attempt goes to the next address.
func (c *Client) do(ctx context.Context, call call) (*Answer, error) {
	wait := c.backoff
	earlierMayHaveRun := false // an earlier attempt may have been executed
	for attempt := 1; ; attempt++ {
		at := c.current.Load()
		answer, failed := c.send(ctx, call, c.base(at))
		if failed == nil {
			return answer, nil
		}
		c.current.CompareAndSwap(at, at+1)
		pause := max(c.jitter(wait), errkind.RetryAfter(failed.err))
		if !failed.retryable || attempt >= c.attempts || !c.pause(ctx, failed.err, pause) {
			return nil, callError(failed.err, earlierMayHaveRun)
		}
		earlierMayHaveRun = earlierMayHaveRun || (!call.read && mayHaveRun(failed.err))
		wait = min(2*wait, maxBackoff)
	}
}

// pause waits before a retry. It returns false if ctx ends first, without waiting if
// the deadline of ctx is within the wait.
func (c *Client) pause(ctx context.Context, err error, wait time.Duration) bool {
	if deadline, ok := ctx.Deadline(); ok && time.Until(deadline) <= wait {
		return false
	}
	if c.onRetry != nil {
		c.onRetry(Retry{Err: err, Wait: wait, Address: c.base(c.current.Load()).String()})
	}
	return c.sleep(ctx, wait) == nil
}

func (c *Client) base(at int64) *url.URL { return c.bases[at%int64(len(c.bases))] }

// send makes one attempt at call.
func (c *Client) send(ctx context.Context, call call, base *url.URL) (*Answer, *failure) {
	if call.timeout > 0 {
		bounded, cancel := context.WithTimeout(ctx, call.timeout)
		defer cancel()
		ctx = bounded
	}
	traced, connected := traceConnection(ctx)
	req, err := c.request(traced, call, base)
	if err != nil {
		return nil, &failure{err: errkind.Wrap(errkind.BadRequest, err, "cannot create the HTTP request")}
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, sendFailure(ctx, err, call.read || !connected())
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes+1))
	if err != nil {
		return nil, readFailure(ctx, err, call.read)
	}
	if len(body) > maxAnswerBytes {
		return nil, &failure{err: errkind.New(errkind.AnswerTooLarge, "the answer has more than %d bytes", maxAnswerBytes)}
	}
	answer := &Answer{Status: resp.StatusCode, Header: resp.Header, Body: body}
	if err := answerError(answer, call); err != nil {
		return nil, remoteFailure(err)
	}
	return answer, nil
}

func (c *Client) request(ctx context.Context, call call, base *url.URL) (*http.Request, error) {
	target := base.String() + call.path
	if len(call.query) > 0 {
		target += "?" + call.query.Encode()
	}
	req, err := http.NewRequestWithContext(ctx, call.method, target, bytes.NewReader(call.body))
	if err != nil {
		return nil, err
	}
	for name, values := range call.header {
		req.Header[name] = values
	}
	if c.key != "" {
		req.Header.Set("Authorization", "Bearer "+c.key)
	}
	// net/http retries requests that it considers idempotent. Retries are decided by
	// this client, so the body is passed without a way to rewind it.
	req.GetBody = nil
	return req, nil
}

// answerError returns the error that an answer represents, or nil.
func answerError(a *Answer, call call) error {
	if a.Status < http.StatusMultipleChoices {
		return nil
	}
	kind := a.Header.Get(api.HeaderError)
	if call.passExecutorStatus && kind == "" {
		return nil
	}
	var body errkind.Body
	if err := json.Unmarshal(a.Body, &body); err == nil && body.Kind != "" {
		if body.RequestID == "" {
			body.RequestID = a.Header.Get(api.HeaderRequestID)
		}
		return &RemoteError{Body: body, err: body.Err()}
	}
	return unexpectedAnswer(a, call)
}

// unexpectedAnswer returns the error for a status that was not sent by an entry
// process, for example by a load balancer.
func unexpectedAnswer(a *Answer, call call) error {
	k := errkind.OutcomeUnknown
	if call.read {
		k = errkind.Unreachable
	}
	return errkind.New(k, "received status %d from a server that is not an entry process", a.Status)
}

// RemoteError is an error returned by the system, with its complete body.
type RemoteError struct {
	Body errkind.Body
	err  error
}

// Error implements error.
func (e *RemoteError) Error() string { return e.Body.Message }

// Unwrap returns the error that carries the kind.
func (e *RemoteError) Unwrap() error { return e.err }

// BodyOf returns the error body of err. If err was not returned by the system, the
// body is created from its kind.
func BodyOf(err error) errkind.Body {
	var remote *RemoteError
	if errors.As(err, &remote) {
		return remote.Body
	}
	body := errkind.BodyOf(err, "")
	if body.Kind == errkind.Internal {
		// The error occurred in this process, so its text may be shown to the user.
		body.Message = err.Error()
	}
	return body
}

// call sends a call with in as its JSON body, unless in is nil, and decodes the JSON
// answer into out, unless out is nil.
func (c *Client) call(ctx context.Context, call call, in, out any) error {
	if in != nil {
		data, err := json.Marshal(in)
		if err != nil {
			return errkind.Wrap(errkind.BadRequest, err, "cannot encode the request body")
		}
		call.body = data
		call.header = withHeader(call.header, "Content-Type", "application/json")
	}
	answer, err := c.do(ctx, call)
	if err != nil {
		return err
	}
	if out == nil || len(answer.Body) == 0 {
		return nil
	}
	if err := json.Unmarshal(answer.Body, out); err != nil {
		return fmt.Errorf("cannot decode the JSON answer: %w", err)
	}
	return nil
}

func withHeader(h http.Header, name, value string) http.Header {
	if h == nil {
		h = make(http.Header)
	}
	h.Set(name, value)
	return h
}
