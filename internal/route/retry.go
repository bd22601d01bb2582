package route

import (
	"context"
	"net/http"

	"github.com/filbertmast/filbertmast/internal/errkind"
)

// hasRetryableStatus reports whether the answer is one that another executor may better.
func (c *call) hasRetryableStatus(ans *Answer) bool {
	if !c.req.Repeatable {
		return false
	}
	switch ans.Status {
	case http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return true
	}
	return false
}

// maxTries bounds the tries of one request.
const maxTries = 4

// reasonStatus is the reason of a retry after an answer with an error status.
const reasonStatus = "error_status"

// mayRetry returns the reason for a further try after err (nil for an answer
// with an error status), or what stops it.
func (c *call) mayRetry(ctx context.Context, err error) (reason, stop string) {
	reason = reasonStatus
	if err != nil {
		reason = string(errkind.Of(err))
	}
	if chargesBudget(err) {
		c.chargedTries++
	}
	switch {
	case err != nil && !retryable(err, c.req.Repeatable):
		return reason, "reason"
	case !c.body.replayable():
		return reason, "body"
	case c.chargedTries >= maxTries:
		return reason, "tries"
	case ctx.Err() != nil:
		return reason, "deadline"
	case chargesBudget(err) && !c.router.budget.TryWithdraw():
		return reason, "budget"
	}
	return reason, ""
}

// retryable reports whether a further try can help and does no harm.
func retryable(err error, repeatable bool) bool {
	switch errkind.Of(err) {
	case errkind.Unreachable, errkind.ExecutorRefused, errkind.OwnerMoved,
		errkind.Draining, errkind.Overloaded, errkind.NoExecutor:
		return true
	case errkind.OutcomeUnknown, errkind.AnswerCutOff:
		return repeatable
	}
	return false
}

// charged reports whether a retry after err is paid from the budget. Moves of
// ownership cost the owner nothing and are not failures.
func chargesBudget(err error) bool {
	return !errkind.Is(err, errkind.OwnerMoved) && !errkind.Is(err, errkind.Draining)
}
