package obs

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestRepeatedMessagesAboveRateAreDroppedAndCounted(t *testing.T) {
	k := newMessageLimits()
	now := time.Unix(1000, 0)
	passed := 0
	for range messageBurst + 300 {
		if _, ok := k.admit([]byte("Start is sent."), now); ok {
			passed++
		}
	}
	assert.Equal(t, passed, messageBurst)
	_, ok := k.admit([]byte("This process leads."), now)
	assert.Assert(t, ok, "each message has its own limit")
	left, ok := k.admit([]byte("Start is sent."), now.Add(time.Second))
	assert.Assert(t, ok)
	assert.Equal(t, left, 300)
	left, _ = k.admit([]byte("Start is sent."), now.Add(time.Second))
	assert.Equal(t, left, 0)
	for range 2 * messageBurst {
		_, ok = k.admit(nil, now)
		assert.Assert(t, ok, "a line without a message must always be admitted")
	}
}

func TestNumberOfTrackedMessagesIsBounded(t *testing.T) {
	k := newMessageLimits()
	for i := range 2 * maxMessages {
		_, ok := k.admit([]byte(strings.Repeat("x", i+1)), time.Unix(1000, 0))
		assert.Assert(t, ok)
	}
	assert.Equal(t, len(k.byMessage), maxMessages)
}

func TestMessageOfFindsMessageInEachFormat(t *testing.T) {
	for _, format := range []string{"logfmt", "json", "text"} {
		for _, message := range []string{"Start is sent.", "draining"} {
			var out bytes.Buffer
			NewLogger(&out, "info", format).WithPrefix(PrefixControl).Info(message, "msg2", "other", "worker", "i-1")
			assert.Equal(t, string(messageOf(out.Bytes())), message, "%s: %s", format, out.String())
		}
	}
	assert.Equal(t, string(messageOf([]byte("12:00 INFO control: Start is sent. worker=i-1\n"))), "Start is sent.")
	assert.Equal(t, string(messageOf([]byte("12:00 INFO Start is sent.\n"))), "Start is sent.")
	assert.Equal(t, len(messageOf([]byte("12:00 INFO control: worker=i-1\n"))), 0)
	assert.Equal(t, len(messageOf([]byte("\n"))), 0)
}

func TestNextLineReportsDroppedLinesOfMessage(t *testing.T) {
	var out bytes.Buffer
	w := NewAsyncWriter(&out)
	l := NewLogger(w, "info", "logfmt")
	w.limits.byMessage["Start is sent."] = &messageLimit{limiter: newMessageLimiter(), dropped: 7}
	l.Info("Start is sent.", "worker", "i-1")
	w.Close(time.Minute)
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	assert.Equal(t, len(lines), 2, out.String())
	assert.Assert(t, strings.Contains(lines[0], `lines=7 of="Start is sent."`), lines[0])
	assert.Assert(t, strings.Contains(lines[1], "worker=i-1"), lines[1])
}
