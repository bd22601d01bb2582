package wire

import (
	"bytes"
	"encoding/binary"
	"io"

	"github.com/fxamacker/cbor/v2"

	"github.com/filbertmast/filbertmast/internal/errkind"
)

const (
	maxListLength  = 1 << 20
	maxNesting     = 32
	frameHeader    = 4 // bytes of the length before each frame
	readStep       = 64 << 10
	statusAnswer   = 0
	statusError    = 1
	prefaceLength  = 8
	prefaceVersion = 1
)

var (
	encMode = mustEncMode()
	decMode = mustDecMode()
)

func mustEncMode() cbor.EncMode {
	m, err := cbor.EncOptions{}.EncMode()
	if err != nil {
		panic(err)
	}
	return m
}

// mustDecMode limits how much memory a peer can make this process allocate.
// Unknown fields are ignored, so that newer versions can add fields. Strings that are not
// UTF-8 are accepted, since every encoder writes them: the receiver decides what they mean.
func mustDecMode() cbor.DecMode {
	m, err := cbor.DecOptions{
		MaxArrayElements: maxListLength,
		MaxMapPairs:      maxListLength,
		MaxNestedLevels:  maxNesting,
		IndefLength:      cbor.IndefLengthForbidden,
		TagsMd:           cbor.TagsForbidden,
		UTF8:             cbor.UTF8DecodeInvalid,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return m
}

// mode is the type of a stream.
type mode uint8

const (
	modeControl mode = iota + 1
	modeCall
	modePost
	modeExchange
)

// preface is the header of every stream.
type preface struct {
	mode      mode
	kind      Kind
	timeoutMS uint32 // time left for the whole call; zero: no deadline
}

func (p preface) append(b []byte) []byte {
	b = append(b, prefaceVersion, byte(p.mode))
	b = binary.BigEndian.AppendUint16(b, uint16(p.kind))
	return binary.BigEndian.AppendUint32(b, p.timeoutMS)
}

func readPreface(r io.Reader) (preface, error) {
	var b [prefaceLength]byte
	if _, err := io.ReadFull(r, b[:]); err != nil {
		return preface{}, err
	}
	return parsePreface(b)
}

func parsePreface(b [prefaceLength]byte) (preface, error) {
	if b[0] != prefaceVersion {
		return preface{}, errkind.New(errkind.BadRequest, "unsupported stream version %d", b[0])
	}
	return preface{
		mode:      mode(b[1]),
		kind:      Kind(binary.BigEndian.Uint16(b[2:])),
		timeoutMS: binary.BigEndian.Uint32(b[4:]),
	}, nil
}

// appendFrame appends the length and the encoding of v to b. It fails with
// BodyTooLarge if the encoding is larger than MaxFrame.
func appendFrame(b []byte, v any) ([]byte, error) {
	start := len(b)
	buf := bytes.NewBuffer(append(b, make([]byte, frameHeader)...))
	if err := encMode.NewEncoder(buf).Encode(v); err != nil {
		return nil, errkind.Wrap(errkind.Internal, err, "message cannot be encoded")
	}
	b = buf.Bytes()
	n := len(b) - start - frameHeader
	if n > MaxFrame {
		return nil, errkind.New(errkind.BodyTooLarge, "message of %d bytes exceeds the limit of %d", n, MaxFrame)
	}
	binary.BigEndian.PutUint32(b[start:], uint32(n))
	return b, nil
}

// readFrame reads one frame. It allocates memory as data arrives, and does not
// trust the declared length.
func readFrame(r io.Reader) ([]byte, error) {
	return readAdmittedFrame(r, func(int) error { return nil })
}

// readAdmittedFrame reads one frame if admit returns nil for its declared length.
func readAdmittedFrame(r io.Reader, admit func(n int) error) ([]byte, error) {
	var h [frameHeader]byte
	if _, err := io.ReadFull(r, h[:]); err != nil {
		return nil, err
	}
	n := int(binary.BigEndian.Uint32(h[:]))
	if n > MaxFrame {
		return nil, errkind.New(errkind.BodyTooLarge, "frame of %d bytes exceeds the limit of %d", n, MaxFrame)
	}
	if err := admit(n); err != nil {
		return nil, err
	}
	if n <= readStep {
		b := make([]byte, n)
		_, err := io.ReadFull(r, b)
		return b, unexpectedEOF(err)
	}
	var buf bytes.Buffer
	m, err := io.CopyN(&buf, r, int64(n))
	if m < int64(n) {
		return nil, unexpectedEOF(err)
	}
	return buf.Bytes(), nil
}

// unexpectedEOF replaces io.EOF inside a frame by io.ErrUnexpectedEOF, so that it
// is not taken for a clean end of the stream.
func unexpectedEOF(err error) error {
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}

func decode[T any](b []byte) (*T, error) {
	v := new(T)
	if err := decMode.Unmarshal(b, v); err != nil {
		return nil, errkind.Wrap(errkind.BadRequest, err, "message cannot be decoded")
	}
	return v, nil
}

// splitFrame splits the first frame off a batch of whole frames.
func splitFrame(batch []byte) (frame, rest []byte) {
	n := frameHeader + int(binary.BigEndian.Uint32(batch))
	return batch[frameHeader:n], batch[n:]
}
