package wire

import (
	"io"
	"sync/atomic"

	"github.com/filbertmast/filbertmast/internal/errkind"
)

// maxRequestFrames bounds the large frames of calls and exchanges, of all connections, that
// are read and handled at once, in bytes.
const maxRequestFrames = 4 * MaxFrame

// frameBudget bounds the memory for the frames of requests. Frames up to readStep are free;
// they are bounded by the number of streams.
type frameBudget struct {
	limit int64
	held  atomic.Int64
}

// read reads a frame and returns a function that must be called when it is not needed any
// more. The error is Overloaded if the budget has no room.
func (b *frameBudget) read(r io.Reader) (frame []byte, release func(), err error) {
	var charged int64
	release = func() { b.held.Add(-charged) }
	frame, err = readAdmittedFrame(r, func(n int) error {
		if n <= readStep {
			return nil
		}
		if b.held.Add(int64(n)) > b.limit {
			b.held.Add(-int64(n))
			return errkind.New(errkind.Overloaded, "large messages of other peers are being handled")
		}
		charged = int64(n)
		return nil
	})
	if err != nil {
		release()
		return nil, nil, err
	}
	return frame, release, nil
}
