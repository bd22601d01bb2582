package errkind

import (
	"net/http"
	"time"
)

// Exit codes of the command line, by group of kinds.
const (
	ExitOK        = 0
	ExitInternal  = 1
	ExitUsage     = 2
	ExitRefused   = 3 // the call was valid and rejected; not run
	ExitConflict  = 4
	ExitTryLater  = 5 // not run; a later attempt may succeed
	ExitUnknown   = 6 // may have run
	ExitJobFailed = 7 // the job ended without success
)

// Row describes the response for one error kind.
type Row struct {
	Status int // HTTP status code
	// NotRun guarantees that nothing was started for the caller. A kind with
	// NotRun may be returned only while nothing has been sent to a target.
	NotRun     bool
	RetryAfter time.Duration // zero: a retry without a change will not help
	Exit       int
	Advice     string // what the caller can do, one sentence; also in docs/API.md
}

const (
	retrySoon  = 200 * time.Millisecond
	retryLater = 2 * time.Second
)

var table = map[Kind]Row{
	BadRequest:          {http.StatusBadRequest, true, 0, ExitUsage, "Correct the request."},
	BodyTooLarge:        {http.StatusRequestEntityTooLarge, true, 0, ExitUsage, "Send a smaller body."},
	KeyMissing:          {http.StatusUnauthorized, true, 0, ExitRefused, "Send Authorization: Bearer KEY."},
	KeyUnknown:          {http.StatusUnauthorized, true, 0, ExitRefused, "Use a key that an operator has granted."},
	KeyWithdrawn:        {http.StatusUnauthorized, true, 0, ExitRefused, "Ask an operator for a new key."},
	Forbidden:           {http.StatusForbidden, true, 0, ExitRefused, "Use a key with the right for this call."},
	ForeignTeam:         {http.StatusForbidden, true, 0, ExitRefused, "Name the team that the key belongs to."},
	QueueClosed:         {http.StatusForbidden, true, 0, ExitRefused, "Use a queue that admits the team."},
	UnknownQueue:        {http.StatusNotFound, true, 0, ExitUsage, "Name a declared queue."},
	UnknownService:      {http.StatusNotFound, true, 0, ExitUsage, "Name a declared service."},
	UnknownJob:          {http.StatusNotFound, true, 0, ExitUsage, "Name a job of the team that is still kept."},
	UnknownWorker:       {http.StatusNotFound, true, retrySoon, ExitUsage, "Announce the worker, or name one that is known."},
	UnknownDomain:       {http.StatusNotFound, true, 0, ExitUsage, "Name a failure domain that has workers or that the settings name."},
	UnknownPath:         {http.StatusNotFound, true, 0, ExitUsage, "Use a path of the API page."},
	NoMatchingWorker:    {http.StatusUnprocessableEntity, true, 0, ExitRefused, "Change the selector: no worker has such labels."},
	NeverFits:           {http.StatusUnprocessableEntity, true, 0, ExitRefused, "Ask for less: no worker is large enough."},
	IdempotencyConflict: {http.StatusConflict, true, 0, ExitConflict, "Use a new Idempotency-Key for another body."},
	VersionConflict:     {http.StatusConflict, true, 0, ExitConflict, "Read the current version and apply on top of it."},
	BadDeclarations:     {http.StatusUnprocessableEntity, true, 0, ExitUsage, "Correct the declarations."},
	SettingsStale:       {http.StatusServiceUnavailable, true, retryLater, ExitTryLater, "Try another entry or later: this one is cut off."},
	NoLeader:            {http.StatusServiceUnavailable, true, retrySoon, ExitTryLater, "Try again: an election is under way."},
	NotLeader:           {http.StatusServiceUnavailable, true, retrySoon, ExitTryLater, "Try again: leadership has moved."},
	Overloaded:          {http.StatusTooManyRequests, true, retryLater, ExitTryLater, "Send less, or with more patience."},
	QueueFull:           {http.StatusTooManyRequests, true, retryLater, ExitTryLater, "Try again when work has drained."},
	LimitReached:        {http.StatusTooManyRequests, true, retrySoon, ExitTryLater, "The team's upper limit is in use; try again."},
	DeadlineBeforeStart: {http.StatusGatewayTimeout, true, retrySoon, ExitTryLater, "Allow more time, or try again."},
	StorageFull:         {http.StatusInsufficientStorage, true, retryLater, ExitTryLater, "An operator must free disk space."},
	Draining:            {http.StatusServiceUnavailable, true, retrySoon, ExitTryLater, "Try again: another entry serves."},
	NoExecutor:          {http.StatusServiceUnavailable, true, retrySoon, ExitTryLater, "Try again: no executor serves now."},
	ExecutorRefused:     {http.StatusServiceUnavailable, true, retrySoon, ExitTryLater, "Try again: the target refused before it started."},
	OwnerMoved:          {http.StatusServiceUnavailable, true, retrySoon, ExitTryLater, "Try again: the executor has a new owner."},
	Unreachable:         {http.StatusServiceUnavailable, true, retrySoon, ExitTryLater, "Try again: no connection could be made."},
	StaleFence:          {http.StatusConflict, true, 0, ExitConflict, "Drop the attempt: a newer one exists."},
	StaleLease:          {http.StatusConflict, true, 0, ExitConflict, "Stop all tasks and announce the worker again."},
	StillRunning:        {http.StatusConflict, false, retryLater, ExitUnknown, "The first send is still running; ask again."},
	OutcomeUnknown:      {http.StatusBadGateway, false, 0, ExitUnknown, "The request may have run; check before a resend."},
	AnswerCutOff:        {http.StatusBadGateway, false, 0, ExitUnknown, "The request ran, its answer was lost."},
	AnswerTooLarge:      {http.StatusBadGateway, false, 0, ExitUnknown, "The request ran, its answer is over the limit."},
	DeadlineExceeded:    {http.StatusGatewayTimeout, false, 0, ExitUnknown, "The request may still run; check before a resend."},
	CallerGone:          {statusClientClosedRequest, false, 0, ExitUnknown, "The caller closed the connection."},
	Internal:            {http.StatusInternalServerError, false, 0, ExitInternal, "Report this with the request ID."},
}

// statusClientClosedRequest is the customary code for a caller that closed the
// connection. It appears in logs only.
const statusClientClosedRequest = 499

// RowOf returns the row of k, or that of Internal if k is not in the table.
func RowOf(k Kind) Row {
	if r, ok := table[k]; ok {
		return r
	}
	return table[Internal]
}

// Kinds returns all kinds in unspecified order.
func Kinds() []Kind {
	out := make([]Kind, 0, len(table))
	for k := range table {
		out = append(out, k)
	}
	return out
}
