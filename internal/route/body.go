package route

import (
	"bytes"
	"errors"
	"io"

	"github.com/filbertmast/filbertmast/internal/errkind"
)

// replayBody is a request body that can be sent again while it is small.
type replayBody struct {
	buffered []byte
	rest     io.Reader // nil when kept is all
	consumed bool      // rest has been handed out
	size     int64     // -1 when unknown
}

// newReplayBody reads up to most bytes ahead.
func newReplayBody(r io.Reader, size, maxBuffered int64) (*replayBody, error) {
	if r == nil || size == 0 {
		return &replayBody{}, nil
	}
	buf, err := io.ReadAll(io.LimitReader(r, maxBuffered+1))
	if err != nil {
		return nil, errkind.Wrap(errkind.BadRequest, err, "the request's body was cut off")
	}
	if size >= 0 && int64(len(buf)) < min(size, maxBuffered+1) {
		return nil, errkind.New(errkind.BadRequest, "the request's body is shorter than said")
	}
	if int64(len(buf)) <= maxBuffered {
		return &replayBody{buffered: buf, size: int64(len(buf))}, nil
	}
	return &replayBody{buffered: buf, rest: r, size: size}, nil
}

// whole reports whether the body is in memory.
func (b *replayBody) fullyBuffered() bool { return b.rest == nil }

// replayable reports whether reader can be called.
func (b *replayBody) replayable() bool { return b.rest == nil || !b.consumed }

// reader returns the body from its start. The caller must check replayable first.
func (b *replayBody) reader() io.Reader {
	if b.rest == nil {
		return bytes.NewReader(b.buffered)
	}
	b.consumed = true
	return io.MultiReader(bytes.NewReader(b.buffered), b.rest)
}

// completeBody reads an answer's body and makes sure that its end is its true end.
type completeBody struct {
	rc      io.ReadCloser
	size    int64 // said by the answer, -1 when unknown
	maxSize int64 // largest allowed
	read    int64
	err     error      // once the end was reached
	done    func(bool) // called once, with whether the body was whole
}

// Read implements io.Reader. The end is io.EOF only for a whole body, else an
// error of kind AnswerCutOff or AnswerTooLarge.
func (b *completeBody) Read(p []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	n, err := b.rc.Read(p)
	b.read += int64(n)
	if b.read > b.maxSize {
		return 0, b.finish(tooLargeError(b.maxSize))
	}
	if err == nil {
		return n, nil
	}
	if errors.Is(err, io.EOF) && (b.size < 0 || b.read == b.size) {
		return n, b.finish(io.EOF)
	}
	if errkind.Is(err, errkind.AnswerTooLarge) {
		return n, b.finish(err)
	}
	return n, b.finish(cutOffError(err, b.size))
}

// Close implements io.Closer. Closing before the end abandons the request.
func (b *completeBody) Close() error {
	if b.err == nil {
		_ = b.finish(errkind.New(errkind.AnswerCutOff, "the answer was closed"))
	}
	return nil
}

func (b *completeBody) finish(err error) error {
	b.err = err
	b.done(err == io.EOF)
	return err
}

func cutOffError(err error, size int64) error {
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	if size >= 0 {
		return errkind.Wrap(errkind.AnswerCutOff, err, "the answer ended too early")
	}
	return errkind.Wrap(errkind.AnswerCutOff, err, "the answer was cut off")
}

func tooLargeError(maxSize int64) error {
	return errkind.New(errkind.AnswerTooLarge, "the answer is larger than %d bytes", maxSize)
}
