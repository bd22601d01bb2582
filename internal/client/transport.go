package client

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"

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

// failure is the error of one sending and whether another one is allowed.
type failure struct {
	err   error
	retry bool
}

// sendFailure judges an error of the transport. Every call of this client is
// safe to send again, but only a read, or a call for which no connection could
// be made, is known not to have run.
func sendFailure(ctx context.Context, err error, read bool) *failure {
	switch {
	case errors.Is(ctx.Err(), context.Canceled):
		return &failure{err: errkind.Wrap(errkind.CallerGone, err, "the call was given up")}
	case ctx.Err() != nil:
		return &failure{err: errkind.Wrap(errkind.DeadlineExceeded, err, "no answer in time")}
	case notSent(err), read:
		return &failure{err: errkind.Wrap(errkind.Unreachable, err, "the entry process cannot be reached"), retry: true}
	}
	return &failure{
		err:   errkind.Wrap(errkind.OutcomeUnknown, err, "the connection was lost before the answer"),
		retry: true,
	}
}

// notSent reports whether err happened while the connection was being made.
func notSent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// readFailure judges an answer that broke off.
func readFailure(ctx context.Context, err error, read bool) *failure {
	if ctx.Err() != nil {
		return sendFailure(ctx, err, read)
	}
	return &failure{
		err:   errkind.Wrap(errkind.AnswerCutOff, err, "the answer was cut off"),
		retry: true,
	}
}

// refusal judges an error that the system has told: only a truthful "not run"
// with advice to retry is worth another sending.
func refusal(err error) *failure {
	row := errkind.RowOf(errkind.Of(err))
	return &failure{err: err, retry: row.NotRun && errkind.RetryAfter(err) > 0}
}
