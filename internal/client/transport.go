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

// NewHTTP returns an HTTP client without an overall timeout: calls end by
// their context. Redirects are refused, since they would carry the key away.
// A nil config trusts the authorities of the system.
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

// mayHaveRun reports whether the sending that failed with err may have run.
func mayHaveRun(err error) bool { return !errkind.RowOf(errkind.Of(err)).NotRun }

// callError returns the error of a call whose last sending failed with err.
// "Not run" is true of the call only when it is true of every sending.
func callError(err error, earlierMayHaveRun bool) error {
	if !earlierMayHaveRun || mayHaveRun(err) {
		return err
	}
	return errkind.New(errkind.OutcomeUnknown, "an earlier sending may have run; of the last: %v", err)
}

// failure is the error of one sending and whether another one is allowed.
type failure struct {
	err       error
	retryable bool
}

// sendFailure judges an error of the transport. Every call of this client is
// safe to send again, but only a read, or a call for which no connection was
// ready, is known not to have run.
func sendFailure(ctx context.Context, err error, notRun bool) *failure {
	var untrusted *tls.CertificateVerificationError
	switch {
	case errors.As(err, &untrusted):
		// Another try meets the same certificate.
		return &failure{err: errkind.Wrap(errkind.Unreachable, err, "the entry process is not trusted")}
	case ctx.Err() != nil && notRun:
		return &failure{err: errkind.Wrap(errkind.Unreachable, err, "the call ended before an entry process answered")}
	case errors.Is(ctx.Err(), context.Canceled):
		return &failure{err: errkind.Wrap(errkind.CallerGone, err, "the call was given up")}
	case ctx.Err() != nil:
		return &failure{err: errkind.Wrap(errkind.DeadlineExceeded, err, "no answer in time")}
	case notRun:
		return &failure{err: errkind.Wrap(errkind.Unreachable, err, "the entry process cannot be reached"), retryable: true}
	}
	return &failure{
		err:       errkind.Wrap(errkind.OutcomeUnknown, err, "the connection was lost before the answer"),
		retryable: true,
	}
}

// traceConnection returns a context for one sending and a function that tells
// whether a connection was ready for it, TLS included: before that nothing of
// the call was sent.
func traceConnection(ctx context.Context) (context.Context, func() bool) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	return httptrace.WithClientTrace(ctx, trace), connected.Load
}

// readFailure judges an answer that broke off.
func readFailure(ctx context.Context, err error, read bool) *failure {
	if ctx.Err() != nil {
		return sendFailure(ctx, err, read)
	}
	return &failure{
		err:       errkind.Wrap(errkind.AnswerCutOff, err, "the answer was cut off"),
		retryable: true,
	}
}

// remoteFailure judges an error that the system has told: only a truthful "not run"
// with advice to retry is worth another sending.
func remoteFailure(err error) *failure {
	row := errkind.RowOf(errkind.Of(err))
	return &failure{err: err, retryable: row.NotRun && errkind.RetryAfter(err) > 0}
}
