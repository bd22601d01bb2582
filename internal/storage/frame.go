package storage

import (
	"encoding/binary"
	"hash/crc32"
)

// A frame is what one Append writes: a header, then items. One checksum covers
// the frame, and one sync makes it durable, so only the last frame can be torn.
//
//	header: magic u32 | payload length u32 | sequence u64 | payload crc u32 | header crc u32
//	item:   kind u8 | body length u32 | body crc u32 | body
const (
	frameMagic      = 0x4c41574d
	frameHeaderSize = 24
	itemHeaderSize  = 9
	// maxFrameBytes bounds the payload of a frame that is accepted when read.
	maxFrameBytes = 256 << 20
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

type itemKind uint8

const (
	itemSegment itemKind = 1 // segment header, first item of a segment
	itemEntry   itemKind = 2
	itemState   itemKind = 3 // opaque state of the owner
	itemReset   itemKind = 4 // the log now starts after (index, term)
)

// checksum covers data under a seed, so that bytes of another log do not pass.
func checksum(seed uint64, data []byte) uint32 {
	var s [8]byte
	binary.LittleEndian.PutUint64(s[:], seed)
	return crc32.Update(crc32.Checksum(s[:], castagnoli), castagnoli, data)
}

// startFrame reserves the room of a frame header at the end of buf.
func startFrame(buf []byte) []byte {
	return append(buf, make([]byte, frameHeaderSize)...)
}

// finishFrame fills the header of the frame that begins at start.
func finishFrame(buf []byte, start int, seed, seq uint64) {
	h := buf[start : start+frameHeaderSize]
	payload := buf[start+frameHeaderSize:]
	binary.LittleEndian.PutUint32(h[0:], frameMagic)
	binary.LittleEndian.PutUint32(h[4:], uint32(len(payload)))
	binary.LittleEndian.PutUint64(h[8:], seq)
	binary.LittleEndian.PutUint32(h[16:], checksum(seed, payload))
	binary.LittleEndian.PutUint32(h[20:], checksum(seed, h[:20]))
}

// appendItem adds one item whose body is the concatenation of the parts.
func appendItem(buf []byte, kind itemKind, parts ...[]byte) []byte {
	size := 0
	for _, p := range parts {
		size += len(p)
	}
	start := len(buf)
	buf = append(buf, byte(kind), 0, 0, 0, 0, 0, 0, 0, 0)
	for _, p := range parts {
		buf = append(buf, p...)
	}
	binary.LittleEndian.PutUint32(buf[start+1:], uint32(size))
	binary.LittleEndian.PutUint32(buf[start+5:], crc32.Checksum(buf[start+itemHeaderSize:], castagnoli))
	return buf
}

type frame struct {
	seq     uint64
	payload []byte
	size    int // header and payload
}

// frameStatus is what readFrame found.
type frameStatus int

const (
	frameOK        frameStatus = iota
	frameEnd                   // no byte is left
	frameTruncated             // the file ends inside the frame
	frameCorrupt               // a checksum fails
)

// readFrame decodes the frame at the start of data.
func readFrame(data []byte, seed uint64) (frame, frameStatus) {
	if len(data) == 0 {
		return frame{}, frameEnd
	}
	if len(data) < frameHeaderSize {
		return frame{}, frameTruncated
	}
	h := data[:frameHeaderSize]
	if binary.LittleEndian.Uint32(h[0:]) != frameMagic {
		return frame{}, frameCorrupt
	}
	if binary.LittleEndian.Uint32(h[20:]) != checksum(seed, h[:20]) {
		return frame{}, frameCorrupt
	}
	length := binary.LittleEndian.Uint32(h[4:])
	if length > maxFrameBytes {
		return frame{}, frameCorrupt
	}
	if len(data)-frameHeaderSize < int(length) {
		return frame{}, frameTruncated
	}
	payload := data[frameHeaderSize : frameHeaderSize+int(length)]
	if binary.LittleEndian.Uint32(h[16:]) != checksum(seed, payload) {
		return frame{}, frameCorrupt
	}
	f := frame{
		seq:     binary.LittleEndian.Uint64(h[8:]),
		payload: payload,
		size:    frameHeaderSize + int(length),
	}
	return f, frameOK
}

// findValidFrame returns the offset in data, after its first byte, of a whole
// frame, or -1. A frame is written only after the one before it was synced, so
// a whole frame after a bad one proves that durable bytes have changed.
func findValidFrame(data []byte, seed uint64) int {
	for i := 1; i+frameHeaderSize <= len(data); i++ {
		if binary.LittleEndian.Uint32(data[i:]) != frameMagic {
			continue
		}
		if _, st := readFrame(data[i:], seed); st == frameOK {
			return i
		}
	}
	return -1
}

type item struct {
	kind   itemKind
	body   []byte
	offset int // of the item header within the payload
}

// readItem decodes the item at offset in payload and returns the next offset.
func readItem(payload []byte, offset int) (item, int, bool) {
	if len(payload)-offset < itemHeaderSize {
		return item{}, 0, false
	}
	h := payload[offset : offset+itemHeaderSize]
	size := int(binary.LittleEndian.Uint32(h[1:]))
	rest := payload[offset+itemHeaderSize:]
	if size > len(rest) {
		return item{}, 0, false
	}
	body := rest[:size]
	if crc32.Checksum(body, castagnoli) != binary.LittleEndian.Uint32(h[5:]) {
		return item{}, 0, false
	}
	return item{kind: itemKind(h[0]), body: body, offset: offset}, offset + itemHeaderSize + size, true
}
