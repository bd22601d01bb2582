package obs

import (
	"bytes"
	"time"

	"golang.org/x/time/rate"
)

const (
	// kindRate and kindBurst bound the lines of one kind, a second and at once. The
	// kind of a line is its message.
	kindRate  = 400
	kindBurst = 1600
	// maxKinds bounds the kinds that are told apart; messages are constants.
	maxKinds = 256
)

// kindLimits bounds the lines of each kind. It is not safe for concurrent use.
type kindLimits struct{ kinds map[string]*kindLimit }

type kindLimit struct {
	limiter *rate.Limiter
	left    int // lines left out since the last that passed
}

func newKindLimiter() *rate.Limiter { return rate.NewLimiter(kindRate, kindBurst) }

func newKindLimits() *kindLimits { return &kindLimits{kinds: map[string]*kindLimit{}} }

// admit reports whether a line of a kind may be written now, and how many of the
// kind were left out before it. Lines without a kind always may.
func (k *kindLimits) admit(kind []byte, now time.Time) (left int, ok bool) {
	if len(kind) == 0 {
		return 0, true
	}
	l := k.kinds[string(kind)]
	if l == nil {
		if len(k.kinds) >= maxKinds {
			return 0, true
		}
		l = &kindLimit{limiter: newKindLimiter()}
		k.kinds[string(kind)] = l
	}
	if !l.limiter.AllowN(now, 1) {
		l.left++
		return 0, false
	}
	left = l.left
	l.left = 0
	return left, true
}

var (
	logfmtMessage = []byte(` msg=`)
	jsonMessage   = []byte(`"msg":`)
)

// kindOf returns the message of a line in logfmt or JSON, empty in other formats.
func kindOf(line []byte) []byte {
	for _, mark := range [][]byte{logfmtMessage, jsonMessage} {
		at := bytes.Index(line, mark)
		if at < 0 {
			continue
		}
		text := line[at+len(mark):]
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
