package obs

import (
	"bytes"
	"time"

	"golang.org/x/time/rate"
)

const (
	// messageRate and messageBurst limit the lines with the same message: the rate in
	// lines per second, and the burst in lines.
	messageRate  = 400
	messageBurst = 1600
	// maxMessages bounds the messages that are tracked. It is a safeguard, since
	// messages are constants; further messages are not limited.
	maxMessages = 256
)

// messageLimits limits the rate of the lines with the same message. It is not safe
// for concurrent use.
type messageLimits struct{ byMessage map[string]*messageLimit }

type messageLimit struct {
	limiter *rate.Limiter
	dropped int // lines dropped since the last admitted one
}

func newMessageLimiter() *rate.Limiter { return rate.NewLimiter(messageRate, messageBurst) }

func newMessageLimits() *messageLimits { return &messageLimits{byMessage: map[string]*messageLimit{}} }

// admit reports whether a line with the message may be written now, and how many
// lines with it were dropped since the last admitted one. A line without a message
// is always admitted.
func (k *messageLimits) admit(message []byte, now time.Time) (dropped int, ok bool) {
	if len(message) == 0 {
		return 0, true
	}
	l := k.byMessage[string(message)]
	if l == nil {
		if len(k.byMessage) >= maxMessages {
			return 0, true
		}
		l = &messageLimit{limiter: newMessageLimiter()}
		k.byMessage[string(message)] = l
	}
	if !l.limiter.AllowN(now, 1) {
		l.dropped++
		return 0, false
	}
	dropped = l.dropped
	l.dropped = 0
	return dropped, true
}

var (
	logfmtPrefix = []byte(` msg=`)
	jsonPrefix   = []byte(`"msg":`)
)

// messageOf returns the message of a line.
func messageOf(line []byte) []byte {
	for _, prefix := range [][]byte{logfmtPrefix, jsonPrefix} {
		at := bytes.Index(line, prefix)
		if at < 0 {
			continue
		}
		text := line[at+len(prefix):]
		end := byte(' ')
		if len(text) > 0 && text[0] == '"' {
			text, end = text[1:], '"'
		}
		if i := bytes.IndexByte(text, end); i >= 0 {
			return text[:i]
		}
		return bytes.TrimSpace(text)
	}
	return textMessage(line)
}

// textMessage returns the message of a line in text format: what follows the time, the level and
// the prefix, if there is one, up to the first field.
func textMessage(line []byte) []byte {
	_, text, _ := bytes.Cut(line, []byte(" "))
	_, text, _ = bytes.Cut(text, []byte(" "))
	if word, rest, ok := bytes.Cut(text, []byte(" ")); ok && bytes.HasSuffix(word, []byte(":")) {
		text = rest
	}
	if equals := bytes.IndexByte(text, '='); equals >= 0 {
		text = text[:max(bytes.LastIndexByte(text[:equals], ' '), 0)]
	}
	return bytes.TrimSpace(text)
}
