package errkind

import "time"

// Body is the JSON body of every error response, and the encoding of errors
// between processes.
type Body struct {
	Kind         Kind   `json:"kind" cbor:"1,keyasint"`
	Message      string `json:"message" cbor:"2,keyasint"`
	NotRun       bool   `json:"not_run" cbor:"3,keyasint"`
	RetryAfterMS int64  `json:"retry_after_ms,omitempty" cbor:"4,keyasint,omitempty"`
	RequestID    string `json:"request_id,omitempty" cbor:"5,keyasint,omitempty"`
}

// BodyOf returns the response body for err. The text of an Internal error is
// replaced, so that internal details do not leave the system.
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

// Err converts a received body to an error of its kind. A kind that this build
// does not know becomes Internal.
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
