package route

import (
	"bytes"
	"errors"
	"io"

	"github.com/filbertmast/filbertmast/internal/errkind"
)

// replayBody is a request body that can be sent again if it fits into its
// buffer.
type replayBody struct {
	buffered []byte
	rest     io.Reader // follows buffered; nil if buffered is complete
	consumed bool      // rest was returned by reader
	size     int64     // -1 when unknown
}

// newReplayBody buffers up to maxBuffered bytes, and one more to detect a
// longer body. It fails with the kind of the reader's error, or with BadRequest if the body
// cannot be read or is shorter than size.
func newReplayBody(r io.Reader, size, maxBuffered int64) (*replayBody, error) {
	if r == nil || size == 0 {
		return &replayBody{}, nil
	}
	buf, err := io.ReadAll(io.LimitReader(r, maxBuffered+1))
	if err != nil && errkind.Of(err) != errkind.Internal {
		return nil, err // the limiter of bodies has refused it
	}
	if err != nil {
		return nil, errkind.Wrap(errkind.BadRequest, err, "the request body could not be read to its end")
	}
	if size >= 0 && int64(len(buf)) < min(size, maxBuffered+1) {
		return nil, errkind.New(errkind.BadRequest, "the request body is shorter than its declared size")
	}
	if int64(len(buf)) <= maxBuffered {
		return &replayBody{buffered: buf, size: int64(len(buf))}, nil
	}
	return &replayBody{buffered: buf, rest: r, size: size}, nil
}

// fullyBuffered reports whether the whole body is in memory.
func (b *replayBody) fullyBuffered() bool { return b.rest == nil }

// replayable reports whether reader may be called.
func (b *replayBody) replayable() bool { return b.rest == nil || !b.consumed }

// reader returns the body from its start. The caller must check replayable
// before.
func (b *replayBody) reader() io.Reader {
	if b.rest == nil {
		return bytes.NewReader(b.buffered)
	}
	b.consumed = true
	return io.MultiReader(bytes.NewReader(b.buffered), b.rest)
}

// completeBody reads the body of an answer and verifies that it is complete.
type completeBody struct {
	rc      io.ReadCloser
	size    int64 // declared by the answer, -1 if unknown
	maxSize int64 // largest allowed size in bytes
	read    int64
	err     error      // set at the end
	done    func(bool) // called once, with whether the body was complete
}

// Read implements io.Reader. It returns io.EOF only at the end of a complete
// body. Otherwise the body ends with an error of kind AnswerCutOff or
// AnswerTooLarge.
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
		_ = b.finish(errkind.New(errkind.AnswerCutOff, "the answer was closed before its end"))
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
		return errkind.Wrap(errkind.AnswerCutOff, err, "the answer ended before its declared size")
	}
	return errkind.Wrap(errkind.AnswerCutOff, err, "the answer was cut off")
}

func tooLargeError(maxSize int64) error {
	return errkind.New(errkind.AnswerTooLarge, "the answer is larger than the limit of %d bytes", maxSize)
}
