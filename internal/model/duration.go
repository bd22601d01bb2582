package model

import (
	"encoding/json"
	"fmt"
	"time"
)

// Duration is a time.Duration that is encoded in JSON as a Go duration string, such
// as "1m30s".
type Duration time.Duration

// MaxDuration is the maximum of a duration that callers and operators set. The sum over the
// steps of a workflow stays within 64 bits.
const MaxDuration = Duration(366 * 24 * time.Hour)

// InRange reports whether d is from zero to MaxDuration.
func (d Duration) InRange() bool { return d >= 0 && d <= MaxDuration }

// Std returns d as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// Millis returns d in whole milliseconds.
func (d Duration) Millis() int64 { return time.Duration(d).Milliseconds() }

// String formats d as a Go duration string.
func (d Duration) String() string { return time.Duration(d).String() }

// MarshalJSON writes d as a Go duration string.
func (d Duration) MarshalJSON() ([]byte, error) { return json.Marshal(d.String()) }

// UnmarshalJSON reads a Go duration string.
func (d *Duration) UnmarshalJSON(b []byte) error {
	var s string
	if err := json.Unmarshal(b, &s); err != nil {
		return fmt.Errorf("duration must be a string such as \"30s\", got %s", b)
	}
	v, err := time.ParseDuration(s)
	if err != nil {
		return fmt.Errorf("duration %q is not of the form \"30s\", \"5m\" or \"1h30m\"", s)
	}
	*d = Duration(v)
	return nil
}

// Time is a point in time in milliseconds since the Unix epoch, as assigned by the
// leader. Deterministic packages receive it as an argument instead of using a clock.
type Time int64

// MaxTime is the latest time that callers set, in the year 2109. Its distance from any time
// since 1970 is within the range of a duration.
const MaxTime Time = 1 << 42

// TimeOf converts t to a Time, truncated to milliseconds.
func TimeOf(t time.Time) Time { return Time(t.UnixMilli()) }

// Add returns t + d.
func (t Time) Add(d time.Duration) Time { return t + Time(d.Milliseconds()) }

// Sub returns t - o.
func (t Time) Sub(o Time) time.Duration { return time.Duration(t-o) * time.Millisecond }
