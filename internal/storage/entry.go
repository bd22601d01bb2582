package storage

import "encoding/binary"

// Entry is one record of the replicated log.
type Entry struct {
	Index uint64
	Term  uint64
	Kind  uint8
	Data  []byte
}

// Position is a position in the log: an index and the term of its entry.
type Position struct {
	Index uint64
	Term  uint64
}

const (
	entryPrefixSize   = 17
	positionSize      = 16
	segmentHeaderSize = 40
)

func appendEntry(buf []byte, e Entry) []byte {
	var p [entryPrefixSize]byte
	binary.LittleEndian.PutUint64(p[0:], e.Index)
	binary.LittleEndian.PutUint64(p[8:], e.Term)
	p[16] = e.Kind
	return appendItem(buf, itemEntry, p[:], e.Data)
}

func decodeEntry(body []byte) (Entry, bool) {
	if len(body) < entryPrefixSize {
		return Entry{}, false
	}
	e := Entry{
		Index: binary.LittleEndian.Uint64(body[0:]),
		Term:  binary.LittleEndian.Uint64(body[8:]),
		Kind:  body[16],
		Data:  body[entryPrefixSize:],
	}
	return e, e.Index > 0
}

func appendPosition(buf []byte, p Position) []byte {
	var b [positionSize]byte
	binary.LittleEndian.PutUint64(b[0:], p.Index)
	binary.LittleEndian.PutUint64(b[8:], p.Term)
	return appendItem(buf, itemReset, b[:])
}

func decodePosition(body []byte) (Position, bool) {
	if len(body) != positionSize {
		return Position{}, false
	}
	return Position{
		Index: binary.LittleEndian.Uint64(body[0:]),
		Term:  binary.LittleEndian.Uint64(body[8:]),
	}, true
}

// segmentHeader is the first item of a segment. It records the last position of
// the log and the size of the previous segment at the time of its creation, so
// that a truncated earlier segment is detected.
type segmentHeader struct {
	version      uint32
	number       uint32
	owner        uint64
	lastPosition Position
	// prevSize is the final size of the previous segment, in bytes.
	prevSize uint64
}

func appendSegmentHeader(buf []byte, h segmentHeader) []byte {
	var b [segmentHeaderSize]byte
	binary.LittleEndian.PutUint32(b[0:], h.version)
	binary.LittleEndian.PutUint32(b[4:], h.number)
	binary.LittleEndian.PutUint64(b[8:], h.owner)
	binary.LittleEndian.PutUint64(b[16:], h.lastPosition.Index)
	binary.LittleEndian.PutUint64(b[24:], h.lastPosition.Term)
	binary.LittleEndian.PutUint64(b[32:], h.prevSize)
	return appendItem(buf, itemSegment, b[:])
}

func decodeSegmentHeader(body []byte) (segmentHeader, bool) {
	if len(body) < segmentHeaderSize {
		return segmentHeader{}, false
	}
	return segmentHeader{
		version: binary.LittleEndian.Uint32(body[0:]),
		number:  binary.LittleEndian.Uint32(body[4:]),
		owner:   binary.LittleEndian.Uint64(body[8:]),
		lastPosition: Position{
			Index: binary.LittleEndian.Uint64(body[16:]),
			Term:  binary.LittleEndian.Uint64(body[24:]),
		},
		prevSize: binary.LittleEndian.Uint64(body[32:]),
	}, true
}
