package errkind

import "time"

// Body is the JSON form of every error answer, and the form in which errors
// cross between processes.
type Body struct {
	Kind         Kind   `json:"kind" cbor:"1,keyasint"`
	Message      string `json:"message" cbor:"2,keyasint"`
	NotRun       bool   `json:"not_run" cbor:"3,keyasint"`
	RetryAfterMS int64  `json:"retry_after_ms,omitempty" cbor:"4,keyasint,omitempty"`
	RequestID    string `json:"request_id,omitempty" cbor:"5,keyasint,omitempty"`
}

// BodyOf returns the answer for err. The text of an Internal error is not shown.
func BodyOf(err error, requestID string) Body {
	k := Of(err)
	msg := err.Error()
	if k == Internal {
		msg = "internal error"
	}
	return Body{
		Kind:         k,
		Message:      msg,
		NotRun:       RowOf(k).NotRun,
		RetryAfterMS: RetryAfter(err).Milliseconds(),
		RequestID:    requestID,
	}
}

// Err turns a received body back into an error of its kind.
func (b Body) Err() error {
	k := b.Kind
	if _, ok := table[k]; !ok {
		k = Internal
	}
	err := New(k, "%s", b.Message)
	if b.RetryAfterMS > 0 {
		err = WithRetryAfter(err, time.Duration(b.RetryAfterMS)*time.Millisecond)
	}
	return err
}
