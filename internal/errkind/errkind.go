// Package errkind defines the closed list of error kinds that the system reports
// to its callers, and the table with the HTTP status, exit code and retry advice
// of each kind. The kind is attached to an error with merry; an error without a
// kind counts as Internal.
package errkind

import (
	"time"

	"github.com/ansel1/merry/v2"
)

// Kind is the reason why a call was rejected or got no response.
type Kind string

// The error kinds. Each has a row in the table.
const (
	BadRequest          Kind = "bad_request"
	BodyTooLarge        Kind = "body_too_large"
	KeyMissing          Kind = "key_missing"
	KeyUnknown          Kind = "key_unknown"
	KeyWithdrawn        Kind = "key_withdrawn"
	Forbidden           Kind = "forbidden"
	ForeignTeam         Kind = "foreign_team"
	QueueClosed         Kind = "queue_closed"
	UnknownQueue        Kind = "unknown_queue"
	UnknownService      Kind = "unknown_service"
	UnknownJob          Kind = "unknown_job"
	UnknownWorker       Kind = "unknown_worker"
	UnknownDomain       Kind = "unknown_domain"
	UnknownPath         Kind = "unknown_path"
	NoMatchingWorker    Kind = "no_matching_worker"
	NeverFits           Kind = "never_fits"
	IdempotencyConflict Kind = "idempotency_conflict"
	VersionConflict     Kind = "version_conflict"
	BadDeclarations     Kind = "bad_declarations"
	SettingsStale       Kind = "settings_stale"
	NoLeader            Kind = "no_leader"
	NotLeader           Kind = "not_leader"
	Overloaded          Kind = "overloaded"
	QueueFull           Kind = "queue_full"
	LimitReached        Kind = "limit_reached"
	DeadlineBeforeStart Kind = "deadline_before_start"
	StorageFull         Kind = "storage_full"
	Draining            Kind = "draining"
	NoExecutor          Kind = "no_executor"
	ExecutorRefused     Kind = "executor_refused"
	OwnerMoved          Kind = "owner_moved"
	Unreachable         Kind = "unreachable"
	StaleFence          Kind = "stale_fence"
	StaleLease          Kind = "stale_lease"
	StillRunning        Kind = "still_running"
	OutcomeUnknown      Kind = "outcome_unknown"
	AnswerCutOff        Kind = "answer_cut_off"
	AnswerTooLarge      Kind = "answer_too_large"
	DeadlineExceeded    Kind = "deadline_exceeded"
	CallerGone          Kind = "caller_gone"
	Internal            Kind = "internal"
)

type valueKey int

const (
	kindKey valueKey = iota
	retryAfterKey
)

// These errors are responses to callers and occur at high rates. Capturing a stack
// trace for each would cost more than the response itself and would flood the logs.
func init() { merry.SetStackCaptureEnabled(false) }

// New returns an error of kind k. The message is sent to the caller and must not
// contain keys.
func New(k Kind, format string, args ...any) error {
	return merry.Wrap(merry.Errorf(format, args...), merry.WithValue(kindKey, k))
}

// Wrap returns err with kind k and with message prepended to its text.
func Wrap(k Kind, err error, message string) error {
	return merry.Wrap(err, merry.WithValue(kindKey, k), merry.PrependMessage(message))
}

// WithRetryAfter returns err with the advice to retry after d.
func WithRetryAfter(err error, d time.Duration) error {
	return merry.Wrap(err, merry.WithValue(retryAfterKey, d))
}

// Of returns the kind of err: Internal if it has none, "" if err is nil.
func Of(err error) Kind {
	if err == nil {
		return ""
	}
	if k, ok := merry.Value(err, kindKey).(Kind); ok {
		return k
	}
	return Internal
}

// Is reports whether err has kind k.
func Is(err error, k Kind) bool { return err != nil && Of(err) == k }

// RetryAfter returns the retry delay attached to err, or else that of its kind.
// Zero means that a retry without a change will not help.
func RetryAfter(err error) time.Duration {
	if d, ok := merry.Value(err, retryAfterKey).(time.Duration); ok {
		return d
	}
	return RowOf(Of(err)).RetryAfter
}

// AfterSend converts err to a kind that is valid once any byte of the request has
// been sent to a target. A kind whose row has NotRun becomes OutcomeUnknown, except
// ExecutorRefused: with it, the target itself states that it did not run the request.
func AfterSend(err error) error {
	if err == nil {
		return nil
	}
	k := Of(err)
	if k == ExecutorRefused || !RowOf(k).NotRun {
		return err
	}
	return Wrap(OutcomeUnknown, err, "the request may have run")
}
