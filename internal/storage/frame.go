package storage

import (
	"encoding/binary"
	"hash/crc32"
)

// Each Append writes one frame: a header followed by items. A frame is covered by
// one checksum and made durable by one sync, so only the last frame can be torn.
//
//	header: magic u32 | payload length u32 | sequence u64 | payload crc u32 | header crc u32
//	item:   kind u8 | body length u32 | body crc u32 | body
const (
	frameMagic      = 0x4c41574d
	frameHeaderSize = 24
	itemHeaderSize  = 9
	// maxFrameBytes is the largest frame payload that is accepted on read.
	maxFrameBytes = 256 << 20
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

type itemKind uint8

const (
	itemSegment itemKind = 1 // segment header, first item of a segment
	itemEntry   itemKind = 2
	itemState   itemKind = 3 // opaque state of the log's owner
	itemReset   itemKind = 4 // the log now starts after (index, term)
)

// checksum returns the CRC-32C of seed followed by data. Seeding with the log's
// owner makes frames of another log fail the check.
func checksum(seed uint64, data []byte) uint32 {
	var s [8]byte
	binary.LittleEndian.PutUint64(s[:], seed)
	return crc32.Update(crc32.Checksum(s[:], castagnoli), castagnoli, data)
}

// startFrame reserves space for a frame header at the end of buf.
func startFrame(buf []byte) []byte {
	return append(buf, make([]byte, frameHeaderSize)...)
}

// finishFrame fills in the header of the frame that begins at offset start.
func finishFrame(buf []byte, start int, seed, seq uint64) {
	h := buf[start : start+frameHeaderSize]
	payload := buf[start+frameHeaderSize:]
	binary.LittleEndian.PutUint32(h[0:], frameMagic)
	binary.LittleEndian.PutUint32(h[4:], uint32(len(payload)))
	binary.LittleEndian.PutUint64(h[8:], seq)
	binary.LittleEndian.PutUint32(h[16:], checksum(seed, payload))
	binary.LittleEndian.PutUint32(h[20:], checksum(seed, h[:20]))
}

// appendItem appends one item whose body is the concatenation of parts.
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

// frameStatus is the result of readFrame.
type frameStatus int

const (
	frameOK        frameStatus = iota
	frameEnd                   // no bytes are left
	frameTruncated             // the file ends inside the frame
	frameCorrupt               // the magic, length or checksum is wrong
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

// findValidFrame returns the offset in data, after its first byte, of a valid
// frame, or -1. A frame is written only after the previous one was synced, so a
// valid frame after a corrupt one proves that durable bytes have changed.
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

// readItem decodes the item at offset in payload and returns the offset of the
// next item. It returns false if the item is truncated or fails its checksum.
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
