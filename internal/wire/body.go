package wire

import (
	"context"
	"encoding/binary"
	"io"

	"github.com/filbertmast/filbertmast/internal/errkind"
)

const (
	chunkHeader       = 4        // bytes of the length before each chunk
	chunkSize         = 32 << 10 // largest chunk, in bytes
	bodyTrailerLength = 8        // bytes of the total length after the end marker
)

// bodyWriter writes a body in chunks. The end marker is an empty chunk followed
// by the total length, so that a truncated body is never taken for a complete
// one.
type bodyWriter struct {
	w     io.Writer
	admit func(n int) error
	count func(n int)
	buf   []byte
	total uint64
}

// Write implements io.Writer.
func (w *bodyWriter) Write(p []byte) (int, error) {
	done := 0
	for done < len(p) {
		n := min(len(p)-done, chunkSize)
		if err := w.chunk(p[done : done+n]); err != nil {
			return done, err
		}
		done += n
	}
	return done, nil
}

func (w *bodyWriter) chunk(p []byte) error {
	w.buf = binary.BigEndian.AppendUint32(w.buf[:0], uint32(len(p)))
	w.buf = append(w.buf, p...)
	w.total += uint64(len(p))
	return w.flush()
}

// end writes the end marker and the total length.
func (w *bodyWriter) end() error {
	w.buf = binary.BigEndian.AppendUint32(w.buf[:0], 0)
	w.buf = binary.BigEndian.AppendUint64(w.buf, w.total)
	return w.flush()
}

func (w *bodyWriter) flush() error {
	if err := w.admit(len(w.buf)); err != nil {
		return err
	}
	if _, err := w.w.Write(w.buf); err != nil {
		return err
	}
	w.count(len(w.buf))
	return nil
}

// bodyReader reads a body written by bodyWriter. It returns io.EOF only after an
// end marker with the correct total length, and AnswerCutOff for an earlier end.
type bodyReader struct {
	r     io.Reader
	count func(n int)
	left  uint32
	total uint64
	err   error
}

// Read implements io.Reader.
func (r *bodyReader) Read(p []byte) (int, error) {
	if r.err != nil {
		return 0, r.err
	}
	if len(p) == 0 {
		return 0, nil
	}
	if r.left == 0 {
		if r.err = r.next(); r.err != nil {
			return 0, r.err
		}
	}
	n, err := r.r.Read(p[:min(len(p), int(r.left))])
	r.left -= uint32(n)
	r.total += uint64(n)
	r.count(n)
	if err != nil && (r.left > 0 || err != io.EOF) {
		r.err = answerCutOff(err)
		return n, r.err
	}
	return n, nil
}

// next reads the header of the next chunk, or the end marker.
func (r *bodyReader) next() error {
	var h [chunkHeader]byte
	if _, err := io.ReadFull(r.r, h[:]); err != nil {
		return answerCutOff(err)
	}
	r.count(chunkHeader)
	r.left = binary.BigEndian.Uint32(h[:])
	if r.left > chunkSize {
		return errkind.New(errkind.AnswerCutOff, "body chunk of %d bytes exceeds the limit of %d", r.left, chunkSize)
	}
	if r.left > 0 {
		return nil
	}
	return r.end()
}

func (r *bodyReader) end() error {
	var b [bodyTrailerLength]byte
	if _, err := io.ReadFull(r.r, b[:]); err != nil {
		return answerCutOff(err)
	}
	r.count(bodyTrailerLength)
	if want := binary.BigEndian.Uint64(b[:]); want != r.total {
		return errkind.New(errkind.AnswerCutOff, "body ended after %d of %d bytes", r.total, want)
	}
	return io.EOF
}

func answerCutOff(err error) error {
	return errkind.Wrap(errkind.AnswerCutOff, unexpectedEOF(err), "body ended before its end marker")
}

// admitter returns a function that waits until the link budget admits n more
// bytes of an exchange.
func (c *conn) admitter(ctx context.Context, k Kind) func(n int) error {
	return func(n int) error { return c.e.admitMore(ctx, ClassOf(k), c.remote, n) }
}

func (c *conn) sentCounter(k Kind) func(n int) {
	return func(n int) { c.meter.countSent(ClassOf(k), n) }
}

func (c *conn) receivedCounter(k Kind) func(n int) {
	return func(n int) { c.meter.countReceived(ClassOf(k), n) }
}
