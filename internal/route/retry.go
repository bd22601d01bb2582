package route

import (
	"context"
	"net/http"

	"github.com/filbertmast/filbertmast/internal/errkind"
)

// hasRetryableStatus reports whether the status of the answer allows a try with
// another executor, which only a repeatable request gets.
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

// maxTries limits the charged tries of one request.
const maxTries = 4

// reasonStatus is the reason for a retry after an answer with an error status.
const reasonStatus = "error_status"

// mayRetry returns the reason for a retry after err, which is nil after an
// answer with an error status. If stop is not empty, it says why there must be
// no retry.
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

// retryable reports whether a retry after err may succeed and does no harm.
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

// chargesBudget reports whether a retry after err is charged to the retry
// budget. A move of ownership costs the owner nothing and is no failure.
func chargesBudget(err error) bool {
	return !errkind.Is(err, errkind.OwnerMoved) && !errkind.Is(err, errkind.Draining)
}
