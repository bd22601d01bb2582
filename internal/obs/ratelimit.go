package obs

import (
	"bytes"
	"time"

	"golang.org/x/time/rate"
)

const (
	// messageRate and messageBurst bound the lines of one kind, a second and at once. The
	// kind of a line is its message.
	messageRate  = 400
	messageBurst = 1600
	// maxMessages bounds the kinds that are told apart; messages are constants.
	maxMessages = 256
)

// messageLimits bounds the lines of each kind. It is not safe for concurrent use.
type messageLimits struct{ byMessage map[string]*messageLimit }

type messageLimit struct {
	limiter *rate.Limiter
	dropped int // lines left out since the last that passed
}

func newMessageLimiter() *rate.Limiter { return rate.NewLimiter(messageRate, messageBurst) }

func newMessageLimits() *messageLimits { return &messageLimits{byMessage: map[string]*messageLimit{}} }

// admit reports whether a line of a kind may be written now, and how many of the
// kind were left out before it. Lines without a kind always may.
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

// messageOf returns the message of a line in logfmt or JSON, empty in other formats.
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
	return nil
}
