package client

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"

	"github.com/filbertmast/filbertmast/internal/errkind"
)

// NewHTTP returns an HTTP client without an overall timeout; the context bounds each
// call. Redirects are not followed, since they would send the key to another server.
// A nil config means the certificate authorities of the operating system.
func NewHTTP(config *tls.Config) *http.Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Client{
		Transport: &http.Transport{
			DialContext:         dialer.DialContext,
			TLSClientConfig:     config,
			TLSHandshakeTimeout: dialTimeout,
			MaxIdleConnsPerHost: 64,
			ForceAttemptHTTP2:   true,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// mayHaveRun reports whether the attempt that failed with err may have been executed.
func mayHaveRun(err error) bool { return !errkind.RowOf(errkind.Of(err)).NotRun }

// callError returns the error of a call whose last attempt failed with err. The call is
// reported as not run only if no attempt was run.
func callError(err error, earlierMayHaveRun bool) error {
	if !earlierMayHaveRun || mayHaveRun(err) {
		return err
	}
	return errkind.New(errkind.OutcomeUnknown, "an earlier attempt may have run; the last attempt failed: %v", err)
}

// failure is the error of one attempt and whether the call may be retried.
type failure struct {
	err       error
	retryable bool
}

// sendFailure classifies a transport error. Every call of this client may be retried,
// but only a read or a call that had no connection is known not to have run.
func sendFailure(ctx context.Context, err error, notRun bool) *failure {
	var untrusted *tls.CertificateVerificationError
	switch {
	case errors.As(err, &untrusted):
		// A retry would get the same certificate.
		return &failure{err: errkind.Wrap(errkind.Unreachable, err, "the certificate of the entry process is not trusted")}
	case ctx.Err() != nil && notRun:
		return &failure{err: errkind.Wrap(errkind.Unreachable, err, "the call ended before an entry process answered")}
	case errors.Is(ctx.Err(), context.Canceled):
		return &failure{err: errkind.Wrap(errkind.CallerGone, err, "the caller canceled the call")}
	case ctx.Err() != nil:
		return &failure{err: errkind.Wrap(errkind.DeadlineExceeded, err, "the deadline expired before the answer arrived")}
	case notRun:
		return &failure{err: errkind.Wrap(errkind.Unreachable, err, "the entry process cannot be reached"), retryable: true}
	}
	return &failure{
		err:       errkind.Wrap(errkind.OutcomeUnknown, err, "the connection was lost before the answer"),
		retryable: true,
	}
}

// traceConnection returns a context for one attempt and a function that reports
// whether the attempt got a connection, including the TLS handshake. Before that,
// nothing of the call has been sent.
func traceConnection(ctx context.Context) (context.Context, func() bool) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	return httptrace.WithClientTrace(ctx, trace), connected.Load
}

// readFailure classifies an error while reading the answer.
func readFailure(ctx context.Context, err error, read bool) *failure {
	if ctx.Err() != nil {
		return sendFailure(ctx, err, read)
	}
	return &failure{
		err:       errkind.Wrap(errkind.AnswerCutOff, err, "the connection was lost during the answer"),
		retryable: true,
	}
}

// remoteFailure classifies an error returned by the system. The call is retried only if
// it was not run and the error advises a retry.
func remoteFailure(err error) *failure {
	row := errkind.RowOf(errkind.Of(err))
	return &failure{err: err, retryable: row.NotRun && errkind.RetryAfter(err) > 0}
}
